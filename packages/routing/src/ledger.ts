import type { CreditDemand, CreditSlots } from '@bergamotreach/protocol';
import { rankMembers } from '@bergamotreach/protocol';

/** Times that the ledger depends on. */
export interface LedgerLimits {
  /** Validity of a grant at its holder. */
  creditMs: number;
  /** Longest run of a request that was dispatched on a grant. */
  maxRequestMs: number;
}

/** Slots of endpoints that this daemon grants, and who may be using them. */
export interface CreditLedger {
  /** Records a delegator's share of an endpoint, promised until `endsAtMs`. */
  setShare(endpoint: string, delegator: string, share: number, endsAtMs: number): void;
  removeShare(endpoint: string, delegator: string): void;
  /** Delegators of an endpoint. */
  listDelegators(endpoint: string): string[];
  /** Slots that may be granted: the shares that outlive a grant made now, at most `slots`. */
  computeCapacity(endpoint: string, slots: number, nowMs: number): number;
  /**
   * Answers a holder's request; `undefined` when a later one was seen. The holder has at most one
   * request outstanding: it sends the next one after the grant arrived or after it gave up all
   * slots held from this grantor, so earlier grants need not be counted after its next request.
   */
  handleRequest(
    holder: string,
    sequence: number,
    demands: readonly CreditDemand[],
    getSlots: (endpoint: string) => number,
    nowMs: number,
  ): CreditSlots[] | undefined;
  /** Whether the other holders want more slots of the endpoint than this one leaves unused. */
  isScarceFor(holder: string, endpoint: string, slots: number, nowMs: number): boolean;
  /** Forgets a holder whose process has ended, and its exchanges with it. */
  removeHolder(holder: string): void;
  /** Slots that holders may be using, silent and paused holders included. */
  countHeld(endpoint: string, nowMs: number): number;
  getDump(nowMs: number): Record<string, { shares: number; held: Record<string, number> }>;
}

interface Share {
  share: number;
  endsAtMs: number;
}

interface Use {
  slots: number;
  untilMs: number;
}

interface Holding {
  wanted: number;
  seenMs: number;
  /** Requests in progress as last reported. */
  reported: Use;
  /** Grant that answered the last request. */
  granted: Use & { sequence: number };
  /** Grant that answered the request before; the holder may still use it. */
  earlier: Use;
}

interface HolderState {
  sequence: number;
  /** End of everything that the holder may use. */
  untilMs: number;
}

const nothing: Readonly<Use> = { slots: 0, untilMs: -Infinity };

function countHolding(holding: Holding | undefined, nowMs: number): number {
  if (holding === undefined) return 0;
  let slots = 0;
  for (const use of [holding.reported, holding.granted, holding.earlier]) {
    if (nowMs < use.untilMs) slots = Math.max(slots, use.slots);
  }
  return slots;
}

/** Divides whole slots so that the smallest parts are as large as possible. */
export function computeFairParts(
  capacity: number,
  wants: readonly { id: string; wanted: number }[],
): Map<string, number> {
  const parts = new Map<string, number>();
  let left = capacity;
  let open = wants.filter((want) => want.wanted > 0);
  while (left > 0 && open.length > 0) {
    for (const want of open.slice(0, left)) {
      parts.set(want.id, (parts.get(want.id) ?? 0) + 1);
      left -= 1;
    }
    open = open.filter((want) => (parts.get(want.id) ?? 0) < want.wanted);
  }
  return parts;
}

/** Creates the ledger of a grantor. */
export function createCreditLedger(getLimits: () => LedgerLimits): CreditLedger {
  const shares = new Map<string, Map<string, Share>>();
  const holdings = new Map<string, Map<string, Holding>>();
  const holders = new Map<string, HolderState>();

  function getUseMs(): number {
    const { creditMs, maxRequestMs } = getLimits();
    return creditMs + maxRequestMs;
  }

  function computeCapacity(endpoint: string, slots: number, nowMs: number): number {
    const neededMs = nowMs + getUseMs();
    let total = 0;
    for (const { share, endsAtMs } of shares.get(endpoint)?.values() ?? []) {
      if (endsAtMs >= neededMs) total += share;
    }
    // Shares are fractions: three thirds must count as a whole.
    return Math.floor(Math.min(slots, total) + 1e-6);
  }

  function countHeldBy(endpoint: string, nowMs: number, skipped?: string): number {
    let total = 0;
    for (const [holder, holding] of holdings.get(endpoint) ?? []) {
      if (holder !== skipped) total += countHolding(holding, nowMs);
    }
    return total;
  }

  function listWants(endpoint: string, nowMs: number): { id: string; wanted: number }[] {
    const known = holdings.get(endpoint) ?? new Map<string, Holding>();
    const active = [...known.keys()].filter((id) => {
      const holding = known.get(id);
      return holding !== undefined && nowMs - holding.seenMs < getLimits().creditMs;
    });
    return rankMembers(endpoint, active).map((id) => ({
      id,
      wanted: known.get(id)?.wanted ?? 0,
    }));
  }

  function isScarceFor(holder: string, endpoint: string, slots: number, nowMs: number): boolean {
    const others = listWants(endpoint, nowMs).filter((want) => want.id !== holder);
    const wanted = others.reduce((sum, want) => sum + want.wanted, 0);
    const used = holdings.get(endpoint)?.get(holder)?.reported.slots ?? 0;
    return wanted + used > computeCapacity(endpoint, slots, nowMs);
  }

  function applyReport(holder: string, demand: CreditDemand, sequence: number, nowMs: number) {
    let known = holdings.get(demand.endpoint);
    if (known === undefined) holdings.set(demand.endpoint, (known = new Map<string, Holding>()));
    const before = known.get(holder);
    // Only the grant to the holder's last request can still be in its hands.
    const isKept = before?.granted.sequence === sequence - 1;
    const holding: Holding = {
      wanted: demand.wanted,
      seenMs: nowMs,
      reported: { slots: demand.inUse, untilMs: nowMs + demand.longestDeadlineMs },
      granted: { ...nothing, sequence },
      earlier: isKept
        ? { ...before.granted, slots: Math.min(before.granted.slots, demand.wanted) }
        : nothing,
    };
    known.set(holder, holding);
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
    const parts = computeFairParts(capacity, listWants(demand.endpoint, nowMs));
    const fair = parts.get(holder) ?? 0;
    const granted = Math.max(0, Math.min(demand.wanted, free, fair));
    if (granted > 0) {
      const untilMs = nowMs + getUseMs();
      holding.granted = { sequence: holding.granted.sequence, slots: granted, untilMs };
    }
    return granted;
  }

  function dropUnlisted(holder: string, listed: ReadonlySet<string>): void {
    for (const [endpoint, known] of holdings) {
      if (!listed.has(endpoint)) known.delete(holder);
      if (known.size === 0) holdings.delete(endpoint);
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
    // After everything ended, a lower number is that of a restarted holder.
    if (state !== undefined && sequence <= state.sequence && nowMs < state.untilMs) {
      return undefined;
    }
    holders.set(holder, { sequence, untilMs: nowMs + getUseMs() });
    dropUnlisted(holder, new Set(demands.map((demand) => demand.endpoint)));
    return demands.map((demand) => {
      const holding = applyReport(holder, demand, sequence, nowMs);
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
        ([holder, holding]) => [holder, countHolding(holding, nowMs)] as const,
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
      let known = shares.get(endpoint);
      if (known === undefined) shares.set(endpoint, (known = new Map<string, Share>()));
      known.set(delegator, { share, endsAtMs });
    },
    removeShare: (endpoint, delegator) => {
      const known = shares.get(endpoint);
      known?.delete(delegator);
      if (known?.size === 0) shares.delete(endpoint);
    },
    listDelegators: (endpoint) => [...(shares.get(endpoint)?.keys() ?? [])],
    computeCapacity,
    isScarceFor,
    handleRequest,
    removeHolder: (holder) => {
      dropUnlisted(holder, new Set());
      holders.delete(holder);
    },
    countHeld: (endpoint, nowMs) => countHeldBy(endpoint, nowMs),
    getDump,
  };
}
