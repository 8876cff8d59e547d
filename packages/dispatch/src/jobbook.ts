import {
  TaskPhase,
  createGroup,
  createWorkMeans,
  decodeGroup,
  formatGroupName,
  getDueAtMs,
  getOccurrenceCount,
  hasWaiting,
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

/** A job that an owner works on. */
export interface LiveJob {
  submission: JobSubmission;
  acceptedAtMs: number;
  state: JobState;
  /** Groups by key, in order of occurrence and step. */
  groups: Map<string, TaskGroup>;
}

/** Jobs of an owner with their tasks. */
export interface JobBook {
  /** Takes on a job that is not final; `findRecord` returns the stored progress of a group. */
  add(
    row: JobRow,
    state: JobState,
    findRecord: (groupKey: string) => GroupRecord | undefined,
  ): LiveJob;
  find(jobId: string): LiveJob | undefined;
  /** Forgets a job that is final and holds no room. */
  remove(jobId: string): void;
  list(): LiveJob[];
  /** Finds a task by its name. */
  findTask(name: string): PlacedTask | undefined;
  /** Groups that may start tasks at the Unix time `wallMs`. */
  listReady(wallMs: number): ReadyGroup[];
  /** Tasks that hold room, by worker. */
  groupByWorker(): Map<string, PlacedTask[]>;
  /** Tasks that hold room on one worker. */
  listOnWorker(workerId: string): PlacedTask[];
  /** Urgent jobs that fit into what their account is guaranteed, the oldest first. */
  listGuaranteed(guarantees: ReadonlyMap<string, number>): Set<string>;
  /** Accelerators that urgent work holds or could start on at the Unix time `wallMs`. */
  sumUrgentDemand(wallMs: number): number;
  isComplete(job: LiveJob): boolean;
}

// Clocks of the instances differ a little; an occurrence must not start before its time.
const dueMarginMs = 60;

/** Creates an empty book. */
export function createJobBook(): JobBook {
  const jobs = new Map<string, LiveJob>();
  const means = createWorkMeans();

  function listGroups(job: LiveJob): TaskGroup[] {
    return [...job.groups.values()];
  }

  function visitOccupying(visit: (group: TaskGroup, task: Task) => void): void {
    for (const job of jobs.values()) {
      for (const group of job.groups.values()) {
        for (const task of group.tasks) if (isOccupying(task)) visit(group, task);
      }
    }
  }

  function hasDependencies(job: LiveJob, group: TaskGroup): boolean {
    const { id } = job.submission;
    const { occurrence } = group;
    return group.spec.dependsOn.every((step) => {
      const other = job.groups.get(formatGroupName({ jobId: id, occurrence, step }));
      return other !== undefined && isGroupDone(other);
    });
  }

  function getAgeMs(job: LiveJob, group: TaskGroup, wallMs: number): number {
    const dueAtMs = getDueAtMs(job.submission, group.occurrence);
    return Math.max(0, wallMs - Math.max(job.acceptedAtMs, dueAtMs));
  }

  function isReady(job: LiveJob, group: TaskGroup, wallMs: number): boolean {
    const dueAtMs = getDueAtMs(job.submission, group.occurrence);
    if (dueAtMs > 0 && wallMs < dueAtMs + dueMarginMs) return false;
    return hasWaiting(group) && hasDependencies(job, group);
  }

  return {
    add(row, state, findRecord) {
      const { submission, acceptedAtMs } = row;
      const job: LiveJob = { submission, acceptedAtMs, state, groups: new Map() };
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
      means.add(submission);
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
        const meanWork = means.find(job.submission.queue) ?? 0;
        for (const group of job.groups.values()) {
          if (!isReady(job, group, wallMs)) continue;
          ready.push({ group, ageMs: getAgeMs(job, group, wallMs), meanWork });
        }
      }
      return ready;
    },
    groupByWorker() {
      const placed = new Map<string, PlacedTask[]>();
      visitOccupying((group, task) => {
        const own = placed.get(task.workerId);
        if (own === undefined) placed.set(task.workerId, [{ group, task }]);
        else own.push({ group, task });
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
      const left = new Map(guarantees);
      const guaranteed = new Set<string>();
      const urgent = [...jobs.values()]
        .filter((job) => !isFinal(job.state) && job.submission.rules.priority === urgentPriority)
        .sort((a, b) => a.acceptedAtMs - b.acceptedAtMs);
      for (const { submission } of urgent) {
        const { account, steps } = submission;
        const needs = steps.map((spec) => spec.taskCount * spec.demand.accelerators);
        const rest = (left.get(account) ?? 0) - Math.max(...needs);
        if (rest < 0) continue;
        left.set(account, rest);
        guaranteed.add(submission.id);
      }
      return guaranteed;
    },
    sumUrgentDemand(wallMs) {
      let sum = 0;
      for (const job of jobs.values()) {
        if (job.submission.rules.priority !== urgentPriority || isFinal(job.state)) continue;
        for (const group of job.groups.values()) {
          const isCounted = isReady(job, group, wallMs);
          const tasks = group.tasks.filter(
            (task) => isOccupying(task) || (isCounted && task.phase === TaskPhase.Waiting),
          );
          sum += tasks.length * group.spec.demand.accelerators;
        }
      }
      return sum;
    },
    isComplete: (job) => listGroups(job).every(isGroupDone),
  };
}

/** Number of a job's tasks that hold room. */
export function countOccupying(job: LiveJob): number {
  return [...job.groups.values()].flatMap((group) => group.tasks.filter(isOccupying)).length;
}
