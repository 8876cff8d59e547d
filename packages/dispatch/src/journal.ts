import type { Row, RowCondition, RowValue, Table } from '@bergamotreach/hosting';
import { TransactionStatus, WritePriority } from '@bergamotreach/ownership';
import type { GroupCommitter, TransactionReply } from '@bergamotreach/ownership';
import { runContained, waitFor } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';

/** Options of a journal. */
export interface JournalOptions {
  table: Table;
  committer: GroupCommitter;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Condition that holds only while this process owns the rows; `undefined` when it does not. */
  getEpochCondition: () => RowCondition | undefined;
  /** Called when another owner has taken over. */
  onFenced: () => void;
  /** Whether a stored value overrules this owner: it stays, whatever the owner wanted to write. */
  isOverruled: (key: string, value: RowValue) => boolean;
  /** Called with such a value when it was found in the store. */
  onOverruled: (key: string, value: RowValue) => void;
}

/** Rows that an owner keeps in the store. Writes of one row are merged; the latest wins. */
export interface Journal {
  /** Tells the version of a row that was read; rows never mentioned are absent. */
  noteVersion(key: string, version: number): void;
  /**
   * Plans to write a row. With `guardKey` the transaction also requires the version of that other row
   * which this owner knows, so that nothing is stored on the ground of an old copy of it. A guard that
   * was overruled is told and no longer required.
   */
  write(key: string, value: RowValue, guardKey?: string): void;
  /** Resolves with true once all writes planned so far are stored, with false when they never are. */
  flush(): Promise<boolean>;
  /**
   * Resolves once the planned write of a row is stored, with the time at which its commit was sent: what
   * guards it was true then or later. Resolves with `undefined` when it never is.
   */
  flushRow(key: string): Promise<number | undefined>;
  countPending(): number;
  /** Writes a row no more: it is overruled. */
  releaseRow(key: string): void;
  close(): void;
}

interface Waiter {
  /** Row that is waited for; absent for all rows. */
  key?: string;
  sequence: number;
  resolve: (isStored: boolean) => void;
}

interface PendingWrite {
  value: RowValue;
  sequence: number;
  guardKey: string | undefined;
}

/**
 * Writes and conditions of one batch, beside the condition on the epoch. A transaction of the store takes
 * 100; the rest is for cancels that this instance commits at the same time.
 */
const maxBatchEntries = 90;
const retryMs = 100;

/** The latest value wins. It includes what the older one was guarded for, so the guard stays. */
function mergeWrites(older: PendingWrite, newer: PendingWrite): PendingWrite {
  const { sequence } = older;
  return { value: newer.value, sequence, guardKey: newer.guardKey ?? older.guardKey };
}

/** Creates a journal. */
export function createJournal(options: JournalOptions): Journal {
  const { table, committer, clock, logger, metrics } = options;
  const versions = new Map<string, number>();
  /** Rows that are not written any more. */
  const overruled = new Set<string>();
  const pending = new Map<string, PendingWrite>();
  /** Times at which the latest commits of rows were sent. */
  const sentMs = new Map<string, number>();
  let inFlight = new Map<string, PendingWrite>();
  let waiters: Waiter[] = [];
  let sequence = 0;
  let isClosed = false;
  let isPumping = false;

  function settleWaiters(): void {
    let oldest = Infinity;
    for (const write of pending.values()) oldest = Math.min(oldest, write.sequence);
    for (const write of inFlight.values()) oldest = Math.min(oldest, write.sequence);
    const isOpen = ({ key, sequence: last }: Waiter): boolean =>
      key === undefined
        ? oldest <= last
        : [pending, inFlight].some((writes) => (writes.get(key)?.sequence ?? Infinity) <= last);
    const ready = waiters.filter((waiter) => !isOpen(waiter));
    waiters = waiters.filter(isOpen);
    for (const waiter of ready) waiter.resolve(true);
  }

  function takeBatch(): Map<string, PendingWrite> {
    const batch = new Map<string, PendingWrite>();
    let entries = 0;
    for (const [key, write] of pending) {
      // The value, the condition on the row and the one on the row that guards it.
      entries += write.guardKey === undefined ? 2 : 3;
      if (entries > maxBatchEntries) break;
      batch.set(key, write);
      pending.delete(key);
    }
    return batch;
  }

  /** Puts a write back unless a newer value of the row is waiting. */
  function putBack(key: string, write: PendingWrite): void {
    if (overruled.has(key)) return;
    const newer = pending.get(key);
    pending.set(key, newer === undefined ? write : mergeWrites(write, newer));
  }

  /** Rows that guard a batch. Those that it writes have a condition of their own. */
  function listGuards(batch: ReadonlyMap<string, PendingWrite>): string[] {
    const guards = [...batch.values()].flatMap(({ guardKey }) => guardKey ?? []);
    return [...new Set(guards)].filter((key) => !batch.has(key) && !overruled.has(key));
  }

  async function commitBatch(): Promise<void> {
    const epoch = options.getEpochCondition();
    if (epoch === undefined) {
      await waitFor(clock, retryMs);
      return;
    }
    inFlight = takeBatch();
    const batch = inFlight;
    const keys = [...batch.keys(), ...listGuards(batch)];
    const startedMs = clock.getNowMs();
    for (const key of batch.keys()) sentMs.set(key, startedMs);
    const reply = await committer.submit({
      conditions: [epoch, ...keys.map((key) => ({ key, version: versions.get(key) ?? 0 }))],
      writes: [...batch].map(([key, { value }]) => ({ key, value })),
      priority: WritePriority.Outcome,
    });
    metrics.reportTiming('journal.commit', clock.getNowMs() - startedMs);
    await handleReply(batch, reply, epoch.key);
    inFlight = new Map();
    settleWaiters();
  }

  async function handleReply(
    batch: Map<string, PendingWrite>,
    reply: TransactionReply,
    epochKey: string,
  ): Promise<void> {
    await match(reply)
      .with({ status: TransactionStatus.Committed }, async ({ versions: written }) => {
        for (const [key, write] of batch) {
          const version = written[key];
          if (version !== undefined) versions.set(key, version);
          // Overwritten since, so the version has to be read.
          else await resolveRow(key, write);
        }
      })
      .with({ status: TransactionStatus.Conflict }, async ({ conflicts }) => {
        if (conflicts.includes(epochKey)) {
          fence();
          return;
        }
        for (const [key, write] of batch) {
          if (conflicts.includes(key)) await resolveRow(key, write);
          else putBack(key, write);
        }
        for (const key of listGuards(batch)) {
          if (conflicts.includes(key)) await resolveGuard(key);
        }
      })
      .otherwise(async ({ message }) => {
        logger.warn('journal_retry', { rows: batch.size, status: reply.status, reason: message });
        for (const [key, write] of batch) putBack(key, write);
        await waitFor(clock, retryMs);
      });
  }

  function fence(): void {
    logger.warn('journal_fenced', { pending: pending.size + inFlight.size });
    close();
    options.onFenced();
  }

  async function readRow(key: string): Promise<Row | undefined> {
    for (;;) {
      const result = await table.getRow(key);
      if (result.isOk()) return result.value;
      if (isClosed) return undefined;
      logger.warn('journal_read_retry', { key, reason: result.error.message });
      await waitFor(clock, retryMs);
    }
  }

  /** After a conflict the row tells whether the write took effect or somebody else's did. */
  async function resolveRow(key: string, write: PendingWrite): Promise<void> {
    const row = await readRow(key);
    if (isClosed) return;
    versions.set(key, row?.version ?? 0);
    if (row !== undefined && JSON.stringify(row.value) === JSON.stringify(write.value)) return;
    if (row === undefined || !noteStored(row, write)) putBack(key, write);
  }

  async function resolveGuard(key: string): Promise<void> {
    const row = await readRow(key);
    if (isClosed) return;
    versions.set(key, row?.version ?? 0);
    if (row !== undefined) noteStored(row);
  }

  /** Tells a value that overrules this owner; false when the row may be written over. */
  function noteStored({ key, version, value }: Row, dropped?: PendingWrite): boolean {
    if (!options.isOverruled(key, value)) return false;
    logger.info('journal_overruled', { key, version, dropped: JSON.stringify(dropped?.value) });
    releaseRow(key);
    options.onOverruled(key, value);
    return true;
  }

  function releaseRow(key: string): void {
    overruled.add(key);
    pending.delete(key);
    settleWaiters();
  }

  async function pump(): Promise<void> {
    if (isPumping) return;
    isPumping = true;
    while (pending.size > 0 && !isClosed) {
      const isDone = await runContained(logger, 'journal', commitBatch);
      if (isDone) continue;
      for (const [key, write] of inFlight) putBack(key, write);
      inFlight = new Map();
      await waitFor(clock, retryMs);
    }
    isPumping = false;
  }

  function close(): void {
    isClosed = true;
    pending.clear();
    for (const waiter of waiters) waiter.resolve(false);
    waiters = [];
  }

  return {
    noteVersion(key, version) {
      versions.set(key, version);
    },
    write(key, value, guardKey) {
      if (isClosed || overruled.has(key)) return;
      sequence += 1;
      const older = pending.get(key);
      const write = { value, sequence, guardKey };
      pending.set(key, older === undefined ? write : mergeWrites(older, write));
    },
    flush() {
      if (isClosed) return Promise.resolve(false);
      if (pending.size === 0 && inFlight.size === 0) return Promise.resolve(true);
      return new Promise((resolve) => {
        waiters.push({ sequence, resolve });
        void pump();
      });
    },
    flushRow(key) {
      if (isClosed) return Promise.resolve(undefined);
      if (!pending.has(key) && !inFlight.has(key)) return Promise.resolve(sentMs.get(key));
      return new Promise((resolve) => {
        const settle = (isStored: boolean): void => {
          resolve(isStored ? sentMs.get(key) : undefined);
        };
        waiters.push({ key, sequence, resolve: settle });
        void pump();
      });
    },
    releaseRow,
    countPending: () => pending.size + inFlight.size,
    close,
  };
}
