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
  JobState,
  JobSubmission,
  PlacedTask,
  ReadyGroup,
  Task,
  TaskGroup,
} from '@bergamotreach/scheduling';
import { maxWaitingOccurrences, maxWaitingTasks } from './heldwork.ts';
import { createHead, maxOpenOccurrences } from './jobrows.ts';
import type { JobHead, JobRow } from './jobrows.ts';
import { noProgress } from './progressrows.ts';
import type { StoredProgress } from './progressrows.ts';

/** A job that an owner schedules, with the progress of its tasks. */
export interface ActiveJob {
  submission: JobSubmission;
  acceptedAtMs: number;
  state: JobState;
  /** Groups of the open occurrences by key: from the time that an occurrence is due until it is done. */
  groups: Map<string, TaskGroup>;
  /** Number of the next occurrence to be opened. */
  next: number;
  open: Set<number>;
  /** Whether a head row tells which occurrences are open; otherwise the rows of all of them are kept. */
  hasHead: boolean;
  /** Nothing of it starts, since the store refuses one of its rows. */
  isHeld: boolean;
}

/** The jobs that an owner schedules, with their tasks. */
export interface ActiveJobs {
  /** Adds a job that is not final, with what is stored of its progress. */
  add(row: JobRow, state: JobState, stored?: StoredProgress): ActiveJob;
  find(jobId: string): ActiveJob | undefined;
  /** Removes a job that is final and whose tasks occupy no worker. */
  remove(jobId: string): void;
  list(): ActiveJob[];
  /** Finds a task by its full name, `<job>.<occurrence>.<step>.<index>`. */
  findTask(name: string): PlacedTask | undefined;
  /** Opens the occurrences that are due at the Unix time `wallMs`, as far as their bounds allow. */
  openDue(wallMs: number): void;
  isOccurrenceDone(job: ActiveJob, occurrence: number): boolean;
  /** Removes the groups of an occurrence that is done. */
  closeOccurrence(job: ActiveJob, occurrence: number): void;
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
/** The rows of jobs with at most this many occurrences are kept until the job ends, as earlier versions do. */
const maxKeptOccurrences = 64;

/** Creates an empty set of jobs. */
export function createActiveJobs(): ActiveJobs {
  const jobs = new Map<string, ActiveJob>();
  const workMeans = createWorkMeans();

  function listOccurrenceGroups(job: ActiveJob, occurrence: number): TaskGroup[] {
    const { id, steps } = job.submission;
    return steps.flatMap(
      (_, step) => job.groups.get(formatGroupName({ jobId: id, occurrence, step })) ?? [],
    );
  }

  function createStoredGroup(
    { submission }: ActiveJob,
    occurrence: number,
    step: number,
    stored: StoredProgress,
  ): TaskGroup {
    const found = stored.findGroup(formatGroupName({ jobId: submission.id, occurrence, step }));
    if (found === undefined) return createGroup(submission, occurrence, step);
    const group = decodeGroup(submission, occurrence, step, found.record);
    group.isChunked ||= found.isChunked;
    return group;
  }

  /** Opens an occurrence, unless all of it is stored as done. */
  function openOccurrence(job: ActiveJob, occurrence: number, stored = noProgress): void {
    const groups = job.submission.steps.map((_, step) =>
      createStoredGroup(job, occurrence, step, stored),
    );
    if (groups.every(isGroupDone)) return;
    job.open.add(occurrence);
    for (const group of groups) job.groups.set(group.key, group);
  }

  /** Opens the occurrences of which something is stored, and those before them that are not done. */
  function openStored(job: ActiveJob, stored: StoredProgress): void {
    const { head } = stored;
    const next = head?.next ?? 0;
    const known = new Set(head?.open);
    job.next = Math.max(next, ...stored.listOccurrences().map((occurrence) => occurrence + 1));
    job.next = Math.min(job.next, getOccurrenceCount(job.submission));
    for (let occurrence = next; occurrence < job.next; occurrence += 1) known.add(occurrence);
    for (const occurrence of known) openOccurrence(job, occurrence, stored);
  }

  function countWaiting(job: ActiveJob, wallMs: number): { occurrences: number; tasks: number } {
    const ready = [...job.groups.values()].filter((group) => isReady(job, group, wallMs));
    const waiting = ready.flatMap(({ tasks }) =>
      tasks.filter(({ phase }) => phase === TaskPhase.Waiting),
    );
    const occurrences = new Set(ready.map(({ occurrence }) => occurrence)).size;
    return { occurrences, tasks: waiting.length };
  }

  function canOpenNext(job: ActiveJob, wallMs: number): boolean {
    if (job.next >= getOccurrenceCount(job.submission)) return false;
    const dueAtMs = getDueAtMs(job.submission, job.next);
    if (dueAtMs > 0 && wallMs < dueAtMs + dueMarginMs) return false;
    if (job.open.size >= maxOpenOccurrences) return false;
    if (job.open.size === 0) return true;
    const waiting = countWaiting(job, wallMs);
    return waiting.occurrences < maxWaitingOccurrences && waiting.tasks < maxWaitingTasks;
  }

  function openDue(wallMs: number): void {
    for (const job of jobs.values()) {
      if (isFinal(job.state) || job.isHeld) continue;
      while (canOpenNext(job, wallMs)) {
        openOccurrence(job, job.next);
        job.next += 1;
      }
    }
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
    add(row, state, stored = noProgress) {
      const { submission, acceptedAtMs } = row;
      const job: ActiveJob = {
        ...{ submission, acceptedAtMs, state, groups: new Map(), next: 0, open: new Set() },
        ...{ hasHead: stored.head !== undefined, isHeld: false },
      };
      openStored(job, stored);
      if (submission.recurrence === undefined && job.next === 0) {
        openOccurrence(job, 0);
        job.next = 1;
      }
      const isWide = [...job.groups.values()].some(({ isChunked }) => isChunked);
      job.hasHead ||= isWide || getOccurrenceCount(submission) > maxKeptOccurrences;
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
    openDue,
    isOccurrenceDone: (job, occurrence) => listOccurrenceGroups(job, occurrence).every(isGroupDone),
    closeOccurrence(job, occurrence) {
      for (const { key } of listOccurrenceGroups(job, occurrence)) job.groups.delete(key);
      job.open.delete(occurrence);
    },
    listReady(wallMs) {
      const ready: ReadyGroup[] = [];
      for (const job of jobs.values()) {
        if (isFinal(job.state) || job.isHeld) continue;
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
    isComplete: (job) =>
      job.next >= getOccurrenceCount(job.submission) && [...job.groups.values()].every(isGroupDone),
  };
}

/** Head row of a job. */
export function encodeHead({ next, open }: ActiveJob): JobHead {
  return createHead(next, open);
}

/** Number of tasks of a job that occupy resources. */
export function countOccupying(job: ActiveJob): number {
  return [...job.groups.values()].flatMap((group) => group.tasks.filter(isOccupying)).length;
}
