/** Number of daemons that slots are divided by. */
export interface ShareDivisor {
  /** Applies the current number of daemons; returns the number to divide by. */
  update(count: number, holdMs: number, nowMs: number): number;
  /** Applies a smaller number immediately. */
  reset(count: number): void;
}

/**
 * Creates a divisor that grows immediately and shrinks only after the number has been smaller for
 * `holdMs`. The shares of daemons that are gone may still be delegated for that long.
 */
export function createShareDivisor(): ShareDivisor {
  let current = 0;
  let smallerSinceMs: number | undefined;
  let largestSince = 0;

  function update(count: number, holdMs: number, nowMs: number): number {
    if (count >= current) {
      current = count;
      smallerSinceMs = undefined;
      return current;
    }
    if (smallerSinceMs === undefined) {
      smallerSinceMs = nowMs;
      largestSince = count;
    }
    largestSince = Math.max(largestSince, count);
    if (nowMs - smallerSinceMs >= holdMs) {
      current = largestSince;
      smallerSinceMs = undefined;
    }
    return current;
  }

  return {
    update,
    reset: (count) => {
      current = count;
      smallerSinceMs = undefined;
    },
  };
}
