import bunyan from 'bunyan';

/** Values that a log field may hold. */
export type LogValue = string | number | boolean | undefined;
/** Fields of a log line, by name. */
export type LogFields = Record<string, LogValue>;

/** Writes one line of `key=value` pairs per event. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Level names accepted in settings. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Options of a logger. */
export interface LoggerOptions {
  name: string;
  level: LogLevel;
  /** Receives each formatted line, including the newline. */
  write: (line: string) => void;
}

const needsQuotes = /[\s"=]/u;
const secretName = /token|secret|authorization|password/iu;
const hiddenFields = new Set(['v', 'name', 'hostname', 'pid', 'level', 'time', 'msg', 'event']);

function formatValue(name: string, value: unknown): string {
  if (secretName.test(name)) return '***';
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return text === '' || needsQuotes.test(text) ? JSON.stringify(text) : text;
}

/** Formats a bunyan record as one line: time, level, process, event, then the fields in their order. */
export function formatRecord(record: Record<string, unknown>): string {
  const time = record.time instanceof Date ? record.time.toISOString() : '';
  const level = bunyan.nameFromLevel[record.level as number] ?? String(record.level);
  const parts = [
    `time=${time}`,
    `level=${level}`,
    `process=${formatValue('process', record.name)}`,
    `event=${formatValue('event', record.event)}`,
  ];
  for (const [name, value] of Object.entries(record)) {
    if (hiddenFields.has(name) || value === undefined) continue;
    parts.push(`${name}=${formatValue(name, value)}`);
  }
  return `${parts.join(' ')}\n`;
}

/** Creates a logger. The values of fields whose name suggests a secret are masked. */
export function createLogger(options: LoggerOptions): Logger {
  const stream = {
    write(record: unknown): void {
      options.write(formatRecord(record as Record<string, unknown>));
    },
  };
  const inner = bunyan.createLogger({
    name: options.name,
    streams: [{ type: 'raw', level: options.level, stream: stream }],
  });
  return {
    debug: (event, fields) => {
      inner.debug({ event, ...fields });
    },
    info: (event, fields) => {
      inner.info({ event, ...fields });
    },
    warn: (event, fields) => {
      inner.warn({ event, ...fields });
    },
    error: (event, fields) => {
      inner.error({ event, ...fields });
    },
  };
}

/** Creates a logger that discards everything, for tests and benchmarks. */
export function createNullLogger(): Logger {
  const drop = (): void => undefined;
  return { debug: drop, info: drop, warn: drop, error: drop };
}
