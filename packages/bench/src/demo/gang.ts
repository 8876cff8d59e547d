import { TaskState } from '@bergamotreach/hosting';
import type { StandinPlatform, TaskRecord } from '@bergamotreach/standin';

/** One task of the gang as the workers saw it. */
interface GangTask {
  attempt: number;
  record: TaskRecord;
}

/** How a gang ran, as recorded by the workers of the stand-in. */
export interface GangAccount {
  /** Members of the attempt that ended with success. */
  done: number;
  /** Attempts of which at least one member executed. */
  attempts: number;
  /** Attempts of which some members executed and others never did. */
  partial: number;
  /** Workers of the attempt that ended with success. */
  workers: string[];
}

function listGangTasks(
  platform: StandinPlatform,
  jobId: string,
): (GangTask & { worker: string })[] {
  return [...platform.agents].flatMap(([worker, agent]) =>
    agent
      .listRecords()
      .filter((record) => record.spec.jobId === jobId)
      .map((record) => ({ worker, record, attempt: Number(record.spec.taskId.split('/').at(-2)) })),
  );
}

/** Summarises the tasks of a job over all workers. */
export function loadGangAccount(
  platform: StandinPlatform,
  jobId: string,
  members: number,
): GangAccount {
  const tasks = listGangTasks(platform, jobId);
  const attempts = new Set(tasks.map((task) => task.attempt));
  const executed = [...attempts].map(
    (attempt) =>
      tasks.filter((task) => task.attempt === attempt && task.record.startedMs !== undefined)
        .length,
  );
  const done = tasks.filter((task) => task.record.state === TaskState.Done);
  return {
    done: done.length,
    attempts: executed.filter((count) => count > 0).length,
    partial: executed.filter((count) => count > 0 && count < members).length,
    workers: [...new Set(done.map((task) => task.worker))].sort(),
  };
}
