import { faultAnswers, getOutcome } from '@bergamotreach/protocol';
import type { Fault, FaultCode } from '@bergamotreach/protocol';

/** Builds the JSON body of an error answer. */
export function formatFaultBody(fault: Fault): string {
  const { code, path, message, retryAfterMs, details } = fault;
  return JSON.stringify({ error: { code, path, message, retryAfterMs, details } });
}

/** Error kinds of the answers built here, for metrics. */
const faultCodes = new WeakMap<Response, FaultCode>();

/** Error kind of an answer; `undefined` when it is none of this daemon's error answers. */
export function findFaultCode(response: Response): FaultCode | undefined {
  return faultCodes.get(response);
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
  const { status } = faultAnswers[fault.code];
  const response = new Response(formatFaultBody(fault), { status, headers });
  faultCodes.set(response, fault.code);
  return response;
}

/** Builds a JSON answer. */
export function createJsonResponse(value: unknown, status = 200): Response {
  return new Response(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json' },
  });
}
