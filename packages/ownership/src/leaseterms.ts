/** Duration of a lease and the interval of its renewals, in milliseconds. */
export interface LeaseTerms {
  leaseMs: number;
  renewMs: number;
}

/** Bounds of the lease terms. */
export interface LeaseTermsOptions {
  /** Terms until enough renewals are recorded; the renewal interval follows the duration. */
  initial: LeaseTerms;
  /** Longest duration, while renewals are slow. */
  longestMs: number;
  /** Lease duration while renewals are fast; the renewal interval shrinks in proportion. */
  shortestMs: number;
  /** Safety margin: the holder stops acting this long before its lease ends. */
  marginMs: number;
}

/**
 * Adapts the terms of a lease to the latency of its recent renewals. A short lease shortens the
 * failover time after a crash. While the store or the process is slow, a short lease would expire
 * under a healthy holder, so the lease grows up to its longest duration.
 */
export interface LeaseTuner {
  /** Records the time from the moment at which a renewal was due to its reply. */
  recordRenewal(latencyMs: number): void;
  /** Discards the recorded renewals, so that the next lease has the initial terms. */
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

/** Creates a tuner that starts with the initial terms. */
export function createLeaseTuner(options: LeaseTermsOptions): LeaseTuner {
  const { initial, longestMs, shortestMs, marginMs } = options;
  const renewShare = initial.renewMs / initial.leaseMs;
  let latenciesMs: number[] = [];

  function chooseLeaseMs(): number {
    const minMs = latenciesMs.length < minSamples ? initial.leaseMs : shortestMs;
    const slowestMs = Math.max(0, ...latenciesMs);
    const renewMs = shortestMs * renewShare;
    const neededMs = renewMs + latencyFactor * slowestMs + pauseAllowanceMs + marginMs;
    return Math.min(longestMs, Math.max(minMs, Math.ceil(neededMs)));
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
      return { leaseMs, renewMs: Math.round(leaseMs * renewShare) };
    },
  };
}
