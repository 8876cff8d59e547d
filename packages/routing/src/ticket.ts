import type { CancelTimer } from '@bergamotreach/protocol';
import type { ClaimKey } from '@bergamotreach/ownership';
import type { Exchange } from './exchange.ts';
import type { QueueEntry } from './fairqueue.ts';
import type { CallerAnswer, CallerRequest } from './request.ts';

/** A caller request on its way through the router. */
export interface Ticket {
  readonly request: CallerRequest;
  readonly arrivedMs: number;
  /** Latest moment at which the caller still waits. */
  readonly deadlineMs: number;
  /** Present while this daemon holds the claim of a request that must not run twice. */
  claimKey?: ClaimKey;
  /** Present while the request waits. */
  entry?: QueueEntry<Ticket>;
  /** Present while the request is at an endpoint. */
  exchange?: Exchange;
  /** Endpoints that failed this request. */
  failedAt: Set<string>;
  /** A retry has been taken from the budget and not been used yet. */
  hasRetry: boolean;
  /** An attempt was dispatched and lost, so a later refusal is not `not_run`. */
  mayHaveRun: boolean;
  isAnswered: boolean;
  isCallerGone: boolean;
  cancelTimer: CancelTimer;
  /** Resolves the caller's promise; only the first answer counts. */
  answer: (answer: CallerAnswer) => void;
}

/** Creates a ticket; `resolve` gets the answer. */
export function createTicket(
  request: CallerRequest,
  nowMs: number,
  maxRequestMs: number,
  resolve: (answer: CallerAnswer) => void,
): Ticket {
  const ticket: Ticket = {
    request,
    arrivedMs: nowMs,
    deadlineMs: nowMs + Math.min(request.deadlineMs, maxRequestMs),
    failedAt: new Set(),
    hasRetry: false,
    mayHaveRun: false,
    isAnswered: false,
    isCallerGone: false,
    cancelTimer: () => undefined,
    answer: (answer) => {
      if (ticket.isAnswered) return;
      ticket.isAnswered = true;
      resolve(answer);
    },
  };
  return ticket;
}
