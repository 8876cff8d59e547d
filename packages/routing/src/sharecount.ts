/** Number of daemons by which slots are divided. */
export interface ShareCount {
  /** Takes the number of daemons known now; returns the one to divide by. */
  update(count: number, holdMs: number, nowMs: number): number;
  /** Takes a smaller number at once. */
  reset(count: number): void;
}

/**
 * Creates a count that grows at once and shrinks only after the smaller number has lasted for
 * `holdMs`. The shares of daemons that are gone may still be promised for that long.
 */
export function createShareCount(): ShareCount {
  let present = 0;
  let smallerSinceMs: number | undefined;
  let largestSince = 0;

  function update(count: number, holdMs: number, nowMs: number): number {
    if (count >= present) {
      present = count;
      smallerSinceMs = undefined;
      return present;
    }
    if (smallerSinceMs === undefined) {
      smallerSinceMs = nowMs;
      largestSince = count;
    }
    largestSince = Math.max(largestSince, count);
    if (nowMs - smallerSinceMs >= holdMs) {
      present = largestSince;
      smallerSinceMs = undefined;
    }
    return present;
  }

  return {
    update,
    reset: (count) => {
      present = count;
      smallerSinceMs = undefined;
    },
  };
}
