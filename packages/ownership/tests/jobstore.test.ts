import { test } from 'node:test';
import { FaultCode, waitForPromises } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { JobState, createJobStore } from '../src/index.ts';
import type { JobStore } from '../src/index.ts';
import { TableFault } from './faketable.ts';
import { createLease, createNode, createState, region } from './setup.ts';

function createSetup() {
  const { clock, state } = createState();
  const node = createNode(state, 'd1');
  const options = { table: node.table, committer: node.committer, region, getWallMs: () => 5 };
  const store: JobStore<string, string> = createJobStore(options);
  const lease = createLease(node);
  const run = async <T>(call: Promise<T>): Promise<T> => {
    await waitForPromises();
    await clock.advance(50);
    return call;
  };
  return { clock, state, store, lease, run };
}

function createSubmission(jobId: string, digest = 'x') {
  return { jobId, account: 'a', spec: 's', payload: 'p', digest };
}

// Guards against running a job twice because its submission was retried.
test('a submission is accepted once per job id', async () => {
  const { store, run } = createSetup();
  const first = (await run(store.insertJob(createSubmission('j')))).unwrap();
  const repeat = (await run(store.insertJob(createSubmission('j')))).unwrap();
  expect([first.isNew, repeat.isNew]).toEqual([true, false]);
  const other = await run(store.insertJob(createSubmission('j', 'y')));
  expect(other.isErr() && other.error.code).toEqual(FaultCode.DuplicateId);
});

// Guards against refusing a submission although its row was written.
test('a submission whose reply is lost is accepted', async () => {
  const { store, run, state } = createSetup();
  state.fault = TableFault.LostReply;
  const result = await run(store.insertJob(createSubmission('j')));
  expect(result.unwrap().isNew).toEqual(true);
});

// Guards against writes of a deposed owner and against losing a cancellation.
test('owner writes require the row version and the epoch', async () => {
  const { store, lease, run, clock, state } = createSetup();
  lease.start();
  await clock.advance(100);
  const { row } = (await run(store.insertJob(createSubmission('j')))).unwrap();
  const epoch = lease.getEpochCondition()!;
  expect((await run(store.cancelJob('j'))).unwrap().record.isCancelRequested).toEqual(true);
  const next = { ...row.record, state: JobState.Starting };
  const stale = await run(store.updateJob(row, next, epoch));
  expect(stale.isErr() && stale.error.code).toEqual(FaultCode.Conflict);
  const marked = (await run(store.getJob('j'))).unwrap();
  const epochKey = `epoch/${region}`;
  const operation = { operationId: 'x', conditions: [], writes: [{ key: epochKey, value: 1 }] };
  state.apply(operation, 'x', 0);
  const deposed = await run(store.updateJob(marked, next, epoch));
  expect(deposed.isErr() && deposed.error.code).toEqual(FaultCode.NotOwner);
});

// Guards against a new owner that misses jobs beyond the first page.
test('all rows are listed over several pages', async () => {
  const { store, run, clock } = createSetup();
  for (let n = 0; n < 1100; n += 1) void store.insertJob(createSubmission(`j${n}`));
  await clock.advance(500);
  const seen = new Set<string>();
  await run(store.listAll((row) => seen.add(row.record.jobId)));
  expect(seen.size).toEqual(1100);
  const page = (await run(store.listPage('j1098', 2))).unwrap();
  expect(page.rows.map((row) => row.record.jobId)).toEqual(['j1099', 'j11']);
});
