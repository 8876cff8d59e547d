import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { RouterContext } from './context.ts';
import type { Endpoint } from './endpoint.ts';
import { ExchangeEnd } from './exchange.ts';
import type { ExchangeResult } from './exchange.ts';
import { createLossFault, createNoEndpointFault } from './faults.ts';
import { AnswerKind } from './request.ts';
import type { EndpointAnswer } from './request.ts';
import type { Ticket } from './ticket.ts';

/** What becomes of a request after the queue or an exchange. */
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

/** Decides after each exchange: answer, retry, refuse, or report the loss. */
export interface Settlement {
  settle(ticket: Ticket, endpoint: Endpoint, result: ExchangeResult): void;
  /** Answers a dispatched request that got no whole answer. */
  reportLoss(ticket: Ticket, reason: string): void;
  /** Takes a retry from the budget if one is allowed and of use. */
  takeRetry(ticket: Ticket): boolean;
}

/** Options of the settlement of a service. */
export interface SettlementOptions {
  context: RouterContext;
  service: string;
  handlers: TicketHandlers;
  getServiceMs: () => number;
  hasUsable: (nowMs: number) => boolean;
  refuse: (ticket: Ticket, fault: Fault) => void;
  /** Puts the request back to the front of its account. */
  returnTicket: (ticket: Ticket) => void;
}

type Answered = Extract<ExchangeResult, { end: ExchangeEnd.Answered }>;

const notRun: string = Outcome.NotRun;

/**
 * Whether the endpoint says that it did not run the request. A plain 503 does not: a server may send
 * it after part of the work.
 */
function isRefusal(result: Answered): boolean {
  return result.status === 503 && result.headers['x-outcome'] === notRun;
}

/** Creates the settlement of a service. */
export function createSettlement(options: SettlementOptions): Settlement {
  const { context, service, handlers, refuse, returnTicket } = options;

  function reportLoss(ticket: Ticket, reason: string): void {
    const { isIdempotent } = ticket.request;
    handlers.handleLoss(ticket, createLossFault(isIdempotent, reason, options.getServiceMs()));
  }

  function takeRetry(ticket: Ticket): boolean {
    if (ticket.hasRetry) return true;
    const nowMs = context.clock.getNowMs();
    if (ticket.isCallerGone || nowMs + options.getServiceMs() >= ticket.deadlineMs) return false;
    ticket.hasRetry =
      options.hasUsable(nowMs) && context.retryBudget.takeRetry(ticket.request.account);
    return ticket.hasRetry;
  }

  function retry(ticket: Ticket, endpoint: Endpoint, reason: string): void {
    ticket.hasRetry = false;
    ticket.failedAt.add(endpoint.instance.id);
    context.metrics.count('requests.retried', 1, { service, reason });
    returnTicket(ticket);
  }

  function countBytes(ticket: Ticket, endpoint: Endpoint, answerBytes: number): void {
    const { region } = endpoint.instance;
    if (region === context.region) return;
    const bytes = ticket.request.body.length + answerBytes;
    context.byteCounter.addBytes(ticket.request.account, region, bytes);
    context.metrics.count('requests.cross_region_bytes', bytes, { service, region });
  }

  function settleAnswered(ticket: Ticket, endpoint: Endpoint, result: Answered): void {
    const { status, headers, body } = result;
    countBytes(ticket, endpoint, body.length);
    const isLeaving = status === 503 && result.isClosing;
    if (isLeaving) handlers.handleLeaving(endpoint.instance.id);
    if (isLeaving && ticket.request.isIdempotent && takeRetry(ticket)) {
      retry(ticket, endpoint, 'leaving');
    } else handlers.handleAnswer(ticket, { kind: AnswerKind.Answer, status, headers, body });
  }

  function settleLost(ticket: Ticket, endpoint: Endpoint, reason: string): void {
    countBytes(ticket, endpoint, 0);
    const canRetry = ticket.request.isIdempotent && reason !== 'deadline';
    if (canRetry && takeRetry(ticket)) retry(ticket, endpoint, reason);
    else reportLoss(ticket, reason);
  }

  function settleNotSent(ticket: Ticket, endpoint: Endpoint, reason: string, fault?: Fault): void {
    if (fault?.code === FaultCode.NoEndpoint && !ticket.isCallerGone) returnTicket(ticket);
    else if (fault !== undefined) refuse(ticket, fault);
    else if (reason === 'deadline') {
      refuse(ticket, createFault(FaultCode.DeadlineExceeded, 'no connection before the deadline'));
    } else if (takeRetry(ticket)) retry(ticket, endpoint, reason);
    else refuse(ticket, { ...createNoEndpointFault(service), details: { reason } });
  }

  function settleRefused(ticket: Ticket, endpoint: Endpoint, result: Answered): void {
    countBytes(ticket, endpoint, result.body.length);
    if (result.isClosing) handlers.handleLeaving(endpoint.instance.id);
    settleNotSent(ticket, endpoint, 'refused');
  }

  function settle(ticket: Ticket, endpoint: Endpoint, result: ExchangeResult): void {
    if (result.end === ExchangeEnd.Answered && isRefusal(result)) {
      settleRefused(ticket, endpoint, result);
      return;
    }
    if (result.end !== ExchangeEnd.NotSent) ticket.mayHaveRun = true;
    if (result.end === ExchangeEnd.Answered) settleAnswered(ticket, endpoint, result);
    else if (result.end === ExchangeEnd.Lost) settleLost(ticket, endpoint, result.reason);
    else settleNotSent(ticket, endpoint, result.reason, result.fault);
  }

  return { settle, reportLoss, takeRetry };
}
