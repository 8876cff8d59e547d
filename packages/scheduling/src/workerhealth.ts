/** Tracks the health of workers by how runs on them end. */
export interface WorkerHealth {
  /** Records a successful run, which clears the failures of the worker. */
  recordSuccess(workerId: string): void;
  /** Records a failed run of the group with `groupKey`. */
  recordFailure(workerId: string, groupKey: string, nowMs: number): void;
  /** Number of tasks that may start on a worker that now runs `running` tasks. */
  countStarts(workerId: string, running: number, nowMs: number): number;
  /** Whether a recent run on the worker failed, so that the next one may fail too. */
  isSuspect(workerId: string, nowMs: number): boolean;
}

interface HealthRecord {
  /** Groups that failed on the worker since its last successful run or its last pause. */
  failedGroups: Set<string>;
  /** Monotonic time until which nothing starts on the worker. */
  pausedUntilMs: number;
  /** Monotonic time until which only probes start on the worker. */
  suspectUntilMs: number;
  /** Consecutive pauses without a successful run between them; each doubles the next one. */
  pauses: number;
}

/** Distinct groups that must fail before a worker is paused; one group alone may itself be faulty. */
const maxFailedGroups = 2;
const firstPauseMs = 3000;
const maxPauseMs = 12_000;
/** Time for which a worker stays suspect after a failure or a pause. */
const suspectMs = 4000;
/** Maximum number of tasks on a suspect worker until one succeeds. */
const maxProbeTasks = 1;

/** Creates an empty tracker; a worker without records counts as healthy. */
export function createWorkerHealth(): WorkerHealth {
  const records = new Map<string, HealthRecord>();

  function getRecord(workerId: string): HealthRecord {
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

  function pause(record: HealthRecord, nowMs: number): void {
    record.pausedUntilMs = nowMs + Math.min(maxPauseMs, firstPauseMs * 2 ** record.pauses);
    record.suspectUntilMs = record.pausedUntilMs + suspectMs;
    record.pauses += 1;
    record.failedGroups.clear();
  }

  return {
    recordSuccess(workerId) {
      records.delete(workerId);
    },
    recordFailure(workerId, groupKey, nowMs) {
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
      return Math.max(0, maxProbeTasks - running);
    },
    isSuspect: (workerId, nowMs) => nowMs < (records.get(workerId)?.suspectUntilMs ?? -Infinity),
  };
}
