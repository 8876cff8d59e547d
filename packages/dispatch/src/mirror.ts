import type { Feed, FeedItem, FeedPage } from '@bergamotreach/hosting';
import { waitFor } from '@bergamotreach/protocol';
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
  /** Pause between two reads, which merges changes that come close together. */
  pauseMs?: number;
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
  /** Reads the rest of the changes at once; false when the store does not answer. */
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
const defaultPauseMs = 0;

/** Creates a mirror; `start` begins to read. */
export function createMirror<T>(options: MirrorOptions<T>): Mirror<T> {
  const { feed, name, clock, logger, metrics } = options;
  const pauseMs = options.pauseMs ?? defaultPauseMs;
  const entries = new Map<string, Entry<T>>();
  // Versions of deleted rows, so that a page that arrives late cannot bring them back.
  const versions = new Map<string, number>();
  let position: number | undefined;
  let confirmedMs = -Infinity;
  let isRunning = false;
  let lostSinceMs: number | undefined;

  function applyItem({ key, value, version }: FeedItem<T>): void {
    if ((versions.get(key) ?? -1) >= version) return;
    versions.set(key, version);
    const isNews = value !== undefined || entries.has(key);
    if (value === undefined) entries.delete(key);
    else entries.set(key, { value, version });
    if (isNews) options.onChange?.(key, value, version);
  }

  function dropMissing(page: FeedPage<T>): void {
    const present = new Set(page.items.map(({ key }) => key));
    for (const [key, entry] of entries) {
      if (present.has(key) || entry.version > page.position) continue;
      entries.delete(key);
      options.onChange?.(key, undefined, page.position);
    }
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

  async function readOnce(waitMs: number): Promise<boolean> {
    const reply = position === undefined ? await feed.load() : await feed.wait(position, waitMs);
    if (reply.isErr()) {
      noteLoss(reply.error.message);
      return false;
    }
    applyPage(reply.value);
    return true;
  }

  async function run(): Promise<void> {
    while (isRunning) {
      // After a loss the first answer is to show at once that the store is back.
      const isRead = await readOnce(lostSinceMs === undefined ? feedWaitMs : 0);
      const delayMs = isRead ? pauseMs : retryMs;
      if (delayMs > 0) await waitFor(clock, delayMs);
    }
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
    refresh: () => readOnce(0),
  };
}
