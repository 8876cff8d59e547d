import { test } from 'node:test';
import { TransactionStatus } from '@bergamotreach/ownership';
import type { Transaction, TransactionReply } from '@bergamotreach/ownership';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createJournal } from '../src/journal.ts';
import type { Journal, JournalOptions } from '../src/journal.ts';

/** Writes and conditions that the store accepts in one transaction. */
const maxStoreEntries = 100;
const maxCommitBytes = 100_000;
const committed: TransactionReply = { status: TransactionStatus.Committed, versions: {} };
const rejected: TransactionReply = { status: TransactionStatus.Rejected, message: 'too large' };
const refused: TransactionReply = { status: TransactionStatus.Unavailable, message: 'busy' };

interface Setup {
  journal: Journal;
  sent: Transaction[];
  /** Replies in order; after the last one, each write is committed as version 1. */
  replies: TransactionReply[];
  advance: (durationMs: number) => Promise<void>;
}

function createSetup(
  isRejected: (transaction: Transaction) => boolean = () => false,
  onRejected: (key: string) => void = () => undefined,
): Setup {
  const clock = createManualClock();
  const sent: Transaction[] = [];
  const replies: TransactionReply[] = [];
  const submit = (transaction: Transaction): Promise<TransactionReply> => {
    sent.push(transaction);
    if (isRejected(transaction)) return Promise.resolve(rejected);
    const versions = Object.fromEntries(transaction.writes.map(({ key }) => [key, 1]));
    return Promise.resolve(replies.shift() ?? { ...committed, versions });
  };
  const table = {
    getLimits: () => ({ rowBytes: Infinity, commitBytes: maxCommitBytes }),
    getCommitBytes: ({ writes }: Transaction) => JSON.stringify(writes).length,
  };
  const journal = createJournal({
    table,
    committer: { submit },
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    getEpochCondition: () => ({ key: 'epoch/main', version: 7 }),
    onFenced: () => undefined,
    hasPrecedence: () => false,
    onOverruled: () => undefined,
    onRejected,
  } as unknown as JournalOptions);
  return { journal, sent, replies, advance: (durationMs) => clock.advance(durationMs) };
}

// Guards against a batch that the store refuses for its size on every retry.
test('guarded writes are split into transactions that the store accepts', async () => {
  const { journal, sent, advance } = createSetup();
  for (let job = 0; job < 100; job += 1) journal.write(`progress/${job}`, 'x', `state/${job}`);
  void journal.flush();
  await advance(100);
  expect(sent.flatMap(({ writes }) => writes).length).toEqual(100);
  const sizes = sent.map(({ writes, conditions }) => writes.length + conditions.length);
  expect(Math.max(...sizes) <= maxStoreEntries).toEqual(true);
});

// Guards against a retried start that is stored without its condition.
test('a retried write keeps its guard', async () => {
  const { journal, sent, replies, advance } = createSetup();
  journal.setVersion('state/j', 5);
  journal.write('progress/j', 'start', 'state/j');
  replies.push(refused);
  void journal.flush();
  journal.write('progress/j', 'start and more');
  await advance(1);
  await advance(500);
  const guards = sent.map(({ conditions }) => conditions.find(({ key }) => key === 'state/j'));
  expect(guards).toEqual([
    { key: 'state/j', version: 5 },
    { key: 'state/j', version: 5 },
  ]);
  expect(sent.at(-1)?.writes).toEqual([{ key: 'progress/j', value: 'start and more' }]);
});

// Guards against a batch that is sent for ever since the store refuses the content of one of its rows: no job was
// stored or started any more (review/7).
test('a row that the store refuses for its content is left out alone', async () => {
  const isRejected = ({ writes }: Transaction): boolean =>
    writes.some(({ key }) => key === 'progress/7');
  const reported: string[] = [];
  const { journal, sent, advance } = createSetup(isRejected, (key) => reported.push(key));
  for (let job = 0; job < 20; job += 1) journal.write(`progress/${job}`, 'x', `state/${job}`);
  const flushed = journal.flushRow('progress/8');
  const refusedRow = journal.flushRow('progress/7');
  await advance(2000);
  expect(await flushed).not.toEqual(undefined);
  expect(await refusedRow).toEqual(undefined);
  expect(reported).toEqual(['progress/7']);
  const stored = sent.filter((transaction) => !isRejected(transaction));
  expect(stored.flatMap(({ writes }) => writes).length).toEqual(19);
  journal.write('progress/7', 'y');
  const count = sent.length;
  await advance(2000);
  expect([sent.length, journal.countPending()]).toEqual([count, 0]);
});

// Guards against a batch beyond the size of a call, which the store refuses on every retry.
test('a batch ends before it exceeds the size of a commit', async () => {
  const { journal, sent, advance } = createSetup();
  for (let job = 0; job < 40; job += 1) journal.write(`progress/${job}`, 'x'.repeat(20_000));
  void journal.flush();
  await advance(1000);
  expect(sent.flatMap(({ writes }) => writes).length).toEqual(40);
  const sizes = sent.map(({ writes }) => JSON.stringify(writes).length);
  expect(Math.max(...sizes) <= maxCommitBytes).toEqual(true);
});

// Guards against a removed row that comes back, or whose next write expects the version that was removed.
test('a removed row can be written again', async () => {
  const { journal, sent, advance } = createSetup();
  journal.setVersion('progress/j', 3);
  journal.remove('progress/j');
  void journal.flush();
  await advance(10);
  journal.write('progress/j', 'x');
  void journal.flush();
  await advance(10);
  const conditions = sent.map((one) => one.conditions.find(({ key }) => key === 'progress/j'));
  expect(conditions.map((condition) => condition?.version)).toEqual([3, 0]);
  expect(sent.map(({ writes }) => writes[0]?.value)).toEqual([null, 'x']);
});
