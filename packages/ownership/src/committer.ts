import { CommitStatus, maxCommitWrites } from '@bergamotreach/hosting';
import type { CommitReply, Table } from '@bergamotreach/hosting';
import { waitFor } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';
import { createCommitBudget } from './budget.ts';
import { readBack } from './readback.ts';
import type { ReadBackResult } from './readback.ts';
import { TransactionStatus, WritePriority, findPartition, isConditional } from './transaction.ts';
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
  /** Returns an operation id that no other commit attempt of any process uses. */
  createOperationId: () => string;
  /** Table commits per second of this process. Default 40: nine processes stay below 400. */
  commitsPerSecond?: number;
  /** Commits that can be sent at once after a pause. */
  burst?: number;
  /** Largest number of queued transactions. */
  maxQueued?: number;
  /** Largest size of the new work among them in commits, in bytes. Default: no limit. */
  maxNewWorkBytes?: number;
  /** Largest number of writes in one table commit. */
  maxWrites?: number;
  /** Largest number of writes and conditions together in one table commit. Default: no limit. */
  maxEntries?: number;
  /** Time after which a transaction that is still queued fails. */
  maxQueueMs?: number;
  /** Concurrent commits per partition, in addition to one lease commit in total. */
  maxInFlight?: number;
  /** How long an ambiguous commit is read back and retried before its outcome is unknown. */
  readBackTimeoutMs?: number;
  /** Wait between two read-backs, and before a commit with a lost reply is sent again. */
  readBackRetryMs?: number;
  /**
   * Time after which the reply to a commit counts as late. A late commit is read back while its reply may
   * still arrive, and is sent again only once the store has shown to be quick enough to have answered it.
   * Default: no reply counts as late before the table gives it up.
   */
  getReplyTimeoutMs?: () => number;
}

/** State of a committer for the dump. */
export interface CommitterDump {
  /** Number of queued transactions by priority, highest first. */
  queued: number[];
  inFlight: number;
  tokens: number;
  commits: number;
  writes: number;
  readBacks: number;
}

/** Group commit: merges small transactions into few table commits. */
export interface GroupCommitter {
  /**
   * Resolves with the outcome and never rejects. Throws for a transaction that writes a row without
   * a condition or twice, or that spans several partitions.
   */
  submit(transaction: Transaction): Promise<TransactionReply>;
  getDump(): CommitterDump;
  /** Fails all queued and all later transactions. */
  close(): void;
}

/**
 * A late commit counts as lost once it has taken this many times as long as a read: with a slow store, it
 * waits for the commits before it in its partition, and a second copy would wait there too.
 */
const lostAfterReads = 8;

const defaults = {
  getReplyTimeoutMs: (): number => Infinity,
  commitsPerSecond: 40,
  burst: 10,
  maxQueued: 2000,
  maxNewWorkBytes: Infinity,
  maxWrites: maxCommitWrites,
  maxEntries: Infinity,
  maxQueueMs: 2000,
  maxInFlight: 2,
  readBackTimeoutMs: 3000,
  readBackRetryMs: 200,
};

/** A commit whose reply has not arrived in time. */
interface LateCommit {
  operationId: string;
  /** Time at which its last byte has been sent even over a slow link. */
  sentMs: number;
  attempt: Promise<CommitReply>;
}

function failPending(entry: PendingTransaction, message: string): void {
  const isAmbiguous = entry.ambiguousIds.length > 0;
  const status = isAmbiguous ? TransactionStatus.Unknown : TransactionStatus.Unavailable;
  entry.sendReply({ status, message });
}

/** Creates a group committer; transactions submitted in the same turn share a commit. */
export function createGroupCommitter(options: GroupCommitterOptions): GroupCommitter {
  const { table, clock, logger, metrics } = options;
  const settings = { ...defaults, maxBytes: table.getLimits().commitBytes, ...options };
  const queue = createWriteQueue(settings.maxQueued, settings.maxNewWorkBytes);
  const budget = createCommitBudget(clock, settings.commitsPerSecond, settings.burst);
  const totals = { commits: 0, writes: 0, readBacks: 0 };
  const inFlight = new Map<string, number>();
  let isLeaseInFlight = false;
  let isClosed = false;
  let cancelCommitTimer: CancelTimer | undefined;
  let commitsDueMs = Infinity;

  function requeue(entries: PendingTransaction[]): void {
    if (isClosed) for (const entry of entries) failPending(entry, 'committer closed');
    else queue.requeue(entries);
  }

  function scheduleCommits(delayMs: number): void {
    const dueMs = clock.getNowMs() + delayMs;
    if (dueMs >= commitsDueMs) return;
    cancelCommitTimer?.();
    commitsDueMs = dueMs;
    cancelCommitTimer = clock.setTimer(delayMs, () => {
      commitsDueMs = Infinity;
      startCommits();
    });
  }

  function failExpired(): void {
    for (const entry of queue.removeExpired(clock.getNowMs() - settings.maxQueueMs)) {
      metrics.count('store.expired');
      failPending(entry, 'write timed out in the queue');
    }
  }

  function startCommits(): void {
    failExpired();
    if (!isLeaseInFlight && queue.has(WritePriority.Lease)) {
      budget.tryConsume(true);
      isLeaseInFlight = true;
      void commitGroup(queue.collectGroup(settings, true, () => true)).finally(() => {
        isLeaseInFlight = false;
        startCommits();
      });
    }
    while (queue.hasOrdinary(canCommit) && budget.tryConsume(false)) startOrdinaryCommit();
    if (queue.getSize() === 0) return;
    const isBlocked = !queue.hasOrdinary(canCommit);
    scheduleCommits(isBlocked ? settings.maxQueueMs / 4 : Math.max(budget.getWaitMs(), 1));
  }

  function canCommit(partition: string): boolean {
    return (inFlight.get(partition) ?? 0) < settings.maxInFlight;
  }

  function startOrdinaryCommit(): void {
    const group = queue.collectGroup(settings, false, canCommit);
    const partition = group.pending[0]?.partition ?? '';
    addInFlight(partition, 1);
    void commitGroup(group).finally(() => {
      addInFlight(partition, -1);
      startCommits();
    });
  }

  function addInFlight(partition: string, change: number): void {
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
    const commit = { operationId, conditions: group.listConditions(), writes };
    const sendMs = table.getSendMs(commit);
    const sentMs = clock.getNowMs() + sendMs;
    const attempt = table.commit(commit);
    const reply = await waitForReply(attempt, settings.getReplyTimeoutMs() + sendMs);
    if (reply === undefined) await watchLateCommit(group, { operationId, sentMs, attempt });
    else await handleReply(group, operationId, reply);
  }

  /** Resolves with `undefined` if the reply takes longer than `timeoutMs`. */
  function waitForReply(
    attempt: Promise<CommitReply>,
    timeoutMs: number,
  ): Promise<CommitReply | undefined> {
    if (timeoutMs === Infinity) return attempt;
    return new Promise((resolve) => {
      const cancelTimer = clock.setTimer(timeoutMs, () => {
        resolve(undefined);
      });
      void attempt.then((reply) => {
        cancelTimer();
        resolve(reply);
      });
    });
  }

  async function handleReply(
    group: TransactionGroup,
    operationId: string,
    reply: CommitReply,
  ): Promise<void> {
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
      .with({ status: CommitStatus.Rejected }, ({ message }) => {
        handleRejected(group.pending, message);
      })
      .with({ status: CommitStatus.Ambiguous }, () => handleAmbiguous(group.pending, operationId))
      .exhaustive();
  }

  /**
   * Reads back a commit whose reply is late until it is decided, its reply arrives, or it counts as lost;
   * then it is sent again.
   */
  async function watchLateCommit(
    group: TransactionGroup,
    { operationId, sentMs, attempt }: LateCommit,
  ): Promise<void> {
    metrics.count('store.late_replies');
    for (const { ambiguousIds } of group.pending) ambiguousIds.push(operationId);
    let undecided = group.pending;
    for (;;) {
      const readMs = clock.getNowMs();
      totals.readBacks += 1;
      metrics.count('store.read_backs');
      const reading = readBack(table, undecided).then((results) => ({ results }));
      const first = await Promise.race([attempt, reading]);
      if ('status' in first) {
        await handleLateReply(group, undecided, operationId, first);
        return;
      }
      const { results } = first;
      if (results !== undefined) undecided = resolveDecided(undecided, results);
      if (undecided.length === 0) return;
      const nowMs = clock.getNowMs();
      const lostAtMs = sentMs + lostAfterReads * (nowMs - readMs);
      const isLost = results !== undefined && nowMs >= lostAtMs;
      if (isLost || isClosed) break;
      const waitMs = results === undefined ? settings.readBackRetryMs : lostAtMs - nowMs;
      const reply = await waitForReply(attempt, waitMs);
      if (reply !== undefined) {
        await handleLateReply(group, undecided, operationId, reply);
        return;
      }
    }
    logger.warn('store_reply_lost', { operation: operationId, transactions: undecided.length });
    requeue(undecided);
  }

  /** Replies to the transactions that a read-back has decided; returns the others. */
  function resolveDecided(
    pending: readonly PendingTransaction[],
    results: readonly ReadBackResult[],
  ): PendingTransaction[] {
    return pending.filter((entry, index) => {
      const result = results[index];
      if (result?.isDecided === true) entry.sendReply(result.reply);
      return result?.isDecided !== true;
    });
  }

  /** Handles a late reply for the transactions that are still undecided. */
  async function handleLateReply(
    group: TransactionGroup,
    undecided: PendingTransaction[],
    operationId: string,
    reply: CommitReply,
  ): Promise<void> {
    // The reply decides this attempt, so only earlier attempts are still ambiguous.
    if (reply.status !== CommitStatus.Ambiguous) {
      for (const entry of undecided) entry.ambiguousIds.pop();
    }
    group.pending.splice(0, group.pending.length, ...undecided);
    if (reply.status === CommitStatus.Ambiguous) await handleAmbiguous(undecided, operationId);
    else await handleReply(group, operationId, reply);
  }

  function handleCommitted(group: TransactionGroup, versions: Record<string, number>): void {
    for (const { transaction, sendReply } of group.pending) {
      const own = transaction.writes.map(({ key }) => [key, versions[key] ?? 0] as const);
      sendReply({ status: TransactionStatus.Committed, versions: Object.fromEntries(own) });
    }
  }

  /** Fails the conflicting transactions and requeues the others, under a new operation id. */
  async function handleConflict(pending: PendingTransaction[], conflicts: string[]): Promise<void> {
    const keys = new Set(conflicts);
    const isConflicting = (entry: PendingTransaction): boolean =>
      entry.transaction.conditions.some(({ key }) => keys.has(key));
    const conflicting = pending.filter(isConflicting);
    metrics.count('store.conflicts', conflicting.length);
    // A conflict on no known key still means that nothing was written; it cannot be attributed to
    // one transaction, so all of them fail.
    const refused = conflicting.length > 0 ? conflicting : pending;
    requeue(pending.filter((entry) => !refused.includes(entry)));
    for (const entry of refused.filter((one) => one.ambiguousIds.length === 0)) {
      entry.sendReply({ status: TransactionStatus.Conflict, conflicts });
    }
    // An earlier attempt of the same transaction, applied late, may have caused the conflict.
    const ambiguous = refused.filter((one) => one.ambiguousIds.length > 0);
    await Promise.all(ambiguous.map((entry) => resolveConflict(entry, conflicts)));
  }

  async function resolveConflict(entry: PendingTransaction, conflicts: string[]): Promise<void> {
    const results = await readBackUntilDecided([entry]);
    const result = results?.[0];
    if (result === undefined) failPending(entry, 'reply lost and the store cannot be read');
    else if (result.isDecided) entry.sendReply(result.reply);
    // A condition that failed once stays false, so no earlier attempt can be applied any more.
    else entry.sendReply({ status: TransactionStatus.Conflict, conflicts });
  }

  function handleUnavailable(entry: PendingTransaction, message: string): void {
    if (entry.ambiguousIds.length === 0) failPending(entry, message);
    else retryLater(entry, message);
  }

  /** One transaction that the store refuses for its content must not fail the others of its commit. */
  function handleRejected(pending: readonly PendingTransaction[], message: string): void {
    metrics.count('store.rejections');
    if (pending.length > 1) {
      logger.warn('commit_divided', { transactions: pending.length, reason: message });
      requeue(pending.map((entry) => Object.assign(entry, { isAlone: true })));
      return;
    }
    for (const entry of pending) {
      if (entry.ambiguousIds.length > 0) retryLater(entry, message);
      else entry.sendReply({ status: TransactionStatus.Rejected, message });
    }
  }

  /** Retries a transaction that has ambiguous attempts, after a wait and for a limited time. */
  function retryLater(entry: PendingTransaction, message: string): void {
    const isLate = clock.getNowMs() - entry.submittedMs >= settings.readBackTimeoutMs;
    if (isLate || isClosed) {
      failPending(entry, message);
      return;
    }
    clock.setTimer(settings.readBackRetryMs, () => {
      requeue([entry]);
      startCommits();
    });
  }

  async function handleAmbiguous(pending: PendingTransaction[], id: string): Promise<void> {
    for (const { ambiguousIds } of pending) if (!ambiguousIds.includes(id)) ambiguousIds.push(id);
    logger.warn('store_reply_lost', { operation: id, transactions: pending.length });
    const results = await readBackUntilDecided(pending);
    for (const [index, entry] of pending.entries()) {
      const result = results?.[index];
      if (result === undefined) failPending(entry, 'reply lost and the store cannot be read');
      else if (result.isDecided) entry.sendReply(result.reply);
      else retryLater(entry, 'reply lost repeatedly');
    }
  }

  async function readBackUntilDecided(
    pending: readonly PendingTransaction[],
  ): Promise<ReadBackResult[] | undefined> {
    const untilMs = clock.getNowMs() + settings.readBackTimeoutMs;
    while (!isClosed) {
      totals.readBacks += 1;
      metrics.count('store.read_backs');
      const results = await readBack(table, pending);
      if (results !== undefined || clock.getNowMs() >= untilMs) return results;
      await waitFor(clock, settings.readBackRetryMs);
    }
    return undefined;
  }

  return {
    submit(transaction) {
      if (!isConditional(transaction))
        throw new Error('transaction writes a row without a condition');
      const partition = findPartition(transaction, table);
      if (partition === undefined) throw new Error('transaction spans several partitions');
      return new Promise((resolve) => {
        const submittedMs = clock.getNowMs();
        const bytes = table.getCommitBytes(transaction);
        const entry = {
          ...{ transaction, sendReply: resolve, ambiguousIds: [], submittedMs, partition },
          ...{ bytes, isAlone: false },
        };
        if (isClosed) {
          failPending(entry, 'committer closed');
          return;
        }
        const shed = queue.add(entry);
        if (shed !== undefined) {
          metrics.count('store.shed');
          failPending(shed, 'write queue full');
        }
        // Delayed by a timer, so that transactions submitted in the same turn share a group.
        scheduleCommits(0);
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
      for (const entry of queue.removeExpired(Infinity)) failPending(entry, 'committer closed');
    },
  };
}
