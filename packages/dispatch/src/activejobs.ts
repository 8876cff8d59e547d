import {
  TaskPhase,
  createGroup,
  createWorkMeans,
  decodeGroup,
  formatGroupName,
  getDueAtMs,
  getOccurrenceCount,
  hasWaitingTasks,
  isFinal,
  isGroupDone,
  isOccupying,
  parseTaskName,
  urgentPriority,
} from '@bergamotreach/scheduling';
import type {
  GroupRecord,
  JobState,
  JobSubmission,
  PlacedTask,
  ReadyGroup,
  Task,
  TaskGroup,
} from '@bergamotreach/scheduling';
import type { JobRow } from './jobrows.ts';

/** A job that an owner schedules, with the progress of its tasks. */
export interface ActiveJob {
  submission: JobSubmission;
  acceptedAtMs: number;
  state: JobState;
  /** Groups by key, ordered by occurrence, then by step. */
  groups: Map<string, TaskGroup>;
}

/** The jobs that an owner schedules, with their tasks. */
export interface ActiveJobs {
  /** Adds a job that is not final; `findRecord` returns the stored progress of a group. */
  add(
    row: JobRow,
    state: JobState,
    findRecord: (groupKey: string) => GroupRecord | undefined,
  ): ActiveJob;
  find(jobId: string): ActiveJob | undefined;
  /** Removes a job that is final and whose tasks occupy no worker. */
  remove(jobId: string): void;
  list(): ActiveJob[];
  /** Finds a task by its full name, `<job>.<occurrence>.<step>.<index>`. */
  findTask(name: string): PlacedTask | undefined;
  /** Groups with tasks that may start at the Unix time `wallMs`. */
  listReady(wallMs: number): ReadyGroup[];
  /** A group with the age and the mean work by which it is ranked at the Unix time `wallMs`. */
  getRanked(group: TaskGroup, wallMs: number): ReadyGroup;
  /** Tasks that occupy resources, by worker id. */
  groupByWorker(): Map<string, PlacedTask[]>;
  /** Tasks that occupy resources on one worker. */
  listOnWorker(workerId: string): PlacedTask[];
  /** Ids of the urgent jobs that fit within the guarantees of their accounts, oldest first. */
  listGuaranteed(guarantees: ReadonlyMap<string, number>): Set<string>;
  /**
   * Accelerators that urgent tasks of each pool occupy, or would occupy if all that may start at `wallMs` did.
   */
  sumUrgentDemand(wallMs: number): Map<string, number>;
  isComplete(job: ActiveJob): boolean;
}

// Allows for clock differences between instances: an occurrence must not start before its time.
const dueMarginMs = 60;

/** Creates an empty set of jobs. */
export function createActiveJobs(): ActiveJobs {
  const jobs = new Map<string, ActiveJob>();
  const workMeans = createWorkMeans();

  function listGroups(job: ActiveJob): TaskGroup[] {
    return [...job.groups.values()];
  }

  function visitOccupying(visit: (group: TaskGroup, task: Task) => void): void {
    for (const job of jobs.values()) {
      for (const group of job.groups.values()) {
        for (const task of group.tasks) if (isOccupying(task)) visit(group, task);
      }
    }
  }

  function hasFinishedDependencies(job: ActiveJob, group: TaskGroup): boolean {
    const { id } = job.submission;
    const { occurrence } = group;
    return group.spec.dependsOn.every((step) => {
      const other = job.groups.get(formatGroupName({ jobId: id, occurrence, step }));
      return other !== undefined && isGroupDone(other);
    });
  }

  function getAgeMs(job: ActiveJob, group: TaskGroup, wallMs: number): number {
    const dueAtMs = getDueAtMs(job.submission, group.occurrence);
    return Math.max(0, wallMs - Math.max(job.acceptedAtMs, dueAtMs));
  }

  function isReady(job: ActiveJob, group: TaskGroup, wallMs: number): boolean {
    const dueAtMs = getDueAtMs(job.submission, group.occurrence);
    if (dueAtMs > 0 && wallMs < dueAtMs + dueMarginMs) return false;
    return hasWaitingTasks(group) && hasFinishedDependencies(job, group);
  }

  return {
    add(row, state, findRecord) {
      const { submission, acceptedAtMs } = row;
      const job: ActiveJob = { submission, acceptedAtMs, state, groups: new Map() };
      for (let occurrence = 0; occurrence < getOccurrenceCount(submission); occurrence += 1) {
        for (const step of submission.steps.keys()) {
          const key = formatGroupName({ jobId: submission.id, occurrence, step });
          const record = findRecord(key);
          const group =
            record === undefined
              ? createGroup(submission, occurrence, step)
              : decodeGroup(submission, occurrence, step, record);
          job.groups.set(key, group);
        }
      }
      jobs.set(submission.id, job);
      workMeans.add(submission);
      return job;
    },
    find: (jobId) => jobs.get(jobId),
    remove(jobId) {
      jobs.delete(jobId);
    },
    list: () => [...jobs.values()],
    findTask(name) {
      const parsed = parseTaskName(name);
      if (parsed === undefined) return undefined;
      const group = jobs.get(parsed.jobId)?.groups.get(formatGroupName(parsed));
      const task = group?.tasks[parsed.index];
      return group === undefined || task === undefined ? undefined : { group, task };
    },
    listReady(wallMs) {
      const ready: ReadyGroup[] = [];
      for (const job of jobs.values()) {
        if (isFinal(job.state)) continue;
        const meanWork = workMeans.find(job.submission.queue) ?? 0;
        for (const group of job.groups.values()) {
          if (!isReady(job, group, wallMs)) continue;
          ready.push({ group, ageMs: getAgeMs(job, group, wallMs), meanWork });
        }
      }
      return ready;
    },
    getRanked(group, wallMs) {
      const job = jobs.get(group.job.id);
      const meanWork = workMeans.find(group.job.queue) ?? 0;
      return { group, ageMs: job === undefined ? 0 : getAgeMs(job, group, wallMs), meanWork };
    },
    groupByWorker() {
      const placed = new Map<string, PlacedTask[]>();
      visitOccupying((group, task) => {
        const onWorker = placed.get(task.workerId);
        if (onWorker === undefined) placed.set(task.workerId, [{ group, task }]);
        else onWorker.push({ group, task });
      });
      return placed;
    },
    listOnWorker(workerId) {
      const placed: PlacedTask[] = [];
      visitOccupying((group, task) => {
        if (task.workerId === workerId) placed.push({ group, task });
      });
      return placed;
    },
    listGuaranteed(guarantees) {
      const remaining = new Map(guarantees);
      const guaranteed = new Set<string>();
      const urgent = [...jobs.values()]
        .filter((job) => !isFinal(job.state) && job.submission.rules.priority === urgentPriority)
        .sort((a, b) => a.acceptedAtMs - b.acceptedAtMs);
      for (const { submission } of urgent) {
        const { account, steps } = submission;
        const demands = steps.map((spec) => spec.taskCount * spec.demand.accelerators);
        const remainder = (remaining.get(account) ?? 0) - Math.max(...demands);
        if (remainder < 0) continue;
        remaining.set(account, remainder);
        guaranteed.add(submission.id);
      }
      return guaranteed;
    },
    sumUrgentDemand(wallMs) {
      const sums = new Map<string, number>();
      for (const job of jobs.values()) {
        if (job.submission.rules.priority !== urgentPriority || isFinal(job.state)) continue;
        for (const group of job.groups.values()) {
          const isCounted = isReady(job, group, wallMs);
          const tasks = group.tasks.filter(
            (task) => isOccupying(task) || (isCounted && task.phase === TaskPhase.Waiting),
          );
          const { pool } = job.submission;
          const sum = sums.get(pool) ?? 0;
          sums.set(pool, sum + tasks.length * group.spec.demand.accelerators);
        }
      }
      return sums;
    },
    isComplete: (job) => listGroups(job).every(isGroupDone),
  };
}

/** Number of tasks of a job that occupy resources. */
export function countOccupying(job: ActiveJob): number {
  return [...job.groups.values()].flatMap((group) => group.tasks.filter(isOccupying)).length;
}
