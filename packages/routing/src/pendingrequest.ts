import type { CancelTimer } from '@bergamotreach/protocol';
import type { ClaimKey } from '@bergamotreach/ownership';
import type { Exchange } from './exchange.ts';
import type { QueueEntry } from './fairqueue.ts';
import type { CallerAnswer, CallerRequest } from './request.ts';

/** A caller's request and its progress through the router. */
export interface PendingRequest {
  readonly request: CallerRequest;
  readonly arrivedMs: number;
  /** Time until which the caller waits. */
  readonly deadlineMs: number;
  /** Set while this daemon holds the claim of a non-idempotent request. */
  claimKey?: ClaimKey;
  /** Set while the request is queued. */
  entry?: QueueEntry<PendingRequest>;
  /** Set while the request is in flight at an endpoint. */
  exchange?: Exchange;
  /** Endpoints that failed this request. */
  failedEndpoints: Set<string>;
  /** A retry token was taken from the budget and is not used yet. */
  hasReservedRetry: boolean;
  /** An attempt was dispatched and may have run, so a later refusal is not `not_run`. */
  mayHaveRun: boolean;
  isAnswered: boolean;
  isCallerGone: boolean;
  cancelTimer: CancelTimer;
  /** Resolves the caller's promise; only the first answer counts. */
  answer: (answer: CallerAnswer) => void;
}

/** Creates a pending request; `resolve` gets the answer. */
export function createPendingRequest(
  request: CallerRequest,
  nowMs: number,
  maxRequestMs: number,
  resolve: (answer: CallerAnswer) => void,
): PendingRequest {
  const pending: PendingRequest = {
    request,
    arrivedMs: nowMs,
    deadlineMs: nowMs + Math.min(request.deadlineMs, maxRequestMs),
    failedEndpoints: new Set(),
    hasReservedRetry: false,
    mayHaveRun: false,
    isAnswered: false,
    isCallerGone: false,
    cancelTimer: () => undefined,
    answer: (answer) => {
      if (pending.isAnswered) return;
      pending.isAnswered = true;
      resolve(answer);
    },
  };
  return pending;
}
