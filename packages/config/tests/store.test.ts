import { FaultCode, createManualClock, getOutcome, Outcome } from '@bergamotreach/protocol';
import { expect } from 'earl';
import fc from 'fast-check';
import { test } from 'node:test';
import { createConfigStore } from '../src/index.ts';
import type { ConfigChange, ConflictDetails, Manifest } from '../src/index.ts';
import {
  advanceUntil,
  CommitBehaviour,
  FakeObjectStore,
  FakeTable,
  advanceUntilDone,
  formatAccount,
} from './fakes.ts';

function setUp() {
  const table = new FakeTable();
  const objectStore = new FakeObjectStore();
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

/** Commits revision 1; `behaviours` applies to its commit attempts in order. */
function commitFirstRevision(setup: ReturnType<typeof setUp>, ...behaviours: CommitBehaviour[]) {
  setup.table.behaviours.push(...behaviours);
  return setup.store.commitChange(createChange(0, { put: first }));
}

// Guards against silently losing the change of the slower of two concurrent operators.
test('of two concurrent changes one is committed and the other is a conflict that shows both', async () => {
  const setup = setUp();
  (await commitFirstRevision(setup)).unwrap();
  const ann = createChange(1, { put: { 'a.json': formatAccount('acme', 2) }, author: 'ann' });
  const bob = createChange(1, { remove: ['b.json'], author: 'bob' });
  setup.table.beforeCommit = async () => {
    (await setup.store.commitChange(ann)).unwrap();
  };
  const pending = setup.store.commitChange(bob);
  const fault = (await advanceUntilDone(setup.clock, pending)).unwrapErr();
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

test('a change on an old base is a conflict and sends no commit', async () => {
  const setup = setUp();
  (await commitFirstRevision(setup)).unwrap();
  expect((await commitFirstRevision(setup)).unwrapErr().code).toEqual(FaultCode.Conflict);
  expect(setup.table.commits).toEqual(1);
});

// Guards against committing a change twice, or reporting it as failed, after a lost reply.
test('after a lost reply the change is read back and not committed again', async () => {
  const setup = setUp();
  const result = await advanceUntilDone(
    setup.clock,
    commitFirstRevision(setup, CommitBehaviour.LostReply),
  );
  expect(result.unwrap().revision).toEqual(1);
  expect(setup.table.commits).toEqual(1);
  expect(await loadFiles(setup)).toEqual(first);
});

test('a change with a lost reply counts as committed even after another change', async () => {
  const setup = setUp();
  const pending = commitFirstRevision(setup, CommitBehaviour.LostReply);
  await advanceUntil(setup.clock, () => setup.table.commits === 1);
  const other = createChange(1, { put: { 'c.json': formatAccount('cold', 1) } });
  (await setup.store.commitChange(other)).unwrap();
  expect((await advanceUntilDone(setup.clock, pending)).unwrap().revision).toEqual(1);
  expect(Object.keys(await loadFiles(setup))).toEqual(['a.json', 'b.json', 'c.json']);
});

test('a delayed commit takes effect once', async () => {
  const setup = setUp();
  const result = await advanceUntilDone(
    setup.clock,
    commitFirstRevision(setup, CommitBehaviour.Delayed),
  );
  setup.table.deliverDelayed();
  expect(result.unwrap().revision).toEqual(1);
  expect((await setup.store.loadHead()).unwrap().revision).toEqual(1);
});

test('a retry with the same operation id returns the revision it created', async () => {
  const setup = setUp();
  const change = createChange(0, { put: first });
  (await setup.store.commitChange(change)).unwrap();
  (await setup.store.commitChange(createChange(1, { remove: ['b.json'] }))).unwrap();
  expect((await setup.store.commitChange(change)).unwrap().revision).toEqual(1);
});

test('an outage after a lost reply is an unknown outcome', async () => {
  const setup = setUp();
  const pending = commitFirstRevision(setup, CommitBehaviour.LostReply);
  await advanceUntil(setup.clock, () => setup.table.commits === 1);
  setup.table.isDown = true;
  const fault = (await advanceUntilDone(setup.clock, pending)).unwrapErr();
  expect([fault.code, getOutcome(fault)]).toEqual([FaultCode.UnknownOutcome, Outcome.Unknown]);
});

test('after refused commits the outcome is not_run', async () => {
  const setup = setUp();
  const { Refused } = CommitBehaviour;
  const pending = commitFirstRevision(setup, Refused, Refused, Refused, Refused);
  const fault = (await advanceUntilDone(setup.clock, pending)).unwrapErr();
  expect([fault.code, getOutcome(fault)]).toEqual([FaultCode.StoreUnavailable, Outcome.NotRun]);
});

async function listOperations({ store, objectStore }: ReturnType<typeof setUp>): Promise<string[]> {
  const entries = (await store.loadHistory(1000)).unwrap();
  const texts = entries.map(({ manifest }) => objectStore.contents.get(manifest) ?? '');
  return texts.map((text) => (JSON.parse(text) as Manifest).operationId);
}

// In each round two operators change the same revision while commits are lost, delayed or refused.
test('reported outcomes are correct and no committed change is lost', async () => {
  const behaviours = fc.array(fc.constantFrom(...Object.values(CommitBehaviour)), { maxLength: 8 });
  const rounds = fc.array(behaviours, { minLength: 1, maxLength: 4 });
  async function runRounds(behavioursByRound: CommitBehaviour[][]): Promise<void> {
    const setup = setUp();
    const accepted: string[] = [];
    const notRun: string[] = [];
    for (const roundBehaviours of behavioursByRound) {
      const base = (await setup.store.loadHead()).unwrap().revision;
      setup.table.behaviours.splice(0, Infinity, ...roundBehaviours);
      const changes = ['ann', 'bob'].map((author) =>
        createChange(base, {
          author,
          put: { [`${author}.json`]: formatAccount(author, base + 1) },
        }),
      );
      const pending = Promise.all(changes.map((change) => setup.store.commitChange(change)));
      for (const [index, result] of (await advanceUntilDone(setup.clock, pending)).entries()) {
        const { operationId } = changes[index]!;
        if (result.isOk()) accepted.push(operationId);
        else if (getOutcome(result.error) === Outcome.NotRun) notRun.push(operationId);
      }
      setup.table.deliverDelayed();
    }
    const inForce = await listOperations(setup);
    expect(new Set(inForce).size).toEqual(inForce.length);
    expect(accepted.filter((id) => !inForce.includes(id))).toEqual([]);
    expect(notRun.filter((id) => inForce.includes(id))).toEqual([]);
  }
  await fc.assert(fc.asyncProperty(rounds, runRounds), { seed: 20260406, numRuns: 100 });
});

test('an invalid change is rejected with all faults', async () => {
  const setup = setUp();
  const put = { 'a.json': formatAccount('acme', -1), 'b.json': '{"limit": {}}' };
  const fault = (await setup.store.commitChange(createChange(0, { put }))).unwrapErr();
  expect(fault.code).toEqual(FaultCode.ConfigInvalid);
  expect((fault.details as { faults: unknown[] }).faults.length).toEqual(2);
  expect(setup.table.commits).toEqual(0);
});

test('an empty change and the removal of an absent file are rejected', async () => {
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
  (await commitFirstRevision(setup)).unwrap();
  await loadFiles(setup);
  const change = createChange(1, { put: { 'a.json': formatAccount('a', 2) } });
  (await setup.store.commitChange(change)).unwrap();
  const reads = setup.objectStore.reads;
  await loadFiles(setup);
  expect(setup.objectStore.reads - reads).toEqual(2);
});

test('content that does not match its hash is rejected', async () => {
  const setup = setUp();
  (await commitFirstRevision(setup)).unwrap();
  for (const hash of setup.objectStore.contents.keys()) {
    setup.objectStore.contents.set(hash, `${setup.objectStore.contents.get(hash) ?? ''} `);
  }
  const head = (await setup.store.loadHead()).unwrap();
  const fault = (await setup.store.loadRevision(head)).unwrapErr();
  expect(fault.code).toEqual(FaultCode.ConfigInvalid);
});
