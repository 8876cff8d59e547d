/** Log event. */
export interface LogEvent {
  /** Unix time in milliseconds. */
  atMs: number;
  /** Name of the process that logged the event. */
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
    // A truncated line ends inside a quoted value.
    return text.slice(1);
  }
}

/** Parses a log line; `undefined` when it has no event or no valid time. */
export function parseLogLine(line: string): LogEvent | undefined {
  const fields: Record<string, string> = {};
  for (const [, key = '', value = ''] of line.matchAll(pairPattern))
    fields[key] = parseValue(value);
  const { time, event, process = '' } = fields;
  const atMs = time === undefined ? NaN : Date.parse(time);
  if (event === undefined || Number.isNaN(atMs)) return undefined;
  return { atMs, process, event, fields };
}

/** Parses several logs and merges their events in time order. */
export function parseLogs(texts: readonly string[]): LogEvent[] {
  return texts
    .flatMap((text) => text.split('\n'))
    .map(parseLogLine)
    .filter((event) => event !== undefined)
    .sort((a, b) => a.atMs - b.atMs);
}
