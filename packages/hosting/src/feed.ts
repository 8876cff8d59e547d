import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** State of one row of a watched table: after a change, or in a snapshot. */
export interface FeedItem<T> {
  key: string;
  /** Version of the row; increases with each change. */
  version: number;
  /** `undefined` when the row was deleted or cannot be decoded. */
  value: T | undefined;
}

/** Changes of a table up to `position`. */
export interface FeedPage<T> {
  /** In order of their versions. */
  items: FeedItem<T>[];
  /** The page contains every row of the table; rows that are not in it do not exist. */
  isSnapshot: boolean;
  /** Keys of rows that cannot be decoded; readers keep the last valid value. None if absent. */
  unreadableKeys?: readonly string[];
  /** Position to pass to the next `wait`. */
  position: number;
  /** How the page was read; absent if it was not read over a network. */
  reading?: PageReading;
}

/** How a page was read. Durations are in milliseconds. */
export interface PageReading {
  /** Size of the answers of the store. */
  receivedBytes: number;
  /** Time for the answers to arrive. The page shows the table as it was at the beginning of it or later. */
  receiveMs: number;
  /** Time to decode the rows. */
  decodeMs: number;
}

/** Change feed of one table of the platform's store. */
export abstract class Feed<T> {
  /** Reads the whole table. Faults: `store_unavailable`. */
  abstract load(): Promise<Result<FeedPage<T>, Fault>>;
  /**
   * Waits up to `waitMs` for changes after `position`. The page is empty when there were none, and a
   * snapshot when the store no longer has the history since `position`. Faults: `store_unavailable`.
   */
  abstract wait(position: number, waitMs: number): Promise<Result<FeedPage<T>, Fault>>;
  /**
   * Reads the rows that must not wait for larger ones of the same table; `undefined` where there are none.
   * Faults: `store_unavailable`.
   */
  loadUrgent(): Promise<Result<FeedItem<T>[], Fault> | undefined> {
    return Promise.resolve(undefined);
  }
  /** Begins for a new reader, which gets nothing that was read or is being read for an earlier one. */
  restart(): void {
    return undefined;
  }
  /** Whether a page is arriving, rather than waited for; always false where pages arrive at once. */
  isReceiving(): boolean {
    return false;
  }
}
