import type { Clock } from './clock.ts';

/** The part of a stream that a sink uses. */
export interface LogStream {
  write(text: string): boolean;
  readonly writableLength: number;
}

/** Options of a log sink. */
export interface LogSinkOptions {
  stream: LogStream;
  clock: Clock;
  /** Lines per second that pass in the long run. */
  linesPerSecond?: number;
  /** Lines that may pass at once after a pause. */
  burstLines?: number;
  /** Lines are dropped while the stream holds this many bytes that nobody has read. */
  maxBufferedBytes?: number;
}

// A busy instance writes about 100 lines a second; the burst covers a takeover with all its tasks.
const defaults = { linesPerSecond: 400, burstLines: 4000, maxBufferedBytes: 1_048_576 };
const msPerSecond = 1000;

/**
 * Creates a writer of log lines that never blocks: lines beyond the rate or the buffer are dropped,
 * and the next line that passes is preceded by one that tells how many were.
 */
export function createLogSink(options: LogSinkOptions): (line: string) => void {
  const { stream, clock, linesPerSecond, burstLines, maxBufferedBytes } = {
    ...defaults,
    ...options,
  };
  let tokens = burstLines;
  let filledMs = clock.getNowMs();
  let dropped = 0;

  return (line) => {
    const nowMs = clock.getNowMs();
    tokens = Math.min(burstLines, tokens + ((nowMs - filledMs) * linesPerSecond) / msPerSecond);
    filledMs = nowMs;
    if (tokens < 1 || stream.writableLength > maxBufferedBytes) {
      dropped += 1;
      return;
    }
    tokens -= 1;
    if (dropped > 0) stream.write(`level=warn event=log_dropped lines=${dropped}\n`);
    dropped = 0;
    stream.write(line);
  };
}
