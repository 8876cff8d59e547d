import { ClaimStatus } from '@bergamotreach/ownership';
import type { ClaimReply, Claims } from '@bergamotreach/ownership';
import { createFault, FaultCode, Outcome } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import type { OpenWork } from './openwork.ts';
import { createClaimKey, createRepeatAnswer, createStoredOutcome } from './outcome.ts';
import { createFaultAnswer } from './request.ts';
import type { CallerAnswer, EndpointAnswer } from './request.ts';
import type { Ticket } from './ticket.ts';

/** Claims of requests that must not run twice, before and after their dispatch. */
export interface ClaimFlow {
  /** Claims the request. False when it must not be dispatched; it is answered then. */
  takeClaim(ticket: Ticket): Promise<boolean>;
  /** Refuses a request that was not dispatched, after its claim is released. */
  refuse(ticket: Ticket, fault: Fault): void;
  /** Answers a request after its outcome is stored. */
  storeAnswer(ticket: Ticket, answer: EndpointAnswer): void;
}

/** Options of the claim flow. */
export interface ClaimFlowOptions {
  clock: Clock;
  claims: Claims;
  work: OpenWork;
}

/** Longest time that an answer waits for the store. */
const storeWaitMs = 500;

function createReplyAnswer(reply: ClaimReply): CallerAnswer | undefined {
  if (reply.status === ClaimStatus.Acquired) return undefined;
  if (reply.status === ClaimStatus.Stored) return createRepeatAnswer(reply.outcome);
  const fault =
    reply.status === ClaimStatus.Mismatch
      ? createFault(FaultCode.DuplicateId, 'the id was used for a different request')
      : createFault(FaultCode.UnknownOutcome, 'an earlier request with this id has no outcome');
  return createFaultAnswer(fault);
}

/** Creates the claim flow of a router. */
export function createClaimFlow(options: ClaimFlowOptions): ClaimFlow {
  const { clock, claims, work } = options;

  /** Answers when the store is done, or after `storeWaitMs`; the store's work goes on. */
  function answerAfter(ticket: Ticket, stored: Promise<unknown>, answer: CallerAnswer): void {
    work.addOne();
    const cancelTimer = clock.setTimer(storeWaitMs, () => {
      ticket.answer(answer);
    });
    void stored
      .catch(() => undefined)
      .then(() => {
        cancelTimer();
        ticket.answer(answer);
        work.removeOne();
      });
  }

  async function takeClaim(ticket: Ticket): Promise<boolean> {
    const key = createClaimKey(ticket.request);
    work.addOne();
    ticket.cancelTimer = clock.setTimer(ticket.deadlineMs - ticket.arrivedMs, () => {
      // An earlier request with this id may have run, so this cannot be `not_run`.
      const fault = createFault(FaultCode.UnknownOutcome, 'the claim was not confirmed in time');
      ticket.answer(createFaultAnswer(fault));
    });
    const reply = await claims.claim(key);
    ticket.cancelTimer();
    work.removeOne();
    const answer = reply.isErr() ? createFaultAnswer(reply.error) : createReplyAnswer(reply.value);
    if (answer === undefined) ticket.claimKey = key;
    else ticket.answer(answer);
    return answer === undefined;
  }

  function refuse(ticket: Ticket, fault: Fault): void {
    const { claimKey } = ticket;
    const outcome = ticket.mayHaveRun ? { outcome: Outcome.Unknown } : {};
    const answer = createFaultAnswer({ ...fault, ...outcome });
    delete ticket.claimKey;
    if (claimKey === undefined) ticket.answer(answer);
    else answerAfter(ticket, claims.releaseClaim(claimKey), answer);
  }

  function storeAnswer(ticket: Ticket, answer: EndpointAnswer): void {
    const { claimKey } = ticket;
    if (claimKey === undefined) ticket.answer(answer);
    else answerAfter(ticket, claims.storeOutcome(claimKey, createStoredOutcome(answer)), answer);
  }

  return { takeClaim, refuse, storeAnswer };
}
