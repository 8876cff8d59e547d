import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import { getJsonBytes } from './jsonsize.ts';
import { getSendAllowanceMs } from './silencewatch.ts';

/** Value of a row: any JSON value except `null`, which represents a deletion. */
export type RowValue = string | number | boolean | RowValue[] | { [name: string]: RowValue };

/** A row of the table. */
export interface Row {
  key: string;
  /** At least 1; increases with each write of the row. */
  version: number;
  value: RowValue;
  /** Operation id of the commit that wrote this version. */
  operationId: string;
}

/** Requires that a row has exactly this version; version 0 requires that it does not exist. */
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
 * A transaction: if all conditions hold, all writes take effect, otherwise none does. All keys must
 * belong to one partition.
 */
export interface Commit {
  /**
   * Stored with every written row, to find out the result after a lost reply. Unique, except that
   * retries with the same conditions and writes can share it.
   */
  operationId: string;
  conditions: RowCondition[];
  /** At most `maxCommitWrites`. */
  writes: RowWrite[];
}

/** Maximum number of writes in one commit. */
export const maxCommitWrites = 100;

/** How a commit ended. */
export enum CommitStatus {
  /** All writes took effect. */
  Committed = 'committed',
  /** A condition did not hold; nothing was written. */
  Conflict = 'conflict',
  /** No reply: the writes may have taken effect. Read the rows back to compare their operation ids. */
  Ambiguous = 'ambiguous',
  /** The commit certainly did not take effect, for example because the connection was refused. */
  Unavailable = 'unavailable',
  /** The store refuses the commit for its content, now and later; nothing was written. */
  Rejected = 'rejected',
}

/** Reply to a commit. */
export type CommitReply =
  | { status: CommitStatus.Committed; versions: Record<string, number> }
  | { status: CommitStatus.Conflict; conflicts: string[] }
  | { status: CommitStatus.Ambiguous; message: string }
  | { status: CommitStatus.Unavailable; message: string }
  | { status: CommitStatus.Rejected; message: string };

/** Sizes that a table takes, in bytes. */
export interface TableLimits {
  /** Largest value of a row, as JSON. */
  rowBytes: number;
  /** Largest sum of `getCommitBytes` over the transactions of a commit. */
  commitBytes: number;
}

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
   * Returns the partition of a key, which never changes. All keys of a commit belong to one partition,
   * and each partition applies its commits one at a time.
   */
  abstract getPartition(key: string): string;
  /**
   * Reads one row; `undefined` when it does not exist. Faults: `store_unavailable`, and `protocol` if its value cannot be
   * decoded.
   */
  abstract getRow(key: string): Promise<Result<Row | undefined, Fault>>;
  /** Reads rows whose key starts with `prefix`, in key order. Faults: `store_unavailable`. */
  abstract listRows(
    prefix: string,
    after?: string,
    limit?: number,
  ): Promise<Result<RowPage, Fault>>;
  /** Sends a transaction once, without retries. */
  abstract commit(commit: Commit): Promise<CommitReply>;
  /** Sizes that the table takes; unlimited by default. */
  getLimits(): TableLimits {
    return { rowBytes: Infinity, commitBytes: Infinity };
  }
  /** Size of a transaction in a commit, in bytes. */
  getCommitBytes({ conditions, writes }: Pick<Commit, 'conditions' | 'writes'>): number {
    return getJsonBytes({ conditions, writes });
  }
  /** Time that sending a commit may take over a slow link, in milliseconds. */
  getSendMs(commit: Commit): number {
    return getSendAllowanceMs(JSON.stringify(commit).length);
  }
}
