import { faultAnswers, getOutcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';

/** Builds the JSON body of an error answer. */
export function formatFaultBody(fault: Fault): string {
  const { code, path, message, retryAfterMs, details } = fault;
  return JSON.stringify({ error: { code, path, message, retryAfterMs, details } });
}

/** Builds the HTTP answer of a fault: status and outcome from the answer table. */
export function createFaultResponse(fault: Fault): Response {
  const headers = new Headers({
    'content-type': 'application/json',
    'x-outcome': getOutcome(fault),
  });
  if (fault.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.ceil(fault.retryAfterMs / 1000)));
  }
  return new Response(formatFaultBody(fault), {
    status: faultAnswers[fault.code].status,
    headers,
  });
}

/** Builds a JSON answer. */
export function createJsonResponse(value: unknown, status = 200): Response {
  return new Response(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json' },
  });
}
