import type { TaskChanges, TaskCursor, TaskStatus, WorkerTasks } from './worker.ts';

/** Task list of one worker, kept up to date by changes. */
export interface TaskListCache {
  /** Where the next request continues; `undefined` asks for the whole list. */
  getCursor(): TaskCursor | undefined;
  /**
   * Applies the answer to a request that was sent with `cursor`. Returns `undefined` when the list
   * has moved on meanwhile, so that the changes do not fit; the whole list must then be read.
   */
  applyChanges(cursor: TaskCursor | undefined, changes: TaskChanges): WorkerTasks | undefined;
}

/** Creates an empty cache. */
export function createTaskListCache(): TaskListCache {
  const tasks = new Map<string, TaskStatus>();
  let current: TaskCursor | undefined;

  function applyChanges(
    cursor: TaskCursor | undefined,
    changes: TaskChanges,
  ): WorkerTasks | undefined {
    const isNext = cursor !== undefined && current?.revision === cursor.revision;
    if (!changes.isFull && (!isNext || current?.stream !== changes.stream)) {
      current = undefined;
      return undefined;
    }
    if (changes.isFull) tasks.clear();
    for (const task of changes.tasks) tasks.set(task.taskId, task);
    for (const taskId of changes.removed) tasks.delete(taskId);
    current = { stream: changes.stream, revision: changes.revision };
    return { epoch: changes.epoch, tasks: [...tasks.values()] };
  }

  return { getCursor: () => current, applyChanges };
}
