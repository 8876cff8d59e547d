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
import { createGiveUpFault, createNoEndpointFault } from './faults.ts';
import { countSlots, createSelection } from './selection.ts';
import type { Candidate, Target } from './selection.ts';
import { createSettlement } from './settlement.ts';
import type { TicketHandlers } from './settlement.ts';
import type { Ticket } from './ticket.ts';
import { computeTotalWanted, splitWanted } from './wanted.ts';

/** State of a service for operators. */
export interface ServiceDump {
  waiting: number;
  serviceMs: number;
  accounts: Record<string, AccountLoad>;
}

/** Queue and dispatch of one service. */
export interface Dispatcher {
  addTicket(ticket: Ticket): void;
  /** Drops a waiting request; false when it does not wait. */
  removeTicket(ticket: Ticket): boolean;
  /** Dispatches waiting requests to free slots, and refuses all when no endpoint is left. */
  startWaiting(): void;
  /** Moves requests away from stalled endpoints, within the retry budget. */
  stopStalled(nowMs: number): void;
  /** Slots wanted at an endpoint of the service in total. */
  computeWanted(endpoint: Endpoint, nowMs: number): number;
  getDump(): ServiceDump;
}

const serviceMsGain = 0.05;
const meanRunningGain = 0.05;
/** A request dispatched later than this many mean times before its deadline is likely late. */
const giveUpFactor = 1.25;

/** Creates the dispatcher of a service. */
export function createDispatcher(
  context: RouterContext,
  service: string,
  handlers: TicketHandlers,
): Dispatcher {
  const queue = createFairQueue<Ticket>(
    (account) => context.getConfig().accounts[account] ?? defaultAccount,
  );
  let serviceMs = (context.getConfig().services[service] ?? defaultService).expectedServiceMs;
  const selection = createSelection(context, service);
  const running = new Map<Ticket, Endpoint>();
  const plans = new Map<string, Map<string, number>>();
  let plannedAtMs = -Infinity;
  let meanRunning = 0;
  const settlement = createSettlement({
    context,
    service,
    handlers,
    getServiceMs: () => serviceMs,
    hasUsable: (nowMs) => selection.listUsable(nowMs).length > 0,
    refuse,
    returnTicket: (ticket) => {
      queueTicket(ticket, context.clock.getNowMs(), true);
    },
  });

  function refuse(ticket: Ticket, fault: Fault): void {
    ticket.cancelTimer();
    if (ticket.entry !== undefined) queue.removeEntry(ticket.entry);
    delete ticket.entry;
    handlers.handleRefusal(ticket, fault);
  }

  function setGiveUpTimer(ticket: Ticket, nowMs: number): void {
    ticket.cancelTimer();
    const giveUpMs = ticket.deadlineMs - giveUpFactor * serviceMs;
    ticket.cancelTimer = context.clock.setTimer(Math.max(0, giveUpMs - nowMs), () => {
      refuse(ticket, createGiveUpFault(serviceMs));
    });
  }

  function addTicket(ticket: Ticket): void {
    const nowMs = context.clock.getNowMs();
    const candidates = selection.listCandidates(nowMs);
    if (candidates.length === 0) {
      refuse(ticket, createNoEndpointFault(service));
      return;
    }
    const { account } = ticket.request;
    const refused = checkAdmission({
      leftMs: ticket.deadlineMs - nowMs,
      waiting: queue.countWaiting(account),
      share: queue.computeShare(account),
      slots: Math.max(countSlots(candidates), computeEvenSlots(candidates)),
      serviceMs,
    });
    if (refused !== undefined) refuse(ticket, refused);
    else queueTicket(ticket, nowMs, false);
  }

  function queueTicket(ticket: Ticket, nowMs: number, isFirst: boolean): void {
    const { account } = ticket.request;
    const added = queue.addEntry(account, ticket.deadlineMs, ticket, isFirst);
    if (added.isErr()) {
      const retryAfterMs = computeRetryAfterMs(serviceMs);
      refuse(ticket, { ...added.error, retryAfterMs });
      return;
    }
    ticket.entry = added.value;
    setGiveUpTimer(ticket, nowMs);
    startWaiting();
  }

  function computeEvenSlots(candidates: readonly Candidate[]): number {
    const own = candidates.filter((candidate) => candidate.region === context.region);
    return own.reduce((sum, one) => sum + context.credits.computeEvenSlots(one.endpoint), 0);
  }

  /** Time until the requests that wait now have all been started in this region. */
  function computeOwnWaitMs(candidates: readonly Candidate[]): number {
    const slots = countSlots(candidates, context.region);
    return computeWaitMs({ waiting: queue.countAll(), share: 1, slots, serviceMs });
  }

  function startNext(nowMs: number): boolean {
    const candidates = selection.listCandidates(nowMs);
    const entry = queue.getNext(countSlots(candidates));
    if (entry === undefined) return false;
    const target = selection.takeTarget(entry.item, candidates, computeOwnWaitMs(candidates));
    if (target === undefined) {
      context.credits.requestSoon();
      return false;
    }
    queue.takeEntry(entry);
    startTicket(entry.item, target);
    return true;
  }

  function startWaiting(): void {
    const nowMs = context.clock.getNowMs();
    while (queue.countAll() > 0 && startNext(nowMs));
    if (queue.countAll() === 0 || selection.listUsable(nowMs).length > 0) return;
    for (const entry of queue.listEntries()) refuse(entry.item, createNoEndpointFault(service));
  }

  /** Slots wanted at the endpoints of a region. */
  function planWanted(region: string, candidates: readonly Candidate[]): Map<string, number> {
    const listed = candidates.filter((candidate) => candidate.region === region);
    const endpoints = listed.map(({ id, endpoint }) => {
      const { slots } = endpoint.instance.capacity;
      return { id, slots, running: endpoint.running.size };
    });
    const used = endpoints.reduce((sum, endpoint) => sum + endpoint.running, 0);
    const waiting = queue.countAll();
    const isScarce = listed.some((one) => context.credits.isScarce(one.endpoint, plannedAtMs));
    if (region === context.region) {
      const load = { meanRunning, running: used, waiting, isScarce };
      return splitWanted(computeTotalWanted(load), endpoints, context.selfId);
    }
    // Slots of other regions are asked for only while requests would go there and nobody there
    // lacks them; two busy regions would otherwise exchange their requests.
    const linkMs = 2 * selection.getLink(region).latencyMs;
    const isWorthwhile = !isScarce && computeOwnWaitMs(candidates) > linkMs;
    const total = isWorthwhile ? used + waiting : used;
    return splitWanted(total, endpoints, context.selfId);
  }

  function computeWanted(endpoint: Endpoint, nowMs: number): number {
    // All endpoints are asked about in one round, which plans once per region.
    if (plannedAtMs !== nowMs) {
      plans.clear();
      plannedAtMs = nowMs;
      meanRunning += meanRunningGain * (running.size - meanRunning);
    }
    const { id, region } = endpoint.instance;
    let plan = plans.get(region);
    if (plan === undefined) {
      plan = planWanted(region, selection.listCandidates(nowMs));
      plans.set(region, plan);
    }
    return plan.get(id) ?? 0;
  }

  function startTicket(ticket: Ticket, { endpoint, connection }: Target): void {
    ticket.cancelTimer();
    delete ticket.entry;
    const startMs = context.clock.getNowMs();
    const exchange = startAttempt(context, ticket, endpoint, connection);
    ticket.exchange = exchange;
    running.set(ticket, endpoint);
    meanRunning += meanRunningGain * (running.size - meanRunning);
    context.work.addOne();
    // A request that must not run twice goes on after its caller's deadline, to learn the outcome.
    ticket.cancelTimer = context.clock.setTimer(ticket.deadlineMs - startMs, () => {
      if (!ticket.request.isIdempotent) settlement.reportLoss(ticket, 'deadline');
    });
    void exchange.result.then((result) => {
      ticket.cancelTimer();
      delete ticket.exchange;
      running.delete(ticket);
      queue.releaseSlot(ticket.request.account);
      if (result.end === ExchangeEnd.Answered) {
        serviceMs += serviceMsGain * (context.clock.getNowMs() - startMs - serviceMs);
      }
      settlement.settle(ticket, endpoint, result);
      context.work.removeOne();
      startWaiting();
    });
  }

  /** Stops requests at endpoints that answer nothing, as far as they may be retried elsewhere. */
  function stopStalled(nowMs: number): void {
    const { stallMs } = context.getConfig().limits;
    for (const [ticket, endpoint] of running) {
      if (!ticket.request.isIdempotent || !isStalled(endpoint, nowMs, stallMs)) continue;
      if (settlement.takeRetry(ticket)) ticket.exchange?.stop('stalled');
    }
  }

  return {
    addTicket,
    removeTicket: (ticket) => {
      if (ticket.entry === undefined) return false;
      ticket.cancelTimer();
      queue.removeEntry(ticket.entry);
      delete ticket.entry;
      return true;
    },
    startWaiting,
    stopStalled,
    computeWanted,
    getDump: () => ({ waiting: queue.countAll(), serviceMs, accounts: queue.getDump() }),
  };
}
