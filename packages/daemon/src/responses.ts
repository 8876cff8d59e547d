import { faultResponses, getOutcome } from '@bergamotreach/protocol';
import type { Fault, FaultCode } from '@bergamotreach/protocol';

/** Formats the JSON body of an error response. */
export function formatFaultBody(fault: Fault): string {
  const { code, path, message, retryAfterMs, details } = fault;
  return JSON.stringify({ error: { code, path, message, retryAfterMs, details } });
}

/** Error codes of the responses built here, for metrics. */
const faultCodes = new WeakMap<Response, FaultCode>();

/** Finds the error code of a response; `undefined` unless `createFaultResponse` built it. */
export function findFaultCode(response: Response): FaultCode | undefined {
  return faultCodes.get(response);
}

/** Builds the HTTP response for a fault, with the status and outcome that `faultResponses` lists. */
export function createFaultResponse(fault: Fault): Response {
  const headers = new Headers({
    'content-type': 'application/json',
    'x-outcome': getOutcome(fault),
  });
  if (fault.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.ceil(fault.retryAfterMs / 1000)));
  }
  const { status } = faultResponses[fault.code];
  const response = new Response(formatFaultBody(fault), { status, headers });
  faultCodes.set(response, fault.code);
  return response;
}

/** Builds a response with a JSON body. */
export function createJsonResponse(value: unknown, status = 200): Response {
  return new Response(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json' },
  });
}
