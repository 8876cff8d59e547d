import type { PolicyDecisions } from './advice.ts';
import type { CrashRecord } from './crashes.ts';
import type { RunProgress } from './runprogress.ts';
import type { JobSubmission, StepSpec } from './submission.ts';
import { formatGroupName } from './taskname.ts';

/** Phase in the life cycle of a task. */
export enum TaskPhase {
  Waiting = 'waiting',
  /** A worker was chosen and holds resources for it; the worker has not confirmed the start. */
  Starting = 'starting',
  Running = 'running',
  /** A stop was decided; the resources are free once the worker reports the end. */
  Stopping = 'stopping',
  Done = 'done',
}

/** How a run ended, as reported by its worker. */
export enum RunEnd {
  Done = 'done',
  /** The task or its worker failed; counts as an attempt. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease of the worker expired. */
  LeaseExpired = 'lapsed',
  /** Stopped because another member of the gang ended. */
  GangBroken = 'broken',
  /** Stopped because the other members of the gang did not start in time. */
  GangIncomplete = 'alone',
}

/** One task of a group. */
export interface Task {
  index: number;
  phase: TaskPhase;
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Worker of the latest run; empty before the first. */
  workerId: string;
  /** Number of failed runs. */
  failures: number;
  /** Latest checkpoint; empty when there is none. */
  checkpoint: string;
  /** Monotonic time at which the worker confirmed the current run; 0 before. */
  startedAtMs: number;
  /** Worker of the latest failed run; the next run avoids it if possible. */
  lastFailedWorkerId: string;
  /** An earlier run succeeded while the current one was in flight. */
  isDoneByEarlierRun: boolean;
  /** Crashes of workers under the task; absent if there were none. */
  crashRecord?: CrashRecord;
  /** Monotonic time before which the task does not start again after a crash; 0 if there was none. */
  retryAtMs: number;
  /** Progress of the latest run, as far as its worker reports it and the deployment uses it. */
  progress?: RunProgress;
}

/** One step of one occurrence of a job, with the state of its tasks. */
export interface TaskGroup {
  key: string;
  job: JobSubmission;
  spec: StepSpec;
  occurrence: number;
  step: number;
  tasks: Task[];
  /** Number of failed runs of a gang; its members fail together. */
  gangFailures: number;
  /** Latest run of a gang that was counted in `gangFailures`. */
  lastFailedRun: number;
  /** Its progress is stored in chunks of tasks, since one row would not hold it. */
  isChunked: boolean;
  /** Workers with a valid ticket, where tasks may start now; `undefined` if the queue has no policy. */
  allowedWorkers?: ReadonlySet<string> | undefined;
  /** What the policy of the queue has decided; `undefined` if the queue has none. */
  decisions?: PolicyDecisions | undefined;
  /** In a part of a group that a plan splits: the whole group. */
  source?: TaskGroup;
  /** Its waiting tasks may crash their workers, so they start only where no other job has a run. */
  isIsolated?: boolean;
}

/** Progress of wider groups is stored in chunks from the first run on. */
export const maxTasksPerRow = 512;

/** Creates a group whose tasks have not run yet. Throws if the job has no such step. */
export function createGroup(job: JobSubmission, occurrence: number, step: number): TaskGroup {
  const spec = job.steps[step];
  if (spec === undefined) throw new Error(`job ${job.id} has no step ${step}`);
  return {
    key: formatGroupName({ jobId: job.id, occurrence, step }),
    job,
    spec,
    occurrence,
    step,
    tasks: Array.from({ length: spec.taskCount }, (_, index) => createTask(index)),
    gangFailures: 0,
    lastFailedRun: 0,
    isChunked: spec.taskCount > maxTasksPerRow,
  };
}

function createTask(index: number): Task {
  return {
    index,
    phase: TaskPhase.Waiting,
    run: 0,
    workerId: '',
    failures: 0,
    checkpoint: '',
    startedAtMs: 0,
    lastFailedWorkerId: '',
    isDoneByEarlierRun: false,
    retryAtMs: 0,
  };
}

/** Whether all tasks of a group are done. */
export function isGroupDone(group: TaskGroup): boolean {
  return group.tasks.every((task) => task.phase === TaskPhase.Done);
}

/** Whether a task holds resources on a worker. */
export function isOccupying(task: Task): boolean {
  return (
    task.phase === TaskPhase.Starting ||
    task.phase === TaskPhase.Running ||
    task.phase === TaskPhase.Stopping
  );
}

/** Whether the group has used up its attempts; never for long-running groups. */
export function isExhausted(group: TaskGroup): boolean {
  if (group.spec.isLongRunning) return false;
  const { maxAttempts } = group.job.rules;
  if (group.spec.isGang) return group.gangFailures >= maxAttempts;
  return group.tasks.some((task) => task.failures >= maxAttempts);
}

/** Highest run number of a group; all members of a gang have the same. */
export function getLatestRun(group: TaskGroup): number {
  return group.tasks.reduce((latest, task) => Math.max(latest, task.run), 0);
}

/** Effect of a recorded end. */
export enum EndEffect {
  /**
   * Recorded before, or of another run, unless an earlier run succeeded; has no effect and only needs
   * to be acknowledged.
   */
  Stale = 'stale',
  Done = 'done',
  /** An earlier run succeeded; the current one is no longer needed and can be stopped. */
  Superseded = 'superseded',
  /** The task waits for its next run. */
  Retry = 'retry',
  /** The attempts are used up. */
  Exhausted = 'exhausted',
}

/** Records the end of `run` of a task. Idempotent: an end that was recorded before has no effect. */
export function recordEnd(
  group: TaskGroup,
  task: Task,
  run: number,
  end: RunEnd,
  checkpoint: string,
): EndEffect {
  if (task.phase === TaskPhase.Done) return EndEffect.Stale;
  if (run > task.run) return EndEffect.Stale;
  const isAbandoned = run < task.run || task.phase === TaskPhase.Waiting;
  if (isAbandoned) return recordAbandonedEnd(group, task, end);
  if (end === RunEnd.Done && !group.spec.isLongRunning) {
    // The whole gang is done when one member is.
    const finished = group.spec.isGang ? group.tasks : [task];
    for (const one of finished) one.phase = TaskPhase.Done;
    return EndEffect.Done;
  }
  if (task.isDoneByEarlierRun) {
    task.phase = TaskPhase.Done;
    return EndEffect.Done;
  }
  task.phase = TaskPhase.Waiting;
  if (checkpoint !== '') setCheckpoint(group, task, checkpoint);
  if (end === RunEnd.Failed) countFailure(group, task, run);
  return isExhausted(group) ? EndEffect.Exhausted : EndEffect.Retry;
}

/** A run may still succeed after it was abandoned: it started late, or its worker came back. */
function recordAbandonedEnd(group: TaskGroup, task: Task, end: RunEnd): EndEffect {
  const { isGang, isLongRunning } = group.spec;
  if (end !== RunEnd.Done || isGang || isLongRunning) return EndEffect.Stale;
  if (isOccupying(task)) {
    task.isDoneByEarlierRun = true;
    return EndEffect.Superseded;
  }
  task.phase = TaskPhase.Done;
  return EndEffect.Done;
}

/** Sets the checkpoint of a task; in a gang, that of every member. */
export function setCheckpoint(group: TaskGroup, task: Task, checkpoint: string): void {
  const owners = group.spec.isGang ? group.tasks : [task];
  for (const owner of owners) owner.checkpoint = checkpoint;
}

function countFailure(group: TaskGroup, task: Task, run: number): void {
  task.lastFailedWorkerId = task.workerId;
  task.failures += 1;
  if (!group.spec.isGang || group.lastFailedRun === run) return;
  group.lastFailedRun = run;
  group.gangFailures += 1;
}
