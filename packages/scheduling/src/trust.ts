/** What is known of a worker's health from the ends of its runs. */
export interface WorkerTrust {
  /** Notes a run that ended well. */
  noteDone(workerId: string): void;
  /** Notes a failed run of `groupKey`. */
  noteFailure(workerId: string, groupKey: string, nowMs: number): void;
  /** How many tasks may start on a worker that now has `running` tasks. */
  countStarts(workerId: string, running: number, nowMs: number): number;
  /** Whether the latest end on a worker was a failure, so that the next may fail too. */
  isSuspect(workerId: string, nowMs: number): boolean;
}

interface Health {
  /** Groups that failed on the worker since its last run that ended well. */
  failedGroups: Set<string>;
  /** Steady time until which nothing starts on the worker. */
  pausedUntilMs: number;
  /** Steady time until which only probes start on the worker. */
  suspectUntilMs: number;
  /** Pauses without a good run in between. */
  pauses: number;
}

/** Failures of distinct groups after which a worker is paused: one group may fail by itself. */
const maxFailedGroups = 2;
const firstPauseMs = 3000;
const maxPauseMs = 12_000;
/** Without a probe, a failure is held against a worker for this long. */
const suspectMs = 4000;
/** A worker whose latest end was a failure gets this many tasks until one ends well. */
const probeTasks = 1;

/** Creates the record of workers; a worker that is not known is trusted. */
export function createWorkerTrust(): WorkerTrust {
  const records = new Map<string, Health>();

  function getRecord(workerId: string): Health {
    const known = records.get(workerId);
    if (known !== undefined) return known;
    const created = {
      failedGroups: new Set<string>(),
      pausedUntilMs: 0,
      suspectUntilMs: 0,
      pauses: 0,
    };
    records.set(workerId, created);
    return created;
  }

  function pause(record: Health, nowMs: number): void {
    record.pausedUntilMs = nowMs + Math.min(maxPauseMs, firstPauseMs * 2 ** record.pauses);
    record.suspectUntilMs = record.pausedUntilMs + suspectMs;
    record.pauses += 1;
    record.failedGroups.clear();
  }

  return {
    noteDone(workerId) {
      records.delete(workerId);
    },
    noteFailure(workerId, groupKey, nowMs) {
      const record = getRecord(workerId);
      record.failedGroups.add(groupKey);
      record.suspectUntilMs = Math.max(record.suspectUntilMs, nowMs + suspectMs);
      const limit = record.pauses > 0 ? 1 : maxFailedGroups;
      if (record.failedGroups.size >= limit) pause(record, nowMs);
    },
    countStarts(workerId, running, nowMs) {
      const record = records.get(workerId);
      if (record === undefined) return Infinity;
      if (nowMs < record.pausedUntilMs) return 0;
      if (nowMs >= record.suspectUntilMs) return Infinity;
      return Math.max(0, probeTasks - running);
    },
    isSuspect: (workerId, nowMs) => nowMs < (records.get(workerId)?.suspectUntilMs ?? -Infinity),
  };
}
