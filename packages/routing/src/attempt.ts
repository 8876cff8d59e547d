import { createFault, FaultCode } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { RouterContext } from './context.ts';
import { recordServiceTime, computeServiceMs } from './endpoint.ts';
import type { Endpoint, RunningExchange } from './endpoint.ts';
import type { Connection } from './connectionpool.ts';
import { ExchangeEnd, startExchange } from './exchange.ts';
import type { Exchange, ExchangeResult } from './exchange.ts';
import type { PendingRequest } from './pendingrequest.ts';

const suspectFactor = 4;

/** Headers of the request to an endpoint. */
function createRequestHeaders(pending: PendingRequest, nowMs: number): Record<string, string> {
  const { request } = pending;
  const headers: Record<string, string> = {
    'x-request-id': request.requestId,
    'x-account': request.account,
    'x-deadline-ms': String(Math.max(1, Math.floor(pending.deadlineMs - nowMs))),
  };
  if (request.contentType !== '') headers['content-type'] = request.contentType;
  return headers;
}

/** Checks right before the first byte: deadline or credit may have expired during a pause. */
function checkBeforeSend(
  context: RouterContext,
  pending: PendingRequest,
  endpoint: Endpoint,
  running: RunningExchange,
): Fault | undefined {
  const nowMs = context.clock.getNowMs();
  if (nowMs >= pending.deadlineMs) {
    return createFault(FaultCode.DeadlineExceeded, 'deadline passed before dispatch');
  }
  if (endpoint.running.size > context.credits.countSlots(endpoint, nowMs)) {
    return createFault(FaultCode.NoEndpoint, 'slot credit expired before dispatch');
  }
  running.grantor = context.credits.getGrantor(endpoint.instance.id);
  return undefined;
}

/**
 * Whether a missed deadline counts as a failure of the endpoint: it answered nothing else meanwhile
 * and had more than `suspectFactor` times its usual service time. Otherwise, requests dispatched
 * shortly before their deadline would eject every endpoint under overload.
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
    recordServiceTime(endpoint, nowMs - startMs, nowMs);
    if (result.status >= 502 && result.status <= 504) endpoint.health.reportFailure(nowMs);
    else endpoint.health.reportSuccess(nowMs);
    return;
  }
  // Cancelled by this router's own check, so it says nothing about the endpoint.
  if (result.end === ExchangeEnd.NotSent && result.fault !== undefined) return;
  if (result.reason === 'caller_gone') return;
  if (result.reason === 'deadline' && !isSuspect(endpoint, startMs, nowMs)) return;
  if (result.reason === 'ECONNREFUSED') endpoint.health.startEjection(nowMs);
  else endpoint.health.reportFailure(nowMs);
}

/** Sends a pending request to an endpoint over a connection that the caller has reserved. */
export function startAttempt(
  context: RouterContext,
  pending: PendingRequest,
  endpoint: Endpoint,
  connection: Connection,
): Exchange {
  const startMs = context.clock.getNowMs();
  const limits = context.getConfig().limits;
  const endMs = pending.request.isIdempotent ? pending.deadlineMs : startMs + limits.maxRequestMs;
  const grantor = context.credits.getGrantor(endpoint.instance.id);
  const running: RunningExchange = { startMs, endMs, grantor };
  endpoint.running.add(running);
  const exchange = startExchange(connection.client, {
    requestId: pending.request.requestId,
    method: pending.request.method,
    path: pending.request.path,
    headers: createRequestHeaders(pending, startMs),
    body: pending.request.body,
    maxAnswerBytes: limits.maxAnswerBytes,
    checkBeforeSend: () => checkBeforeSend(context, pending, endpoint, running),
    handleProgress: () => {
      endpoint.lastProgressMs = context.clock.getNowMs();
    },
  });
  const cancelTimer = context.clock.setTimer(endMs - startMs, () => {
    exchange.stop('deadline');
  });
  const result = exchange.result.then((exchangeResult) => {
    cancelTimer();
    endpoint.running.delete(running);
    const isReusable = exchangeResult.end === ExchangeEnd.Answered && !exchangeResult.isClosing;
    endpoint.connections.releaseConnection(connection, isReusable);
    reportHealth(endpoint, exchangeResult, startMs, context.clock.getNowMs());
    return exchangeResult;
  });
  return {
    result,
    stop: (reason) => {
      exchange.stop(reason);
    },
  };
}
