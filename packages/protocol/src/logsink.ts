import type { Clock } from './clock.ts';

/** Subset of a writable stream that a log sink uses. */
export interface LogStream {
  write(text: string): boolean;
  readonly writableLength: number;
}

/** Options of a log sink. */
export interface LogSinkOptions {
  stream: LogStream;
  clock: Clock;
  /** Sustained rate limit. */
  linesPerSecond?: number;
  /** Number of lines that may exceed the sustained rate in a burst. */
  burstLines?: number;
  /** Lines are dropped while the stream buffers more than this many unread bytes. */
  maxBufferedBytes?: number;
}

// A busy instance writes about 100 lines per second; the burst covers a takeover of all its tasks.
const defaults = { linesPerSecond: 400, burstLines: 4000, maxBufferedBytes: 1_048_576 };
const msPerSecond = 1000;

/**
 * Creates a log writer that never blocks. Lines above the rate limit or the buffer limit are dropped;
 * a line with the number of dropped lines precedes the next line that is written.
 */
export function createLogSink(options: LogSinkOptions): (line: string) => void {
  const { stream, clock, linesPerSecond, burstLines, maxBufferedBytes } = {
    ...defaults,
    ...options,
  };
  let tokens = burstLines;
  let lastRefillMs = clock.getNowMs();
  let droppedLines = 0;

  return (line) => {
    const nowMs = clock.getNowMs();
    tokens = Math.min(burstLines, tokens + ((nowMs - lastRefillMs) * linesPerSecond) / msPerSecond);
    lastRefillMs = nowMs;
    if (tokens < 1 || stream.writableLength > maxBufferedBytes) {
      droppedLines += 1;
      return;
    }
    tokens -= 1;
    if (droppedLines > 0) stream.write(`level=warn event=log_dropped lines=${droppedLines}\n`);
    droppedLines = 0;
    stream.write(line);
  };
}
