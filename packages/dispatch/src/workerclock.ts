/** Estimates a worker's clock and tells when its lease has certainly expired. */
export interface WorkerClock {
  /** Records a clock reading from an answer. */
  recordReading(clockMs: number, receivedMs: number): void;
  /** Records that a lease until `leaseUntilMs` on the worker's clock may have been granted. */
  recordLease(leaseUntilMs: number): void;
  /**
   * Estimate that the worker's clock exceeds at most by its drift; `undefined` before the first
   * reading.
   */
  estimate(nowMs: number): number | undefined;
  /** Whether the lease has expired even on the slowest possible worker clock. */
  hasLeaseExpired(nowMs: number): boolean;
}

// The platform documents that a worker's clock may be 2 % slow.
const slowestRate = 0.98;
const lapseMarginMs = 100;

/**
 * Creates the clock estimate for one incarnation of a worker; each incarnation restarts its clock.
 */
export function createWorkerClock(): WorkerClock {
  let clockMs: number | undefined;
  let readAtMs = 0;
  let leaseUntilMs = -Infinity;

  return {
    recordReading(reading, receivedMs) {
      if (clockMs !== undefined && reading < clockMs) return;
      clockMs = reading;
      // The reading was taken before the answer arrived, so expiry is detected late, never early.
      readAtMs = receivedMs;
    },
    recordLease(untilMs) {
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    },
    estimate: (nowMs) => (clockMs === undefined ? undefined : clockMs + (nowMs - readAtMs)),
    hasLeaseExpired(nowMs) {
      if (clockMs === undefined) return false;
      const slowest = clockMs + (nowMs - readAtMs) * slowestRate;
      return slowest > leaseUntilMs + lapseMarginMs;
    },
  };
}
