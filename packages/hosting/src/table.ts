import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** Value of a row: any JSON value but `null`, which stands for deletion. */
export type RowValue = string | number | boolean | RowValue[] | { [name: string]: RowValue };

/** A row of the table. */
export interface Row {
  key: string;
  /** Grows with each write of the row; at least 1. */
  version: number;
  value: RowValue;
  /** Operation id of the commit that wrote this version. */
  operationId: string;
}

/** Requires that a row has exactly this version; version 0 requires that it is absent. */
export interface RowCondition {
  key: string;
  version: number;
}

/** Replaces a row, or deletes it when `value` is `null`. */
export interface RowWrite {
  key: string;
  value: RowValue | null;
}

/**
 * One transaction: all conditions hold and all writes take effect, or nothing happens. All keys belong
 * to one partition.
 */
export interface Commit {
  /** Unique per attempt; stored with every row written, so that a lost reply can be resolved. */
  operationId: string;
  conditions: RowCondition[];
  /** At most `maxCommitWrites`. */
  writes: RowWrite[];
}

/** Largest number of writes in one commit. */
export const maxCommitWrites = 100;

/** How a commit ended. */
export enum CommitStatus {
  /** All writes took effect. */
  Committed = 'committed',
  /** A condition did not hold; nothing was written. */
  Conflict = 'conflict',
  /** No reply: the writes may have taken effect. Read back by operation id before deciding. */
  Ambiguous = 'ambiguous',
  /** The store certainly did not take the commit, for example a refused connection. */
  Unavailable = 'unavailable',
}

/** Reply to a commit. */
export type CommitReply =
  | { status: CommitStatus.Committed; versions: Record<string, number> }
  | { status: CommitStatus.Conflict; conflicts: string[] }
  | { status: CommitStatus.Ambiguous; message: string }
  | { status: CommitStatus.Unavailable; message: string };

/** One page of rows in key order. */
export interface RowPage {
  rows: Row[];
  /** Keys of rows that cannot be decoded; none if absent. */
  unreadableKeys?: readonly string[];
  /** Key to pass as `after` for the next page; absent on the last page. */
  next?: string;
}

/** The platform's transactional table. */
export abstract class Table {
  /**
   * Partition of a key, which never changes. A commit names keys of one partition only, and each
   * partition carries its commits out one after another.
   */
  abstract getPartition(key: string): string;
  /** Reads one row; `undefined` when absent. Faults: `store_unavailable`. */
  abstract getRow(key: string): Promise<Result<Row | undefined, Fault>>;
  /** Reads rows whose key starts with `prefix`, in key order. Faults: `store_unavailable`. */
  abstract listRows(
    prefix: string,
    after?: string,
    limit?: number,
  ): Promise<Result<RowPage, Fault>>;
  /** Sends a transaction once. Never repeats it. */
  abstract commit(commit: Commit): Promise<CommitReply>;
}
