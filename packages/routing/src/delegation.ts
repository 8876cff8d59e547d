/** Which grantor holds this daemon's share of each endpoint, and for how long. */
export interface Delegations {
  /**
   * Grantor of the endpoint at `nowMs`. Changes to `preferred` only after the promise to the old
   * grantor ran out.
   */
  chooseGrantor(endpoint: string, preferred: string, nowMs: number): string;
  /**
   * Promises the share to `grantor` until `untilMs`; false when another grantor holds it, or when
   * the promise answers a request that the grantor has declared void.
   */
  addPromise(
    endpoint: string,
    grantor: string,
    sequence: number,
    untilMs: number,
    nowMs: number,
  ): boolean;
  /** The grantor gives the share back and declares its requests up to `sequence` void. */
  endPromise(endpoint: string, grantor: string, sequence: number, nowMs: number): void;
  getDump(nowMs: number): Record<string, { grantor: string; leftMs: number }>;
}

interface Promised {
  grantor: string;
  /** The share must not be used otherwise before this time. */
  untilMs: number;
  /** Highest request number that the grantor declared void. */
  voidSequence: number;
  /** Request number that the last promise answered. */
  sequence: number;
}

/** Creates the delegations of a daemon, none at first. */
export function createDelegations(): Delegations {
  const promises = new Map<string, Promised>();

  function chooseGrantor(endpoint: string, preferred: string, nowMs: number): string {
    const present = promises.get(endpoint);
    if (present !== undefined && (present.grantor === preferred || nowMs < present.untilMs)) {
      return present.grantor;
    }
    const none = { untilMs: -Infinity, voidSequence: -Infinity, sequence: -Infinity };
    promises.set(endpoint, { grantor: preferred, ...none });
    return preferred;
  }

  function addPromise(
    endpoint: string,
    grantor: string,
    sequence: number,
    untilMs: number,
    nowMs: number,
  ): boolean {
    if (chooseGrantor(endpoint, grantor, nowMs) !== grantor) return false;
    const present = promises.get(endpoint);
    if (present === undefined || sequence <= present.voidSequence) return false;
    present.untilMs = Math.max(present.untilMs, untilMs);
    present.sequence = Math.max(present.sequence, sequence);
    return true;
  }

  function endPromise(endpoint: string, grantor: string, sequence: number, nowMs: number): void {
    const present = promises.get(endpoint);
    if (present?.grantor !== grantor) return;
    present.voidSequence = Math.max(present.voidSequence, sequence);
    if (present.sequence <= present.voidSequence)
      present.untilMs = Math.min(present.untilMs, nowMs);
  }

  return {
    chooseGrantor,
    addPromise,
    endPromise,
    getDump: (nowMs) =>
      Object.fromEntries(
        [...promises].map(([endpoint, { grantor, untilMs }]) => [
          endpoint,
          { grantor, leftMs: Math.max(0, untilMs - nowMs) },
        ]),
      ),
  };
}
