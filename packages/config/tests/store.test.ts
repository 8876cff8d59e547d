import { FaultCode, createManualClock, getOutcome, Outcome } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { test } from 'node:test';
import { createConfigStore } from '../src/index.ts';
import type { ConfigChange, ConflictDetails } from '../src/index.ts';
import {
  advanceUntil,
  CommitFate,
  FakeObjects,
  FakeTable,
  finish,
  formatAccount,
} from './fakes.ts';

function setUp() {
  const table = new FakeTable();
  const objectStore = new FakeObjects();
  const clock = createManualClock();
  const store = createConfigStore({ table, objectStore, clock });
  return { table, objectStore, clock, store };
}

let nextOperation = 0;

function createChange(base: number, parts: Partial<ConfigChange>): ConfigChange {
  nextOperation += 1;
  const operationId = `op-${nextOperation}`;
  return { baseRevision: base, put: {}, remove: [], author: 'ann', operationId, ...parts };
}

async function loadFiles(setup: ReturnType<typeof setUp>): Promise<Record<string, string>> {
  const head = (await setup.store.loadHead()).unwrap();
  return (await setup.store.loadRevision(head)).unwrap().files;
}

test('first change creates revision 1', async () => {
  const setup = setUp();
  const put = { 'a.json': formatAccount('acme', 1) };
  const result = await setup.store.commitChange(createChange(0, { put }));
  expect(result.unwrap().revision).toEqual(1);
  expect(await loadFiles(setup)).toEqual(put);
});

// Guards against a merge that silently drops the change of the slower operator.
test('racing operators: one wins and the other sees both changes', async () => {
  const setup = setUp();
  const first = { 'a.json': formatAccount('acme', 1), 'b.json': formatAccount('bolt', 1) };
  await setup.store.commitChange(createChange(0, { put: first }));
  const ann = createChange(1, { put: { 'a.json': formatAccount('acme', 2) }, author: 'ann' });
  const bob = createChange(1, { remove: ['b.json'], author: 'bob' });
  setup.table.beforeCommit = async () => {
    (await setup.store.commitChange(ann)).unwrap();
  };
  const pending = setup.store.commitChange(bob);
  const fault = (await finish(setup.clock, pending)).unwrapErr();
  expect(fault.code).toEqual(FaultCode.Conflict);
  const details = fault.details as ConflictDetails;
  expect(details.headRevision).toEqual(2);
  expect(details.theirs.map(({ author, put }) => [author, put])).toEqual([['ann', ['a.json']]]);
  expect(details.files).toEqual([
    {
      name: 'a.json',
      isChangedByTheirs: true,
      isChangedByYours: false,
      base: formatAccount('acme', 1),
      theirs: formatAccount('acme', 2),
      yours: formatAccount('acme', 1),
    },
    {
      name: 'b.json',
      isChangedByTheirs: false,
      isChangedByYours: true,
      base: formatAccount('bolt', 1),
      theirs: formatAccount('bolt', 1),
      yours: null,
    },
  ]);
  expect(await loadFiles(setup)).toEqual({ ...first, ...ann.put });
});

test('change on an old base is a conflict before anything is stored', async () => {
  const setup = setUp();
  const put = { 'a.json': formatAccount('acme', 1) };
  await setup.store.commitChange(createChange(0, { put }));
  const commits = setup.table.commits;
  const fault = (await setup.store.commitChange(createChange(0, { put }))).unwrapErr();
  expect(fault.code).toEqual(FaultCode.Conflict);
  expect(setup.table.commits).toEqual(commits);
});

// Guards against a lost reply being sent twice or reported as a failure.
test('lost reply is read back and not repeated', async () => {
  const setup = setUp();
  setup.table.fates.push(CommitFate.LostReply);
  const put = { 'a.json': formatAccount('acme', 1) };
  const pending = setup.store.commitChange(createChange(0, { put }));
  expect((await finish(setup.clock, pending)).unwrap().revision).toEqual(1);
  expect(setup.table.commits).toEqual(1);
});

test('lost reply overtaken by another change still counts as accepted', async () => {
  const setup = setUp();
  setup.table.fates.push(CommitFate.LostReply);
  const put = { 'a.json': formatAccount('acme', 1) };
  const pending = setup.store.commitChange(createChange(0, { put }));
  await advanceUntil(setup.clock, () => setup.table.commits === 1);
  const other = createChange(1, { put: { 'b.json': formatAccount('bolt', 1) } });
  (await setup.store.commitChange(other)).unwrap();
  expect((await finish(setup.clock, pending)).unwrap().revision).toEqual(1);
  expect(Object.keys(await loadFiles(setup))).toEqual(['a.json', 'b.json']);
});

test('commit that arrives late takes effect once', async () => {
  const setup = setUp();
  setup.table.fates.push(CommitFate.Late);
  const put = { 'a.json': formatAccount('acme', 1) };
  const pending = setup.store.commitChange(createChange(0, { put }));
  expect((await finish(setup.clock, pending)).unwrap().revision).toEqual(1);
  setup.table.deliverLate();
  expect((await setup.store.loadHead()).unwrap().revision).toEqual(1);
});

test('repeat under the same operation id returns its revision', async () => {
  const setup = setUp();
  const change = createChange(0, { put: { 'a.json': formatAccount('acme', 1) } });
  (await setup.store.commitChange(change)).unwrap();
  const other = createChange(1, { put: { 'b.json': formatAccount('bolt', 1) } });
  (await setup.store.commitChange(other)).unwrap();
  expect((await setup.store.commitChange(change)).unwrap().revision).toEqual(1);
});

test('outage after a lost reply is an unknown outcome', async () => {
  const setup = setUp();
  setup.table.fates.push(CommitFate.LostReply);
  const put = { 'a.json': formatAccount('acme', 1) };
  const pending = setup.store.commitChange(createChange(0, { put }));
  await advanceUntil(setup.clock, () => setup.table.commits === 1);
  setup.table.isDown = true;
  const fault = (await finish(setup.clock, pending)).unwrapErr();
  expect([fault.code, getOutcome(fault)]).toEqual([FaultCode.UnknownOutcome, Outcome.Unknown]);
});

test('refused commits are certain not to have taken effect', async () => {
  const setup = setUp();
  const refused = [1, 2, 3, 4].map(() => CommitFate.Refused);
  setup.table.fates.push(...refused);
  const put = { 'a.json': formatAccount('acme', 1) };
  const pending = setup.store.commitChange(createChange(0, { put }));
  const fault = (await finish(setup.clock, pending)).unwrapErr();
  expect([fault.code, getOutcome(fault)]).toEqual([FaultCode.StoreUnavailable, Outcome.NotRun]);
  expect((await setup.store.loadHead()).unwrap().revision).toEqual(0);
});

test('invalid change is refused with all faults', async () => {
  const setup = setUp();
  const put = { 'a.json': formatAccount('acme', -1), 'b.json': '{"limit": {}}' };
  const fault = (await setup.store.commitChange(createChange(0, { put }))).unwrapErr();
  expect(fault.code).toEqual(FaultCode.ConfigInvalid);
  expect((fault.details as { faults: unknown[] }).faults.length).toEqual(2);
  expect(setup.table.commits).toEqual(0);
});

test('removing an absent file and an empty change are refused', async () => {
  const setup = setUp();
  const missing = await setup.store.commitChange(createChange(0, { remove: ['x.json'] }));
  expect(missing.unwrapErr().code).toEqual(FaultCode.NotFound);
  const empty = await setup.store.commitChange(createChange(0, {}));
  expect(empty.unwrapErr().code).toEqual(FaultCode.BadRequest);
});

test('history lists changes newest first and follows parents', async () => {
  const setup = setUp();
  for (const [index, id] of ['a', 'b', 'c'].entries()) {
    const put = { [`${id}.json`]: formatAccount(id, 1) };
    (await setup.store.commitChange(createChange(index, { put }))).unwrap();
  }
  const entries = (await setup.store.loadHistory(2)).unwrap();
  expect(entries.map(({ revision, put }) => [revision, put])).toEqual([
    [3, ['c.json']],
    [2, ['b.json']],
  ]);
});

test('only changed files are read again', async () => {
  const setup = setUp();
  const put = { 'a.json': formatAccount('a', 1), 'b.json': formatAccount('b', 1) };
  await setup.store.commitChange(createChange(0, { put }));
  await loadFiles(setup);
  const change = createChange(1, { put: { 'a.json': formatAccount('a', 2) } });
  (await setup.store.commitChange(change)).unwrap();
  const reads = setup.objectStore.reads;
  await loadFiles(setup);
  expect(setup.objectStore.reads - reads).toEqual(2);
});

test('content that fails its hash is refused', async () => {
  const setup = setUp();
  const put = { 'a.json': formatAccount('a', 1) };
  await setup.store.commitChange(createChange(0, { put }));
  for (const hash of setup.objectStore.contents.keys()) {
    setup.objectStore.contents.set(hash, `${setup.objectStore.contents.get(hash) ?? ''} `);
  }
  const head = (await setup.store.loadHead()).unwrap();
  const fault = (await setup.store.loadRevision(head)).unwrapErr();
  expect(fault.code).toEqual(FaultCode.ConfigInvalid);
});
