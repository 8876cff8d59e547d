import type { RowCondition, RowWrite, Table } from '@bergamotreach/hosting';

/** Priority of a write, highest first; a full queue sheds the lowest first. */
export enum WritePriority {
  Lease = 0,
  /** Outcomes of claimed requests and ends of jobs. */
  Outcome = 1,
  Configuration = 2,
  NewWork = 3,
}

/** All priorities, highest first. */
export const writePriorities: readonly WritePriority[] = [
  WritePriority.Lease,
  WritePriority.Outcome,
  WritePriority.Configuration,
  WritePriority.NewWork,
];

/**
 * A small transaction that can share a commit with others. Every written row needs a condition on
 * its version, so that at most one of several attempts of the transaction is applied.
 */
export interface Transaction {
  conditions: RowCondition[];
  writes: RowWrite[];
  priority: WritePriority;
}

/** Outcome of a transaction. */
export enum TransactionStatus {
  /** All its writes were applied. */
  Committed = 'committed',
  /** A condition did not hold; none of its writes was or will be applied. */
  Conflict = 'conflict',
  /** The store is down or the queue is full; none of its writes was or will be applied. */
  Unavailable = 'unavailable',
  /** The store refuses it for its content, now and later; none of its writes was or will be applied. */
  Rejected = 'rejected',
  /** The reply was lost and the read-back was inconclusive; its writes may have been applied. */
  Unknown = 'unknown',
}

/** Reply to a transaction. `versions` can lack rows that were overwritten before a read-back. */
export type TransactionReply =
  | { status: TransactionStatus.Committed; versions: Record<string, number> }
  | { status: TransactionStatus.Conflict; conflicts: string[] }
  | { status: TransactionStatus.Unavailable; message: string }
  | { status: TransactionStatus.Rejected; message: string }
  | { status: TransactionStatus.Unknown; message: string };

/** A submitted transaction that has no reply yet. */
export interface PendingTransaction {
  transaction: Transaction;
  sendReply: (reply: TransactionReply) => void;
  /** Operation ids of attempts whose reply was lost. */
  ambiguousIds: string[];
  submittedMs: number;
  /** Partition of all its keys. */
  partition: string;
  /** Size in a commit, in bytes. */
  bytes: number;
  /** Shares no commit: it was part of one that the store refused for its content. */
  isAlone: boolean;
}

/** Finds the version that a transaction requires of a row; `undefined` without a condition. */
export function getRequiredVersion(transaction: Transaction, key: string): number | undefined {
  return transaction.conditions.find((condition) => condition.key === key)?.version;
}

/** Tells whether every written row has a condition and no row is written twice. */
export function isConditional(transaction: Transaction): boolean {
  const keys = new Set(transaction.writes.map((write) => write.key));
  if (keys.size !== transaction.writes.length) return false;
  return transaction.writes.every(
    (write) => getRequiredVersion(transaction, write.key) !== undefined,
  );
}

/** Partition of all keys of a transaction; `undefined` when they span several. */
export function findPartition(transaction: Transaction, table: Table): string | undefined {
  const partitions = new Set(transaction.conditions.map(({ key }) => table.getPartition(key)));
  const [partition = ''] = partitions;
  return partitions.size > 1 ? undefined : partition;
}

/** Transactions merged into one commit. */
export interface TransactionGroup {
  readonly pending: PendingTransaction[];
  /** Adds a transaction; false if it depends on one in the group or exceeds the limits. */
  add(pending: PendingTransaction): boolean;
  listConditions(): RowCondition[];
  listWrites(): RowWrite[];
}

/** Limits of one table commit. */
export interface GroupLimits {
  maxWrites: number;
  /** Limit of writes and conditions together. */
  maxEntries: number;
  /** Limit of the sizes of its transactions together; a larger one is committed alone. */
  maxBytes: number;
}

/** Creates an empty group. */
export function createGroup({ maxWrites, maxEntries, maxBytes }: GroupLimits): TransactionGroup {
  const required = new Map<string, number>();
  const written = new Set<string>();
  const pending: PendingTransaction[] = [];
  let writeCount = 0;
  let byteCount = 0;

  function canShare({ bytes, isAlone }: PendingTransaction): boolean {
    if (pending.length === 0) return true;
    return !isAlone && pending[0]?.isAlone !== true && byteCount + bytes <= maxBytes;
  }

  function isIndependent(transaction: Transaction): boolean {
    const hasConflict = transaction.conditions.some(({ key, version }) => {
      const other = required.get(key);
      return written.has(key) || (other !== undefined && other !== version);
    });
    return !hasConflict && !transaction.writes.some(({ key }) => required.has(key));
  }

  function hasRoom({ writes, conditions }: Transaction): boolean {
    const writesAfter = writeCount + writes.length;
    const added = conditions.filter(({ key }) => !required.has(key));
    return writesAfter <= maxWrites && writesAfter + required.size + added.length <= maxEntries;
  }

  return {
    pending,
    add(entry) {
      const { transaction } = entry;
      if (!canShare(entry) || !hasRoom(transaction)) return false;
      if (!isIndependent(transaction)) return false;
      for (const { key, version } of transaction.conditions) required.set(key, version);
      for (const { key } of transaction.writes) written.add(key);
      writeCount += transaction.writes.length;
      byteCount += entry.bytes;
      pending.push(entry);
      return true;
    },
    listConditions: () => [...required].map(([key, version]) => ({ key, version })),
    listWrites: () => pending.flatMap((entry) => entry.transaction.writes),
  };
}
