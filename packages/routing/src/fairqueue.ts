import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createFault, FaultCode } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { AccountRouting } from './config.ts';

/** A waiting request. */
export interface QueueEntry<T> {
  readonly account: string;
  /** Deadline of the answer, on the queue's clock. */
  readonly deadlineMs: number;
  readonly item: T;
}

/** Waiting and running requests of one account. */
export interface AccountLoad {
  waiting: number;
  running: number;
}

/** Weighted fair queue of one service over its client accounts. */
export interface FairQueue<T> {
  /**
   * Adds a request at the end of its account's queue, or at the front when it is requeued. Fault
   * `queue_full` at the account's limit, which does not apply to requeued requests.
   */
  addEntry(
    account: string,
    deadlineMs: number,
    item: T,
    isRequeued?: boolean,
  ): Result<QueueEntry<T>, Fault>;
  /** Next entry to serve when `slots` slots serve the queue; it stays in the queue. */
  getNext(slots: number): QueueEntry<T> | undefined;
  /** Removes the entry and charges its account for one running request. */
  takeEntry(entry: QueueEntry<T>): void;
  /** Records that a running request of an account has ended. */
  releaseSlot(account: string): void;
  /** Removes an entry without serving it. False when it is no longer queued. */
  removeEntry(entry: QueueEntry<T>): boolean;
  /** Number of queued requests of the account. */
  countWaiting(account: string): number;
  /** Number of queued requests of all accounts. */
  countAll(): number;
  /** Fraction of the service rate, 0 to 1, that the account gets among the active accounts. */
  computeShare(account: string): number;
  /** Queued entries in no particular order across accounts. */
  listEntries(): QueueEntry<T>[];
  getDump(): Record<string, AccountLoad>;
}

interface AccountQueue<T> {
  entries: Set<QueueEntry<T>>;
  running: number;
  /** Start tag of the first entry, or finish tag of the last one served. */
  tag: number;
}

/**
 * Creates a queue with start-time fair queueing: the entry with the smallest start tag is next, and
 * each one served advances its account's tag by 1 / weight. Accounts with fewer running requests
 * than their guaranteed share go first.
 */
export function createFairQueue<T>(getAccount: (account: string) => AccountRouting): FairQueue<T> {
  const accounts = new Map<string, AccountQueue<T>>();
  let virtualTime = 0;
  let totalWaiting = 0;

  function getQueue(account: string): AccountQueue<T> {
    let queue = accounts.get(account);
    if (queue === undefined) {
      queue = { entries: new Set(), running: 0, tag: virtualTime };
      accounts.set(account, queue);
    }
    return queue;
  }

  function removeIdle(account: string, queue: AccountQueue<T>): void {
    const isIdle = queue.entries.size === 0 && queue.running === 0;
    if (isIdle && queue.tag <= virtualTime) accounts.delete(account);
  }

  function addEntry(
    account: string,
    deadlineMs: number,
    item: T,
    isRequeued = false,
  ): Result<QueueEntry<T>, Fault> {
    const queue = getQueue(account);
    const limit = getAccount(account).maxQueued;
    if (!isRequeued && queue.entries.size >= limit) {
      return Err(
        createFault(FaultCode.QueueFull, `account ${account} has ${limit} waiting requests`),
      );
    }
    if (queue.entries.size === 0) queue.tag = Math.max(queue.tag, virtualTime);
    const entry = { account, deadlineMs, item };
    if (isRequeued) queue.entries = new Set([entry, ...queue.entries]);
    else queue.entries.add(entry);
    totalWaiting += 1;
    return Ok(entry);
  }

  function isBelowGuarantee(account: string, queue: AccountQueue<T>, slots: number): boolean {
    const guaranteed = getAccount(account).guaranteedShare * slots;
    return guaranteed > 0 && queue.running < Math.max(1, Math.floor(guaranteed));
  }

  function getNext(slots: number): QueueEntry<T> | undefined {
    let best: AccountQueue<T> | undefined;
    let isBestGuaranteed = false;
    for (const [account, queue] of accounts) {
      if (queue.entries.size === 0) continue;
      const isGuaranteed = isBelowGuarantee(account, queue, slots);
      const isBetter =
        best === undefined ||
        (isGuaranteed === isBestGuaranteed ? queue.tag < best.tag : isGuaranteed);
      if (!isBetter) continue;
      best = queue;
      isBestGuaranteed = isGuaranteed;
    }
    return best?.entries.values().next().value;
  }

  function computeVirtualTime(): number {
    let smallest = Infinity;
    for (const queue of accounts.values()) {
      if (queue.entries.size > 0) smallest = Math.min(smallest, queue.tag);
    }
    return smallest === Infinity ? virtualTime : Math.max(virtualTime, smallest);
  }

  function takeEntry(entry: QueueEntry<T>): void {
    const queue = getQueue(entry.account);
    virtualTime = computeVirtualTime();
    if (!removeEntry(entry)) return;
    queue.running += 1;
    queue.tag += 1 / getAccount(entry.account).weight;
    accounts.set(entry.account, queue);
  }

  function releaseSlot(account: string): void {
    const queue = getQueue(account);
    queue.running = Math.max(0, queue.running - 1);
    removeIdle(account, queue);
  }

  function removeEntry(entry: QueueEntry<T>): boolean {
    const queue = accounts.get(entry.account);
    if (queue?.entries.delete(entry) !== true) return false;
    totalWaiting -= 1;
    removeIdle(entry.account, queue);
    return true;
  }

  function computeShare(account: string): number {
    let total = 0;
    for (const [name, queue] of accounts) {
      const isActive = name === account || queue.entries.size > 0 || queue.running > 0;
      if (isActive) total += getAccount(name).weight;
    }
    const { weight, guaranteedShare } = getAccount(account);
    return Math.max(weight / Math.max(total, weight), guaranteedShare);
  }

  return {
    addEntry,
    getNext,
    takeEntry,
    releaseSlot,
    removeEntry,
    countWaiting: (account) => accounts.get(account)?.entries.size ?? 0,
    countAll: () => totalWaiting,
    computeShare,
    listEntries: () => [...accounts.values()].flatMap((queue) => [...queue.entries]),
    getDump: () =>
      Object.fromEntries(
        [...accounts].map(([name, queue]) => [
          name,
          { waiting: queue.entries.size, running: queue.running },
        ]),
      ),
  };
}
