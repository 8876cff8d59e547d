import type { Fault } from '@bergamotreach/protocol';
import { checkAdmission, computeRetryAfterMs, computeWaitMs } from './admission.ts';
import { startAttempt } from './attempt.ts';
import { defaultAccount, defaultService } from './config.ts';
import type { RouterContext } from './context.ts';
import { isStalled } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import { ExchangeEnd } from './exchange.ts';
import { createFairQueue } from './fairqueue.ts';
import type { AccountLoad } from './fairqueue.ts';
import { createQueueTimeoutFault, createNoEndpointFault } from './faults.ts';
import { countSlots, createSelection } from './selection.ts';
import type { Candidate, Target } from './selection.ts';
import { createAttemptCompletion } from './completion.ts';
import type { RequestHandlers } from './completion.ts';
import type { PendingRequest } from './pendingrequest.ts';
import { computeWantedSlots, splitWantedSlots } from './wantedslots.ts';

/** State of a service for operators. */
export interface ServiceDump {
  waiting: number;
  serviceMs: number;
  accounts: Record<string, AccountLoad>;
}

/** Request queue and dispatcher of one service. */
export interface Dispatcher {
  addRequest(pending: PendingRequest): void;
  /** Removes a queued request; false when it is not queued. */
  removeRequest(pending: PendingRequest): boolean;
  /** Dispatches queued requests to free slots; refuses all of them when no endpoint is usable. */
  startWaiting(): void;
  /** Stops requests at stalled endpoints and retries them elsewhere, within the retry budget. */
  stopStalled(nowMs: number): void;
  /** Total slots wanted at an endpoint of the service. */
  computeWanted(endpoint: Endpoint, nowMs: number): number;
  getDump(): ServiceDump;
}

const serviceMsGain = 0.05;
const meanRunningGain = 0.05;
/** With less than this many mean service times left, a request likely misses its deadline. */
const queueTimeoutFactor = 1.25;

/** Creates the dispatcher of a service. */
export function createDispatcher(
  context: RouterContext,
  service: string,
  handlers: RequestHandlers,
): Dispatcher {
  const queue = createFairQueue<PendingRequest>(
    (account) => context.getConfig().accounts[account] ?? defaultAccount,
  );
  let serviceMs = (context.getConfig().services[service] ?? defaultService).expectedServiceMs;
  const selection = createSelection(context, service);
  const running = new Map<PendingRequest, Endpoint>();
  const wantedByRegion = new Map<string, Map<string, number>>();
  let plannedAtMs = -Infinity;
  let meanRunning = 0;
  const completion = createAttemptCompletion({
    context,
    service,
    handlers,
    getServiceMs: () => serviceMs,
    hasUsable: (nowMs) => selection.listUsable(nowMs).length > 0,
    refuse,
    requeueRequest: (pending) => {
      queueRequest(pending, context.clock.getNowMs(), true);
    },
  });

  function refuse(pending: PendingRequest, fault: Fault): void {
    pending.cancelTimer();
    if (pending.entry !== undefined) queue.removeEntry(pending.entry);
    delete pending.entry;
    handlers.handleRefusal(pending, fault);
  }

  function setQueueTimer(pending: PendingRequest, nowMs: number): void {
    pending.cancelTimer();
    const latestStartMs = pending.deadlineMs - queueTimeoutFactor * serviceMs;
    pending.cancelTimer = context.clock.setTimer(Math.max(0, latestStartMs - nowMs), () => {
      refuse(pending, createQueueTimeoutFault(serviceMs));
    });
  }

  function addRequest(pending: PendingRequest): void {
    const nowMs = context.clock.getNowMs();
    const candidates = selection.listCandidates(nowMs);
    if (candidates.length === 0) {
      refuse(pending, createNoEndpointFault(service));
      return;
    }
    const { account } = pending.request;
    const refused = checkAdmission({
      remainingMs: pending.deadlineMs - nowMs,
      waiting: queue.countWaiting(account),
      share: queue.computeShare(account),
      slots: Math.max(countSlots(candidates), computeEvenShare(candidates)),
      serviceMs,
    });
    if (refused !== undefined) refuse(pending, refused);
    else queueRequest(pending, nowMs, false);
  }

  function queueRequest(pending: PendingRequest, nowMs: number, isRequeued: boolean): void {
    const { account } = pending.request;
    const added = queue.addEntry(account, pending.deadlineMs, pending, isRequeued);
    if (added.isErr()) {
      const retryAfterMs = computeRetryAfterMs(serviceMs);
      refuse(pending, { ...added.error, retryAfterMs });
      return;
    }
    pending.entry = added.value;
    setQueueTimer(pending, nowMs);
    startWaiting();
  }

  function computeEvenShare(candidates: readonly Candidate[]): number {
    const local = candidates.filter((candidate) => candidate.region === context.region);
    return local.reduce(
      (sum, candidate) => sum + context.credits.computeEvenShare(candidate.endpoint),
      0,
    );
  }

  /** Expected time until all currently queued requests have been started in this region. */
  function computeLocalWaitMs(candidates: readonly Candidate[]): number {
    const slots = countSlots(candidates, context.region);
    return computeWaitMs({ waiting: queue.countAll(), share: 1, slots, serviceMs });
  }

  function startNext(nowMs: number): boolean {
    const candidates = selection.listCandidates(nowMs);
    const entry = queue.getNext(countSlots(candidates));
    if (entry === undefined) return false;
    const target = selection.takeTarget(entry.item, candidates, computeLocalWaitMs(candidates));
    if (target === undefined) {
      context.credits.scheduleRequest();
      return false;
    }
    queue.takeEntry(entry);
    startRequest(entry.item, target);
    return true;
  }

  function startWaiting(): void {
    const nowMs = context.clock.getNowMs();
    while (queue.countAll() > 0 && startNext(nowMs));
    if (queue.countAll() === 0 || selection.listUsable(nowMs).length > 0) return;
    for (const entry of queue.listEntries()) refuse(entry.item, createNoEndpointFault(service));
  }

  /** Slots wanted at the endpoints of a region, by endpoint id. */
  function planWanted(region: string, candidates: readonly Candidate[]): Map<string, number> {
    const listed = candidates.filter((candidate) => candidate.region === region);
    const endpoints = listed.map(({ id, endpoint }) => {
      const { slots } = endpoint.instance.capacity;
      return { id, slots, running: endpoint.running.size };
    });
    const used = endpoints.reduce((sum, endpoint) => sum + endpoint.running, 0);
    const waiting = queue.countAll();
    const isScarce = listed.some((candidate) =>
      context.credits.isScarce(candidate.endpoint, plannedAtMs),
    );
    if (region === context.region) {
      const load = { meanRunning, running: used, waiting, isScarce };
      return splitWantedSlots(computeWantedSlots(load), endpoints, context.selfId);
    }
    // Slots of other regions are requested only while requests would be routed there and slots are
    // not scarce there; two busy regions would otherwise swap their requests.
    const linkMs = 2 * selection.getLink(region).latencyMs;
    const isWorthwhile = !isScarce && computeLocalWaitMs(candidates) > linkMs;
    const total = isWorthwhile ? used + waiting : used;
    return splitWantedSlots(total, endpoints, context.selfId);
  }

  function computeWanted(endpoint: Endpoint, nowMs: number): number {
    // Called for every endpoint in a round with the same time; each region is planned once.
    if (plannedAtMs !== nowMs) {
      wantedByRegion.clear();
      plannedAtMs = nowMs;
      meanRunning += meanRunningGain * (running.size - meanRunning);
    }
    const { id, region } = endpoint.instance;
    let wantedByEndpoint = wantedByRegion.get(region);
    if (wantedByEndpoint === undefined) {
      wantedByEndpoint = planWanted(region, selection.listCandidates(nowMs));
      wantedByRegion.set(region, wantedByEndpoint);
    }
    return wantedByEndpoint.get(id) ?? 0;
  }

  function startRequest(pending: PendingRequest, { endpoint, connection }: Target): void {
    pending.cancelTimer();
    delete pending.entry;
    const startMs = context.clock.getNowMs();
    const exchange = startAttempt(context, pending, endpoint, connection);
    pending.exchange = exchange;
    running.set(pending, endpoint);
    meanRunning += meanRunningGain * (running.size - meanRunning);
    context.inFlight.add();
    // A non-idempotent request continues after the caller's deadline, to learn its outcome.
    pending.cancelTimer = context.clock.setTimer(pending.deadlineMs - startMs, () => {
      if (!pending.request.isIdempotent) completion.reportLoss(pending, 'deadline');
    });
    void exchange.result.then((result) => {
      pending.cancelTimer();
      delete pending.exchange;
      running.delete(pending);
      queue.releaseSlot(pending.request.account);
      if (result.end === ExchangeEnd.Answered) {
        serviceMs += serviceMsGain * (context.clock.getNowMs() - startMs - serviceMs);
      }
      completion.completeAttempt(pending, endpoint, result);
      context.inFlight.remove();
      startWaiting();
    });
  }

  /** Stops idempotent requests at stalled endpoints if a retry is allowed. */
  function stopStalled(nowMs: number): void {
    const { stallMs } = context.getConfig().limits;
    for (const [pending, endpoint] of running) {
      if (!pending.request.isIdempotent || !isStalled(endpoint, nowMs, stallMs)) continue;
      if (completion.reserveRetry(pending)) pending.exchange?.stop('stalled');
    }
  }

  return {
    addRequest,
    removeRequest: (pending) => {
      if (pending.entry === undefined) return false;
      pending.cancelTimer();
      queue.removeEntry(pending.entry);
      delete pending.entry;
      return true;
    },
    startWaiting,
    stopStalled,
    computeWanted,
    getDump: () => ({ waiting: queue.countAll(), serviceMs, accounts: queue.getDump() }),
  };
}
