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

/** Position of the checkpoint in the record of a task. */
const checkpointField = 4;

/** Stored phases of a task. */
enum StoredPhase {
  Waiting = 0,
  /** The start may have been sent; the worker knows what became of the run. */
  Sent = 1,
  Done = 2,
}

function encodePhase({ phase, isDoneByEarlierRun }: Task): StoredPhase {
  if (phase === TaskPhase.Done || isDoneByEarlierRun) return StoredPhase.Done;
  return phase === TaskPhase.Waiting ? StoredPhase.Waiting : StoredPhase.Sent;
}

function encodeTask(task: Task): TaskRecord {
  return [encodePhase(task), task.run, task.workerId, task.failures, task.checkpoint];
}

/** Encodes the state of a group, or of some of its tasks, for the store. */
export function encodeGroup(group: TaskGroup, tasks: readonly Task[] = group.tasks): GroupRecord {
  const { gangFailures, lastFailedRun } = group;
  return { tasks: tasks.map(encodeTask), gangFailures, lastFailedRun };
}

/** Number of tasks in a chunk of a group. */
export const tasksPerChunk = 64;

/** Number of the chunk that a task belongs to. */
export function getChunk(task: Task): number {
  return Math.floor(task.index / tasksPerChunk);
}

/** Tasks of a chunk. */
export function listChunkTasks(group: TaskGroup, chunk: number): Task[] {
  return group.tasks.slice(chunk * tasksPerChunk, (chunk + 1) * tasksPerChunk);
}

/**
 * Encodes a chunk of a group in at most `maxBytes` as `getBytes` measures them. The longest checkpoints are left
 * out until it fits: a task without its checkpoint only repeats work. The checkpoint of any member stands for a gang.
 */
export function encodeChunk(
  group: TaskGroup,
  chunk: number,
  maxBytes: number,
  getBytes: (record: GroupRecord) => number,
): { record: GroupRecord; omitted: number } {
  const record = encodeGroup(group, listChunkTasks(group, chunk));
  const { tasks } = record;
  if (group.spec.isGang) for (const task of tasks.slice(1)) task[checkpointField] = '';
  let omitted = 0;
  while (getBytes(record) > maxBytes) {
    const longest = tasks.reduce((one, other) =>
      other[checkpointField].length > one[checkpointField].length ? other : one,
    );
    if (longest[checkpointField] === '') break;
    longest[checkpointField] = '';
    omitted += 1;
  }
  return { record, omitted };
}

/** Rank of what was stored about the same run of a task, oldest first. */
const phaseOrder: readonly number[] = [StoredPhase.Sent, StoredPhase.Waiting, StoredPhase.Done];

/** Whether a record of a task was stored after another one. */
function isNewer([phase, run]: TaskRecord, [otherPhase, otherRun]: TaskRecord): boolean {
  if (run !== otherRun) return run > otherRun;
  return phaseOrder.indexOf(phase) >= phaseOrder.indexOf(otherPhase);
}

/**
 * Merges the row of a group, which an earlier version may have written, with the chunks that were written later. Each
 * task has its newest record, so the rows need no order among each other.
 */
export function mergeChunks(
  whole: GroupRecord | undefined,
  chunks: ReadonlyMap<number, GroupRecord>,
): GroupRecord {
  const tasks = [...(whole?.tasks ?? [])];
  const merged = { gangFailures: 0, lastFailedRun: 0, ...whole, tasks };
  for (const [chunk, record] of chunks) {
    for (const [offset, stored] of record.tasks.entries()) {
      const index = chunk * tasksPerChunk + offset;
      while (tasks.length <= index) tasks.push([StoredPhase.Waiting, 0, '', 0, '']);
      const known = tasks[index];
      if (known === undefined || isNewer(stored, known)) tasks[index] = stored;
    }
    merged.gangFailures = Math.max(merged.gangFailures, record.gangFailures);
    merged.lastFailedRun = Math.max(merged.lastFailedRun, record.lastFailedRun);
  }
  return merged;
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
  if (group.spec.isGang) completeGang(group);
  return group;
}

/** Members of a gang may be stored in several rows, of which only some hold its end or its checkpoint. */
function completeGang({ tasks }: TaskGroup): void {
  const checkpoint = tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
  const isDone = tasks.some(({ phase }) => phase === TaskPhase.Done);
  for (const task of tasks) {
    if (isDone) task.phase = TaskPhase.Done;
    if (task.checkpoint === '') task.checkpoint = checkpoint;
  }
}

function decodeTask(task: Task, record: TaskRecord): void {
  const [phase, run, workerId, failures, checkpoint] = record;
  const phases = [TaskPhase.Waiting, TaskPhase.Starting, TaskPhase.Done];
  task.phase = phases[phase] ?? TaskPhase.Waiting;
  Object.assign(task, { run, workerId, failures, checkpoint });
}
