/** Bounds of the time that an answer may take, in milliseconds. */
export interface AnswerTimeLimits {
  /** A timeout is never shorter: the process itself may be late to read an answer. */
  shortestMs: number;
  /** A timeout is never longer; also the first one, while nothing is known. */
  longestMs: number;
}

/**
 * Learns how long the answers of a service take and sets the timeouts of calls by it. It answers lost
 * answers and connections that went silent: while the service is quick, they are noticed soon, and
 * while it is slow, calls are not given up that would have been answered.
 */
export interface AnswerTime {
  /** Notes the time that an answer took, in milliseconds. */
  note(tookMs: number): void;
  /** Notes a call that was given up. */
  noteTimeout(): void;
  getTimeoutMs(): number;
}

// Weights of the estimate of a round trip, as TCP uses them for retransmissions (RFC 6298).
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
const backoffFactor = 2;

/** Creates an estimate without any knowledge. */
export function createAnswerTime({ shortestMs, longestMs }: AnswerTimeLimits): AnswerTime {
  let meanMs: number | undefined;
  let deviationMs = 0;
  let backoff = 1;
  return {
    note(tookMs) {
      backoff = 1;
      if (meanMs === undefined) {
        meanMs = tookMs;
        deviationMs = tookMs / 2;
        return;
      }
      deviationMs += (Math.abs(tookMs - meanMs) - deviationMs) * deviationWeight;
      meanMs += (tookMs - meanMs) * meanWeight;
    },
    noteTimeout() {
      backoff *= backoffFactor;
    },
    getTimeoutMs() {
      if (meanMs === undefined) return longestMs;
      const expectedMs = Math.max(shortestMs, meanMs + deviationFactor * deviationMs);
      return Math.min(longestMs, expectedMs * backoff);
    },
  };
}
