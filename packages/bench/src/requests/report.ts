type Cell = string | number | boolean;

function formatCell(value: unknown): string {
  if (typeof value === 'number') return Number.isInteger(value) ? String(value) : value.toFixed(3);
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Formats rows as a table with aligned columns. */
export function formatTable<T extends object>(rows: readonly T[], columns: (keyof T & string)[]) {
  const cells: Cell[][] = [
    columns,
    ...rows.map((row) => columns.map((one) => formatCell(row[one]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => String(line[index] ?? '').length)),
  );
  const lines = cells.map((line) =>
    line.map((cell, index) => String(cell).padEnd(widths[index] ?? 0)).join('  '),
  );
  return `${lines.join('\n')}\n`;
}
