import { TaskState } from '@bergamotreach/hosting';
import type { StandinPlatform, TaskRecord } from '@bergamotreach/standin';

/** One task of the gang, as recorded by its worker. */
interface GangTask {
  attempt: number;
  record: TaskRecord;
}

/** Execution of a gang, as recorded by the workers of the stand-in platform. */
export interface GangSummary {
  /** Members that completed. */
  completedMembers: number;
  /** Attempts in which at least one member ran. */
  attempts: number;
  /** Attempts in which some members ran and others never did. */
  partialAttempts: number;
  /** Workers on which members completed, sorted. */
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

/** Summarises the tasks of a gang job over all workers. */
export function computeGangSummary(
  platform: StandinPlatform,
  jobId: string,
  members: number,
): GangSummary {
  const tasks = listGangTasks(platform, jobId);
  const attempts = new Set(tasks.map((task) => task.attempt));
  const startedCounts = [...attempts].map(
    (attempt) =>
      tasks.filter((task) => task.attempt === attempt && task.record.startedMs !== undefined)
        .length,
  );
  const done = tasks.filter((task) => task.record.state === TaskState.Done);
  return {
    completedMembers: done.length,
    attempts: startedCounts.filter((count) => count > 0).length,
    partialAttempts: startedCounts.filter((count) => count > 0 && count < members).length,
    workers: [...new Set(done.map((task) => task.worker))].sort(),
  };
}
