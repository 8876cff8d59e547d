import { styleText } from 'node:util';
import { isRecord } from './client.ts';

/** Column of a table: its heading, and how to get its cell from a row. */
export interface Column<T> {
  heading: string;
  getCell: (row: T) => unknown;
}

/** Formats a cell or field value: `-` when empty, JSON unless it is text. */
export function formatValue(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'string') return value === '' ? '-' : value;
  return JSON.stringify(value);
}

/** Renders a table with headings. Columns that hold only numbers are right-aligned. */
export function renderTable<T>(
  rows: readonly T[],
  columns: readonly Column<T>[],
  canUseColours: boolean,
): string {
  const cells = rows.map((row) => columns.map(({ getCell }) => getCell(row)));
  const texts = cells.map((row) => row.map(formatValue));
  const widths = columns.map(({ heading }, index) =>
    Math.max(heading.length, ...texts.map((row) => row[index]?.length ?? 0)),
  );
  const isNumeric = columns.map((_, index) => {
    const present = cells.map((row) => row[index]).filter((value) => value !== undefined);
    return present.length > 0 && present.every((value) => typeof value === 'number');
  });
  const formatLine = (line: readonly string[]): string =>
    line
      .map((text, index) => {
        const width = widths[index] ?? 0;
        return isNumeric[index] === true ? text.padStart(width) : text.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  const heading = formatLine(columns.map((column) => column.heading));
  const headingLine = canUseColours
    ? styleText('bold', heading, { validateStream: false })
    : heading;
  return [headingLine, ...texts.map(formatLine)].map((line) => `${line}\n`).join('');
}

/** Renders an object as one `key  value` line per field. */
export function renderRecord(record: Readonly<Record<string, unknown>>): string {
  const width = Math.max(0, ...Object.keys(record).map((key) => key.length));
  return Object.entries(record)
    .map(([key, value]) => `${key.padEnd(width)}  ${formatValue(value)}\n`)
    .join('');
}

/** Lists the objects in an array field of a response; empty when there is no such field. */
export function listRecords(
  response: Record<string, unknown>,
  key: string,
): Record<string, unknown>[] {
  const list = response[key];
  return Array.isArray(list) ? list.filter(isRecord) : [];
}

/** Creates one column per field; `dataCentre` gets the heading `DATA CENTRE`. */
export function createColumns(names: readonly string[]): Column<Record<string, unknown>>[] {
  return names.map((name) => ({
    heading: name.replace(/([A-Z])/gu, ' $1').toUpperCase(),
    getCell: (row) => row[name],
  }));
}
