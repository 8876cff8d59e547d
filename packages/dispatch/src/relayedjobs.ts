import {
  FaultCode,
  MessageType,
  RelayOperation,
  createFault,
  waitFor,
} from '@bergamotreach/protocol';
import type { Clock, Fault, RelayAnswerMessage, RelayCallMessage } from '@bergamotreach/protocol';
import { parseJson } from '@bergamotreach/protocol/check';
import { JobState } from '@bergamotreach/scheduling';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { checkJobRequest } from './jobrequest.ts';
import type { JobRequest } from './jobrequest.ts';
import type { Admission, JobService } from './jobservice.ts';
import type { Relay } from './relay.ts';

/** A store call that takes longer than this is also tried through a peer. */
const minHedgeAfterMs = 450;
/**
 * A peer does not reach a slow store sooner either, so a call is tried there only after this many times as
 * long as the store takes to answer.
 */
const hedgeAfterFactor = 1.5;
const noJob = 'none';
const done = 'done';

/** Options of a job service that falls back to peers. */
export interface RelayedJobsOptions {
  jobs: JobService;
  relay: Relay;
  /** Time within which the store is expected to answer a call now, in milliseconds. */
  getExpectedStoreMs: () => number;
  clock: Clock;
}

/** Whether a peer that reaches the store may still serve the call. */
function isStoreFault(fault: Fault): boolean {
  return fault.code === FaultCode.StoreUnavailable || fault.code === FaultCode.UnknownOutcome;
}

function decodeFault(answer: RelayAnswerMessage): Fault {
  const known = Object.values(FaultCode).find((code: string) => code === answer.faultCode);
  const code = known ?? FaultCode.UnknownOutcome;
  const extras = answer.retryAfterMs > 0 ? { retryAfterMs: answer.retryAfterMs } : {};
  return createFault(code, answer.message, extras);
}

/**
 * Wraps a job service so that calls that cannot reach the store go through a peer. Calls name their
 * job, so it is harmless to try both ways at once. A call is refused only if it has certainly taken
 * effect on neither way.
 */
export function createRelayedJobs(options: RelayedJobsOptions): JobService {
  const { jobs, relay, clock } = options;

  async function callPeer(
    admission: Admission,
    operation: RelayOperation,
    jobId: string,
    deadlineMs: number,
    job = '',
  ): Promise<Result<string, Fault> | undefined> {
    const { host, path, key } = admission.call;
    const answer = await relay.call({
      type: MessageType.RelayCall,
      operation,
      host,
      path,
      key: key ?? '',
      jobId,
      job,
      deadlineMs,
    });
    if (answer === undefined) return undefined;
    return answer.faultCode === '' ? Ok(answer.value) : Err(decodeFault(answer));
  }

  /** Returns the first success. If both ways fail, an unknown outcome outranks a refusal. */
  async function runHedged<T>(
    local: Promise<Result<T, Fault>>,
    callRelay: () => Promise<Result<T, Fault> | undefined>,
  ): Promise<Result<T, Fault>> {
    const slowStoreMs = hedgeAfterFactor * options.getExpectedStoreMs();
    const hedgeAfterMs = Math.max(minHedgeAfterMs, slowStoreMs);
    const early = await Promise.race([local, waitFor(clock, hedgeAfterMs).then(() => undefined)]);
    if (early !== undefined && (early.isOk() || !isStoreFault(early.error))) return early;
    const relayed = callRelay();
    const first = await Promise.race([local, relayed]);
    if (first?.isOk() === true) return first;
    const [localResult, relayedResult] = await Promise.all([local, relayed]);
    if (localResult.isOk() || relayedResult === undefined) return localResult;
    if (relayedResult.isOk()) return relayedResult;
    return localResult.error.code === FaultCode.UnknownOutcome ? localResult : relayedResult;
  }

  return {
    admit: (host, path, key) => jobs.admit(host, path, key),
    submit(admission: Admission, request: JobRequest, deadlineMs: number) {
      return runHedged<undefined>(jobs.submit(admission, request, deadlineMs), async () => {
        const job = JSON.stringify(request);
        const { id } = request;
        const reply = await callPeer(admission, RelayOperation.Submit, id, deadlineMs, job);
        return reply?.map(() => undefined);
      });
    },
    async getState(admission, id, deadlineMs) {
      const local = jobs.getState(admission, id, deadlineMs);
      const result = await runHedged<JobState | undefined>(local, async () => {
        const reply = await callPeer(admission, RelayOperation.GetState, id, deadlineMs);
        return reply?.map((value) =>
          Object.values(JobState).find((state: string) => state === value),
        );
      });
      const cached = result.isErr() ? jobs.findCachedState(admission, id) : undefined;
      return cached === undefined ? result : Ok(cached);
    },
    cancel(admission, id, deadlineMs) {
      return runHedged<boolean>(jobs.cancel(admission, id, deadlineMs), async () => {
        const reply = await callPeer(admission, RelayOperation.Cancel, id, deadlineMs);
        return reply?.map((value) => value === done);
      });
    },
    findCachedState: (admission, id) => jobs.findCachedState(admission, id),
    countPending: (queue) => jobs.countPending(queue),
  };
}

/** Carries out a relayed call on the local service. */
export async function answerRelayedCall(
  jobs: JobService,
  call: RelayCallMessage,
): Promise<RelayAnswerMessage> {
  const admission = await jobs.admit(call.host, call.path, call.key === '' ? undefined : call.key);
  if (admission.isErr()) return encodeAnswer(admission);
  return encodeAnswer(await runOperation(jobs, admission.value, call));
}

async function runOperation(
  jobs: JobService,
  admission: Admission,
  call: RelayCallMessage,
): Promise<Result<string, Fault>> {
  switch (call.operation) {
    case RelayOperation.Submit: {
      const request = parseJson(call.job, checkJobRequest);
      if (request.isErr()) return Err(createFault(FaultCode.BadRequest, request.error));
      return (await jobs.submit(admission, request.value, call.deadlineMs)).map(() => done);
    }
    case RelayOperation.GetState: {
      const state = await jobs.getState(admission, call.jobId, call.deadlineMs);
      return state.map((known) => known ?? noJob);
    }
    case RelayOperation.Cancel: {
      const isCancelled = await jobs.cancel(admission, call.jobId, call.deadlineMs);
      return isCancelled.map((known) => (known ? done : noJob));
    }
  }
}

function encodeAnswer(result: Result<unknown, Fault>): RelayAnswerMessage {
  const type = MessageType.RelayAnswer;
  if (result.isOk()) {
    return { type, faultCode: '', message: '', retryAfterMs: 0, value: String(result.value) };
  }
  const { code, message, retryAfterMs } = result.error;
  // Zero means that the fault has no retry time.
  return { type, faultCode: code, message, retryAfterMs: retryAfterMs ?? 0, value: '' };
}
