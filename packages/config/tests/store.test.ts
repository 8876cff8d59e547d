import { FaultCode, createManualClock, getOutcome, Outcome } from '@bergamotreach/protocol';
import { expect } from 'earl';
import fc from 'fast-check';
import { test } from 'node:test';
import { createConfigStore } from '../src/index.ts';
import type { ConfigChange, ConflictDetails, Manifest } from '../src/index.ts';
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

const first = { 'a.json': formatAccount('acme', 1), 'b.json': formatAccount('bolt', 1) };

/** Starts the change that creates revision 1, with the given fates of its commits. */
function startFirst(setup: ReturnType<typeof setUp>, ...fates: CommitFate[]) {
  setup.table.fates.push(...fates);
  return setup.store.commitChange(createChange(0, { put: first }));
}

// Guards against a merge that silently drops the change of the slower operator.
test('racing operators: one wins and the other sees both changes', async () => {
  const setup = setUp();
  (await startFirst(setup)).unwrap();
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

test('change on an old base is a conflict before anything is sent', async () => {
  const setup = setUp();
  (await startFirst(setup)).unwrap();
  expect((await startFirst(setup)).unwrapErr().code).toEqual(FaultCode.Conflict);
  expect(setup.table.commits).toEqual(1);
});

// Guards against a lost reply being sent twice or reported as a failure.
test('lost reply is read back and not repeated', async () => {
  const setup = setUp();
  const result = await finish(setup.clock, startFirst(setup, CommitFate.LostReply));
  expect(result.unwrap().revision).toEqual(1);
  expect(setup.table.commits).toEqual(1);
  expect(await loadFiles(setup)).toEqual(first);
});

test('lost reply overtaken by another change still counts as accepted', async () => {
  const setup = setUp();
  const pending = startFirst(setup, CommitFate.LostReply);
  await advanceUntil(setup.clock, () => setup.table.commits === 1);
  const other = createChange(1, { put: { 'c.json': formatAccount('cold', 1) } });
  (await setup.store.commitChange(other)).unwrap();
  expect((await finish(setup.clock, pending)).unwrap().revision).toEqual(1);
  expect(Object.keys(await loadFiles(setup))).toEqual(['a.json', 'b.json', 'c.json']);
});

test('commit that arrives late takes effect once', async () => {
  const setup = setUp();
  const result = await finish(setup.clock, startFirst(setup, CommitFate.Late));
  setup.table.deliverLate();
  expect(result.unwrap().revision).toEqual(1);
  expect((await setup.store.loadHead()).unwrap().revision).toEqual(1);
});

test('repeat under the same operation id returns its revision', async () => {
  const setup = setUp();
  const change = createChange(0, { put: first });
  (await setup.store.commitChange(change)).unwrap();
  (await setup.store.commitChange(createChange(1, { remove: ['b.json'] }))).unwrap();
  expect((await setup.store.commitChange(change)).unwrap().revision).toEqual(1);
});

test('outage after a lost reply is an unknown outcome', async () => {
  const setup = setUp();
  const pending = startFirst(setup, CommitFate.LostReply);
  await advanceUntil(setup.clock, () => setup.table.commits === 1);
  setup.table.isDown = true;
  const fault = (await finish(setup.clock, pending)).unwrapErr();
  expect([fault.code, getOutcome(fault)]).toEqual([FaultCode.UnknownOutcome, Outcome.Unknown]);
});

test('refused commits are certain not to have taken effect', async () => {
  const setup = setUp();
  const { Refused } = CommitFate;
  const pending = startFirst(setup, Refused, Refused, Refused, Refused);
  const fault = (await finish(setup.clock, pending)).unwrapErr();
  expect([fault.code, getOutcome(fault)]).toEqual([FaultCode.StoreUnavailable, Outcome.NotRun]);
});

async function listOperations({ store, objectStore }: ReturnType<typeof setUp>): Promise<string[]> {
  const entries = (await store.loadHistory(1000)).unwrap();
  const texts = entries.map(({ manifest }) => objectStore.contents.get(manifest) ?? '');
  return texts.map((text) => (JSON.parse(text) as Manifest).operationId);
}

// Each round two operators change the same revision while commits are lost, late or refused.
test('operators are told what happened, and nothing accepted is lost', async () => {
  const fates = fc.array(fc.constantFrom(...Object.values(CommitFate)), { maxLength: 8 });
  const rounds = fc.array(fates, { minLength: 1, maxLength: 4 });
  async function runRounds(faults: CommitFate[][]): Promise<void> {
    const setup = setUp();
    const accepted: string[] = [];
    const notRun: string[] = [];
    for (const faultsOfRound of faults) {
      const base = (await setup.store.loadHead()).unwrap().revision;
      setup.table.fates.splice(0, Infinity, ...faultsOfRound);
      const changes = ['ann', 'bob'].map((author) =>
        createChange(base, {
          author,
          put: { [`${author}.json`]: formatAccount(author, base + 1) },
        }),
      );
      const pending = Promise.all(changes.map((change) => setup.store.commitChange(change)));
      for (const [index, result] of (await finish(setup.clock, pending)).entries()) {
        const { operationId } = changes[index]!;
        if (result.isOk()) accepted.push(operationId);
        else if (getOutcome(result.error) === Outcome.NotRun) notRun.push(operationId);
      }
      setup.table.deliverLate();
    }
    const inForce = await listOperations(setup);
    expect(new Set(inForce).size).toEqual(inForce.length);
    expect(accepted.filter((id) => !inForce.includes(id))).toEqual([]);
    expect(notRun.filter((id) => inForce.includes(id))).toEqual([]);
  }
  await fc.assert(fc.asyncProperty(rounds, runRounds), { seed: 20260406, numRuns: 100 });
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
  (await startFirst(setup)).unwrap();
  await loadFiles(setup);
  const change = createChange(1, { put: { 'a.json': formatAccount('a', 2) } });
  (await setup.store.commitChange(change)).unwrap();
  const reads = setup.objectStore.reads;
  await loadFiles(setup);
  expect(setup.objectStore.reads - reads).toEqual(2);
});

test('content that fails its hash is refused', async () => {
  const setup = setUp();
  (await startFirst(setup)).unwrap();
  for (const hash of setup.objectStore.contents.keys()) {
    setup.objectStore.contents.set(hash, `${setup.objectStore.contents.get(hash) ?? ''} `);
  }
  const head = (await setup.store.loadHead()).unwrap();
  const fault = (await setup.store.loadRevision(head)).unwrapErr();
  expect(fault.code).toEqual(FaultCode.ConfigInvalid);
});
