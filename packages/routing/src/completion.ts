import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { RouterContext } from './context.ts';
import type { Endpoint } from './endpoint.ts';
import { ExchangeEnd } from './exchange.ts';
import type { ExchangeResult } from './exchange.ts';
import { createLostAnswerFault, createNoEndpointFault } from './faults.ts';
import { AnswerKind } from './request.ts';
import type { EndpointAnswer } from './request.ts';
import type { PendingRequest } from './pendingrequest.ts';

/** Handlers for requests that leave the queue or an exchange. */
export interface RequestHandlers {
  /** The request is refused without a dispatch; `mayHaveRun` tells of earlier attempts. */
  handleRefusal: (pending: PendingRequest, fault: Fault) => void;
  /** The endpoint answered completely. */
  handleAnswer: (pending: PendingRequest, answer: EndpointAnswer) => void;
  /** The request was dispatched and got no complete answer. */
  handleLoss: (pending: PendingRequest, fault: Fault) => void;
  /** An endpoint announced that it is leaving. */
  handleLeaving: (endpointId: string) => void;
}

/** Decides after each attempt: answer, retry, refuse, or report a lost answer. */
export interface AttemptCompletion {
  completeAttempt(pending: PendingRequest, endpoint: Endpoint, result: ExchangeResult): void;
  /** Answers a dispatched request that got no complete answer. */
  reportLoss(pending: PendingRequest, reason: string): void;
  /** Takes a retry token if a retry is allowed and can still meet the deadline. */
  reserveRetry(pending: PendingRequest): boolean;
}

/** Options of the attempt completion of a service. */
export interface AttemptCompletionOptions {
  context: RouterContext;
  service: string;
  handlers: RequestHandlers;
  getServiceMs: () => number;
  hasUsable: (nowMs: number) => boolean;
  refuse: (pending: PendingRequest, fault: Fault) => void;
  /** Requeues the request at the front of its account's queue. */
  requeueRequest: (pending: PendingRequest) => void;
}

type AnsweredResult = Extract<ExchangeResult, { end: ExchangeEnd.Answered }>;

const notRun: string = Outcome.NotRun;

/**
 * Whether the endpoint states that it did not run the request. A plain 503 does not state that: a
 * server may send it after doing part of the work.
 */
function isRefusal(result: AnsweredResult): boolean {
  return result.status === 503 && result.headers['x-outcome'] === notRun;
}

/** Creates the attempt completion of a service. */
export function createAttemptCompletion(options: AttemptCompletionOptions): AttemptCompletion {
  const { context, service, handlers, refuse, requeueRequest } = options;

  function reportLoss(pending: PendingRequest, reason: string): void {
    const { isIdempotent } = pending.request;
    handlers.handleLoss(
      pending,
      createLostAnswerFault(isIdempotent, reason, options.getServiceMs()),
    );
  }

  function reserveRetry(pending: PendingRequest): boolean {
    if (pending.hasReservedRetry) return true;
    const nowMs = context.clock.getNowMs();
    if (pending.isCallerGone || nowMs + options.getServiceMs() >= pending.deadlineMs) return false;
    pending.hasReservedRetry =
      options.hasUsable(nowMs) && context.retryBudget.takeRetry(pending.request.account);
    return pending.hasReservedRetry;
  }

  function retry(pending: PendingRequest, endpoint: Endpoint, reason: string): void {
    pending.hasReservedRetry = false;
    pending.failedEndpoints.add(endpoint.instance.id);
    context.metrics.count('requests.retried', 1, { service, reason });
    requeueRequest(pending);
  }

  function countBytes(pending: PendingRequest, endpoint: Endpoint, answerBytes: number): void {
    const { region } = endpoint.instance;
    if (region === context.region) return;
    const bytes = pending.request.body.length + answerBytes;
    context.byteCounter.addBytes(pending.request.account, region, bytes);
    context.metrics.count('requests.cross_region_bytes', bytes, { service, region });
  }

  function completeAnswered(
    pending: PendingRequest,
    endpoint: Endpoint,
    result: AnsweredResult,
  ): void {
    const { status, headers, body } = result;
    countBytes(pending, endpoint, body.length);
    const isLeaving = status === 503 && result.isClosing;
    if (isLeaving) handlers.handleLeaving(endpoint.instance.id);
    if (isLeaving && pending.request.isIdempotent && reserveRetry(pending)) {
      retry(pending, endpoint, 'leaving');
    } else handlers.handleAnswer(pending, { kind: AnswerKind.Answer, status, headers, body });
  }

  function completeLost(pending: PendingRequest, endpoint: Endpoint, reason: string): void {
    countBytes(pending, endpoint, 0);
    const canRetry = pending.request.isIdempotent && reason !== 'deadline';
    if (canRetry && reserveRetry(pending)) retry(pending, endpoint, reason);
    else reportLoss(pending, reason);
  }

  function completeNotSent(
    pending: PendingRequest,
    endpoint: Endpoint,
    reason: string,
    fault?: Fault,
  ): void {
    if (fault?.code === FaultCode.NoEndpoint && !pending.isCallerGone) requeueRequest(pending);
    else if (fault !== undefined) refuse(pending, fault);
    else if (reason === 'deadline') {
      refuse(pending, createFault(FaultCode.DeadlineExceeded, 'no connection before the deadline'));
    } else if (reserveRetry(pending)) retry(pending, endpoint, reason);
    else refuse(pending, { ...createNoEndpointFault(service), details: { reason } });
  }

  function completeRefused(
    pending: PendingRequest,
    endpoint: Endpoint,
    result: AnsweredResult,
  ): void {
    countBytes(pending, endpoint, result.body.length);
    if (result.isClosing) handlers.handleLeaving(endpoint.instance.id);
    completeNotSent(pending, endpoint, 'refused');
  }

  function completeAttempt(
    pending: PendingRequest,
    endpoint: Endpoint,
    result: ExchangeResult,
  ): void {
    if (result.end === ExchangeEnd.Answered && isRefusal(result)) {
      completeRefused(pending, endpoint, result);
      return;
    }
    if (result.end !== ExchangeEnd.NotSent) pending.mayHaveRun = true;
    if (result.end === ExchangeEnd.Answered) completeAnswered(pending, endpoint, result);
    else if (result.end === ExchangeEnd.Lost) completeLost(pending, endpoint, result.reason);
    else completeNotSent(pending, endpoint, result.reason, result.fault);
  }

  return { completeAttempt, reportLoss, reserveRetry };
}
