import { WritePriority, createGroup, writePriorities } from './transaction.ts';
import type { GroupLimits, PendingTransaction, TransactionGroup } from './transaction.ts';

/** Bounded queue of transactions by priority. */
export interface WriteQueue {
  /** Adds a transaction; returns the one that has to go when the queue is full. */
  add(entry: PendingTransaction): PendingTransaction | undefined;
  /** Puts transactions back at the front of their priority. */
  addFront(entries: PendingTransaction[]): void;
  /**
   * Takes the next group: of lease transactions, or of all others in order of priority. Lease
   * transactions go apart, so that a conflict or a large group never delays a renewal. The group is
   * of the partition of the first transaction whose partition `isOpen` admits; empty without one.
   */
  takeGroup(
    limits: GroupLimits,
    isLease: boolean,
    isOpen: (partition: string) => boolean,
  ): TransactionGroup;
  /** Whether a transaction beside those of the lease waits for a partition that is open. */
  hasOrdinary(isOpen: (partition: string) => boolean): boolean;
  /** Removes the transactions submitted before `beforeMs`. */
  takeExpired(beforeMs: number): PendingTransaction[];
  has(priority: WritePriority): boolean;
  getSize(): number;
  listSizes(): number[];
}

/** Creates a queue of at most `maxQueued` transactions. */
export function createWriteQueue(maxQueued: number): WriteQueue {
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

  function findOpen(
    isLease: boolean,
    isOpen: (partition: string) => boolean,
  ): PendingTransaction | undefined {
    for (const priority of listPriorities(isLease)) {
      const entry = getQueue(priority).find(({ partition }) => isOpen(partition));
      if (entry !== undefined) return entry;
    }
    return undefined;
  }

  /** The newest transaction of the lowest priority below `priority`. */
  function takeLowest(priority: WritePriority): PendingTransaction | undefined {
    const lower = writePriorities.slice(writePriorities.indexOf(priority) + 1);
    for (const level of lower.toReversed()) {
      const victim = getQueue(level).pop();
      if (victim !== undefined) return victim;
    }
    return undefined;
  }

  return {
    add(entry) {
      const { priority } = entry.transaction;
      let victim: PendingTransaction | undefined;
      if (getSize() >= maxQueued) {
        victim = takeLowest(priority);
        if (victim === undefined) return entry;
      }
      getQueue(priority).push(entry);
      return victim;
    },
    addFront(entries) {
      for (const entry of entries.toReversed()) getQueue(entry.transaction.priority).unshift(entry);
    },
    takeGroup(limits, isLease, isOpen) {
      const group = createGroup(limits);
      const partition = findOpen(isLease, isOpen)?.partition;
      for (const priority of listPriorities(isLease)) {
        const left = getQueue(priority).filter(
          (entry) => entry.partition !== partition || !group.add(entry),
        );
        queues.set(priority, left);
      }
      return group;
    },
    hasOrdinary: (isOpen) => findOpen(false, isOpen) !== undefined,
    takeExpired(beforeMs) {
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
