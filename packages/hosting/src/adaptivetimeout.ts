/** Bounds of an adaptive timeout, in milliseconds. */
export interface AdaptiveTimeoutLimits {
  /** Lower bound, because a busy process may itself be late to read a response. */
  minMs: number;
  /** Upper bound; also the timeout until the first response has been measured. */
  maxMs: number;
}

/**
 * Adapts the timeout of calls to the measured response time of a service. Lost responses and dead
 * connections are detected soon while the service is fast, and calls to a slow service are not
 * abandoned before it responds.
 */
export interface AdaptiveTimeout {
  /** Adds the measured time of a response to the estimate and resets the backoff. */
  recordResponse(responseMs: number): void;
  /** Doubles the timeout, up to `maxMs`, until the backoff is reset. */
  recordTimeout(): void;
  /** Ends the backoff, for a response whose time is not measured. */
  resetBackoff(): void;
  /** Returns the timeout for the next call. */
  getTimeoutMs(): number;
  /**
   * Returns the time within which a working service answers, by its measured responses alone. Unlike the
   * timeout, it does not grow while calls get no answer: such a service is away rather than slow.
   */
  getExpectedMs(): number;
  /** Whether a response has been measured. */
  hasResponses(): boolean;
}

// Weights of the moving averages of TCP's retransmission timeout (RFC 6298).
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
const backoffFactor = 2;

/**
 * Creates a timeout that starts at `maxMs`, or at the estimate of `shared`, which is also a lower bound of its
 * own estimate.
 */
export function createAdaptiveTimeout(
  { minMs, maxMs }: AdaptiveTimeoutLimits,
  shared?: AdaptiveTimeout,
): AdaptiveTimeout {
  let meanMs: number | undefined;
  let deviationMs = 0;
  let backoff = 1;

  function getExpectedMs(): number {
    const leastMs = shared?.getExpectedMs() ?? minMs;
    if (meanMs === undefined) return leastMs;
    return Math.min(maxMs, Math.max(leastMs, meanMs + deviationFactor * deviationMs));
  }

  function hasResponses(): boolean {
    return meanMs !== undefined;
  }

  return {
    recordResponse(responseMs) {
      backoff = 1;
      if (meanMs === undefined) {
        meanMs = responseMs;
        deviationMs = responseMs / 2;
        return;
      }
      deviationMs += (Math.abs(responseMs - meanMs) - deviationMs) * deviationWeight;
      meanMs += (responseMs - meanMs) * meanWeight;
    },
    recordTimeout() {
      backoff *= backoffFactor;
    },
    resetBackoff() {
      backoff = 1;
    },
    getTimeoutMs() {
      const isKnown = hasResponses() || shared?.hasResponses() === true;
      return isKnown ? Math.min(maxMs, getExpectedMs() * backoff) : maxMs;
    },
    getExpectedMs,
    hasResponses,
  };
}
