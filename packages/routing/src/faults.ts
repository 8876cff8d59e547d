import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { computeRetryAfterMs } from './admission.ts';

const noEndpointRetryMs = 1000;

/** Fault for a request that no endpoint can serve; it was not dispatched. */
export function createNoEndpointFault(service: string): Fault {
  return createFault(FaultCode.NoEndpoint, `service ${service} has no usable endpoint`, {
    retryAfterMs: noEndpointRetryMs,
  });
}

/** Fault for a request whose deadline passes while it is queued; it was not dispatched. */
export function createQueueTimeoutFault(serviceMs: number): Fault {
  return createFault(FaultCode.DeadlineExceeded, 'no slot became free before the deadline', {
    retryAfterMs: computeRetryAfterMs(serviceMs),
  });
}

/** Fault for a dispatched request that got no complete answer. */
export function createLostAnswerFault(
  isIdempotent: boolean,
  reason: string,
  serviceMs: number,
): Fault {
  if (!isIdempotent) {
    return createFault(FaultCode.UnknownOutcome, `the outcome is unknown: ${reason}`);
  }
  const code = reason === 'deadline' ? FaultCode.DeadlineExceeded : FaultCode.EndpointFailed;
  return createFault(code, `no answer from the endpoint: ${reason}`, {
    outcome: Outcome.Unknown,
    retryAfterMs: computeRetryAfterMs(serviceMs),
  });
}
