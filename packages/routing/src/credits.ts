import { MessageType, runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, CreditDemand, CreditGrantMessage } from '@bergamotreach/protocol';
import type { Membership } from '@bergamotreach/membership';
import { computeLongestMs, countRunning, endedGrantor } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import type { EndpointSet } from './endpointset.ts';
import { createGranting } from './granting.ts';
import { createGrantorChoice, listSharers } from './grantor.ts';
import { createHandover } from './handover.ts';
import { createOwnShare } from './ownshare.ts';
import { createPeerDemands } from './peerdemands.ts';
import type { PeerDemands } from './peerdemands.ts';
import { createCreditWallet } from './wallet.ts';

/** Slots that this router may use now. */
export interface SlotCredits {
  /** Slots of an endpoint whose credit is valid at `nowMs`. */
  countSlots(endpoint: Endpoint, nowMs: number): number;
  /** Daemon that granted the slots held at an endpoint. */
  getGrantor(endpoint: string): string;
  /** Whether a daemon that can grant slots of the endpoint is reachable. */
  hasGrantor(endpoint: Endpoint): boolean;
  /** Part of the endpoint's slots that an even division would give to this daemon. */
  computeEvenSlots(endpoint: Endpoint): number;
  /** Whether others lately wanted more of the endpoint's slots than this daemon left unused. */
  isScarce(endpoint: Endpoint, nowMs: number): boolean;
  /** Asks the grantors for slots now. */
  requestSlots(): void;
  /** Asks the grantors for slots soon instead of at the next period. */
  requestSoon(): void;
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
  /** Slots wanted at an endpoint in total. */
  computeWanted: (endpoint: Endpoint, nowMs: number) => number;
  /** Called when slots may have become available. */
  handleCredit: () => void;
  /** Above every request number of an earlier process with the same id. */
  firstSequence: number;
}

const periodMs = 250;
const soonMs = 20;
/** While slots are scarce, unused ones go back sooner. */
const scarcePeriodMs = 100;

/** Creates the credit task: asks grantors for slots, and grants on delegated shares. */
export function createSlotCredits(options: SlotCreditsOptions): SlotCredits {
  const { clock, membership, selfId, endpoints, getLimits } = options;
  const wallet = createCreditWallet(options.firstSequence);
  const handover = createHandover();
  const getPreferred = createGrantorChoice(membership);
  const ownShare = createOwnShare({
    ...options,
    membership,
    getMinDaemons: () => getLimits().minDaemons,
    getPromiseMs,
  });
  const granting = createGranting({
    ...options,
    membership,
    ownShare,
    getPromiseMs,
    getPreferred,
    handleDemands: (from, demands) => {
      handover.applyReports(from, demands);
    },
  });
  /** Endpoints for which each member last heard of slots wanted or in use. */
  let reported = new Map<string, Set<string>>();
  let lastRequestMs = -Infinity;
  /** By grantor. */
  const scarceUntilMs = new Map<string, number>();
  let cancelSoon: CancelTimer | undefined;

  /** A promise must outlive the grants made on it, and leave time to renew it. */
  function getPromiseMs(): number {
    const { creditMs, maxRequestMs } = getLimits();
    return maxRequestMs + 3 * creditMs;
  }

  function createDemand(
    endpoint: Endpoint,
    grantor: string,
    wanted: number,
    nowMs: number,
  ): CreditDemand {
    const ownMs = computeLongestMs(endpoint, grantor, nowMs);
    const endedMs = computeLongestMs(endpoint, endedGrantor, nowMs);
    return {
      endpoint: endpoint.instance.id,
      wanted,
      // Requests on grants of a daemon that has ended count at every grantor.
      inUse: countRunning(endpoint, grantor) + countRunning(endpoint, endedGrantor),
      longestDeadlineMs: Math.max(ownMs, endedMs),
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
      const asked = createDemand(endpoint, preferred, 0, nowMs);
      const wanted = Math.max(asked.inUse, options.computeWanted(endpoint, nowMs));
      const demand = { ...asked, wanted };
      const isKnown = reported.get(preferred)?.has(id) === true;
      if (wanted > 0 || isKnown) demands.addSlots(preferred, demand);
    }
    // An earlier grantor learns when the requests dispatched on its grants have ended.
    for (const [peer, ids] of reported) {
      if (peer === preferred || !ids.has(id) || handover.isEnded(peer)) continue;
      demands.addSlots(peer, createDemand(endpoint, peer, 0, nowMs));
    }
  }

  /** Tells all members about the requests dispatched on grants of daemons that have ended. */
  function addReports(demands: PeerDemands, nowMs: number): void {
    const reports = handover.createReports(nowMs);
    if (reports.length === 0) return;
    const affected = endpoints
      .listEndpoints()
      .filter((endpoint) => countRunning(endpoint, endedGrantor) > 0);
    for (const { id, isTwoWay } of membership.getView().members) {
      if (id === selfId || !isTwoWay) continue;
      for (const report of reports) demands.addSlots(id, report);
      for (const endpoint of affected) {
        if (getPreferred(endpoint) === id) continue;
        demands.addSlots(id, createDemand(endpoint, id, 0, nowMs));
      }
    }
  }

  function applyView(): void {
    const nowMs = clock.getNowMs();
    for (const ended of handover.applyView(membership.getView(), nowMs)) {
      wallet.removeGrantor(ended);
      granting.removeHolder(ended);
      for (const endpoint of endpoints.listEndpoints()) {
        for (const exchange of endpoint.running) {
          if (exchange.grantor === ended) exchange.grantor = endedGrantor;
        }
      }
    }
    const settled = handover.listSettled(membership.getView());
    ownShare.applySettled(settled);
    for (const ended of settled) granting.endPromises(ended, nowMs);
  }

  function addShareDemands(demands: PeerDemands, endpoint: Endpoint): void {
    for (const member of listSharers(membership.getView().members, endpoint.instance)) {
      if (member.id === selfId || !member.isTwoWay) continue;
      demands.addShare(member.id, endpoint.instance.id);
    }
  }

  function noteScarcity(grantor: string, ttlMs: number): void {
    const { creditMs } = getLimits();
    if (ttlMs < creditMs) scarceUntilMs.set(grantor, clock.getNowMs() + creditMs);
  }

  function isScarce(endpoint: Endpoint, nowMs: number): boolean {
    return nowMs < (scarceUntilMs.get(getPreferred(endpoint) ?? '') ?? -Infinity);
  }

  function sendRequest(
    peer: string,
    demands: CreditDemand[],
    shares: readonly string[],
    nowMs: number,
  ): boolean {
    const sequence = wallet.startRequest(peer, demands, getLimits().creditMs / 2, nowMs);
    if (sequence === undefined) return false;
    if (peer === selfId) {
      const grants = granting.grantSlots(selfId, sequence, demands, nowMs) ?? [];
      const ttlMs = granting.computeGrantMs(selfId, demands, nowMs);
      noteScarcity(selfId, ttlMs);
      wallet.applyGrant(selfId, sequence, grants, ttlMs);
      return true;
    }
    granting.addShareRequest(peer, sequence, shares, nowMs);
    membership.send(peer, { type: MessageType.CreditRequest, sequence, demands });
    return true;
  }

  function createDemands(nowMs: number): PeerDemands {
    const demands = createPeerDemands();
    for (const endpoint of endpoints.listEndpoints()) {
      const preferred = getPreferred(endpoint);
      // Keeps the count of daemons up to date.
      ownShare.computeShare(endpoint, nowMs);
      granting.updateShares(endpoint, preferred, nowMs);
      addSlotDemands(demands, endpoint, preferred, nowMs);
      const canCollect = preferred === selfId && granting.canCollect(endpoint, nowMs);
      if (canCollect) addShareDemands(demands, endpoint);
    }
    addReports(demands, nowMs);
    return demands;
  }

  function requestSlots(): void {
    const nowMs = clock.getNowMs();
    cancelSoon?.();
    cancelSoon = undefined;
    lastRequestMs = nowMs;
    applyView();
    const demands = createDemands(nowMs);
    const next = new Map<string, Set<string>>();
    for (const peer of new Set([...demands.listPeers(), ...reported.keys()])) {
      if (handover.isEnded(peer)) continue;
      const { slots, all, shares } = demands.getDemands(peer);
      const isSent = sendRequest(peer, all, shares, nowMs);
      const ids = isSent ? slots : new Set([...slots, ...(reported.get(peer) ?? [])]);
      if (ids.size > 0) next.set(peer, ids);
    }
    reported = next;
    options.handleCredit();
    const isAnyScarce = [...scarceUntilMs.values()].some((untilMs) => nowMs < untilMs);
    if (isAnyScarce) cancelSoon ??= clock.setTimer(scarcePeriodMs, requestSlots);
  }

  function requestSoon(): void {
    if (cancelSoon !== undefined) return;
    const delayMs = Math.max(0, lastRequestMs + soonMs - clock.getNowMs());
    cancelSoon = clock.setTimer(delayMs, requestSlots);
  }

  function handleGrant(from: string, message: CreditGrantMessage): void {
    const { creditMs } = getLimits();
    const { sequence, grants, ttlMs } = message;
    // Promised shares last longer than a request runs, grants of slots much shorter.
    if (ttlMs > 2 * creditMs) granting.addShares(from, sequence, grants, ttlMs);
    else if (wallet.applyGrant(from, sequence, grants, Math.min(ttlMs, creditMs))) {
      noteScarcity(from, ttlMs);
      options.handleCredit();
    }
  }

  membership.addHandler(MessageType.CreditGrant, handleGrant);
  membership.addViewListener(applyView);
  const stop = runEvery(clock, periodMs, requestSlots);

  return {
    countSlots: (endpoint, nowMs) => wallet.countSlots(endpoint.instance.id, nowMs),
    getGrantor: (endpoint) => wallet.getGrantor(endpoint) ?? selfId,
    hasGrantor: (endpoint) => getPreferred(endpoint) !== undefined,
    computeEvenSlots: ({ instance }) => {
      const sharers = listSharers(membership.getView().members, instance);
      return instance.capacity.slots / Math.max(1, sharers.length);
    },
    isScarce,
    requestSlots,
    requestSoon,
    getDump: () => granting.getDump(clock.getNowMs()),
    close: () => {
      stop();
      cancelSoon?.();
    },
  };
}
