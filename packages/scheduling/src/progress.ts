import { TaskPhase, createGroup } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import type { JobSubmission } from './submission.ts';

/** Stored state of a task: `[phase, run, workerId, failures, checkpoint]`, phase as in `StoredPhase`. */
export type TaskRecord = [number, number, string, number, string];

/** Stored state of a group. */
export interface GroupRecord {
  tasks: TaskRecord[];
  gangFailures: number;
  lastFailedRun: number;
}

/** Stored phases of a task. */
enum StoredPhase {
  Waiting = 0,
  /** The start may have been sent; the worker knows what became of the run. */
  Sent = 1,
  Done = 2,
}

function encodePhase({ phase, isDoneByEarlierRun: isSettled }: Task): StoredPhase {
  if (phase === TaskPhase.Done || isSettled) return StoredPhase.Done;
  return phase === TaskPhase.Waiting ? StoredPhase.Waiting : StoredPhase.Sent;
}

/** Encodes the state of a group for the store. */
export function encodeGroup(group: TaskGroup): GroupRecord {
  return {
    tasks: group.tasks.map((task) => [
      encodePhase(task),
      task.run,
      task.workerId,
      task.failures,
      task.checkpoint,
    ]),
    gangFailures: group.gangFailures,
    lastFailedRun: group.lastFailedRun,
  };
}

/**
 * Restores a group from its stored state. A task whose start was sent becomes `Starting`: its run may
 * be running on its worker, may have ended there, or may never have started.
 */
export function decodeGroup(
  job: JobSubmission,
  occurrence: number,
  step: number,
  record: GroupRecord,
): TaskGroup {
  const group = createGroup(job, occurrence, step);
  group.gangFailures = record.gangFailures;
  group.lastFailedRun = record.lastFailedRun;
  for (const task of group.tasks) {
    const stored = record.tasks[task.index];
    if (stored !== undefined) decodeTask(task, stored);
  }
  return group;
}

function decodeTask(task: Task, record: TaskRecord): void {
  const [phase, run, workerId, failures, checkpoint] = record;
  const phases = [TaskPhase.Waiting, TaskPhase.Starting, TaskPhase.Done];
  task.phase = phases[phase] ?? TaskPhase.Waiting;
  Object.assign(task, { run, workerId, failures, checkpoint });
}
