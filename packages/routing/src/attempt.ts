import { createFault, FaultCode } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { RouterContext } from './context.ts';
import { addServiceTime, computeServiceMs } from './endpoint.ts';
import type { Endpoint, RunningExchange } from './endpoint.ts';
import type { Connection } from './connections.ts';
import { ExchangeEnd, startExchange } from './exchange.ts';
import type { Exchange, ExchangeResult } from './exchange.ts';
import type { Ticket } from './ticket.ts';

const suspectFactor = 4;

/** Headers of the request to an endpoint. */
function makeRequestHeaders(ticket: Ticket, nowMs: number): Record<string, string> {
  const { request } = ticket;
  const headers: Record<string, string> = {
    'x-request-id': request.requestId,
    'x-account': request.account,
    'x-deadline-ms': String(Math.max(1, Math.floor(ticket.deadlineMs - nowMs))),
  };
  if (request.contentType !== '') headers['content-type'] = request.contentType;
  return headers;
}

/** Checked right before the first byte: a pause may have used up the deadline or the credit. */
function checkStart(
  context: RouterContext,
  ticket: Ticket,
  endpoint: Endpoint,
  running: RunningExchange,
): Fault | undefined {
  const nowMs = context.clock.getNowMs();
  if (nowMs >= ticket.deadlineMs) {
    return createFault(FaultCode.DeadlineExceeded, 'deadline passed before dispatch');
  }
  if (endpoint.running.size > context.credits.countSlots(endpoint, nowMs)) {
    return createFault(FaultCode.NoEndpoint, 'slot credit expired before dispatch');
  }
  running.grantor = context.credits.getGrantor(endpoint.instance.id);
  return undefined;
}

/**
 * Whether a missed deadline speaks against the endpoint: it answered nothing else meanwhile, and
 * had several times as long as it usually takes. Requests dispatched shortly before their deadline
 * would otherwise take every endpoint out of service under overload.
 */
function isSuspect(endpoint: Endpoint, startMs: number, nowMs: number): boolean {
  const usualMs = computeServiceMs(endpoint, nowMs) ?? 0;
  return endpoint.lastProgressMs < startMs && nowMs - startMs > suspectFactor * usualMs;
}

function reportHealth(
  endpoint: Endpoint,
  result: ExchangeResult,
  startMs: number,
  nowMs: number,
): void {
  if (result.end === ExchangeEnd.Answered) {
    addServiceTime(endpoint, nowMs - startMs, nowMs);
    if (result.status >= 502 && result.status <= 504) endpoint.health.reportFailure(nowMs);
    else endpoint.health.reportSuccess(nowMs);
    return;
  }
  // Refused by this router's own check, so it says nothing about the endpoint.
  if (result.end === ExchangeEnd.NotSent && result.fault !== undefined) return;
  if (result.reason === 'caller_gone') return;
  if (result.reason === 'deadline' && !isSuspect(endpoint, startMs, nowMs)) return;
  if (result.reason === 'ECONNREFUSED') endpoint.health.reportStall(nowMs);
  else endpoint.health.reportFailure(nowMs);
}

/** Sends the ticket's request to an endpoint over a connection that the caller has taken. */
export function startAttempt(
  context: RouterContext,
  ticket: Ticket,
  endpoint: Endpoint,
  connection: Connection,
): Exchange {
  const startMs = context.clock.getNowMs();
  const limits = context.getConfig().limits;
  const endMs = ticket.request.isIdempotent ? ticket.deadlineMs : startMs + limits.maxRequestMs;
  const grantor = context.credits.getGrantor(endpoint.instance.id);
  const running: RunningExchange = { startMs, endMs, grantor };
  endpoint.running.add(running);
  const exchange = startExchange(connection.client, {
    requestId: ticket.request.requestId,
    method: ticket.request.method,
    path: ticket.request.path,
    headers: makeRequestHeaders(ticket, startMs),
    body: ticket.request.body,
    maxAnswerBytes: limits.maxAnswerBytes,
    checkStart: () => checkStart(context, ticket, endpoint, running),
    handleProgress: () => {
      endpoint.lastProgressMs = context.clock.getNowMs();
    },
  });
  const cancelTimer = context.clock.setTimer(endMs - startMs, () => {
    exchange.stop('deadline');
  });
  const result = exchange.result.then((ended) => {
    cancelTimer();
    endpoint.running.delete(running);
    const isReusable = ended.end === ExchangeEnd.Answered && !ended.isClosing;
    endpoint.connections.releaseConnection(connection, isReusable);
    reportHealth(endpoint, ended, startMs, context.clock.getNowMs());
    return ended;
  });
  return {
    result,
    stop: (reason) => {
      exchange.stop(reason);
    },
  };
}
