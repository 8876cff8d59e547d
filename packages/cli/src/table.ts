import { styleText } from 'node:util';
import { isRecord } from './client.ts';

/** A column of a table: its heading and how to get the cell from a row. */
export interface Column<T> {
  heading: string;
  getCell: (row: T) => unknown;
}

/** Formats a cell or field value; nested data as JSON. */
export function formatValue(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'string') return value === '' ? '-' : value;
  return JSON.stringify(value);
}

/** Renders rows under headings. Numbers are aligned to the right. */
export function renderTable<T>(
  rows: readonly T[],
  columns: readonly Column<T>[],
  canColour: boolean,
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
  const first = canColour ? styleText('bold', heading, { validateStream: false }) : heading;
  return [first, ...texts.map(formatLine)].map((line) => `${line}\n`).join('');
}

/** Renders an object as one `key  value` line for each field. */
export function renderRecord(record: Readonly<Record<string, unknown>>): string {
  const width = Math.max(0, ...Object.keys(record).map((key) => key.length));
  return Object.entries(record)
    .map(([key, value]) => `${key.padEnd(width)}  ${formatValue(value)}\n`)
    .join('');
}

/** Reads a list of objects from an answer; an answer without the list has none. */
export function listRecords(
  answer: Record<string, unknown>,
  key: string,
): Record<string, unknown>[] {
  const list = answer[key];
  return Array.isArray(list) ? list.filter(isRecord) : [];
}

/** Creates columns of the fields with these names. */
export function createColumns(names: readonly string[]): Column<Record<string, unknown>>[] {
  return names.map((name) => ({
    heading: name.replace(/([A-Z])/gu, ' $1').toUpperCase(),
    getCell: (row) => row[name],
  }));
}
