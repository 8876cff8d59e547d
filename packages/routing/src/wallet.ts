import type { CreditDemand, CreditSlots } from '@bergamotreach/protocol';

/** Slots that a router holds from grantors. */
export interface CreditWallet {
  /**
   * Number for the next request to a grantor, or `undefined` while an earlier one may still be
   * answered. Slots held at endpoints that the request does not list are given up; after
   * `answerMs` without a grant, all slots held from the grantor are.
   */
  startRequest(
    grantor: string,
    demands: readonly CreditDemand[],
    answerMs: number,
    nowMs: number,
  ): number | undefined;
  /**
   * Takes the grant that answers the outstanding request; any other one is dropped. Validity is
   * counted from the moment the request was sent.
   */
  applyGrant(
    grantor: string,
    sequence: number,
    grants: readonly CreditSlots[],
    ttlMs: number,
  ): boolean;
  /** Gives up everything held from a grantor; grants on their way are dropped. */
  removeGrantor(grantor: string): void;
  /** Slots that may be in use at `nowMs`. */
  countSlots(endpoint: string, nowMs: number): number;
  /** Grantor of the slots held at an endpoint. */
  getGrantor(endpoint: string): string | undefined;
}

interface Held {
  grantor: string;
  slots: number;
  expiresAtMs: number;
}

interface Outstanding {
  sequence: number;
  sentAtMs: number;
  wanted: Map<string, number>;
}

/**
 * Creates an empty wallet. `firstSequence` must be above the numbers used by an earlier process
 * with the same id.
 */
export function createCreditWallet(firstSequence: number): CreditWallet {
  const held = new Map<string, Held>();
  const outstanding = new Map<string, Outstanding>();
  const lastSequences = new Map<string, number>();

  function dropHeld(grantor: string, kept: ReadonlyMap<string, number>): void {
    for (const [endpoint, entry] of held) {
      if (entry.grantor === grantor && !kept.has(endpoint)) held.delete(endpoint);
    }
  }

  function startRequest(
    grantor: string,
    demands: readonly CreditDemand[],
    answerMs: number,
    nowMs: number,
  ): number | undefined {
    const before = outstanding.get(grantor);
    if (before !== undefined) {
      if (nowMs - before.sentAtMs < answerMs) return undefined;
      dropHeld(grantor, new Map());
    }
    const wanted = new Map(demands.map((demand) => [demand.endpoint, demand.wanted]));
    dropHeld(grantor, wanted);
    for (const [endpoint, slots] of wanted) {
      const entry = held.get(endpoint);
      if (entry?.grantor === grantor) entry.slots = Math.min(entry.slots, slots);
    }
    const sequence = (lastSequences.get(grantor) ?? firstSequence) + 1;
    lastSequences.set(grantor, sequence);
    outstanding.set(grantor, { sequence, sentAtMs: nowMs, wanted });
    return sequence;
  }

  function applyGrant(
    grantor: string,
    answered: number,
    grants: readonly CreditSlots[],
    ttlMs: number,
  ): boolean {
    const request = outstanding.get(grantor);
    if (request?.sequence !== answered) return false;
    outstanding.delete(grantor);
    const expiresAtMs = request.sentAtMs + ttlMs;
    const granted = new Map(grants.map((grant) => [grant.endpoint, grant.slots]));
    for (const [endpoint, wanted] of request.wanted) {
      const slots = Math.min(wanted, granted.get(endpoint) ?? 0);
      const entry = held.get(endpoint);
      if (slots > 0) held.set(endpoint, { grantor, slots, expiresAtMs });
      else if (entry?.grantor === grantor) held.delete(endpoint);
    }
    return true;
  }

  return {
    startRequest,
    applyGrant,
    removeGrantor: (grantor) => {
      dropHeld(grantor, new Map());
      outstanding.delete(grantor);
    },
    countSlots: (endpoint, nowMs) => {
      const entry = held.get(endpoint);
      return entry !== undefined && nowMs < entry.expiresAtMs ? entry.slots : 0;
    },
    getGrantor: (endpoint) => held.get(endpoint)?.grantor,
  };
}
