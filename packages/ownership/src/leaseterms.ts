/** Duration of a lease and the interval of its renewals, in milliseconds. */
export interface LeaseTerms {
  leaseMs: number;
  renewMs: number;
}

/** Limits of the terms. */
export interface LeaseTermsOptions {
  /** Terms while little is known, or while renewals are slow. */
  longest: LeaseTerms;
  /** Duration while renewals are quick; the renewals follow in proportion. */
  shortestMs: number;
  /** Time by which a holder gives up before others take over. */
  marginMs: number;
}

/**
 * Chooses the terms of a lease from the time that its latest renewals took. A short lease shortens
 * the time without an owner after a failure. While the store or the process is slow it would expire
 * although its holder is well, so it is then as long as allowed.
 */
export interface LeasePace {
  /** Notes the time from the moment at which a renewal was due to its answer. */
  note(tookMs: number): void;
  /** Forgets the renewals, so that the next lease is a long one. */
  reset(): void;
  getTerms(): LeaseTerms;
}

/** Renewals that are looked back on: about 6 s at the shortest interval. */
const keptRounds = 20;
/** Renewals after which the lease may be shortened. */
const minRounds = 4;
/** Renewals as slow as the slowest one that a lease must outlast: the store may turn twice as slow. */
const spareRounds = 4;
/** Extra time for a pause of the process or a lost connection. */
const slackMs = 300;

/** Creates a pace that begins with the longest terms. */
export function createLeasePace(options: LeaseTermsOptions): LeasePace {
  const { longest, shortestMs, marginMs } = options;
  let rounds: number[] = [];

  function chooseLeaseMs(): number {
    if (rounds.length < minRounds) return longest.leaseMs;
    const slowestMs = Math.max(...rounds);
    const renewMs = (shortestMs * longest.renewMs) / longest.leaseMs;
    const neededMs = renewMs + spareRounds * slowestMs + slackMs + marginMs;
    return Math.min(longest.leaseMs, Math.max(shortestMs, Math.ceil(neededMs)));
  }

  return {
    note(tookMs) {
      rounds = [...rounds, tookMs].slice(-keptRounds);
    },
    reset() {
      rounds = [];
    },
    getTerms() {
      const leaseMs = chooseLeaseMs();
      return { leaseMs, renewMs: Math.round((leaseMs * longest.renewMs) / longest.leaseMs) };
    },
  };
}
