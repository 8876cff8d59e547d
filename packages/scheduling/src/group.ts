import type { JobSubmission, StepSpec } from './submission.ts';
import { formatGroupName } from './taskname.ts';

/** Where a task is in its life. */
export enum TaskPhase {
  Waiting = 'waiting',
  /** A worker was chosen and its room is reserved; the worker has not confirmed the start. */
  Starting = 'starting',
  Running = 'running',
  /** A stop was decided; the room is free once the worker lists the end. */
  Stopping = 'stopping',
  Done = 'done',
}

/** How a run ended, as its worker tells it. */
export enum RunEnd {
  Done = 'done',
  /** Failed by its own or the worker's fault; counts as an attempt. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease of the worker expired. */
  Lapsed = 'lapsed',
  /** Another member of the gang ended. */
  Broken = 'broken',
  /** The other members of the gang did not start in time. */
  Alone = 'alone',
}

/** One task of a group. */
export interface Task {
  index: number;
  phase: TaskPhase;
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Worker of the latest run; empty before the first. */
  workerId: string;
  /** Runs that ended failed. */
  failures: number;
  /** Latest saved progress; empty when there is none. */
  checkpoint: string;
  /** Steady time at which the current run was confirmed. */
  startedAtMs: number;
  /** Worker on which the task failed last; avoided by the next run. */
  failedOn: string;
  /** An earlier run ended done while the present one was under way. */
  isSettled: boolean;
}

/** One step of one occurrence of a job with the state of its tasks. */
export interface TaskGroup {
  key: string;
  job: JobSubmission;
  spec: StepSpec;
  occurrence: number;
  step: number;
  tasks: Task[];
  /** Failed runs of a gang, whose members fail together. */
  gangFailures: number;
  /** Latest run of a gang that was counted as failed. */
  lastFailedRun: number;
  /** Workers that the policy of the queue admits now; any when undefined. */
  allowedWorkers?: ReadonlySet<string> | undefined;
}

/** Creates a group none of whose tasks has run. */
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
    failedOn: '',
    isSettled: false,
  };
}

/** Whether all tasks of a group are done. */
export function isGroupDone(group: TaskGroup): boolean {
  return group.tasks.every((task) => task.phase === TaskPhase.Done);
}

/** Whether a task holds room on a worker. */
export function isOccupying(task: Task): boolean {
  return (
    task.phase === TaskPhase.Starting ||
    task.phase === TaskPhase.Running ||
    task.phase === TaskPhase.Stopping
  );
}

/** Whether the group has used up its attempts. */
export function isExhausted(group: TaskGroup): boolean {
  if (group.spec.isLongRunning) return false;
  const { maxAttempts } = group.job.rules;
  if (group.spec.isGang) return group.gangFailures >= maxAttempts;
  return group.tasks.some((task) => task.failures >= maxAttempts);
}

/** Highest run number of a group; the members of a gang share theirs. */
export function getLatestRun(group: TaskGroup): number {
  return group.tasks.reduce((latest, task) => Math.max(latest, task.run), 0);
}

/** What an end changed. */
export enum EndEffect {
  /** Not the current run of the task; only to be acknowledged. */
  Stale = 'stale',
  Done = 'done',
  /** An earlier run was done; the present one is not needed any more. */
  Settled = 'settled',
  /** The task waits for its next run. */
  Retry = 'retry',
  /** The attempts are used up. */
  Exhausted = 'exhausted',
}

/** Records the end of `run` of a task. Ends that were recorded before have no effect. */
export function noteEnd(
  group: TaskGroup,
  task: Task,
  run: number,
  end: RunEnd,
  checkpoint: string,
): EndEffect {
  if (task.phase === TaskPhase.Done) return EndEffect.Stale;
  if (run > task.run) return EndEffect.Stale;
  const isGivenUp = run < task.run || task.phase === TaskPhase.Waiting;
  if (isGivenUp) return noteGivenUpEnd(group, task, end);
  if (end === RunEnd.Done && !group.spec.isLongRunning) {
    // One finished member stands for the whole gang.
    const finished = group.spec.isGang ? group.tasks : [task];
    for (const one of finished) one.phase = TaskPhase.Done;
    return EndEffect.Done;
  }
  if (task.isSettled) {
    task.phase = TaskPhase.Done;
    return EndEffect.Done;
  }
  task.phase = TaskPhase.Waiting;
  if (checkpoint !== '') keepCheckpoint(group, task, checkpoint);
  if (end === RunEnd.Failed) countFailure(group, task, run);
  return isExhausted(group) ? EndEffect.Exhausted : EndEffect.Retry;
}

/** A run may go on to its end after it was given up: begun late, or on a worker that came back. */
function noteGivenUpEnd(group: TaskGroup, task: Task, end: RunEnd): EndEffect {
  const { isGang, isLongRunning } = group.spec;
  if (end !== RunEnd.Done || isGang || isLongRunning) return EndEffect.Stale;
  if (isOccupying(task)) {
    task.isSettled = true;
    return EndEffect.Settled;
  }
  task.phase = TaskPhase.Done;
  return EndEffect.Done;
}

/** Takes over a checkpoint; that of any member serves a whole gang. */
export function keepCheckpoint(group: TaskGroup, task: Task, checkpoint: string): void {
  const owners = group.spec.isGang ? group.tasks : [task];
  for (const owner of owners) owner.checkpoint = checkpoint;
}

function countFailure(group: TaskGroup, task: Task, run: number): void {
  task.failedOn = task.workerId;
  task.failures += 1;
  if (!group.spec.isGang || group.lastFailedRun === run) return;
  group.lastFailedRun = run;
  group.gangFailures += 1;
}
