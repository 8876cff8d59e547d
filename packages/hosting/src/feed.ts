import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** A row of a watched table. */
export interface FeedItem<T> {
  key: string;
  /** Version of the row; grows with each change. */
  version: number;
  /** `undefined` when the row was deleted or cannot be decoded. */
  value: T | undefined;
}

/** Changes of a table up to a position. */
export interface FeedPage<T> {
  /** In order of their versions. */
  items: FeedItem<T>[];
  /** The page holds every row of the table: rows that it lacks do not exist. */
  isSnapshot: boolean;
  /** Keys of rows that cannot be decoded and whose last good value is to be kept; none if absent. */
  keptKeys?: readonly string[];
  /** To be passed to the next `wait`. */
  position: number;
}

/** Changes of one table of the platform's store. */
export abstract class Feed<T> {
  /** Reads the whole table. Faults: `store_unavailable`. */
  abstract load(): Promise<Result<FeedPage<T>, Fault>>;
  /**
   * Waits up to `waitMs` for changes after `position`; the page is empty when there were none, and
   * a snapshot when the store has dropped the history. Faults: `store_unavailable`.
   */
  abstract wait(position: number, waitMs: number): Promise<Result<FeedPage<T>, Fault>>;
}
