import { TaskPhase } from './group.ts';
import type { Task, TaskGroup } from './group.ts';

/** What the losses of workers under one task say about it. */
export interface CrashRecord {
  /** Latest run whose worker was lost. */
  run: number;
  /** Workers that crashed with a run of the task on them. */
  crashes: number;
  /** Those of them on which no other job had a run, each on another machine than the crash before. */
  soleCrashes: number;
  /** Natural logarithm of the probability that these would have crashed without the task; at most 0. */
  logChance: number;
  /** Longest time from a start to the loss, in milliseconds. */
  longestMs: number;
  /** Machine of the latest crash. */
  machine: string;
  /** Workers were lost under the task, but only for reasons that need not have to do with it. */
  isExposed: boolean;
}

/** One lost run, as far as it says anything about its task. */
export interface Exposure {
  run: number;
  /** Time from the start of the run to the loss, in milliseconds. */
  ranMs: number;
}

/** One crash of a worker, as seen from one of the runs on it. */
export interface Crash extends Exposure {
  machine: string;
  /** No other job had a run on the worker. */
  isSole: boolean;
  /** Probability that the worker would have crashed in that time without the run, 0 to 1. */
  chance: number;
}

/** A task is given up after at least this many crashes that no other job can have caused. */
const minSoleCrashes = 2;
/** Probability of coincidence below which the crashes are attributed to the task. */
const maxChance = 1e-4;
/** A task that outlives its longest run before a crash by this factor, and this minimum, may have company. */
const clearanceFactor = 1.5;
const minClearanceMs = 2000;
/** A run of this length shows that the task does not crash its worker; its record is dropped. */
const forgetAfterMs = 60_000;
/** Pause before the next start after the second crash; doubles with each further crash. */
const firstRetryMs = 500;
const maxRetryMs = 16_000;

/** Records a crash for a task. A crash of a run that was counted before has no effect. */
export function recordCrash(task: Task, crash: Crash): boolean {
  const known = task.crashRecord;
  if (known !== undefined && crash.run <= known.run) return false;
  // The same machine again may be a faulty one.
  const isEvidence = crash.isSole && known?.machine !== crash.machine;
  task.crashRecord = {
    run: crash.run,
    crashes: (known?.crashes ?? 0) + 1,
    soleCrashes: (known?.soleCrashes ?? 0) + (isEvidence ? 1 : 0),
    logChance: (known?.logChance ?? 0) + (isEvidence ? Math.min(0, Math.log(crash.chance)) : 0),
    longestMs: Math.max(known?.longestMs ?? 0, crash.ranMs),
    machine: crash.machine,
    isExposed: false,
  };
  return true;
}

/**
 * Records for a task that the worker of a run was lost for a reason that need not have to do with it. The
 * task is no suspect, unless it was one before.
 */
export function recordExposure(task: Task, { run, ranMs }: Exposure): boolean {
  const known = task.crashRecord;
  if (known !== undefined && run <= known.run) return false;
  const none = { crashes: 0, soleCrashes: 0, logChance: 0, longestMs: 0, machine: '' };
  const record = known ?? { ...none, isExposed: true };
  task.crashRecord = { ...record, run, longestMs: Math.max(record.longestMs, ranMs) };
  return true;
}

/**
 * Whether the crashes are attributed to the task: it was alone with the workers, and they are unlikely
 * to have crashed by themselves.
 */
export function isCulprit({ crashRecord }: Task): boolean {
  if (crashRecord === undefined) return false;
  const { soleCrashes, logChance } = crashRecord;
  return soleCrashes >= minSoleCrashes && logChance <= Math.log(maxChance);
}

/** Whether a task of the group crashes its workers, so that its job is given up. */
export function hasCulprit(group: TaskGroup): boolean {
  return group.tasks.some(isCulprit);
}

/**
 * Whether a worker was lost under a task, and its present run has not lasted for clearly longer than the
 * one before the loss.
 */
export function isUncleared(task: Task, nowMs: number): boolean {
  const { crashRecord, phase, startedAtMs } = task;
  if (crashRecord === undefined || phase === TaskPhase.Done) return false;
  if (startedAtMs <= 0 || phase === TaskPhase.Waiting || phase === TaskPhase.Starting) return true;
  const clearanceMs = Math.max(minClearanceMs, crashRecord.longestMs * clearanceFactor);
  return nowMs - startedAtMs < clearanceMs;
}

/** Whether a task may crash its worker, so that no other job should have a run there. */
export function isCrashSuspect(task: Task, nowMs: number): boolean {
  return task.crashRecord?.isExposed === false && isUncleared(task, nowMs);
}

/** Whether the present run of a task shows that the crashes before had another cause. */
export function isExonerated({ crashRecord, phase, startedAtMs }: Task, nowMs: number): boolean {
  if (crashRecord === undefined || phase !== TaskPhase.Running || startedAtMs <= 0) return false;
  return nowMs - startedAtMs >= Math.max(forgetAfterMs, crashRecord.longestMs * clearanceFactor);
}

/** Runs of a task without a failure, after which an owner without crash records may have met crashes. */
const minUncountedRuns = 3;

/**
 * Makes tasks suspects that were started again and again without a failure by an owner that kept no crash
 * records. Preemption looks the same, so this is no evidence; it only keeps them apart on their next start.
 */
export function markUncounted(group: TaskGroup): void {
  for (const task of group.tasks) {
    const { phase, run, failures, crashRecord } = task;
    if (crashRecord !== undefined || phase === TaskPhase.Done) continue;
    if (run - failures < minUncountedRuns) continue;
    task.crashRecord = {
      ...{ run: run - 1, crashes: 0, soleCrashes: 0, logChance: 0, longestMs: 0, machine: '' },
      isExposed: false,
    };
  }
}

/** Pause between the loss of a run and the next start of its task, in milliseconds. */
export function getCrashRetryMs({ crashRecord }: Task): number {
  if (crashRecord === undefined || crashRecord.crashes < minSoleCrashes) return 0;
  return Math.min(maxRetryMs, firstRetryMs * 2 ** (crashRecord.crashes - minSoleCrashes));
}

/**
 * Stored crash record: `[index, run, crashes, soleCrashes, logChance, longestMs, machine, isExposed]`. The
 * last field is 1 or 0; versions that do not know it treat an exposed task as a suspect.
 */
export type StoredCrashRecord = [number, number, number, number, number, number, string, number];

/** Crash records of the tasks of a group as they are stored. */
export interface CrashRow {
  records: StoredCrashRecord[];
}

/** Encodes the crash records of a group for the store. */
export function encodeCrashes(group: TaskGroup, tasks: readonly Task[] = group.tasks): CrashRow {
  return {
    records: tasks.flatMap(({ index, crashRecord }) => {
      if (crashRecord === undefined) return [];
      const { run, crashes, soleCrashes, logChance, longestMs, machine, isExposed } = crashRecord;
      const counts = [index, run, crashes, soleCrashes] as const;
      return [[...counts, logChance, Math.round(longestMs), machine, Number(isExposed)]];
    }),
  };
}

/** Restores the crash records of a group; records of tasks that it does not have are ignored. */
export function decodeCrashes(group: TaskGroup, row: CrashRow): void {
  for (const [index, run, crashes, soleCrashes, logChance, ...rest] of row.records) {
    const [longestMs, machine, exposed] = rest;
    const task = group.tasks[index];
    if (task === undefined) continue;
    const isExposed = exposed === 1;
    task.crashRecord = { run, crashes, soleCrashes, logChance, longestMs, machine, isExposed };
  }
}
