import { TaskPhase, createGroup } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import type { JobSubmission } from './submission.ts';

/** Stored state of a task: done flag, run, worker, failures and checkpoint. */
export type TaskRecord = [number, number, string, number, string];

/** Stored state of a group. */
export interface GroupRecord {
  tasks: TaskRecord[];
  gangFailures: number;
  lastFailedRun: number;
}

/** Phases that are stored; a run in any other phase is looked for on its worker. */
enum StoredPhase {
  Waiting = 0,
  Sent = 1,
  Done = 2,
}

function encodePhase({ phase, isSettled }: Task): StoredPhase {
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
 * Restores a group. A task whose start was sent is `Starting`: its run may be on its worker, may
 * have ended there, or may not have begun.
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
