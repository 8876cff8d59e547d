import type { Feed, FeedItem, FeedPage } from '@bergamotreach/hosting';
import { callContained, runContained } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';

/** Options of a mirror. Durations are in milliseconds. */
export interface MirrorOptions<T> {
  feed: Feed<T>;
  /** Name of the table, for logs. */
  name: string;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Called for each change; `value` is `undefined` when the row is gone. */
  onChange?: (key: string, value: T | undefined, version: number) => void;
  /** How long a read waits for changes, in milliseconds; a second when absent. */
  waitMs?: number;
  /** Pause between two reads, which merges changes that come close together; none when absent. */
  getPauseMs?: () => number;
}

/** Copy of a table in memory that follows the store. */
export interface Mirror<T> {
  start(): void;
  stop(): void;
  /** Whether the whole table was read once. */
  isLoaded(): boolean;
  find(key: string): T | undefined;
  findVersion(key: string): number | undefined;
  list(): [string, T][];
  /** Time since the store confirmed the copy, in milliseconds; infinite before the first read. */
  getAgeMs(): number;
  /** How long reads have been failing, in milliseconds; 0 while they succeed. */
  getLostMs(): number;
  /**
   * Reads the rest of the changes at once and ends the pause between reads; false when the store does
   * not answer.
   */
  refresh(): Promise<boolean>;
}

interface Entry<T> {
  value: T;
  version: number;
}

// A connection may go silent without a reset, so a wait is bounded by what the shortest bound on
// applying a configuration (2.5 s) leaves after a lost wait.
const feedWaitMs = 1000;
const retryMs = 150;
/** A page of this many changes may have more behind it. */
const fullPageItems = 100;

/** Creates a mirror; `start` begins to read. */
export function createMirror<T>(options: MirrorOptions<T>): Mirror<T> {
  const { feed, name, clock, logger, metrics } = options;
  const entries = new Map<string, Entry<T>>();
  // Versions of deleted rows, so that a page that arrives late cannot bring them back.
  const versions = new Map<string, number>();
  let position: number | undefined;
  /** Position of the latest snapshot. */
  let snapshotPosition = -Infinity;
  let confirmedMs = -Infinity;
  let isRunning = false;
  let lostSinceMs: number | undefined;
  let endPause: () => void = () => undefined;

  function applyItem({ key, value, version }: FeedItem<T>): void {
    // A row that a snapshot lacks was gone by then, so an older version of it has been deleted.
    const isOld = version <= snapshotPosition && !entries.has(key);
    if (isOld || (versions.get(key) ?? -1) >= version) return;
    versions.set(key, version);
    const isNews = value !== undefined || entries.has(key);
    if (value === undefined) entries.delete(key);
    else entries.set(key, { value, version });
    if (isNews) reportChange(key, value, version);
  }

  /** A change that its receiver fails on must not hide the changes after it. */
  function reportChange(key: string, value: T | undefined, version: number): void {
    callContained(logger, `change of ${name}/${key}`, () => {
      options.onChange?.(key, value, version);
    });
  }

  function dropMissing(page: FeedPage<T>): void {
    const present = new Set([...page.items.map(({ key }) => key), ...(page.keptKeys ?? [])]);
    for (const [key, entry] of entries) {
      if (present.has(key) || entry.version > page.position) continue;
      entries.delete(key);
      reportChange(key, undefined, page.position);
    }
    snapshotPosition = Math.max(snapshotPosition, page.position);
  }

  function applyPage(page: FeedPage<T>): void {
    for (const item of page.items) applyItem(item);
    if (page.isSnapshot) dropMissing(page);
    position = Math.max(position ?? 0, page.position);
    confirmedMs = clock.getNowMs();
    if (lostSinceMs !== undefined) {
      const lostMs = Math.round(clock.getNowMs() - lostSinceMs);
      logger.info('feed_regained', { table: name, position, lostMs });
    }
    lostSinceMs = undefined;
  }

  function noteLoss(message: string): void {
    metrics.count('feed.errors', 1, { table: name });
    if (lostSinceMs !== undefined) return;
    lostSinceMs = clock.getNowMs();
    logger.warn('feed_lost', { table: name, position, reason: message });
  }

  /** Reads one page; resolves with the number of its changes, or with `undefined` when it fails. */
  async function readPage(waitMs: number): Promise<number | undefined> {
    const reply = position === undefined ? await feed.load() : await feed.wait(position, waitMs);
    if (reply.isErr()) {
      noteLoss(reply.error.message);
      return undefined;
    }
    metrics.count('feed.reads', 1, { table: name });
    applyPage(reply.value);
    return reply.value.items.length;
  }

  async function readRest(): Promise<boolean> {
    for (;;) {
      const count = await readPage(0);
      if (count === undefined || count < fullPageItems) return count !== undefined;
    }
  }

  async function run(): Promise<void> {
    while (isRunning) {
      // After a loss the first answer is to show at once that the store is back.
      const waitMs = lostSinceMs === undefined ? (options.waitMs ?? feedWaitMs) : 0;
      const isDone = await runContained(logger, `feed of ${name}`, () => readPage(waitMs));
      const isRead = isDone && lostSinceMs === undefined;
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

  return {
    start() {
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
    getLostMs: () => (lostSinceMs === undefined ? 0 : clock.getNowMs() - lostSinceMs),
    refresh() {
      // The pause may have grown shorter since it began: a new owner refreshes the states.
      endPause();
      return readRest();
    },
  };
}
