import type { TaskChanges, TaskCursor, TaskStatus, WorkerTasks } from './worker.ts';

/** Cached task list of one worker, updated incrementally. */
export interface TaskListCache {
  /** Returns the cursor for the next request; `undefined` requests the full list. */
  getCursor(): TaskCursor | undefined;
  /**
   * Applies the response to a request that was sent with `cursor` and returns the updated list.
   * Returns `undefined` when the changes do not continue the cached list, for example because another
   * response was applied in between; the full list must then be read.
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
