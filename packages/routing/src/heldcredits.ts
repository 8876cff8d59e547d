import type { CreditDemand, CreditSlots } from '@bergamotreach/protocol';

/** Slot credits that a router holds from grantors. */
export interface HeldCredits {
  /**
   * Sequence number for the next request to a grantor, or `undefined` while an earlier one may
   * still be answered. Gives up the slots held at endpoints that the request does not list, and
   * all slots held from the grantor after `answerTimeoutMs` without a grant.
   */
  startRequest(
    grantor: string,
    demands: readonly CreditDemand[],
    answerTimeoutMs: number,
    nowMs: number,
  ): number | undefined;
  /**
   * Applies the grant that answers the outstanding request; ignores any other one and returns
   * false. Validity is counted from the time at which the request was sent.
   */
  applyGrant(
    grantor: string,
    sequence: number,
    grants: readonly CreditSlots[],
    ttlMs: number,
  ): boolean;
  /** Gives up all slots held from a grantor and ignores its grants still in transit. */
  removeGrantor(grantor: string): void;
  /** Slots that may be used at `nowMs`. */
  countSlots(endpoint: string, nowMs: number): number;
  /** Grantor of the slots held at an endpoint. */
  getGrantor(endpoint: string): string | undefined;
}

interface HeldSlots {
  grantor: string;
  slots: number;
  expiresAtMs: number;
}

interface OutstandingRequest {
  sequence: number;
  sentAtMs: number;
  wanted: Map<string, number>;
}

/**
 * Creates an empty record. `firstSequence` must exceed the numbers used by earlier processes with
 * the same id.
 */
export function createHeldCredits(firstSequence: number): HeldCredits {
  const held = new Map<string, HeldSlots>();
  const outstanding = new Map<string, OutstandingRequest>();
  const lastSequences = new Map<string, number>();

  function removeHeld(grantor: string, kept: ReadonlyMap<string, number>): void {
    for (const [endpoint, entry] of held) {
      if (entry.grantor === grantor && !kept.has(endpoint)) held.delete(endpoint);
    }
  }

  function startRequest(
    grantor: string,
    demands: readonly CreditDemand[],
    answerTimeoutMs: number,
    nowMs: number,
  ): number | undefined {
    const previous = outstanding.get(grantor);
    if (previous !== undefined) {
      if (nowMs - previous.sentAtMs < answerTimeoutMs) return undefined;
      removeHeld(grantor, new Map());
    }
    const wanted = new Map(demands.map((demand) => [demand.endpoint, demand.wanted]));
    removeHeld(grantor, wanted);
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
      removeHeld(grantor, new Map());
      outstanding.delete(grantor);
    },
    countSlots: (endpoint, nowMs) => {
      const entry = held.get(endpoint);
      return entry !== undefined && nowMs < entry.expiresAtMs ? entry.slots : 0;
    },
    getGrantor: (endpoint) => held.get(endpoint)?.grantor,
  };
}
