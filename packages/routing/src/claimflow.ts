import { ClaimStatus } from '@bergamotreach/ownership';
import type { ClaimReply, Claims } from '@bergamotreach/ownership';
import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import type { InFlightCounter } from './inflightcounter.ts';
import { createClaimKey, createRepeatAnswer, createStoredOutcome } from './outcome.ts';
import { createFaultAnswer } from './request.ts';
import type { CallerAnswer, EndpointAnswer } from './request.ts';
import type { PendingRequest } from './pendingrequest.ts';

/** Handles the claims of non-idempotent requests before and after their dispatch. */
export interface ClaimFlow {
  /** Claims the request. When it must not be dispatched, answers it and returns false. */
  claimRequest(pending: PendingRequest): Promise<boolean>;
  /** Releases the claim of a request that was not dispatched, then refuses the request. */
  refuse(pending: PendingRequest, fault: Fault): void;
  /** Stores the outcome of a request, then answers it. */
  storeAnswer(pending: PendingRequest, answer: EndpointAnswer): void;
}

/** Options of the claim flow. */
export interface ClaimFlowOptions {
  clock: Clock;
  claims: Claims;
  inFlight: InFlightCounter;
}

/** Maximum time that an answer waits for the store. */
const maxStoreWaitMs = 500;

function createReplyAnswer(reply: ClaimReply): CallerAnswer | undefined {
  if (reply.status === ClaimStatus.Acquired) return undefined;
  if (reply.status === ClaimStatus.Stored) return createRepeatAnswer(reply.outcome);
  const fault =
    reply.status === ClaimStatus.Mismatch
      ? createFault(FaultCode.DuplicateId, 'the request id was used for a different request')
      : createFault(
          FaultCode.UnknownOutcome,
          'the outcome of an earlier request with this id is unknown',
        );
  return createFaultAnswer(fault);
}

/** Creates the claim flow of a router. */
export function createClaimFlow(options: ClaimFlowOptions): ClaimFlow {
  const { clock, claims, inFlight } = options;

  /** Answers when `stored` settles, or after `maxStoreWaitMs`; the store operation continues. */
  function answerAfterStore(
    pending: PendingRequest,
    stored: Promise<unknown>,
    answer: CallerAnswer,
  ): void {
    inFlight.add();
    const cancelTimer = clock.setTimer(maxStoreWaitMs, () => {
      pending.answer(answer);
    });
    void stored
      .catch(() => undefined)
      .then(() => {
        cancelTimer();
        pending.answer(answer);
        inFlight.remove();
      });
  }

  async function claimRequest(pending: PendingRequest): Promise<boolean> {
    const key = createClaimKey(pending.request);
    inFlight.add();
    pending.cancelTimer = clock.setTimer(pending.deadlineMs - pending.arrivedMs, () => {
      // An earlier request with this id may have run, so this cannot be `not_run`.
      const fault = createFault(FaultCode.UnknownOutcome, 'the claim was not confirmed in time');
      pending.answer(createFaultAnswer(fault));
    });
    const reply = await claims.claim(key);
    pending.cancelTimer();
    inFlight.remove();
    const answer = reply.isErr() ? createFaultAnswer(reply.error) : createReplyAnswer(reply.value);
    if (answer === undefined) pending.claimKey = key;
    else pending.answer(answer);
    return answer === undefined;
  }

  function refuse(pending: PendingRequest, fault: Fault): void {
    const { claimKey } = pending;
    const outcome = pending.mayHaveRun ? { outcome: Outcome.Unknown } : {};
    const answer = createFaultAnswer({ ...fault, ...outcome });
    delete pending.claimKey;
    if (claimKey === undefined) pending.answer(answer);
    else answerAfterStore(pending, claims.releaseClaim(claimKey), answer);
  }

  function storeAnswer(pending: PendingRequest, answer: EndpointAnswer): void {
    const { claimKey } = pending;
    if (claimKey === undefined) pending.answer(answer);
    else
      answerAfterStore(pending, claims.storeOutcome(claimKey, createStoredOutcome(answer)), answer);
  }

  return { claimRequest, refuse, storeAnswer };
}
