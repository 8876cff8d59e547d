import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { computeRetryAfterMs } from './admission.ts';

const noEndpointRetryMs = 1000;

/** Fault of a request that no endpoint can take; it was not dispatched. */
export function createNoEndpointFault(service: string): Fault {
  return createFault(FaultCode.NoEndpoint, `service ${service} has no usable endpoint`, {
    retryAfterMs: noEndpointRetryMs,
  });
}

/** Fault of a request whose deadline passes before a slot is free; it was not dispatched. */
export function createGiveUpFault(serviceMs: number): Fault {
  return createFault(FaultCode.DeadlineExceeded, 'no slot became free before the deadline', {
    retryAfterMs: computeRetryAfterMs(serviceMs),
  });
}

/** Fault of a dispatched request that got no whole answer. */
export function createLossFault(isIdempotent: boolean, reason: string, serviceMs: number): Fault {
  if (!isIdempotent) {
    return createFault(FaultCode.UnknownOutcome, `the outcome is not known: ${reason}`);
  }
  const code = reason === 'deadline' ? FaultCode.DeadlineExceeded : FaultCode.EndpointFailed;
  return createFault(code, `no answer from the endpoint: ${reason}`, {
    outcome: Outcome.Unknown,
    retryAfterMs: computeRetryAfterMs(serviceMs),
  });
}
