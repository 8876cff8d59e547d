import { test } from 'node:test';
import { FaultCode, MessageType, createFault, createSystemClock } from '@bergamotreach/protocol';
import type { RelayAnswerMessage } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { Err } from 'ts-results-es';
import { createRelayedJobs } from '../src/relayedjobs.ts';
import type { Admission, JobRequest, JobService } from '../src/index.ts';

const admission: Admission = {
  queue: {
    name: 'q',
    host: 'h',
    prefix: '/q/',
    pool: 'p',
    rules: { priority: 1, maxAttempts: 2, stretch: 1, targetMs: 0 },
    isPublic: true,
  },
  account: undefined,
  version: 1,
  call: { host: 'h', path: '/q/1', key: undefined },
};
const request: JobRequest = { id: '1', payload: '', steps: [] };

/**
 * Submits a job where the local service fails with `local` and the peers answer with `peer`;
 * `undefined` means that no peer was reached.
 */
async function submit(
  local: FaultCode,
  peer: FaultCode | undefined,
): Promise<FaultCode | undefined> {
  const fail = (): Promise<Err<ReturnType<typeof createFault>>> =>
    Promise.resolve(Err(createFault(local, 'no store')));
  const jobs: JobService = {
    admit: fail,
    submit: fail,
    getState: fail,
    cancel: fail,
    findCachedState: () => undefined,
    countPending: () => 0,
  };
  const answer: RelayAnswerMessage = {
    type: MessageType.RelayAnswer,
    faultCode: peer ?? '',
    message: '',
    retryAfterMs: 0,
    value: '',
  };
  const relay = { call: () => Promise.resolve(peer === undefined ? undefined : answer) };
  const service = createRelayedJobs({
    jobs,
    relay,
    getExpectedStoreMs: () => 300,
    clock: createSystemClock(),
  });
  const result = await service.submit(admission, request, 3000);
  return result.isErr() ? result.error.code : undefined;
}

// Guards against refusing a job that this instance may have stored: a peer's refusal says nothing
// about the local transaction that got no answer.
test('an unknown local outcome outranks the refusal of a peer', async () => {
  const code = await submit(FaultCode.UnknownOutcome, FaultCode.StoreUnavailable);
  expect(code).toEqual(FaultCode.UnknownOutcome);
});

// Guards against refusing a job that a peer may have stored.
test('an unknown outcome of a peer outranks the local refusal', async () => {
  const code = await submit(FaultCode.StoreUnavailable, FaultCode.UnknownOutcome);
  expect(code).toEqual(FaultCode.UnknownOutcome);
});

// Guards against an unknown outcome, which makes callers retry, although nobody can have stored the
// job.
test('a local refusal stands if no peer was reached', async () => {
  const code = await submit(FaultCode.StoreUnavailable, undefined);
  expect(code).toEqual(FaultCode.StoreUnavailable);
});
