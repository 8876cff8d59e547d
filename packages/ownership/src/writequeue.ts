import { WritePriority, createGroup, writePriorities } from './transaction.ts';
import type { GroupLimits, PendingTransaction, TransactionGroup } from './transaction.ts';

/** Bounded priority queue of transactions. */
export interface WriteQueue {
  /** Adds a transaction; if the queue is full, returns the one that is shed, possibly the new one. */
  add(entry: PendingTransaction): PendingTransaction | undefined;
  /** Puts transactions back at the front of their priorities, in the given order. */
  requeue(entries: PendingTransaction[]): void;
  /**
   * Removes and returns the next group: lease transactions only, or all others by priority.
   * Lease transactions are committed separately, so that a conflict or a large group never delays a
   * renewal. A group belongs to one partition, that of the first transaction for whose partition
   * `canCommit` is true; without one the group is empty.
   */
  collectGroup(
    limits: GroupLimits,
    isLease: boolean,
    canCommit: (partition: string) => boolean,
  ): TransactionGroup;
  /** Whether a transaction other than a lease write is queued for a partition that can commit. */
  hasOrdinary(canCommit: (partition: string) => boolean): boolean;
  /** Removes and returns the transactions submitted before `beforeMs`. */
  removeExpired(beforeMs: number): PendingTransaction[];
  has(priority: WritePriority): boolean;
  getSize(): number;
  listSizes(): number[];
}

/**
 * Creates a queue of at most `maxQueued` transactions, and of new work of at most `maxNewWorkBytes`: clients decide
 * on the size of new work, and it stays queued after their calls have ended.
 */
export function createWriteQueue(maxQueued: number, maxNewWorkBytes = Infinity): WriteQueue {
  const queues = new Map<WritePriority, PendingTransaction[]>(
    writePriorities.map((priority) => [priority, []]),
  );

  function getSize(): number {
    return listSizes().reduce((sum, size) => sum + size, 0);
  }

  function listSizes(): number[] {
    return writePriorities.map((priority) => getQueue(priority).length);
  }

  function getQueue(priority: WritePriority): PendingTransaction[] {
    return queues.get(priority) ?? [];
  }

  function listPriorities(isLease: boolean): WritePriority[] {
    return writePriorities.filter((priority) => (priority === WritePriority.Lease) === isLease);
  }

  function isOverBytes({ transaction, bytes }: PendingTransaction): boolean {
    if (transaction.priority !== WritePriority.NewWork) return false;
    const queued = getQueue(WritePriority.NewWork);
    return queued.reduce((sum, entry) => sum + entry.bytes, bytes) > maxNewWorkBytes;
  }

  function findReady(
    isLease: boolean,
    canCommit: (partition: string) => boolean,
  ): PendingTransaction | undefined {
    for (const priority of listPriorities(isLease)) {
      const entry = getQueue(priority).find(({ partition }) => canCommit(partition));
      if (entry !== undefined) return entry;
    }
    return undefined;
  }

  /** Removes and returns the newest transaction of the lowest priority below `priority`. */
  function evictLowest(priority: WritePriority): PendingTransaction | undefined {
    const lower = writePriorities.slice(writePriorities.indexOf(priority) + 1);
    for (const level of lower.toReversed()) {
      const evicted = getQueue(level).pop();
      if (evicted !== undefined) return evicted;
    }
    return undefined;
  }

  return {
    add(entry) {
      const { priority } = entry.transaction;
      if (isOverBytes(entry)) return entry;
      let evicted: PendingTransaction | undefined;
      if (getSize() >= maxQueued) {
        evicted = evictLowest(priority);
        if (evicted === undefined) return entry;
      }
      getQueue(priority).push(entry);
      return evicted;
    },
    requeue(entries) {
      for (const entry of entries.toReversed()) getQueue(entry.transaction.priority).unshift(entry);
    },
    collectGroup(limits, isLease, canCommit) {
      const group = createGroup(limits);
      const partition = findReady(isLease, canCommit)?.partition;
      for (const priority of listPriorities(isLease)) {
        const remaining = getQueue(priority).filter(
          (entry) => entry.partition !== partition || !group.add(entry),
        );
        queues.set(priority, remaining);
      }
      return group;
    },
    hasOrdinary: (canCommit) => findReady(false, canCommit) !== undefined,
    removeExpired(beforeMs) {
      const expired: PendingTransaction[] = [];
      for (const [priority, queue] of queues) {
        expired.push(...queue.filter((entry) => entry.submittedMs < beforeMs));
        queues.set(
          priority,
          queue.filter((entry) => entry.submittedMs >= beforeMs),
        );
      }
      return expired;
    },
    has: (priority) => getQueue(priority).length > 0,
    getSize,
    listSizes,
  };
}
