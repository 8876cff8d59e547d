import type { Clock } from '@bergamotreach/protocol';

/** Counters of the table and the object store since the last reset. */
export interface StoreCounts {
  /** Time since the last reset, in seconds. */
  seconds: number;
  reads: number;
  commits: number;
  /** Rows written by successful commits. */
  rowsWritten: number;
  conflicts: number;
  objectReads: number;
  objectWrites: number;
}

/** Counts operations of the table and the object store. */
export interface StoreStats {
  countRead(): void;
  countCommit(rowsWritten: number, isCommitted: boolean): void;
  countObject(isWrite: boolean): void;
  getCounts(): StoreCounts;
  reset(): void;
}

function createCounts(): StoreCounts {
  return {
    seconds: 0,
    reads: 0,
    commits: 0,
    rowsWritten: 0,
    conflicts: 0,
    objectReads: 0,
    objectWrites: 0,
  };
}

/** Creates counters that start at zero at the present time of the clock. */
export function createStoreStats(clock: Clock): StoreStats {
  let counts = createCounts();
  let lastResetMs = clock.getNowMs();
  return {
    countRead: () => {
      counts.reads += 1;
    },
    countCommit: (rowsWritten, isCommitted) => {
      counts.commits += 1;
      if (isCommitted) counts.rowsWritten += rowsWritten;
      else counts.conflicts += 1;
    },
    countObject: (isWrite) => {
      if (isWrite) counts.objectWrites += 1;
      else counts.objectReads += 1;
    },
    getCounts: () => ({ ...counts, seconds: (clock.getNowMs() - lastResetMs) / 1000 }),
    reset: () => {
      counts = createCounts();
      lastResetMs = clock.getNowMs();
    },
  };
}
