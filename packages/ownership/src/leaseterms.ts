/** Duration of a lease and the interval of its renewals, in milliseconds. */
export interface LeaseTerms {
  leaseMs: number;
  renewMs: number;
}

/** Bounds of the lease terms. */
export interface LeaseTermsOptions {
  /** Terms until enough renewals are recorded, and while renewals are slow. */
  longest: LeaseTerms;
  /** Lease duration while renewals are fast; the renewal interval shrinks in proportion. */
  shortestMs: number;
  /** Safety margin: the holder stops acting this long before its lease ends. */
  marginMs: number;
}

/**
 * Adapts the terms of a lease to the latency of its recent renewals. A short lease shortens the
 * failover time after a crash. While the store or the process is slow, a short lease would expire
 * under a healthy holder, so the lease grows up to the longest terms.
 */
export interface LeaseTuner {
  /** Records the time from the moment at which a renewal was due to its reply. */
  recordRenewal(latencyMs: number): void;
  /** Discards the recorded renewals, so that the next lease has the longest terms. */
  reset(): void;
  getTerms(): LeaseTerms;
}

/** Number of latest renewals considered: about 6 s at the shortest interval. */
const maxSamples = 20;
/** Number of recorded renewals after which the lease may be shortened. */
const minSamples = 4;
/** A lease outlasts four renewals as slow as the slowest: the store may become twice as slow. */
const latencyFactor = 4;
/** Allowance for a pause of the process or a lost connection. */
const pauseAllowanceMs = 300;

/** Creates a tuner that starts with the longest terms. */
export function createLeaseTuner(options: LeaseTermsOptions): LeaseTuner {
  const { longest, shortestMs, marginMs } = options;
  let latenciesMs: number[] = [];

  function chooseLeaseMs(): number {
    if (latenciesMs.length < minSamples) return longest.leaseMs;
    const slowestMs = Math.max(...latenciesMs);
    const renewMs = (shortestMs * longest.renewMs) / longest.leaseMs;
    const neededMs = renewMs + latencyFactor * slowestMs + pauseAllowanceMs + marginMs;
    return Math.min(longest.leaseMs, Math.max(shortestMs, Math.ceil(neededMs)));
  }

  return {
    recordRenewal(latencyMs) {
      latenciesMs = [...latenciesMs, latencyMs].slice(-maxSamples);
    },
    reset() {
      latenciesMs = [];
    },
    getTerms() {
      const leaseMs = chooseLeaseMs();
      return { leaseMs, renewMs: Math.round((leaseMs * longest.renewMs) / longest.leaseMs) };
    },
  };
}
