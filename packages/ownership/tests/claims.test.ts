import { test } from 'node:test';
import { FaultCode, waitForPromises } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { ClaimStatus, createClaims, maxInlineBodyBytes } from '../src/index.ts';
import { FakeObjects } from './fakeobjects.ts';
import { TableFault } from './faketable.ts';
import { createNode, createState } from './setup.ts';

function createSetup() {
  const { clock, state } = createState();
  const objects = new FakeObjects();
  const create = (id: string) => {
    const { table, committer } = createNode(state, id);
    return createClaims({ table, committer, objects, daemon: id });
  };
  const run = async <T>(call: Promise<T>): Promise<T> => {
    await waitForPromises();
    await clock.advance(50);
    return call;
  };
  return { state, run, first: create('d1'), second: create('d2') };
}

const key = { account: 'a', requestId: 'r/1', digest: 'x' };
const outcome = { status: 200, contentType: 'text/plain', body: 'aGk=' };

// Guards against dispatching a non-idempotent request on two daemons.
test('a claim is acquired once, and a retry gets the stored outcome', async () => {
  const { run, first, second } = createSetup();
  const both = await run(Promise.all([first.claim(key), second.claim(key)]));
  expect(both.map((reply) => reply.unwrap().status)).toEqual([
    ClaimStatus.Acquired,
    ClaimStatus.Unknown,
  ]);
  expect((await run(first.storeOutcome(key, outcome))).isOk()).toEqual(true);
  const repeat = await run(second.claim(key));
  expect(repeat.unwrap()).toEqual({ status: ClaimStatus.Stored, outcome });
  const reuse = await run(second.claim({ ...key, digest: 'y' }));
  expect(reuse.unwrap().status).toEqual(ClaimStatus.Mismatch);
});

// Guards against answers that are too large for a row.
test('a large body is stored in the object store', async () => {
  const { run, first, state } = createSetup();
  const long = { ...outcome, body: 'A'.repeat(maxInlineBodyBytes + 4) };
  await run(first.claim(key));
  await run(first.storeOutcome(key, long));
  expect(JSON.stringify([...state.rows.values()]).length < 1000).toEqual(true);
  const repeat = await run(first.claim(key));
  expect(repeat.unwrap()).toEqual({ status: ClaimStatus.Stored, outcome: long });
});

// Guards against a request that cannot be retried although it was not dispatched.
test('a released claim can be acquired again', async () => {
  const { run, first, second } = createSetup();
  await run(first.claim(key));
  expect((await run(first.releaseClaim(key))).isOk()).toEqual(true);
  expect((await run(second.claim(key))).unwrap().status).toEqual(ClaimStatus.Acquired);
});

// Guards against dispatching a request without a durable claim.
test('no claim is acquired while the store is down', async () => {
  const { run, first, state } = createSetup();
  state.fault = TableFault.Down;
  const reply = await run(first.claim(key));
  expect(reply.isErr() && reply.error.code).toEqual(FaultCode.StoreUnavailable);
});
