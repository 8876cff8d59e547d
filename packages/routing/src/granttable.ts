import type { CreditDemand, CreditSlots } from '@bergamotreach/protocol';
import { rankMembers } from '@bergamotreach/protocol';

/** Durations that bound how long a grant may be in use. */
export interface GrantLimits {
  /** Validity of a grant at its holder. */
  creditMs: number;
  /** Maximum duration of a request that was dispatched on a grant. */
  maxRequestMs: number;
}

/** Slots that this daemon may grant, and the holders that may be using them. */
export interface GrantTable {
  /** Records a delegator's share of an endpoint, delegated until `endsAtMs`. */
  setShare(endpoint: string, delegator: string, share: number, endsAtMs: number): void;
  removeShare(endpoint: string, delegator: string): void;
  /** Daemons whose shares of an endpoint this daemon may grant slots on. */
  listDelegators(endpoint: string): string[];
  /** Slots that may be granted: all shares that outlive a grant made now, at most `slots`. */
  computeCapacity(endpoint: string, slots: number, nowMs: number): number;
  /**
   * Grants slots for a holder's request; `undefined` when a later one was seen. The holder has at
   * most one request outstanding: it sends the next one after the grant arrived or after it gave
   * up all slots held from this grantor, so earlier grants need not be counted after its next
   * request.
   */
  handleRequest(
    holder: string,
    sequence: number,
    demands: readonly CreditDemand[],
    getSlots: (endpoint: string) => number,
    nowMs: number,
  ): CreditSlots[] | undefined;
  /** Whether the other holders want more slots of the endpoint than `holder` leaves unused. */
  isScarceFor(holder: string, endpoint: string, slots: number, nowMs: number): boolean;
  /** Removes a holder whose process is dead; its exchanges ended with the process. */
  removeHolder(holder: string): void;
  /** Slots that holders may be using, including unresponsive and paused holders. */
  countHeld(endpoint: string, nowMs: number): number;
  getDump(nowMs: number): Record<string, { shares: number; held: Record<string, number> }>;
}

interface Share {
  share: number;
  endsAtMs: number;
}

interface SlotUse {
  slots: number;
  untilMs: number;
}

interface Holding {
  wanted: number;
  seenMs: number;
  /** Requests in flight as last reported by the holder. */
  reported: SlotUse;
  /** Grant that answered the last request. */
  granted: SlotUse & { sequence: number };
  /** Grant that answered the request before that; the holder may still use it. */
  previous: SlotUse;
}

interface HolderState {
  sequence: number;
  /** Time after which the holder cannot be using any grant. */
  untilMs: number;
}

const noUse: Readonly<SlotUse> = { slots: 0, untilMs: -Infinity };

function countHoldingSlots(holding: Holding | undefined, nowMs: number): number {
  if (holding === undefined) return 0;
  let slots = 0;
  for (const use of [holding.reported, holding.granted, holding.previous]) {
    if (nowMs < use.untilMs) slots = Math.max(slots, use.slots);
  }
  return slots;
}

/** Divides whole slots max-min fairly: the smallest allocations are as large as possible. */
export function computeMaxMinSlots(
  capacity: number,
  demands: readonly { id: string; wanted: number }[],
): Map<string, number> {
  const slots = new Map<string, number>();
  let remaining = capacity;
  let unsatisfied = demands.filter((demand) => demand.wanted > 0);
  while (remaining > 0 && unsatisfied.length > 0) {
    for (const demand of unsatisfied.slice(0, remaining)) {
      slots.set(demand.id, (slots.get(demand.id) ?? 0) + 1);
      remaining -= 1;
    }
    unsatisfied = unsatisfied.filter((demand) => (slots.get(demand.id) ?? 0) < demand.wanted);
  }
  return slots;
}

/** Creates the empty grant table of a grantor. */
export function createGrantTable(getLimits: () => GrantLimits): GrantTable {
  const shares = new Map<string, Map<string, Share>>();
  const holdings = new Map<string, Map<string, Holding>>();
  const holders = new Map<string, HolderState>();

  function getMaxUseMs(): number {
    const { creditMs, maxRequestMs } = getLimits();
    return creditMs + maxRequestMs;
  }

  function computeCapacity(endpoint: string, slots: number, nowMs: number): number {
    const neededMs = nowMs + getMaxUseMs();
    let total = 0;
    for (const { share, endsAtMs } of shares.get(endpoint)?.values() ?? []) {
      if (endsAtMs >= neededMs) total += share;
    }
    // Shares are fractions; the tolerance lets three thirds count as 1.
    return Math.floor(Math.min(slots, total) + 1e-6);
  }

  function countHeldBy(endpoint: string, nowMs: number, skipped?: string): number {
    let total = 0;
    for (const [holder, holding] of holdings.get(endpoint) ?? []) {
      if (holder !== skipped) total += countHoldingSlots(holding, nowMs);
    }
    return total;
  }

  function listDemands(endpoint: string, nowMs: number): { id: string; wanted: number }[] {
    const byHolder = holdings.get(endpoint) ?? new Map<string, Holding>();
    const active = [...byHolder.keys()].filter((id) => {
      const holding = byHolder.get(id);
      return holding !== undefined && nowMs - holding.seenMs < getLimits().creditMs;
    });
    return rankMembers(endpoint, active).map((id) => ({
      id,
      wanted: byHolder.get(id)?.wanted ?? 0,
    }));
  }

  function isScarceFor(holder: string, endpoint: string, slots: number, nowMs: number): boolean {
    const others = listDemands(endpoint, nowMs).filter((demand) => demand.id !== holder);
    const wanted = others.reduce((sum, demand) => sum + demand.wanted, 0);
    const used = holdings.get(endpoint)?.get(holder)?.reported.slots ?? 0;
    return wanted + used > computeCapacity(endpoint, slots, nowMs);
  }

  function recordDemand(holder: string, demand: CreditDemand, sequence: number, nowMs: number) {
    let byHolder = holdings.get(demand.endpoint);
    if (byHolder === undefined)
      holdings.set(demand.endpoint, (byHolder = new Map<string, Holding>()));
    const previous = byHolder.get(holder);
    // Only the grant that answered the holder's last request can still be held.
    const isPreviousHeld = previous?.granted.sequence === sequence - 1;
    const holding: Holding = {
      wanted: demand.wanted,
      seenMs: nowMs,
      reported: { slots: demand.inUse, untilMs: nowMs + demand.longestDeadlineMs },
      granted: { ...noUse, sequence },
      previous: isPreviousHeld
        ? { ...previous.granted, slots: Math.min(previous.granted.slots, demand.wanted) }
        : noUse,
    };
    byHolder.set(holder, holding);
    return holding;
  }

  function grantDemand(
    holder: string,
    holding: Holding,
    demand: CreditDemand,
    slots: number,
    nowMs: number,
  ): number {
    const capacity = computeCapacity(demand.endpoint, slots, nowMs);
    const free = capacity - countHeldBy(demand.endpoint, nowMs, holder);
    const fairSlots = computeMaxMinSlots(capacity, listDemands(demand.endpoint, nowMs));
    const fair = fairSlots.get(holder) ?? 0;
    const granted = Math.max(0, Math.min(demand.wanted, free, fair));
    if (granted > 0) {
      const untilMs = nowMs + getMaxUseMs();
      holding.granted = { sequence: holding.granted.sequence, slots: granted, untilMs };
    }
    return granted;
  }

  function removeUnlisted(holder: string, listed: ReadonlySet<string>): void {
    for (const [endpoint, byHolder] of holdings) {
      if (!listed.has(endpoint)) byHolder.delete(holder);
      if (byHolder.size === 0) holdings.delete(endpoint);
    }
  }

  function handleRequest(
    holder: string,
    sequence: number,
    demands: readonly CreditDemand[],
    getSlots: (endpoint: string) => number,
    nowMs: number,
  ): CreditSlots[] | undefined {
    const state = holders.get(holder);
    // Once all grants must have ended, a lower number comes from a restarted holder.
    if (state !== undefined && sequence <= state.sequence && nowMs < state.untilMs) {
      return undefined;
    }
    holders.set(holder, { sequence, untilMs: nowMs + getMaxUseMs() });
    removeUnlisted(holder, new Set(demands.map((demand) => demand.endpoint)));
    return demands.map((demand) => {
      const holding = recordDemand(holder, demand, sequence, nowMs);
      const slots = grantDemand(holder, holding, demand, getSlots(demand.endpoint), nowMs);
      return { endpoint: demand.endpoint, slots };
    });
  }

  function getDump(
    nowMs: number,
  ): Record<string, { shares: number; held: Record<string, number> }> {
    const dump: Record<string, { shares: number; held: Record<string, number> }> = {};
    for (const endpoint of new Set([...shares.keys(), ...holdings.keys()])) {
      const held = [...(holdings.get(endpoint) ?? [])].map(
        ([holder, holding]) => [holder, countHoldingSlots(holding, nowMs)] as const,
      );
      dump[endpoint] = {
        shares: computeCapacity(endpoint, Infinity, nowMs),
        held: Object.fromEntries(held),
      };
    }
    return dump;
  }

  return {
    setShare: (endpoint, delegator, share, endsAtMs) => {
      let byDelegator = shares.get(endpoint);
      if (byDelegator === undefined) shares.set(endpoint, (byDelegator = new Map<string, Share>()));
      byDelegator.set(delegator, { share, endsAtMs });
    },
    removeShare: (endpoint, delegator) => {
      const byDelegator = shares.get(endpoint);
      byDelegator?.delete(delegator);
      if (byDelegator?.size === 0) shares.delete(endpoint);
    },
    listDelegators: (endpoint) => [...(shares.get(endpoint)?.keys() ?? [])],
    computeCapacity,
    isScarceFor,
    handleRequest,
    removeHolder: (holder) => {
      removeUnlisted(holder, new Set());
      holders.delete(holder);
    },
    countHeld: (endpoint, nowMs) => countHeldBy(endpoint, nowMs),
    getDump,
  };
}
