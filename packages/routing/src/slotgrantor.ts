import { MessageType } from '@bergamotreach/protocol';
import type {
  Clock,
  CreditDemand,
  CreditRequestMessage,
  CreditReturnMessage,
  CreditSlots,
} from '@bergamotreach/protocol';
import type { Membership } from '@bergamotreach/membership';
import { createDelegations } from './delegation.ts';
import type { Endpoint } from './endpoint.ts';
import type { EndpointSet } from './endpointset.ts';
import { createGrantTable } from './granttable.ts';
import type { GrantLimits } from './granttable.ts';
import type { OwnShare } from './ownshare.ts';
import { createShareRequests } from './sharerequests.ts';

/** Delegates this daemon's shares, and grants slots on the shares that it holds. */
export interface SlotGrantor {
  /** Takes up this daemon's share if it is `preferred`; otherwise returns all held shares. */
  updateShares(endpoint: Endpoint, preferred: string | undefined, nowMs: number): void;
  /** Whether this daemon has a share and has not delegated it, so it may collect the others. */
  canCollectShares(endpoint: Endpoint, nowMs: number): boolean;
  /** Ends the delegations to a dead grantor whose grants are accounted for. */
  endDelegations(grantor: string, nowMs: number): void;
  /**
   * Validity of grants for these demands, in milliseconds. Grants of scarce slots last half as
   * long, which also tells their holders to request no more than they need.
   */
  computeGrantMs(holder: string, demands: readonly CreditDemand[], nowMs: number): number;
  /** Removes the grants of a dead daemon. */
  removeHolder(holder: string): void;
  /** Grants slots to a holder; `undefined` when a later request was seen. */
  grantSlots(
    holder: string,
    sequence: number,
    demands: readonly CreditDemand[],
    nowMs: number,
  ): CreditSlots[] | undefined;
  /** Records that a request asked `peer` for its shares. */
  addShareRequest(peer: string, sequence: number, shares: readonly string[], nowMs: number): void;
  /** Records the shares that answer a request, delegated for `ttlMs` from its sending. */
  addShares(peer: string, sequence: number, shares: readonly CreditSlots[], ttlMs: number): void;
  getDump(nowMs: number): Record<string, unknown>;
}

/** Options of the slot grantor. */
export interface SlotGrantorOptions {
  clock: Clock;
  membership: Membership;
  selfId: string;
  endpoints: EndpointSet;
  ownShare: OwnShare;
  getLimits: () => GrantLimits;
  getDelegationMs: () => number;
  getPreferredGrantor: (endpoint: Endpoint) => string | undefined;
  /** Called with the demands of every member's request before it is answered. */
  handleDemands: (from: string, demands: readonly CreditDemand[]) => void;
}

/** Creates the slot grantor of a daemon and registers its message handlers. */
export function createSlotGrantor(options: SlotGrantorOptions): SlotGrantor {
  const { clock, membership, selfId, endpoints, ownShare, getLimits } = options;
  const grantTable = createGrantTable(getLimits);
  const delegations = createDelegations();
  const shareRequests = createShareRequests();
  const lastSequences = new Map<string, number>();
  let ownSequence = 0;

  function getSlots(endpoint: string): number {
    return endpoints.getEndpoint(endpoint)?.instance.capacity.slots ?? 0;
  }

  function updateOwnShare(endpoint: Endpoint, nowMs: number): void {
    const { id } = endpoint.instance;
    const share = ownShare.computeShare(endpoint, nowMs);
    const isOwn = delegations.chooseGrantor(id, selfId, nowMs) === selfId;
    if (isOwn && share > 0) grantTable.setShare(id, selfId, share, Infinity);
    else grantTable.removeShare(id, selfId);
  }

  /** Returns all shares once no holder can be using slots granted on them. */
  function releaseShares(id: string, nowMs: number): void {
    const delegators = grantTable.listDelegators(id);
    for (const delegator of delegators) grantTable.setShare(id, delegator, 0, -Infinity);
    if (delegators.length === 0 || grantTable.countHeld(id, nowMs) > 0) return;
    for (const delegator of delegators) {
      grantTable.removeShare(id, delegator);
      shareRequests.removeEndpoint(delegator, id);
      if (delegator === selfId) delegations.endDelegation(id, selfId, ownSequence, nowMs);
      else sendReturn(delegator, id);
    }
  }

  function sendReturn(delegator: string, endpoint: string): void {
    const sequence = lastSequences.get(delegator);
    if (sequence === undefined) return;
    const returns = [{ endpoint, slots: 0 }];
    membership.send(delegator, { type: MessageType.CreditReturn, sequence, returns });
  }

  function grantSlots(
    holder: string,
    sequence: number,
    demands: readonly CreditDemand[],
    nowMs: number,
  ): CreditSlots[] | undefined {
    const grants = grantTable.handleRequest(holder, sequence, demands, getSlots, nowMs);
    const { creditMs, maxRequestMs } = getLimits();
    for (const { endpoint, slots } of grants ?? []) {
      if (slots === 0 || !grantTable.listDelegators(endpoint).includes(selfId)) continue;
      ownSequence += 1;
      const untilMs = nowMs + creditMs + maxRequestMs;
      delegations.addDelegation(endpoint, selfId, ownSequence, untilMs, nowMs);
    }
    return grants;
  }

  function addShareDelegation(
    from: string,
    sequence: number,
    id: string,
    nowMs: number,
  ): CreditSlots | undefined {
    const endpoint = endpoints.getEndpoint(id);
    if (endpoint === undefined || options.getPreferredGrantor(endpoint) !== from) return undefined;
    const slots = ownShare.computeShare(endpoint, nowMs);
    if (slots === 0 || grantTable.listDelegators(id).includes(selfId)) return undefined;
    const untilMs = nowMs + options.getDelegationMs();
    const isDelegated = delegations.addDelegation(id, from, sequence, untilMs, nowMs);
    return isDelegated ? { endpoint: id, slots } : undefined;
  }

  function computeGrantMs(holder: string, demands: readonly CreditDemand[], nowMs: number): number {
    const { creditMs } = getLimits();
    const isScarce = demands.some(
      ({ endpoint, wanted }) =>
        wanted > 0 && grantTable.isScarceFor(holder, endpoint, getSlots(endpoint), nowMs),
    );
    return isScarce ? creditMs / 2 : creditMs;
  }

  function handleRequest(from: string, message: CreditRequestMessage): void {
    const nowMs = clock.getNowMs();
    const { sequence, demands } = message;
    options.handleDemands(from, demands);
    const grants = grantSlots(from, sequence, demands, nowMs);
    if (grants === undefined) return;
    const type = MessageType.CreditGrant as const;
    membership.send(from, { type, sequence, grants, ttlMs: computeGrantMs(from, demands, nowMs) });
    // A demand for 0 slots requests this daemon's own share.
    const shares = demands
      .filter((demand) => demand.wanted === 0)
      .map((demand) => addShareDelegation(from, sequence, demand.endpoint, nowMs))
      .filter((share) => share !== undefined);
    if (shares.length === 0) return;
    membership.send(from, { type, sequence, grants: shares, ttlMs: options.getDelegationMs() });
  }

  function handleReturn(from: string, message: CreditReturnMessage): void {
    const nowMs = clock.getNowMs();
    for (const { endpoint } of message.returns) {
      delegations.endDelegation(endpoint, from, message.sequence, nowMs);
    }
  }

  membership.addHandler(MessageType.CreditRequest, handleRequest);
  membership.addHandler(MessageType.CreditReturn, handleReturn);

  return {
    updateShares: (endpoint, preferred, nowMs) => {
      if (preferred === selfId) updateOwnShare(endpoint, nowMs);
      else releaseShares(endpoint.instance.id, nowMs);
    },
    canCollectShares: (endpoint, nowMs) => {
      const { id } = endpoint.instance;
      const isOwn = delegations.chooseGrantor(id, selfId, nowMs) === selfId;
      return isOwn && ownShare.computeShare(endpoint, nowMs) > 0;
    },
    endDelegations: (grantor, nowMs) => {
      for (const endpoint of endpoints.listEndpoints()) {
        delegations.endDelegation(endpoint.instance.id, grantor, Infinity, nowMs);
      }
    },
    computeGrantMs,
    removeHolder: (holder) => {
      grantTable.removeHolder(holder);
    },
    grantSlots,
    addShareRequest: (peer, sequence, shares, nowMs) => {
      lastSequences.set(peer, sequence);
      shareRequests.addRequest(peer, sequence, shares, nowMs);
    },
    addShares: (peer, sequence, shares, ttlMs) => {
      for (const { endpoint, slots } of shares) {
        const sentAtMs = shareRequests.getSentAt(peer, sequence, endpoint);
        if (sentAtMs !== undefined) grantTable.setShare(endpoint, peer, slots, sentAtMs + ttlMs);
      }
    },
    getDump: (nowMs) => ({
      granted: grantTable.getDump(nowMs),
      delegated: delegations.getDump(nowMs),
    }),
  };
}
