import type { Feed, FeedItem, FeedPage } from '@bergamotreach/hosting';
import { runContainedSync, runContained } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';

/** Options of a table replica. Durations are in milliseconds. */
export interface TableReplicaOptions<T> {
  feed: Feed<T>;
  /** Name of the table, for logs. */
  name: string;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /**
   * Called for each change; `value` is `undefined` if the row was deleted. The change was not stored
   * before `notBeforeMs`, a time of `clock` at which the store still lacked it; `-Infinity` if unknown.
   */
  onChange?: (key: string, value: T | undefined, version: number, notBeforeMs: number) => void;
  /** How long a read waits for changes; 1000 if absent. */
  waitMs?: number;
  /** Pause between two reads, which batches changes; none if absent. */
  getPauseMs?: () => number;
}

/** Read-only replica of a table in memory, kept up to date by the table's change feed. */
export interface TableReplica<T> {
  start(): void;
  stop(): void;
  /** Whether the whole table has been read once. */
  isLoaded(): boolean;
  find(key: string): T | undefined;
  findVersion(key: string): number | undefined;
  list(): [string, T][];
  /**
   * Time since the store last confirmed the replica, in milliseconds; infinite before the first
   * read.
   */
  getAgeMs(): number;
  /** Like `getAgeMs`, for the rows that `refreshUrgent` reads. */
  getUrgentAgeMs(): number;
  /** How long reads have been failing, in milliseconds; 0 while they succeed. */
  getOutageMs(): number;
  /**
   * Reads all outstanding changes now and ends the pause between reads; false if the store does not
   * answer.
   */
  refresh(): Promise<boolean>;
  /**
   * Reads the rows that must not wait for larger ones of the table, also while a page arrives; `refresh` where there
   * are none. Deleted rows stay until the next page. False if the store does not answer.
   */
  refreshUrgent(): Promise<boolean>;
}

/** How the read of a page ended. */
enum ReadOutcome {
  Failed,
  /** The page shows all changes until it was sent. */
  Complete,
  /** Another page may follow. */
  Cut,
}

interface Entry<T> {
  value: T;
  version: number;
}

// A connection may die silently, so the long poll is limited: after one lost read, the shortest
// limit on applying a configuration (2.5 s) must still be met.
const feedWaitMs = 1000;
const retryMs = 150;
/** Reads of at least this size or duration are logged. */
const largeReadBytes = 262_144;
const slowReadMs = 1000;
/** A page with at least this many changes, or of at least this size, may be followed by another one. */
const fullPageItems = 100;
const fullPageBytes = 500_000;

function canBeCut({ items, isSnapshot, reading }: FeedPage<unknown>): boolean {
  if (isSnapshot || items.length === 0) return false;
  return items.length >= fullPageItems || (reading?.receivedBytes ?? 0) >= fullPageBytes;
}

/** Creates a replica; `start` begins to read. */
export function createTableReplica<T>(options: TableReplicaOptions<T>): TableReplica<T> {
  const { feed, name, clock, logger, metrics } = options;
  const entries = new Map<string, Entry<T>>();
  // Latest version of each row, including deleted rows, so that a late page cannot restore them.
  const versions = new Map<string, number>();
  let position: number | undefined;
  /** Time until which the replica is known to have all changes: when the read of `position` was sent. */
  let completeUntilMs = -Infinity;
  /** Position of the latest snapshot. */
  let snapshotPosition = -Infinity;
  let confirmedMs = -Infinity;
  let urgentConfirmedMs = -Infinity;
  let isRunning = false;
  let failingSinceMs: number | undefined;
  /** Consecutive reads that failed. */
  let failures = 0;
  let endPause: () => void = () => undefined;
  /** Refresh whose read is not sent yet, which later callers may share. */
  let pendingRefresh: Promise<boolean> | undefined;
  /** The latest refresh, which the next one waits for. */
  let latestRefresh = Promise.resolve(true);
  /** Refreshes in progress, for which the next long poll waits. */
  let activeRefreshes = 0;
  /** Reads in progress. */
  let activeReads = 0;
  /** Called at the end of the next read. */
  let readListeners: (() => void)[] = [];

  function getNotBeforeMs(version: number): number {
    return position !== undefined && version > position ? completeUntilMs : -Infinity;
  }

  function applyItem({ key, value, version }: FeedItem<T>): void {
    // A row missing from a snapshot had been deleted by then, so older versions of it are stale.
    const isStale = version <= snapshotPosition && !entries.has(key);
    if (isStale || (versions.get(key) ?? -1) >= version) return;
    versions.set(key, version);
    const isChange = value !== undefined || entries.has(key);
    if (value === undefined) entries.delete(key);
    else entries.set(key, { value, version });
    if (isChange) reportChange(key, value, version);
  }

  /** Contains errors of the receiver, which must not hide later changes. */
  function reportChange(key: string, value: T | undefined, version: number): void {
    runContainedSync(logger, `change of ${name}/${key}`, () => {
      options.onChange?.(key, value, version, getNotBeforeMs(version));
    });
  }

  function removeMissing(page: FeedPage<T>): void {
    const present = new Set([...page.items.map(({ key }) => key), ...(page.unreadableKeys ?? [])]);
    for (const [key, entry] of entries) {
      if (present.has(key) || entry.version > page.position) continue;
      entries.delete(key);
      reportChange(key, undefined, page.position);
    }
    snapshotPosition = Math.max(snapshotPosition, page.position);
  }

  function applyPage(page: FeedPage<T>, sentMs: number): void {
    for (const item of page.items) applyItem(item);
    if (page.isSnapshot) removeMissing(page);
    if (!canBeCut(page) && page.position >= (position ?? 0))
      completeUntilMs = Math.max(completeUntilMs, sentMs);
    position = Math.max(position ?? 0, page.position);
    // The page shows the table as it was when it began to arrive.
    confirmedMs = Math.max(confirmedMs, clock.getNowMs() - (page.reading?.receiveMs ?? 0));
    if (failingSinceMs !== undefined) {
      const lostMs = Math.round(clock.getNowMs() - failingSinceMs);
      logger.info('feed_regained', { table: name, position, lostMs, failures });
    }
    failingSinceMs = undefined;
    failures = 0;
  }

  function reportReading(
    { items, position: readPosition, reading }: FeedPage<T>,
    waitMs: number,
  ): void {
    if (reading === undefined) return;
    const { receivedBytes, receiveMs, decodeMs } = reading;
    metrics.reportTiming('feed.receive', receiveMs, { table: name });
    metrics.reportTiming('feed.decode', decodeMs, { table: name });
    if (receivedBytes < largeReadBytes && receiveMs < slowReadMs) return;
    logger.info('feed_read', {
      table: name,
      position: readPosition,
      rows: items.length,
      bytes: receivedBytes,
      receiveMs: Math.round(receiveMs),
      decodeMs: Math.round(decodeMs),
      waitMs,
      activeReads,
    });
  }

  function recordFailure(message: string): void {
    metrics.count('feed.errors', 1, { table: name });
    failures += 1;
    if (failingSinceMs !== undefined) return;
    failingSinceMs = clock.getNowMs();
    logger.warn('feed_lost', { table: name, position, reason: message });
  }

  function waitForRead(): Promise<void> {
    return new Promise((resolve) => {
      readListeners.push(resolve);
    });
  }

  function reportRead(): void {
    const listeners = readListeners;
    readListeners = [];
    for (const listener of listeners) listener();
  }

  function readPage(waitMs: number): Promise<ReadOutcome> {
    activeReads += 1;
    return loadPage(waitMs).finally(() => {
      activeReads -= 1;
      reportRead();
    });
  }

  async function loadPage(waitMs: number): Promise<ReadOutcome> {
    const sentMs = clock.getNowMs();
    const reply = position === undefined ? await feed.load() : await feed.wait(position, waitMs);
    if (reply.isErr()) {
      recordFailure(reply.error.message);
      return ReadOutcome.Failed;
    }
    metrics.count('feed.reads', 1, { table: name });
    reportReading(reply.value, waitMs);
    applyPage(reply.value, sentMs);
    return canBeCut(reply.value) ? ReadOutcome.Cut : ReadOutcome.Complete;
  }

  /** Reads until no further page can follow; false if a read fails. */
  async function readRemaining(): Promise<boolean> {
    for (;;) {
      const outcome = await readPage(0);
      if (outcome !== ReadOutcome.Cut) return outcome === ReadOutcome.Complete;
    }
  }

  /** Waits for the end of a page that is arriving, which would otherwise be transferred a second time. */
  async function waitForArrival(): Promise<void> {
    while (feed.isReceiving()) await waitForRead();
  }

  /** Runs after the refresh before it: each read would bring the same changes once more. */
  async function runRefresh(previous: Promise<boolean>): Promise<boolean> {
    activeRefreshes += 1;
    try {
      await previous;
      await waitForArrival();
      // The read shows only what was stored before it, so callers from now on need another one.
      pendingRefresh = undefined;
      return await readRemaining();
    } finally {
      activeRefreshes -= 1;
      reportRead();
    }
  }

  async function run(): Promise<void> {
    while (isRunning) {
      while (activeRefreshes > 0 && failingSinceMs === undefined) await waitForRead();
      // While reads fail, do not wait for changes: the first answer must show at once that the
      // store is back.
      const waitMs = failingSinceMs === undefined ? (options.waitMs ?? feedWaitMs) : 0;
      const isDone = await runContained(logger, `feed of ${name}`, () => readPage(waitMs));
      const isRead = isDone && failingSinceMs === undefined;
      const delayMs = isRead ? (options.getPauseMs?.() ?? 0) : retryMs;
      if (delayMs > 0) await pauseReads(delayMs);
    }
  }

  async function pauseReads(delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancelTimer = clock.setTimer(delayMs, resolve);
      endPause = () => {
        cancelTimer();
        resolve();
      };
    });
  }

  function refresh(): Promise<boolean> {
    // The pause may have become shorter since it began, as when this instance becomes the owner.
    endPause();
    if (pendingRefresh === undefined) {
      pendingRefresh = runRefresh(latestRefresh);
      latestRefresh = pendingRefresh.catch(() => false);
    }
    return pendingRefresh;
  }

  return {
    start() {
      feed.restart();
      isRunning = true;
      void run();
    },
    stop() {
      isRunning = false;
    },
    isLoaded: () => position !== undefined,
    find: (key) => entries.get(key)?.value,
    findVersion: (key) => entries.get(key)?.version,
    list: () => [...entries].map(([key, { value }]) => [key, value]),
    getAgeMs: () => clock.getNowMs() - confirmedMs,
    getOutageMs: () => (failingSinceMs === undefined ? 0 : clock.getNowMs() - failingSinceMs),
    getUrgentAgeMs: () => clock.getNowMs() - Math.max(confirmedMs, urgentConfirmedMs),
    refresh,
    async refreshUrgent() {
      const sentMs = clock.getNowMs();
      const reply = await feed.loadUrgent();
      if (reply === undefined) return refresh();
      if (reply.isErr()) return false;
      for (const item of reply.value) applyItem(item);
      urgentConfirmedMs = Math.max(urgentConfirmedMs, sentMs);
      return true;
    },
  };
}
