import { createFault, FaultCode } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';

/** Inputs of the admission decision for a new request. */
export interface AdmissionInput {
  /** Time until the deadline of the request. */
  remainingMs: number;
  /** Queued requests of the same account. */
  waiting: number;
  /** Fraction of the service rate that the account gets, 0 to 1. */
  share: number;
  /** Slots that serve the queue. */
  slots: number;
  /** Mean service time of a request. */
  serviceMs: number;
}

/** Expected queueing time of a new request in milliseconds; infinite without slots. */
export function computeWaitMs(input: Omit<AdmissionInput, 'remainingMs'>): number {
  if (input.waiting === 0) return 0;
  if (input.slots <= 0) return Infinity;
  return (input.waiting * input.serviceMs) / (input.slots * input.share);
}

/**
 * Factor on the estimate that covers its variance. Without it, a queue at its limit dispatches
 * requests so late that their answers miss the deadline.
 */
const estimateMargin = 1.5;

const minRetryAfterMs = 50;
const maxRetryAfterMs = 5000;

/** Time in milliseconds after which a caller may retry, given the expected wait. */
export function computeRetryAfterMs(waitMs: number): number {
  return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
}

/** Fault for a request that cannot meet its deadline; `undefined` admits it. */
export function checkAdmission(input: AdmissionInput): Fault | undefined {
  const waitMs = computeWaitMs(input);
  const neededMs = estimateMargin * (waitMs + input.serviceMs);
  if (neededMs <= input.remainingMs || (waitMs === 0 && input.remainingMs > 0)) return undefined;
  return createFault(
    FaultCode.DeadlineTooShort,
    `needs about ${Math.round(neededMs)} ms, deadline is in ${Math.round(input.remainingMs)} ms`,
    { retryAfterMs: computeRetryAfterMs(neededMs - input.remainingMs) },
  );
}
