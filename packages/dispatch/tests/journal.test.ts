import { test } from 'node:test';
import { TransactionStatus } from '@bergamotreach/ownership';
import type { Transaction, TransactionReply } from '@bergamotreach/ownership';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createJournal } from '../src/journal.ts';
import type { Journal, JournalOptions } from '../src/journal.ts';

/** Writes and conditions that the store accepts in one transaction. */
const maxStoreEntries = 100;
const committed: TransactionReply = { status: TransactionStatus.Committed, versions: {} };
const refused: TransactionReply = { status: TransactionStatus.Unavailable, message: 'busy' };

interface Setup {
  journal: Journal;
  sent: Transaction[];
  /** Replies in order; after the last one, each write is committed as version 1. */
  replies: TransactionReply[];
  advance: (durationMs: number) => Promise<void>;
}

function createSetup(): Setup {
  const clock = createManualClock();
  const sent: Transaction[] = [];
  const replies: TransactionReply[] = [];
  const submit = (transaction: Transaction): Promise<TransactionReply> => {
    sent.push(transaction);
    const versions = Object.fromEntries(transaction.writes.map(({ key }) => [key, 1]));
    return Promise.resolve(replies.shift() ?? { ...committed, versions });
  };
  const journal = createJournal({
    committer: { submit },
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    getEpochCondition: () => ({ key: 'epoch/main', version: 7 }),
    onFenced: () => undefined,
    hasPrecedence: () => false,
    onOverruled: () => undefined,
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
