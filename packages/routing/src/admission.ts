import { createFault, FaultCode } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';

/** What is known when a request arrives. */
export interface AdmissionInput {
  /** Time until the deadline of the request. */
  leftMs: number;
  /** Requests of the same account that wait before it. */
  waiting: number;
  /** Part of the service rate that the account gets, 0 to 1. */
  share: number;
  /** Slots that serve the queue. */
  slots: number;
  /** Mean time of a request at an endpoint. */
  serviceMs: number;
}

/** Expected wait of a new request in milliseconds; infinite without slots. */
export function computeWaitMs(input: Omit<AdmissionInput, 'leftMs'>): number {
  if (input.waiting === 0) return 0;
  if (input.slots <= 0) return Infinity;
  return (input.waiting * input.serviceMs) / (input.slots * input.share);
}

/**
 * Part of the estimate that is added for its spread. Without it, a queue at its limit dispatches
 * requests so late that their answers miss the deadline.
 */
const slack = 1.5;

const minRetryAfterMs = 50;
const maxRetryAfterMs = 5000;

/** Time after which a caller may try again, given the expected wait. */
export function computeRetryAfterMs(waitMs: number): number {
  return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
}

/** Refuses a request that cannot meet its deadline; `undefined` admits it. */
export function checkAdmission(input: AdmissionInput): Fault | undefined {
  const waitMs = computeWaitMs(input);
  const neededMs = slack * (waitMs + input.serviceMs);
  if (neededMs <= input.leftMs || (waitMs === 0 && input.leftMs > 0)) return undefined;
  return createFault(
    FaultCode.DeadlineTooShort,
    `needs about ${Math.round(neededMs)} ms, deadline is in ${Math.round(input.leftMs)} ms`,
    { retryAfterMs: computeRetryAfterMs(neededMs - input.leftMs) },
  );
}
