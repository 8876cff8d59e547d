/** Delegations of this daemon's share of each endpoint to a grantor, and their expiry. */
export interface Delegations {
  /**
   * Grantor of the endpoint at `nowMs`. Changes to `preferred` only after the delegation to the
   * previous grantor has expired.
   */
  chooseGrantor(endpoint: string, preferred: string, nowMs: number): string;
  /**
   * Delegates the share to `grantor` until `untilMs`; false when another grantor holds it, or when
   * this would answer a request that the grantor has declared void.
   */
  addDelegation(
    endpoint: string,
    grantor: string,
    sequence: number,
    untilMs: number,
    nowMs: number,
  ): boolean;
  /** The grantor returns the share and declares its requests up to `sequence` void. */
  endDelegation(endpoint: string, grantor: string, sequence: number, nowMs: number): void;
  getDump(nowMs: number): Record<string, { grantor: string; leftMs: number }>;
}

interface Delegation {
  grantor: string;
  /** Nobody but the grantor may use the share before this time. */
  untilMs: number;
  /** Highest request sequence that the grantor declared void. */
  voidSequence: number;
  /** Highest request sequence that a delegation answered. */
  sequence: number;
}

/** Creates the delegations of a daemon, initially none. */
export function createDelegations(): Delegations {
  const delegations = new Map<string, Delegation>();

  function chooseGrantor(endpoint: string, preferred: string, nowMs: number): string {
    const current = delegations.get(endpoint);
    if (current !== undefined && (current.grantor === preferred || nowMs < current.untilMs)) {
      return current.grantor;
    }
    const none = { untilMs: -Infinity, voidSequence: -Infinity, sequence: -Infinity };
    delegations.set(endpoint, { grantor: preferred, ...none });
    return preferred;
  }

  function addDelegation(
    endpoint: string,
    grantor: string,
    sequence: number,
    untilMs: number,
    nowMs: number,
  ): boolean {
    if (chooseGrantor(endpoint, grantor, nowMs) !== grantor) return false;
    const current = delegations.get(endpoint);
    if (current === undefined || sequence <= current.voidSequence) return false;
    current.untilMs = Math.max(current.untilMs, untilMs);
    current.sequence = Math.max(current.sequence, sequence);
    return true;
  }

  function endDelegation(endpoint: string, grantor: string, sequence: number, nowMs: number): void {
    const current = delegations.get(endpoint);
    if (current?.grantor !== grantor) return;
    current.voidSequence = Math.max(current.voidSequence, sequence);
    if (current.sequence <= current.voidSequence)
      current.untilMs = Math.min(current.untilMs, nowMs);
  }

  return {
    chooseGrantor,
    addDelegation,
    endDelegation,
    getDump: (nowMs) =>
      Object.fromEntries(
        [...delegations].map(([endpoint, { grantor, untilMs }]) => [
          endpoint,
          { grantor, leftMs: Math.max(0, untilMs - nowMs) },
        ]),
      ),
  };
}
