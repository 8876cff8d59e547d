import type { Summary } from './summary.ts';

const columns: [title: string, get: (summary: Summary) => string][] = [
  ['run s', (s) => s.meanRunS.toFixed(0)],
  ['mean s', (s) => s.meanCompletionS.toFixed(0)],
  ['p99 s', (s) => s.p99CompletionS.toFixed(0)],
  ['makespan s', (s) => s.makespanS.toFixed(0)],
  ['gang>=32 wait mean s', (s) => s.largeGangWaitMeanS.toFixed(0)],
  ['max s', (s) => s.largeGangWaitMaxS.toFixed(0)],
  ['frag', (s) => s.fragmentation.toFixed(3)],
  ['frag by h', (s) => s.fragmentationByHours.toFixed(3)],
  ['util', (s) => s.utilisation.toFixed(3)],
  ['idle fits', (s) => s.idleWhileFits.toFixed(2)],
  ['preempt', (s) => String(s.preemptions)],
  ['lost acc h', (s) => s.lostAcceleratorHours.toFixed(1)],
  ['guar. starts', (s) => String(s.guaranteedStarts)],
  ['failed reclaims', (s) => String(s.failedReclaims)],
  ['decide p50 ms', (s) => s.decisionMedianMs.toFixed(3)],
  ['p99 ms', (s) => s.decisionP99Ms.toFixed(3)],
];

/** Formats rows with aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]): string =>
    row
      .map((cell, column) =>
        column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0),
      )
      .join('  ');
  return rows.map(formatRow).join('\n');
}

/** Formats the measures of several policies, one a row. */
export function formatSummaries(summaries: readonly (readonly [string, Summary])[]): string {
  return formatTable([
    ['policy', ...columns.map(([title]) => title)],
    ...summaries.map(([name, summary]) => [name, ...columns.map(([, get]) => get(summary))]),
  ]);
}
