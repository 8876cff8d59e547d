import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/** A metric or log event as text: name, kind or log level, and sorted tags or fields. */
export type TelemetryEntry = string;

const folders = [
  'packages/config/src',
  'packages/daemon/src',
  'packages/dispatch/src',
  'packages/execution/src',
  'packages/hosting/src',
  'packages/membership/src',
  'packages/ownership/src',
  'packages/placement/src',
  'packages/protocol/src',
  'packages/routing/src',
  'packages/scheduling/src',
  'platform',
];
const kinds: Record<string, string> = {
  count: 'counter',
  setGauge: 'gauge',
  reportTiming: 'timing',
};
const callPattern =
  /\b(?:metrics|logger)\s*\.(count|setGauge|reportTiming|debug|info|warn|error)\(/gu;

/** Splits an argument list at its top-level commas; stops at its closing bracket. */
function splitArguments(text: string): string[] {
  const parts = [''];
  let depth = 0;
  let quote = '';
  for (const char of text) {
    if (quote === '' && depth === 0 && ')}]'.includes(char)) break;
    if (quote === '' && depth === 0 && char === ',') {
      parts.push('');
      continue;
    }
    if ('\'"`'.includes(char) && (quote === '' || quote === char)) quote = quote === '' ? char : '';
    if (quote === '' && '({['.includes(char)) depth += 1;
    if (quote === '' && ')}]'.includes(char)) depth -= 1;
    parts.push(`${parts.pop() ?? ''}${char}`);
  }
  return parts.map((part) => part.trim()).filter((part) => part !== '');
}

/** Finds the source text of the value of a constant. */
function findConstant(source: string, name: string): string {
  return new RegExp(`const ${name} = ([^;]+);`, 'u').exec(source)?.[1] ?? '';
}

function listNames(source: string, argument: string): string[] {
  const text = /^\w+$/u.test(argument) ? findConstant(source, argument) : argument;
  const names = [...text.matchAll(/'([a-z_.]+)'/gu)].map((found) => found[1]!);
  if (names.length === 0) throw new Error(`no name found in ${argument}`);
  return names;
}

function listKeys(source: string, argument: string | undefined): string[] {
  if (argument === undefined) return [];
  const text = argument.startsWith('{') ? argument : findConstant(source, argument);
  if (!text.startsWith('{')) throw new Error(`no keys found in ${argument}`);
  return splitArguments(text.slice(1)).map((part) => part.split(':')[0]!.trim());
}

function listCalls(source: string): TelemetryEntry[] {
  return [...source.matchAll(callPattern)].flatMap((found) => {
    const method = found[1]!;
    const callArguments = splitArguments(source.slice(found.index + found[0].length));
    const kind = kinds[method];
    const keys = listKeys(source, callArguments[kind === undefined ? 1 : 2]).sort();
    return listNames(source, callArguments[0]!).map((name) =>
      `${name} ${kind ?? method} ${keys.join(', ')}`.trim(),
    );
  });
}

/** Lists the metrics and log events in the sources of all packages that run in a daemon. */
export function listSourceEntries(): TelemetryEntry[] {
  const files = folders.flatMap((folder) =>
    readdirSync(folder, { recursive: true }).map((file) => join(folder, String(file))),
  );
  const sources = files
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
    .map((file) => readFileSync(file, 'utf8'));
  // The pattern matches calls on `metrics` and `logger`, not the declarations of their methods.
  return [...new Set(sources.flatMap(listCalls))].sort();
}

/** Lists the rows of docs/metrics.md in the same format. */
export function listDocumentedEntries(): TelemetryEntry[] {
  const rows = readFileSync('docs/metrics.md', 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('| `'));
  return rows
    .map((row) => row.split('|').map((cell) => cell.trim().replaceAll('`', '')))
    .map((cells) => {
      const isMetric = Object.values(kinds).includes(cells[2]!);
      const keys = (isMetric ? cells[4]! : cells[3]!)
        .split(', ')
        .filter((key) => key !== '–')
        .sort();
      return `${cells[1]!} ${cells[2]!} ${keys.join(', ')}`.trim();
    })
    .sort();
}
