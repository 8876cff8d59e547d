import { test } from 'node:test';
import { expect } from 'earl';
import { TransactionStatus, WritePriority } from '../src/index.ts';
import type { Transaction } from '../src/index.ts';
import { TableFault } from './faketable.ts';
import { createNode, createState } from './setup.ts';

function createInsert(key: string, priority = WritePriority.NewWork): Transaction {
  return { conditions: [{ key, version: 0 }], writes: [{ key, value: key }], priority };
}

// Guards against one table commit per small transaction.
test('independent transactions share a commit of at most 100 writes', async () => {
  const { clock, state } = createState();
  const { committer } = createNode(state, 'd1');
  const replies = Array.from({ length: 250 }, (_, n) => committer.submit(createInsert(`k${n}`)));
  await clock.advance(100);
  const statuses = (await Promise.all(replies)).map((reply) => reply.status);
  expect(new Set(statuses)).toEqual(new Set([TransactionStatus.Committed]));
  expect(state.accepted.map((commit) => commit.writes.length)).toEqual([100, 100, 50]);
});

// Guards against a commit that the store refuses because it has too many conditions.
test('conditions count towards the size limit of a commit', async () => {
  const { clock, state } = createState();
  const { committer } = createNode(state, 'd1', { maxEntries: 100 });
  const replies = Array.from({ length: 40 }, (_, n) => {
    const insert = createInsert(`k${n}`);
    const guard = { key: `guard${n}`, version: 0 };
    return committer.submit({ ...insert, conditions: [...insert.conditions, guard] });
  });
  await clock.advance(100);
  const statuses = (await Promise.all(replies)).map((reply) => reply.status);
  expect(new Set(statuses)).toEqual(new Set([TransactionStatus.Committed]));
  expect(state.accepted.map((commit) => commit.writes.length)).toEqual([33, 7]);
});

// Guards against one transaction whose content the store refuses, which failed or delayed the others of its commit.
test('a transaction that the store refuses for its content fails alone', async () => {
  const { clock, state } = createState();
  state.isRejected = (key) => key === 'b';
  const { committer } = createNode(state, 'd1');
  const replies = ['a', 'b', 'c'].map((key) => committer.submit(createInsert(key)));
  await clock.advance(500);
  const statuses = (await Promise.all(replies)).map((reply) => reply.status);
  const { Committed, Rejected } = TransactionStatus;
  expect(statuses).toEqual([Committed, Rejected, Committed]);
});

// Guards against a commit that the store refuses since its transactions together are too large.
test('the sizes of transactions count towards the limit of a commit', async () => {
  const { clock, state } = createState();
  state.limits = { rowBytes: Infinity, commitBytes: 1000 };
  const { committer } = createNode(state, 'd1');
  const replies = Array.from({ length: 20 }, (_, n) => committer.submit(createInsert(`k${n}`)));
  await clock.advance(500);
  const statuses = (await Promise.all(replies)).map((reply) => reply.status);
  expect(new Set(statuses)).toEqual(new Set([TransactionStatus.Committed]));
  expect([state.rejections, state.accepted.length > 1]).toEqual([0, true]);
});

// Guards against submissions that fill the memory while they wait for the store, and against shedding an outcome
// for them.
test('new work beyond the bytes of the queue is refused at once', async () => {
  const { clock, state } = createState();
  const { committer } = createNode(state, 'd1', { maxNewWorkBytes: 500 });
  const value = 'x'.repeat(200);
  const submit = (key: string, priority = WritePriority.NewWork) =>
    committer.submit({ ...createInsert(key, priority), writes: [{ key, value }] });
  const replies = ['a', 'b', 'c'].map((key) => submit(key));
  const outcome = submit('d', WritePriority.Outcome);
  await clock.advance(100);
  const statuses = (await Promise.all([...replies, outcome])).map((reply) => reply.status);
  const { Committed, Unavailable } = TransactionStatus;
  expect(statuses).toEqual([Committed, Unavailable, Unavailable, Committed]);
});

// Guards against one conflicting transaction failing its whole group.
test('a conflict fails only the transactions concerned', async () => {
  const { clock, state } = createState();
  state.apply({ operationId: 'x', conditions: [], writes: [{ key: 'b', value: 1 }] }, 'x', 0);
  const { committer } = createNode(state, 'd1');
  const replies = ['a', 'b', 'c'].map((key) => committer.submit(createInsert(key)));
  await clock.advance(100);
  const statuses = (await Promise.all(replies)).map((reply) => reply.status);
  const { Committed, Conflict } = TransactionStatus;
  expect(statuses).toEqual([Committed, Conflict, Committed]);
  expect(state.accepted.at(-1)?.operationId).not.toEqual('d1/0');
});

// Guards against reporting a failure for a write that was applied, and against repeating it.
test('a lost reply is resolved by reading back', async () => {
  const { clock, state } = createState();
  state.fault = TableFault.LostReply;
  const { committer } = createNode(state, 'd1');
  const reply = committer.submit(createInsert('a'));
  await clock.advance(10);
  expect(await reply).toEqual({ status: TransactionStatus.Committed, versions: { a: 1 } });
  expect(state.accepted.length).toEqual(1);
});

// Guards against reporting a lost request as written, and against reporting the transaction's own
// first attempt, applied late, as a conflict with another writer.
test('a lost request is retried, and a late one is recognised', async () => {
  for (const fault of [TableFault.LostRequest, TableFault.LateEffect]) {
    const { clock, state } = createState();
    state.fault = fault;
    state.lateMs = 40;
    const { committer } = createNode(state, 'd1', { commitsPerSecond: 10, burst: 1 });
    const reply = committer.submit(createInsert('a'));
    await clock.advance(20);
    state.fault = TableFault.None;
    await clock.advance(1000);
    expect((await reply).status).toEqual(TransactionStatus.Committed);
    expect(state.accepted.length).toEqual(1);
  }
});

// Guards against an unbounded queue and against new work displacing lease renewals.
test('a full queue sheds the lowest priority first', async () => {
  const { clock, state } = createState();
  const { committer } = createNode(state, 'd1', { maxQueued: 2 });
  const low = committer.submit(createInsert('low'));
  const lower = committer.submit(createInsert('lower'));
  const lease = committer.submit(createInsert('lease', WritePriority.Lease));
  const refused = committer.submit(createInsert('refused'));
  await clock.advance(100);
  const replies = await Promise.all([low, lower, lease, refused]);
  const { Committed, Unavailable } = TransactionStatus;
  expect(replies.map((reply) => reply.status)).toEqual([
    Committed,
    Unavailable,
    Committed,
    Unavailable,
  ]);
});

// Guards against one process using up the store's commit rate.
test('commits stay within the budget per second', async () => {
  const { clock, state } = createState();
  const { committer } = createNode(state, 'd1', { commitsPerSecond: 20, burst: 5 });
  for (let n = 0; n < 1000; n += 1) {
    void committer.submit(createInsert(`k${n}`));
    await clock.advance(5);
  }
  expect(state.commits <= 5 + 20 * 5 + 1).toEqual(true);
  expect(state.commits > 90).toEqual(true);
});

// Guards against callers that wait while the store is down.
test('a store that is down is reported at once as unavailable', async () => {
  const { clock, state } = createState();
  state.fault = TableFault.Down;
  const { committer } = createNode(state, 'd1');
  const reply = committer.submit(createInsert('a'));
  await clock.advance(10);
  expect((await reply).status).toEqual(TransactionStatus.Unavailable);
});

/** As for a store that answers in a few milliseconds. */
const replyTimeoutMs = 300;

// Guards against copies of a commit that wait behind the original in a slow partition: each made every other
// commit wait longer.
test('a commit of a slow store is not sent again', async () => {
  const { clock, state } = createState();
  state.latencyMs = 900;
  const { committer } = createNode(state, 'd1', { getReplyTimeoutMs: () => replyTimeoutMs });
  const reply = committer.submit(createInsert('a'));
  await clock.advance(2000);
  expect(await reply).toEqual({ status: TransactionStatus.Committed, versions: { a: 1 } });
  expect([state.commits, state.accepted.length]).toEqual([1, 1]);
});

// Guards against copies of a large commit that share a narrow link with the original.
test('a commit that is still being sent is not sent again', async () => {
  const { clock, state } = createState();
  const { committer, table } = createNode(state, 'd1', { getReplyTimeoutMs: () => replyTimeoutMs });
  const commit = table.commit.bind(table);
  const sendMs = 3000;
  let sent = 0;
  table.getSendMs = () => sendMs;
  table.commit = async (one) => {
    sent += 1;
    await new Promise<void>((resolve) => clock.setTimer(sendMs, resolve));
    return commit(one);
  };
  const reply = committer.submit(createInsert('a'));
  await clock.advance(2 * sendMs);
  expect(await reply).toEqual({ status: TransactionStatus.Committed, versions: { a: 1 } });
  expect(sent).toEqual(1);
});

// Guards against waiting for a reply that is lost although the store answers reads quickly.
test('a commit whose reply is late is read back', async () => {
  const { clock, state } = createState();
  const { committer, table } = createNode(state, 'd1', { getReplyTimeoutMs: () => replyTimeoutMs });
  const commit = table.commit.bind(table);
  table.commit = async (one) => {
    const reply = await commit(one);
    return state.commits > 1 ? reply : new Promise(() => undefined);
  };
  const reply = committer.submit(createInsert('a'));
  await clock.advance(replyTimeoutMs + 50);
  expect(await reply).toEqual({ status: TransactionStatus.Committed, versions: { a: 1 } });
  expect(state.accepted.length).toEqual(1);
});

// Guards against waiting for a request that never reached a quick store, and against a second effect when
// it arrives after all.
test('a commit that is lost on the way is sent again once', async () => {
  const { clock, state } = createState();
  const { committer, table } = createNode(state, 'd1', { getReplyTimeoutMs: () => replyTimeoutMs });
  const commit = table.commit.bind(table);
  let sent = 0;
  table.commit = async (one) => {
    sent += 1;
    if (sent > 1) return commit(one);
    clock.setTimer(5000, () => void commit(one));
    return new Promise(() => undefined);
  };
  const reply = committer.submit(createInsert('a'));
  await clock.advance(replyTimeoutMs + 100);
  expect(await reply).toEqual({ status: TransactionStatus.Committed, versions: { a: 1 } });
  await clock.advance(6000);
  expect([sent, state.accepted.length]).toEqual([2, 1]);
});

// Guards against telling a caller of a slow store that its write may have been applied when the late reply
// says that it was not.
test('a late conflict or refusal is final', async () => {
  for (const fault of [TableFault.None, TableFault.Down]) {
    const { clock, state } = createState();
    state.apply({ operationId: 'x', conditions: [], writes: [{ key: 'a', value: 1 }] }, 'x', 0);
    state.latencyMs = 700;
    const options = { getReplyTimeoutMs: () => replyTimeoutMs };
    const { committer, table } = createNode(state, 'd1', options);
    table.getRow = () => new Promise(() => undefined);
    state.fault = fault;
    const reply = committer.submit(createInsert('a'));
    await clock.advance(5000);
    const isRefused = fault === TableFault.Down;
    const { Unavailable, Conflict } = TransactionStatus;
    expect((await reply).status).toEqual(isRefused ? Unavailable : Conflict);
  }
});
