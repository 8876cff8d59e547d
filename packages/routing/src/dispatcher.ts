import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { checkAdmission } from './admission.ts';
import { startAttempt } from './attempt.ts';
import type { Connection } from './connections.ts';
import type { RouterContext } from './context.ts';
import { isUsable } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import { chooseEndpoint } from './endpointchoice.ts';
import type { EndpointCandidate } from './endpointchoice.ts';
import { ExchangeEnd } from './exchange.ts';
import type { ExchangeResult } from './exchange.ts';
import { createFairQueue } from './fairqueue.ts';
import type { AccountLoad } from './fairqueue.ts';
import { defaultAccount, defaultService } from './config.ts';
import { AnswerKind } from './request.ts';
import type { EndpointAnswer } from './request.ts';
import type { Ticket } from './ticket.ts';

/** What a dispatcher hands back. */
export interface TicketHandlers {
  /** The request certainly was not dispatched. */
  handleRefusal: (ticket: Ticket, fault: Fault) => void;
  /** The endpoint's whole answer. */
  handleAnswer: (ticket: Ticket, answer: EndpointAnswer) => void;
  /** Dispatched, and no answer came. */
  handleLoss: (ticket: Ticket, fault: Fault) => void;
  /** An endpoint announced that it is leaving. */
  handleLeaving: (endpointId: string) => void;
}

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
  getDump(): ServiceDump;
}

interface Candidate extends EndpointCandidate {
  endpoint: Endpoint;
}

const serviceMsGain = 0.05;
const noEndpointRetryMs = 1000;

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
  let turn = 0;

  function listUsable(nowMs: number): Endpoint[] {
    return context.endpoints.listService(service).filter((endpoint) => isUsable(endpoint, nowMs));
  }

  function createCandidate(endpoint: Endpoint, nowMs: number): Candidate {
    const credit = context.credits.countSlots(endpoint, nowMs);
    return {
      id: endpoint.instance.id,
      inUse: endpoint.running.size,
      slots: endpoint.health.computeUsable(credit, nowMs),
      serviceMs: endpoint.serviceMs,
      endpoint,
    };
  }

  function listCandidates(nowMs: number): Candidate[] {
    return listUsable(nowMs).map((endpoint) => createCandidate(endpoint, nowMs));
  }

  function countSlots(candidates: readonly Candidate[]): number {
    return candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
  }

  function createNoEndpointFault(): Fault {
    return createFault(FaultCode.NoEndpoint, `service ${service} has no usable endpoint`, {
      retryAfterMs: noEndpointRetryMs,
    });
  }

  function refuse(ticket: Ticket, fault: Fault): void {
    ticket.cancelTimer();
    if (ticket.entry !== undefined) queue.removeEntry(ticket.entry);
    delete ticket.entry;
    handlers.handleRefusal(ticket, fault);
  }

  function setGiveUpTimer(ticket: Ticket, nowMs: number): void {
    ticket.cancelTimer();
    const giveUpMs = ticket.deadlineMs - serviceMs;
    ticket.cancelTimer = context.clock.setTimer(Math.max(0, giveUpMs - nowMs), () => {
      refuse(
        ticket,
        createFault(FaultCode.DeadlineExceeded, 'no slot became free before the deadline', {
          retryAfterMs: Math.max(50, Math.round(serviceMs)),
        }),
      );
    });
  }

  function addTicket(ticket: Ticket): void {
    const nowMs = context.clock.getNowMs();
    const candidates = listCandidates(nowMs);
    if (candidates.length === 0) {
      refuse(ticket, createNoEndpointFault());
      return;
    }
    const { account } = ticket.request;
    const refused = checkAdmission({
      leftMs: ticket.deadlineMs - nowMs,
      waiting: queue.countWaiting(account),
      share: queue.computeShare(account),
      slots: countSlots(candidates),
      serviceMs,
    });
    if (refused !== undefined) refuse(ticket, refused);
    else queueTicket(ticket, nowMs, false);
  }

  function queueTicket(ticket: Ticket, nowMs: number, isFirst: boolean): void {
    const { account } = ticket.request;
    const added = queue.addEntry(account, ticket.deadlineMs, ticket, isFirst);
    if (added.isErr()) {
      const retryAfterMs = Math.max(50, Math.round(serviceMs));
      refuse(ticket, { ...added.error, retryAfterMs });
      return;
    }
    ticket.entry = added.value;
    setGiveUpTimer(ticket, nowMs);
    startWaiting();
  }

  function chooseCandidate(
    ticket: Ticket,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    const fresh = candidates.filter((candidate) => !ticket.failedAt.has(candidate.id));
    turn += 1;
    return chooseEndpoint(fresh, turn) ?? chooseEndpoint(candidates, turn);
  }

  function startNext(nowMs: number): boolean {
    const candidates = listCandidates(nowMs);
    const entry = queue.getNext(countSlots(candidates));
    if (entry === undefined) return false;
    const open = candidates.filter((candidate) => candidate.inUse < candidate.slots);
    for (;;) {
      const chosen = chooseCandidate(entry.item, open);
      if (chosen === undefined) return false;
      const connection = chosen.endpoint.connections.takeConnection(entry.item.request.requestId);
      if (connection !== undefined) {
        queue.takeEntry(entry);
        startTicket(entry.item, chosen.endpoint, connection);
        return true;
      }
      open.splice(open.indexOf(chosen), 1);
    }
  }

  function startWaiting(): void {
    const nowMs = context.clock.getNowMs();
    while (queue.countAll() > 0 && startNext(nowMs));
    if (queue.countAll() === 0 || listUsable(nowMs).length > 0) return;
    for (const entry of queue.listEntries()) refuse(entry.item, createNoEndpointFault());
  }

  function startTicket(ticket: Ticket, endpoint: Endpoint, connection: Connection): void {
    ticket.cancelTimer();
    delete ticket.entry;
    const startMs = context.clock.getNowMs();
    const exchange = startAttempt(context, ticket, endpoint, connection);
    ticket.exchange = exchange;
    // A request that must not run twice goes on after its caller's deadline, to learn the outcome.
    ticket.cancelTimer = context.clock.setTimer(ticket.deadlineMs - startMs, () => {
      if (!ticket.request.isIdempotent)
        handlers.handleLoss(ticket, createLossFault(ticket, 'deadline'));
    });
    void exchange.result.then((result) => {
      ticket.cancelTimer();
      delete ticket.exchange;
      queue.releaseSlot(ticket.request.account);
      if (result.end === ExchangeEnd.Answered) {
        serviceMs += serviceMsGain * (context.clock.getNowMs() - startMs - serviceMs);
      }
      finishTicket(ticket, endpoint, result);
      startWaiting();
    });
  }

  function createLossFault(ticket: Ticket, reason: string): Fault {
    if (!ticket.request.isIdempotent) {
      return createFault(FaultCode.UnknownOutcome, `the outcome is not known: ${reason}`);
    }
    const code = reason === 'deadline' ? FaultCode.DeadlineExceeded : FaultCode.EndpointFailed;
    return createFault(code, `no answer from the endpoint: ${reason}`, {
      outcome: Outcome.Unknown,
      retryAfterMs: Math.max(50, Math.round(serviceMs)),
    });
  }

  function canRetry(ticket: Ticket): boolean {
    const nowMs = context.clock.getNowMs();
    if (ticket.isCallerGone || nowMs + serviceMs >= ticket.deadlineMs) return false;
    return listUsable(nowMs).length > 0 && context.retryBudget.takeRetry(ticket.request.account);
  }

  function retry(ticket: Ticket, endpoint: Endpoint, reason: string): void {
    ticket.failedAt.add(endpoint.instance.id);
    context.metrics.count('requests.retried', 1, { service, reason });
    queueTicket(ticket, context.clock.getNowMs(), true);
  }

  function finishTicket(ticket: Ticket, endpoint: Endpoint, result: ExchangeResult): void {
    if (result.end === ExchangeEnd.Answered) finishAnswered(ticket, endpoint, result);
    else if (result.end === ExchangeEnd.Lost) finishLost(ticket, endpoint, result.reason);
    else finishNotSent(ticket, endpoint, result.reason, result.fault);
  }

  function finishAnswered(
    ticket: Ticket,
    endpoint: Endpoint,
    result: Extract<ExchangeResult, { end: ExchangeEnd.Answered }>,
  ): void {
    const { status, headers, body } = result;
    if (status === 503 && result.isClosing) {
      handlers.handleLeaving(endpoint.instance.id);
      if (ticket.request.isIdempotent && canRetry(ticket)) {
        retry(ticket, endpoint, 'leaving');
        return;
      }
    }
    handlers.handleAnswer(ticket, { kind: AnswerKind.Answer, status, headers, body });
  }

  function finishLost(ticket: Ticket, endpoint: Endpoint, reason: string): void {
    if (ticket.request.isIdempotent && reason !== 'deadline' && canRetry(ticket)) {
      retry(ticket, endpoint, reason);
    } else handlers.handleLoss(ticket, createLossFault(ticket, reason));
  }

  function finishNotSent(
    ticket: Ticket,
    endpoint: Endpoint,
    reason: string,
    fault: Fault | undefined,
  ): void {
    if (fault?.code === FaultCode.NoEndpoint && !ticket.isCallerGone) {
      queueTicket(ticket, context.clock.getNowMs(), true);
    } else if (fault !== undefined) refuse(ticket, fault);
    else if (reason === 'deadline') {
      refuse(ticket, createFault(FaultCode.DeadlineExceeded, 'no connection before the deadline'));
    } else if (canRetry(ticket)) retry(ticket, endpoint, reason);
    else refuse(ticket, { ...createNoEndpointFault(), details: { reason } });
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
    getDump: () => ({ waiting: queue.countAll(), serviceMs, accounts: queue.getDump() }),
  };
}
