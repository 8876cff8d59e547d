import { ExchangeLimit } from './exchange.ts';

/** Limits of the silence of a service within one exchange. Durations are in milliseconds. */
export interface SilenceLimits {
  /** Long-poll time: how long the service may delay its response. */
  waitMs: number;
  /** Size of the request, which takes time to send. */
  requestBytes: number;
  /** Longest time to the first byte of the response, after the wait and the sending of the request. */
  responseMs: number;
  /** Longest time between two parts of the response. */
  gapMs: number;
  /** Upper bound of both while a large response shares the link; used where it is longer. */
  busyMs: number;
}

/**
 * Decides when an exchange has failed. Its duration is not limited, since that depends on the size of the
 * response; it fails when no bytes arrive.
 */
export interface SilenceWatch {
  /** Records that bytes of the response arrived. */
  recordBytes(bytes: number, nowMs: number): void;
  /**
   * Time at which the exchange has failed unless bytes arrive before. `busyUntilMs` is the time until which
   * large responses are known to have used the link.
   */
  getDueMs(busyUntilMs: number): number;
  /** The limit that is in force now. */
  getLimit(): ExchangeLimit;
}

/** Time to send a request is allowed for at this rate, 2 Mbit/s. */
const slowestSendBytesPerMs = 250;
/** A response that arrives more slowly than this on average, 32 kbit/s, is given up. */
const slowestReceiveBytesPerMs = 4;
/** Time before the average rate of a response counts. */
const rateGraceMs = 5000;

/** Time that a request of this size may take to send, in milliseconds. */
export function getSendAllowanceMs(requestBytes: number): number {
  return requestBytes / slowestSendBytesPerMs;
}

/** Creates a watch of an exchange that began at `startMs`. */
export function createSilenceWatch(limits: SilenceLimits, startMs: number): SilenceWatch {
  const { waitMs, requestBytes, responseMs, gapMs, busyMs } = limits;
  const expectedMs = startMs + waitMs + getSendAllowanceMs(requestBytes);
  let firstMs: number | undefined;
  let lastMs = expectedMs;
  let receivedBytes = 0;

  function getRateDueMs(): number {
    if (firstMs === undefined) return Infinity;
    return firstMs + rateGraceMs + receivedBytes / slowestReceiveBytesPerMs;
  }

  function getSilenceDueMs(busyUntilMs: number): number {
    const limitMs = firstMs === undefined ? responseMs : gapMs;
    const longestMs = Math.max(limitMs, busyMs);
    return Math.min(Math.max(lastMs, busyUntilMs) + limitMs, lastMs + longestMs);
  }

  return {
    recordBytes(bytes, nowMs) {
      firstMs ??= nowMs;
      lastMs = nowMs;
      receivedBytes += bytes;
    },
    getDueMs: (busyUntilMs) => Math.min(getSilenceDueMs(busyUntilMs), getRateDueMs()),
    getLimit() {
      if (firstMs === undefined) return ExchangeLimit.Response;
      return getRateDueMs() <= getSilenceDueMs(-Infinity) ? ExchangeLimit.Rate : ExchangeLimit.Gap;
    },
  };
}
