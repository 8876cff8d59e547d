import type { Row, RowCondition, RowValue, Table } from '@bergamotreach/hosting';
import { TransactionStatus, WritePriority } from '@bergamotreach/ownership';
import type { GroupCommitter, TransactionReply } from '@bergamotreach/ownership';
import { FaultCode, runContained, waitFor } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { match } from 'ts-pattern';

/** Options of a journal. */
export interface JournalOptions {
  table: Table;
  committer: GroupCommitter;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Condition that holds only while this process is the owner; `undefined` if it is not. */
  getEpochCondition: () => RowCondition | undefined;
  /** Called when another owner has taken over. */
  onFenced: () => void;
  /** Whether a stored value takes precedence over any write of this owner. */
  hasPrecedence: (key: string, value: RowValue) => boolean;
  /** Called with a stored value that took precedence. */
  onOverruled: (key: string, value: RowValue) => void;
  /**
   * Called with a row whose value the store refuses for its content, or whose stored value cannot be read; it is not
   * written any more.
   */
  onRejected: (key: string, reason: string) => void;
}

/**
 * Write-behind buffer for the rows of an owner. Writes of the same row are merged, and the latest
 * value wins. Every commit is conditional on the owner's epoch and on the known row versions.
 */
export interface Journal {
  /** Sets the version of a row that was read from the store. Unknown rows count as absent. */
  setVersion(key: string, version: number): void;
  /**
   * Queues a write. With `guardKey`, the transaction is also conditional on the known version of
   * that row, so that no write relies on a stale read of it. A guard whose stored value takes
   * precedence is reported and not checked again.
   */
  write(key: string, value: RowValue, guardKey?: string): void;
  /** Queues the removal of a row; has no effect on a row that is not known to be stored. */
  remove(key: string): void;
  /**
   * Resolves with true once all writes queued so far are stored, or with false if they never will
   * be.
   */
  flush(): Promise<boolean>;
  /**
   * Resolves once the queued write of a row is stored, with the time at which its commit was sent:
   * its guard held at that time or later. Resolves with `undefined` if it never will be stored.
   */
  flushRow(key: string): Promise<number | undefined>;
  countPending(): number;
  /**
   * Discards the queued write of a row and ignores later ones, since a stored value takes
   * precedence.
   */
  dropRow(key: string): void;
  close(): void;
}

interface Waiter {
  /** Row to wait for; absent to wait for all rows. */
  key?: string;
  sequence: number;
  resolve: (isStored: boolean) => void;
}

interface PendingWrite {
  /** `null` removes the row. */
  value: RowValue | null;
  sequence: number;
  guardKey: string | undefined;
}

/**
 * Writes and conditions of one batch, without the epoch condition. A transaction of the store takes
 * 100; the rest is left for cancellations that this instance commits at the same time.
 */
const maxBatchEntries = 90;
/** Share of the bytes of a commit that one batch takes; cancellations need little. */
const batchBytesShare = 0.9;
const retryMs = 100;

/**
 * Merges two writes of a row. The newer value includes the older change, so the older guard stays.
 */
function mergeWrites(older: PendingWrite, newer: PendingWrite): PendingWrite {
  const { sequence } = older;
  return { value: newer.value, sequence, guardKey: newer.guardKey ?? older.guardKey };
}

/** Creates a journal. */
export function createJournal(options: JournalOptions): Journal {
  const { table, committer, clock, logger, metrics } = options;
  const versions = new Map<string, number>();
  /** Rows whose stored value took precedence; they are not written any more. */
  const overruled = new Set<string>();
  /** Rows whose content the store refuses; they are not written any more. */
  const rejected = new Set<string>();
  const maxBatchBytes = table.getLimits().commitBytes * batchBytesShare;
  /** Parts of a batch that was refused, to be written one after the other until the row at fault is alone. */
  const divided: string[][] = [];
  const pending = new Map<string, PendingWrite>();
  /** When the latest commit of each row was sent. */
  const commitSentMs = new Map<string, number>();
  let inFlight = new Map<string, PendingWrite>();
  let waiters: Waiter[] = [];
  let sequence = 0;
  let isClosed = false;
  let isCommitting = false;

  function resolveWaiters(): void {
    let oldest = Infinity;
    for (const write of pending.values()) oldest = Math.min(oldest, write.sequence);
    for (const write of inFlight.values()) oldest = Math.min(oldest, write.sequence);
    const isOpen = ({ key, sequence: last }: Waiter): boolean =>
      key === undefined
        ? oldest <= last
        : [pending, inFlight].some((writes) => (writes.get(key)?.sequence ?? Infinity) <= last);
    const ready = waiters.filter((waiter) => !isOpen(waiter));
    waiters = waiters.filter(isOpen);
    for (const waiter of ready) {
      waiter.resolve(waiter.key === undefined || !rejected.has(waiter.key));
    }
  }

  function getBytes(key: string, { value, guardKey }: PendingWrite): number {
    const keys = guardKey === undefined ? [key] : [key, guardKey];
    const conditions = keys.map((name) => ({ key: name, version: 0 }));
    return table.getCommitBytes({ conditions, writes: [{ key, value }] });
  }

  function createBatch(): Map<string, PendingWrite> {
    const batch = new Map<string, PendingWrite>();
    let entries = 0;
    let bytes = 0;
    for (const key of divided.shift() ?? [...pending.keys()]) {
      const write = pending.get(key);
      if (write === undefined) continue;
      // The write, the condition on its row, and the condition on the guard if there is one.
      entries += write.guardKey === undefined ? 2 : 3;
      bytes += getBytes(key, write);
      if (entries > maxBatchEntries || (batch.size > 0 && bytes > maxBatchBytes)) break;
      batch.set(key, write);
      pending.delete(key);
    }
    return batch;
  }

  function refuseRow(key: string, reason: string): void {
    rejected.add(key);
    pending.delete(key);
    options.onRejected(key, reason);
  }

  /** Divides a batch that the store refuses for its content, until the row at fault is alone. */
  function handleRejected(batch: ReadonlyMap<string, PendingWrite>, reason: string): void {
    const keys = [...batch.keys()];
    const [first] = keys;
    if (keys.length === 1 && first !== undefined) {
      refuseRow(first, reason);
      return;
    }
    const middle = Math.ceil(keys.length / 2);
    logger.warn('batch_divided', { rows: keys.length, reason });
    for (const [key, write] of batch) requeueWrite(key, write);
    divided.unshift(keys.slice(0, middle), keys.slice(middle));
  }

  /** Queues a write again, merged with a newer write of the row if there is one. */
  function requeueWrite(key: string, write: PendingWrite): void {
    if (overruled.has(key) || rejected.has(key)) return;
    const newer = pending.get(key);
    pending.set(key, newer === undefined ? write : mergeWrites(write, newer));
  }

  /**
   * Guard rows of a batch that the batch does not write itself; a written row has its own
   * condition.
   */
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
    inFlight = createBatch();
    const batch = inFlight;
    if (batch.size === 0) return;
    const keys = [...batch.keys(), ...listGuards(batch)];
    const startedMs = clock.getNowMs();
    for (const key of batch.keys()) commitSentMs.set(key, startedMs);
    const reply = await committer.submit({
      conditions: [epoch, ...keys.map((key) => ({ key, version: versions.get(key) ?? 0 }))],
      writes: [...batch].map(([key, { value }]) => ({ key, value })),
      priority: WritePriority.Outcome,
    });
    metrics.reportTiming('journal.commit', clock.getNowMs() - startedMs);
    await handleReply(batch, reply, epoch.key);
    inFlight = new Map();
    resolveWaiters();
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
          if (write.value === null) dropVersion(key);
          else if (version !== undefined) versions.set(key, version);
          // The row was overwritten since, so its version must be read.
          else await resolveRow(key, write);
        }
      })
      .with({ status: TransactionStatus.Conflict }, async ({ conflicts }) => {
        if (conflicts.includes(epochKey)) {
          handleFenced();
          return;
        }
        for (const [key, write] of batch) {
          if (conflicts.includes(key)) await resolveRow(key, write);
          else requeueWrite(key, write);
        }
        for (const key of listGuards(batch)) {
          if (conflicts.includes(key)) await resolveGuard(key, batch);
        }
      })
      .with({ status: TransactionStatus.Rejected }, ({ message }) => {
        handleRejected(batch, message);
      })
      .otherwise(async ({ message }) => {
        logger.warn('journal_retry', { rows: batch.size, status: reply.status, reason: message });
        for (const [key, write] of batch) requeueWrite(key, write);
        await waitFor(clock, retryMs);
      });
  }

  function dropVersion(key: string): void {
    versions.delete(key);
    commitSentMs.delete(key);
  }

  function handleFenced(): void {
    logger.warn('journal_fenced', { pending: pending.size + inFlight.size });
    close();
    options.onFenced();
  }

  /** Reads a row until the store answers; the reason if its value cannot be read. */
  async function readRow(key: string): Promise<Result<Row | undefined, string>> {
    for (;;) {
      const result = await table.getRow(key);
      if (result.isOk()) return Ok(result.value);
      if (isClosed) return Ok(undefined);
      if (result.error.code === FaultCode.Protocol) return Err(result.error.message);
      logger.warn('journal_read_retry', { key, reason: result.error.message });
      await waitFor(clock, retryMs);
    }
  }

  /** Reads a row after a conflict to learn whether this write or another one took effect. */
  async function resolveRow(key: string, write: PendingWrite): Promise<void> {
    const found = await readRow(key);
    if (isClosed) return;
    if (found.isErr()) {
      refuseRow(key, found.error);
      return;
    }
    const row = found.value;
    versions.set(key, row?.version ?? 0);
    if (row === undefined && write.value === null) return;
    if (row !== undefined && JSON.stringify(row.value) === JSON.stringify(write.value)) return;
    if (row === undefined || !checkPrecedence(row, write)) requeueWrite(key, write);
  }

  async function resolveGuard(
    key: string,
    batch: ReadonlyMap<string, PendingWrite>,
  ): Promise<void> {
    const found = await readRow(key);
    if (isClosed) return;
    if (found.isErr()) {
      // Without the guard's value it is unknown whether its writes may be stored.
      for (const [guarded, { guardKey }] of batch) {
        if (guardKey === key) refuseRow(guarded, found.error);
      }
      return;
    }
    const row = found.value;
    versions.set(key, row?.version ?? 0);
    if (row !== undefined) checkPrecedence(row);
  }

  /** Whether a stored value takes precedence. If so, the row is dropped and the value reported. */
  function checkPrecedence({ key, version, value }: Row, dropped?: PendingWrite): boolean {
    if (!options.hasPrecedence(key, value)) return false;
    logger.info('journal_overruled', { key, version, dropped: JSON.stringify(dropped?.value) });
    dropRow(key);
    options.onOverruled(key, value);
    return true;
  }

  function dropRow(key: string): void {
    overruled.add(key);
    pending.delete(key);
    resolveWaiters();
  }

  async function commitPending(): Promise<void> {
    if (isCommitting) return;
    isCommitting = true;
    while (pending.size > 0 && !isClosed) {
      const isDone = await runContained(logger, 'journal', commitBatch);
      if (isDone) continue;
      for (const [key, write] of inFlight) requeueWrite(key, write);
      inFlight = new Map();
      await waitFor(clock, retryMs);
    }
    isCommitting = false;
  }

  function close(): void {
    isClosed = true;
    pending.clear();
    for (const waiter of waiters) waiter.resolve(false);
    waiters = [];
  }

  function queueWrite(key: string, value: RowValue | null, guardKey?: string): void {
    if (isClosed || overruled.has(key) || rejected.has(key)) return;
    sequence += 1;
    const older = pending.get(key);
    const write = { value, sequence, guardKey };
    pending.set(key, older === undefined ? write : mergeWrites(older, write));
  }

  return {
    setVersion(key, version) {
      versions.set(key, version);
    },
    write: queueWrite,
    remove(key) {
      if (versions.has(key) || pending.has(key) || inFlight.has(key)) queueWrite(key, null);
    },
    flush() {
      if (isClosed) return Promise.resolve(false);
      if (pending.size === 0 && inFlight.size === 0) return Promise.resolve(true);
      return new Promise((resolve) => {
        waiters.push({ sequence, resolve });
        void commitPending();
      });
    },
    flushRow(key) {
      if (isClosed || rejected.has(key)) return Promise.resolve(undefined);
      if (!pending.has(key) && !inFlight.has(key)) return Promise.resolve(commitSentMs.get(key));
      return new Promise((resolve) => {
        const resolveWithTime = (isStored: boolean): void => {
          resolve(isStored ? commitSentMs.get(key) : undefined);
        };
        waiters.push({ key, sequence, resolve: resolveWithTime });
        void commitPending();
      });
    },
    dropRow,
    countPending: () => pending.size + inFlight.size,
    close,
  };
}
