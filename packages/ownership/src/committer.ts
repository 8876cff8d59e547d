import { CommitStatus, maxCommitWrites } from '@bergamotreach/hosting';
import type { Table } from '@bergamotreach/hosting';
import { waitFor } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';
import { createCommitBudget } from './budget.ts';
import { readBack } from './readback.ts';
import type { ReadBack } from './readback.ts';
import { TransactionStatus, WritePriority, findPartition, isGuarded } from './transaction.ts';
import type {
  PendingTransaction,
  Transaction,
  TransactionGroup,
  TransactionReply,
} from './transaction.ts';
import { createWriteQueue } from './writequeue.ts';

/** Options of a group committer. Durations are in milliseconds. */
export interface GroupCommitterOptions {
  table: Table;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Returns an id that no other attempt of any process uses. */
  createOperationId: () => string;
  /** Table commits per second of this process. Default 40: nine processes stay under 400. */
  commitsPerSecond?: number;
  /** Commits that may follow at once after a pause. */
  burst?: number;
  /** Largest number of waiting transactions. */
  maxQueued?: number;
  /** Largest number of writes in one table commit. */
  maxWrites?: number;
  /** Largest number of writes and conditions together in one table commit; not bounded when absent. */
  maxEntries?: number;
  /** Longest wait in the queue before a transaction is given up. */
  maxQueueMs?: number;
  /** Commits under way at once in one partition, besides one of the lease. */
  maxInFlight?: number;
  /** How long a lost reply is read back before the fate is reported as unknown. */
  resolveForMs?: number;
  resolveRetryMs?: number;
}

/** State of a committer for the dump. */
export interface CommitterDump {
  /** Waiting transactions by priority, highest first. */
  queued: number[];
  inFlight: number;
  tokens: number;
  commits: number;
  writes: number;
  readBacks: number;
}

/** Merges small transactions into few table commits. */
export interface GroupCommitter {
  /** Resolves once the fate is decided; never rejects. */
  submit(transaction: Transaction): Promise<TransactionReply>;
  getDump(): CommitterDump;
  /** Gives up the waiting transactions and takes no further ones. */
  close(): void;
}

const defaults = {
  commitsPerSecond: 40,
  burst: 10,
  maxQueued: 2000,
  maxWrites: maxCommitWrites,
  maxEntries: Infinity,
  maxQueueMs: 2000,
  maxInFlight: 2,
  resolveForMs: 3000,
  resolveRetryMs: 200,
};

function giveUp(entry: PendingTransaction, message: string): void {
  const isUncertain = entry.pastIds.length > 0;
  const status = isUncertain ? TransactionStatus.Unknown : TransactionStatus.Unavailable;
  entry.sendReply({ status, message });
}

/** Creates a group committer. Transactions with an unguarded write are rejected as a bug. */
export function createGroupCommitter(options: GroupCommitterOptions): GroupCommitter {
  const { table, clock, logger, metrics } = options;
  const settings = { ...defaults, ...options };
  const queue = createWriteQueue(settings.maxQueued);
  const budget = createCommitBudget(clock, settings.commitsPerSecond, settings.burst);
  const totals = { commits: 0, writes: 0, readBacks: 0 };
  const inFlight = new Map<string, number>();
  let isLeaseInFlight = false;
  let isClosed = false;
  let cancelPump: CancelTimer | undefined;
  let pumpDueMs = Infinity;

  function putBack(entries: PendingTransaction[]): void {
    if (isClosed) for (const entry of entries) giveUp(entry, 'committer closed');
    else queue.addFront(entries);
  }

  function planPump(delayMs: number): void {
    const dueMs = clock.getNowMs() + delayMs;
    if (dueMs >= pumpDueMs) return;
    cancelPump?.();
    pumpDueMs = dueMs;
    cancelPump = clock.setTimer(delayMs, () => {
      pumpDueMs = Infinity;
      pump();
    });
  }

  function dropExpired(): void {
    for (const entry of queue.takeExpired(clock.getNowMs() - settings.maxQueueMs)) {
      metrics.count('store.expired');
      giveUp(entry, 'waited too long for the store');
    }
  }

  function pump(): void {
    dropExpired();
    if (!isLeaseInFlight && queue.has(WritePriority.Lease)) {
      budget.take(true);
      isLeaseInFlight = true;
      void commitGroup(queue.takeGroup(settings, true, () => true)).finally(() => {
        isLeaseInFlight = false;
        pump();
      });
    }
    while (queue.hasOrdinary(isOpen) && budget.take(false)) startOrdinary();
    if (queue.getSize() === 0) return;
    const isFull = !queue.hasOrdinary(isOpen);
    planPump(isFull ? settings.maxQueueMs / 4 : Math.max(budget.getWaitMs(), 1));
  }

  function isOpen(partition: string): boolean {
    return (inFlight.get(partition) ?? 0) < settings.maxInFlight;
  }

  function startOrdinary(): void {
    const group = queue.takeGroup(settings, false, isOpen);
    const partition = group.pending[0]?.partition ?? '';
    noteInFlight(partition, 1);
    void commitGroup(group).finally(() => {
      noteInFlight(partition, -1);
      pump();
    });
  }

  function noteInFlight(partition: string, change: number): void {
    const count = (inFlight.get(partition) ?? 0) + change;
    if (count > 0) inFlight.set(partition, count);
    else inFlight.delete(partition);
  }

  async function commitGroup(group: TransactionGroup): Promise<void> {
    const operationId = settings.createOperationId();
    const writes = group.listWrites();
    totals.commits += 1;
    totals.writes += writes.length;
    metrics.count('store.commits');
    metrics.count('store.writes', writes.length);
    const conditions = group.listConditions();
    const reply = await table.commit({ operationId, conditions, writes });
    await match(reply)
      .with({ status: CommitStatus.Committed }, ({ versions }) => {
        handleCommitted(group, versions);
      })
      .with({ status: CommitStatus.Conflict }, ({ conflicts }) =>
        handleConflict(group.pending, conflicts),
      )
      .with({ status: CommitStatus.Unavailable }, ({ message }) => {
        for (const entry of group.pending) handleUnavailable(entry, message);
      })
      .with({ status: CommitStatus.Ambiguous }, () => handleAmbiguous(group.pending, operationId))
      .exhaustive();
  }

  function handleCommitted(group: TransactionGroup, versions: Record<string, number>): void {
    for (const { transaction, sendReply } of group.pending) {
      const own = transaction.writes.map(({ key }) => [key, versions[key] ?? 0] as const);
      sendReply({ status: TransactionStatus.Committed, versions: Object.fromEntries(own) });
    }
  }

  /** Drops the transactions in conflict; the others are committed under a new operation id. */
  async function handleConflict(pending: PendingTransaction[], conflicts: string[]): Promise<void> {
    const keys = new Set(conflicts);
    const isHit = (entry: PendingTransaction): boolean =>
      entry.transaction.conditions.some(({ key }) => keys.has(key));
    const hit = pending.filter(isHit);
    metrics.count('store.conflicts', hit.length);
    // A reply that names no known key says that nothing was written, but not whose fault it is.
    const refused = hit.length > 0 ? hit : pending;
    putBack(pending.filter((entry) => !refused.includes(entry)));
    for (const entry of refused.filter((one) => one.pastIds.length === 0)) {
      entry.sendReply({ status: TransactionStatus.Conflict, conflicts });
    }
    // The conflict may stem from an earlier attempt of the same transaction that took effect late.
    const uncertain = refused.filter((one) => one.pastIds.length > 0);
    await Promise.all(uncertain.map((entry) => resolveConflict(entry, conflicts)));
  }

  async function resolveConflict(entry: PendingTransaction, conflicts: string[]): Promise<void> {
    const results = await readUntilDecided([entry]);
    const result = results?.[0];
    if (result === undefined) giveUp(entry, 'reply lost and store not readable');
    else if (result.isDecided) entry.sendReply(result.reply);
    // A broken condition stays broken, so the earlier attempt cannot take effect any more.
    else entry.sendReply({ status: TransactionStatus.Conflict, conflicts });
  }

  function handleUnavailable(entry: PendingTransaction, message: string): void {
    if (entry.pastIds.length === 0) giveUp(entry, message);
    else sendLater(entry, message);
  }

  /** Sends a transaction with a lost attempt again, after a wait and only for a limited time. */
  function sendLater(entry: PendingTransaction, message: string): void {
    const isLate = clock.getNowMs() - entry.submittedMs >= settings.resolveForMs;
    if (isLate || isClosed) {
      giveUp(entry, message);
      return;
    }
    clock.setTimer(settings.resolveRetryMs, () => {
      putBack([entry]);
      pump();
    });
  }

  async function handleAmbiguous(pending: PendingTransaction[], id: string): Promise<void> {
    for (const entry of pending) entry.pastIds.push(id);
    logger.warn('store_reply_lost', { operation: id, transactions: pending.length });
    const results = await readUntilDecided(pending);
    for (const [index, entry] of pending.entries()) {
      const result = results?.[index];
      if (result === undefined) giveUp(entry, 'reply lost and store not readable');
      else if (result.isDecided) entry.sendReply(result.reply);
      else sendLater(entry, 'reply lost again and again');
    }
  }

  async function readUntilDecided(
    pending: readonly PendingTransaction[],
  ): Promise<ReadBack[] | undefined> {
    const untilMs = clock.getNowMs() + settings.resolveForMs;
    while (!isClosed) {
      totals.readBacks += 1;
      metrics.count('store.read_backs');
      const results = await readBack(table, pending);
      if (results !== undefined || clock.getNowMs() >= untilMs) return results;
      await waitFor(clock, settings.resolveRetryMs);
    }
    return undefined;
  }

  return {
    submit(transaction) {
      if (!isGuarded(transaction)) throw new Error('transaction writes a row without a condition');
      const partition = findPartition(transaction, table);
      if (partition === undefined) throw new Error('transaction spans several partitions');
      return new Promise((resolve) => {
        const submittedMs = clock.getNowMs();
        const entry = { transaction, sendReply: resolve, pastIds: [], submittedMs, partition };
        if (isClosed) {
          giveUp(entry, 'committer closed');
          return;
        }
        const shed = queue.add(entry);
        if (shed !== undefined) {
          metrics.count('store.shed');
          giveUp(shed, 'write queue full');
        }
        // Transactions submitted in the same turn go into one group.
        planPump(0);
      });
    },
    getDump: () => ({
      queued: queue.listSizes(),
      inFlight: [...inFlight.values()].reduce((sum, count) => sum + count, 0),
      tokens: budget.getTokens(),
      ...totals,
    }),
    close() {
      isClosed = true;
      for (const entry of queue.takeExpired(Infinity)) giveUp(entry, 'committer closed');
    },
  };
}
