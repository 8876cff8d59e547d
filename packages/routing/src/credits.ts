import { MessageType, runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, CreditDemand, CreditGrantMessage } from '@bergamotreach/protocol';
import type { Membership } from '@bergamotreach/membership';
import { computeLongestRemainingMs, countRunning, deadGrantor } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import type { EndpointSet } from './endpointset.ts';
import { createSlotGrantor } from './slotgrantor.ts';
import { createGrantorChoice, listSharers } from './grantorchoice.ts';
import { createGrantRecovery } from './grantrecovery.ts';
import { createOwnShare } from './ownshare.ts';
import { createPeerDemands } from './peerdemands.ts';
import type { PeerDemands } from './peerdemands.ts';
import { createHeldCredits } from './heldcredits.ts';

/** Slot credits that this router holds. */
export interface SlotCredits {
  /** Slots of an endpoint that this router may use at `nowMs`. */
  countSlots(endpoint: Endpoint, nowMs: number): number;
  /** Daemon that granted the slots held at an endpoint. */
  getGrantor(endpoint: string): string;
  /** Whether a daemon that can grant slots of the endpoint is reachable. */
  hasGrantor(endpoint: Endpoint): boolean;
  /** Slots of the endpoint that each daemon would get from an even division. */
  computeEvenShare(endpoint: Endpoint): number;
  /** Whether others recently wanted more of the endpoint's slots than this daemon left unused. */
  isScarce(endpoint: Endpoint, nowMs: number): boolean;
  /** Requests slots from the grantors now. */
  requestSlots(): void;
  /** Schedules an early slot request instead of waiting for the next period. */
  scheduleRequest(): void;
  getDump(): Record<string, unknown>;
  close(): void;
}

/** Options of the slot credits. */
export interface SlotCreditsOptions {
  clock: Clock;
  membership: Membership;
  selfId: string;
  dataCentre: string;
  endpoints: EndpointSet;
  getLimits: () => { creditMs: number; maxRequestMs: number; minDaemons: number };
  /** Total slots wanted at an endpoint. */
  computeWanted: (endpoint: Endpoint, nowMs: number) => number;
  /** Called when slots may have become available. */
  handleCredit: () => void;
  /** Must exceed every sequence number used by earlier processes with the same id. */
  firstSequence: number;
}

const requestPeriodMs = 250;
const minRequestGapMs = 20;
/** Request period while slots are scarce, so that unused ones are returned sooner. */
const scarcePeriodMs = 100;

/** Starts the credit task: requests slots from grantors, and grants slots on delegated shares. */
export function createSlotCredits(options: SlotCreditsOptions): SlotCredits {
  const { clock, membership, selfId, endpoints, getLimits } = options;
  const heldCredits = createHeldCredits(options.firstSequence);
  const grantRecovery = createGrantRecovery();
  const getPreferredGrantor = createGrantorChoice(membership);
  const ownShare = createOwnShare({
    ...options,
    membership,
    getMinDaemons: () => getLimits().minDaemons,
    getDelegationMs,
  });
  const slotGrantor = createSlotGrantor({
    ...options,
    membership,
    ownShare,
    getDelegationMs,
    getPreferredGrantor,
    handleDemands: (from, demands) => {
      grantRecovery.applyReports(from, demands);
    },
  });
  /** Endpoints that the last request to each member listed with slots wanted or in use. */
  let reportedEndpoints = new Map<string, Set<string>>();
  let lastRequestMs = -Infinity;
  /** Time until which the slots of a grantor count as scarce, by grantor. */
  const scarceUntilMs = new Map<string, number>();
  let cancelEarlyRequest: CancelTimer | undefined;

  /** A delegation must outlive the grants made on it and leave time to renew it. */
  function getDelegationMs(): number {
    const { creditMs, maxRequestMs } = getLimits();
    return maxRequestMs + 3 * creditMs;
  }

  function createDemand(
    endpoint: Endpoint,
    grantor: string,
    wanted: number,
    nowMs: number,
  ): CreditDemand {
    const grantorMs = computeLongestRemainingMs(endpoint, grantor, nowMs);
    const deadGrantorMs = computeLongestRemainingMs(endpoint, deadGrantor, nowMs);
    return {
      endpoint: endpoint.instance.id,
      wanted,
      // Requests dispatched on grants of a dead daemon are reported to every grantor.
      inUse: countRunning(endpoint, grantor) + countRunning(endpoint, deadGrantor),
      longestDeadlineMs: Math.max(grantorMs, deadGrantorMs),
    };
  }

  function addSlotDemands(
    demands: PeerDemands,
    endpoint: Endpoint,
    preferred: string | undefined,
    nowMs: number,
  ): void {
    const { id } = endpoint.instance;
    if (preferred !== undefined) {
      const inUseDemand = createDemand(endpoint, preferred, 0, nowMs);
      const wanted = Math.max(inUseDemand.inUse, options.computeWanted(endpoint, nowMs));
      const demand = { ...inUseDemand, wanted };
      const isKnown = reportedEndpoints.get(preferred)?.has(id) === true;
      if (wanted > 0 || isKnown) demands.addSlots(preferred, demand);
    }
    // Previous grantors get reports until the requests dispatched on their grants have ended.
    for (const [peer, ids] of reportedEndpoints) {
      if (peer === preferred || !ids.has(id) || grantRecovery.isDead(peer)) continue;
      demands.addSlots(peer, createDemand(endpoint, peer, 0, nowMs));
    }
  }

  /** Reports the requests that were dispatched on grants of dead daemons to all members. */
  function addRecoveryReports(demands: PeerDemands, nowMs: number): void {
    const reports = grantRecovery.createReports(nowMs);
    if (reports.length === 0) return;
    const affected = endpoints
      .listEndpoints()
      .filter((endpoint) => countRunning(endpoint, deadGrantor) > 0);
    for (const { id, isTwoWay } of membership.getView().members) {
      if (id === selfId || !isTwoWay) continue;
      for (const report of reports) demands.addSlots(id, report);
      for (const endpoint of affected) {
        if (getPreferredGrantor(endpoint) === id) continue;
        demands.addSlots(id, createDemand(endpoint, id, 0, nowMs));
      }
    }
  }

  function applyView(): void {
    const nowMs = clock.getNowMs();
    for (const dead of grantRecovery.applyView(membership.getView(), nowMs)) {
      heldCredits.removeGrantor(dead);
      slotGrantor.removeHolder(dead);
      for (const endpoint of endpoints.listEndpoints()) {
        for (const exchange of endpoint.running) {
          if (exchange.grantor === dead) exchange.grantor = deadGrantor;
        }
      }
    }
    const reconciled = grantRecovery.listReconciled(membership.getView());
    ownShare.applyReconciled(reconciled);
    for (const grantor of reconciled) slotGrantor.endDelegations(grantor, nowMs);
  }

  function addShareDemands(demands: PeerDemands, endpoint: Endpoint): void {
    for (const member of listSharers(membership.getView().members, endpoint.instance)) {
      if (member.id === selfId || !member.isTwoWay) continue;
      demands.addShare(member.id, endpoint.instance.id);
    }
  }

  function recordScarcity(grantor: string, ttlMs: number): void {
    const { creditMs } = getLimits();
    if (ttlMs < creditMs) scarceUntilMs.set(grantor, clock.getNowMs() + creditMs);
  }

  function isScarce(endpoint: Endpoint, nowMs: number): boolean {
    return nowMs < (scarceUntilMs.get(getPreferredGrantor(endpoint) ?? '') ?? -Infinity);
  }

  function sendRequest(
    peer: string,
    demands: CreditDemand[],
    shares: readonly string[],
    nowMs: number,
  ): boolean {
    const sequence = heldCredits.startRequest(peer, demands, getLimits().creditMs / 2, nowMs);
    if (sequence === undefined) return false;
    if (peer === selfId) {
      const grants = slotGrantor.grantSlots(selfId, sequence, demands, nowMs) ?? [];
      const ttlMs = slotGrantor.computeGrantMs(selfId, demands, nowMs);
      recordScarcity(selfId, ttlMs);
      heldCredits.applyGrant(selfId, sequence, grants, ttlMs);
      return true;
    }
    slotGrantor.addShareRequest(peer, sequence, shares, nowMs);
    membership.send(peer, { type: MessageType.CreditRequest, sequence, demands });
    return true;
  }

  function createDemands(nowMs: number): PeerDemands {
    const demands = createPeerDemands();
    for (const endpoint of endpoints.listEndpoints()) {
      const preferred = getPreferredGrantor(endpoint);
      // Updates the number of daemons that slots are divided by; the result is not needed here.
      ownShare.computeShare(endpoint, nowMs);
      slotGrantor.updateShares(endpoint, preferred, nowMs);
      addSlotDemands(demands, endpoint, preferred, nowMs);
      const canCollectShares =
        preferred === selfId && slotGrantor.canCollectShares(endpoint, nowMs);
      if (canCollectShares) addShareDemands(demands, endpoint);
    }
    addRecoveryReports(demands, nowMs);
    return demands;
  }

  function requestSlots(): void {
    const nowMs = clock.getNowMs();
    cancelEarlyRequest?.();
    cancelEarlyRequest = undefined;
    lastRequestMs = nowMs;
    applyView();
    const demands = createDemands(nowMs);
    const nextReported = new Map<string, Set<string>>();
    for (const peer of new Set([...demands.listPeers(), ...reportedEndpoints.keys()])) {
      if (grantRecovery.isDead(peer)) continue;
      const { slots, all, shares } = demands.getDemands(peer);
      const isSent = sendRequest(peer, all, shares, nowMs);
      const reportedIds = isSent
        ? slots
        : new Set([...slots, ...(reportedEndpoints.get(peer) ?? [])]);
      if (reportedIds.size > 0) nextReported.set(peer, reportedIds);
    }
    reportedEndpoints = nextReported;
    options.handleCredit();
    const isAnyScarce = [...scarceUntilMs.values()].some((untilMs) => nowMs < untilMs);
    if (isAnyScarce) cancelEarlyRequest ??= clock.setTimer(scarcePeriodMs, requestSlots);
  }

  function scheduleRequest(): void {
    if (cancelEarlyRequest !== undefined) return;
    const delayMs = Math.max(0, lastRequestMs + minRequestGapMs - clock.getNowMs());
    cancelEarlyRequest = clock.setTimer(delayMs, requestSlots);
  }

  function handleGrant(from: string, message: CreditGrantMessage): void {
    const { creditMs } = getLimits();
    const { sequence, grants, ttlMs } = message;
    // Delegated shares are valid for longer than any request runs, slot grants much shorter.
    if (ttlMs > 2 * creditMs) slotGrantor.addShares(from, sequence, grants, ttlMs);
    else if (heldCredits.applyGrant(from, sequence, grants, Math.min(ttlMs, creditMs))) {
      recordScarcity(from, ttlMs);
      options.handleCredit();
    }
  }

  membership.addHandler(MessageType.CreditGrant, handleGrant);
  membership.addViewListener(applyView);
  const stop = runEvery(clock, requestPeriodMs, requestSlots);

  return {
    countSlots: (endpoint, nowMs) => heldCredits.countSlots(endpoint.instance.id, nowMs),
    getGrantor: (endpoint) => heldCredits.getGrantor(endpoint) ?? selfId,
    hasGrantor: (endpoint) => getPreferredGrantor(endpoint) !== undefined,
    computeEvenShare: ({ instance }) => {
      const sharers = listSharers(membership.getView().members, instance);
      return instance.capacity.slots / Math.max(1, sharers.length);
    },
    isScarce,
    requestSlots,
    scheduleRequest: scheduleRequest,
    getDump: () => slotGrantor.getDump(clock.getNowMs()),
    close: () => {
      stop();
      cancelEarlyRequest?.();
    },
  };
}
