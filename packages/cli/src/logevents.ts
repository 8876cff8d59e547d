/** One event of a log: its time, the process that wrote it, and its fields. */
export interface LogEvent {
  /** Unix time in milliseconds. */
  atMs: number;
  process: string;
  event: string;
  fields: Readonly<Record<string, string>>;
}

const pairPattern = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/gu;

function parseValue(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // A line that was cut short ends inside a quoted value.
    return text.slice(1);
  }
}

/** Reads one line; `undefined` for a line that is no event of this product. */
export function parseLogLine(line: string): LogEvent | undefined {
  const fields: Record<string, string> = {};
  for (const [, key = '', value = ''] of line.matchAll(pairPattern))
    fields[key] = parseValue(value);
  const { time, event, process = '' } = fields;
  const atMs = time === undefined ? NaN : Date.parse(time);
  if (event === undefined || Number.isNaN(atMs)) return undefined;
  return { atMs, process, event, fields };
}

/** Reads the events of several logs in the order of their times. */
export function parseLogs(texts: readonly string[]): LogEvent[] {
  return texts
    .flatMap((text) => text.split('\n'))
    .map(parseLogLine)
    .filter((event) => event !== undefined)
    .sort((a, b) => a.atMs - b.atMs);
}
