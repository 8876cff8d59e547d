/** Estimate of a worker's clock and of when its lease has certainly expired. */
export interface WorkerClock {
  /** Notes a reading that an answer carried. */
  note(clockMs: number, receivedMs: number): void;
  /** Notes that a lease until `leaseUntilMs` of the worker's clock may have been granted. */
  noteLease(leaseUntilMs: number): void;
  /** A time that the worker's clock has not passed by more than its drift; `undefined` at first. */
  estimate(nowMs: number): number | undefined;
  /** Whether the lease has expired on the worker's clock, however slow that runs. */
  hasLapsed(nowMs: number): boolean;
}

// From the platform's page: the clock of a worker may be 2 % slow.
const slowestRate = 0.98;
const lapseMarginMs = 100;

/** Creates the estimate for one life of a worker, whose clock starts anew with it. */
export function createWorkerClock(): WorkerClock {
  let clockMs: number | undefined;
  let readAtMs = 0;
  let leaseUntilMs = -Infinity;

  return {
    note(reading, receivedMs) {
      if (clockMs !== undefined && reading < clockMs) return;
      clockMs = reading;
      // The reading was taken before the answer came, so a lapse is seen late, never early.
      readAtMs = receivedMs;
    },
    noteLease(untilMs) {
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    },
    estimate: (nowMs) => (clockMs === undefined ? undefined : clockMs + (nowMs - readAtMs)),
    hasLapsed(nowMs) {
      if (clockMs === undefined) return false;
      const slowest = clockMs + (nowMs - readAtMs) * slowestRate;
      return slowest > leaseUntilMs + lapseMarginMs;
    },
  };
}
