import { TaskPhase } from './group.ts';
import type { TaskGroup } from './group.ts';
import { getCoreEquivalent } from './resources.ts';
import type { JobSubmission, StepSpec } from './submission.ts';

/** What jobs are worth to the operators. */
export interface WorthPolicy {
  /** Worth of a job of mean size by priority; the last one holds for all further priorities. */
  priorityWeights: readonly number[];
  /** Part of a job's worth that does not depend on its size, 0 to 1. */
  fixedShare: number;
}

/** A job that can no longer be in time ranks lower by this factor, and no lower however late it is. */
const lateFactor = 0.5;
const defaultTaskMs = 5000;
const msPerSecond = 1000;
/** Weight of work that is already under way against work that has not begun. */
const begunFactor = 1.5;

/** Mean work of the jobs of each queue, learned from what was accepted. */
export interface WorkMeans {
  /** Adds a job to the mean of its queue. */
  add(job: JobSubmission): void;
  /** Mean work of a queue in core-seconds; `undefined` before its first job. */
  find(queue: string): number | undefined;
}

/** Creates empty means. */
export function createWorkMeans(): WorkMeans {
  const totals = new Map<string, { count: number; work: number }>();
  return {
    add(job) {
      const total = totals.get(job.queue) ?? { count: 0, work: 0 };
      total.count += 1;
      total.work += getJobWork(job);
      totals.set(job.queue, total);
    },
    find(queue) {
      const total = totals.get(queue);
      return total === undefined ? undefined : total.work / total.count;
    },
  };
}

/** Declared run time of a task of a step. */
export function getTaskMs(spec: StepSpec): number {
  return spec.estimatedMs > 0 ? spec.estimatedMs : defaultTaskMs;
}

/** Declared work of one occurrence of a job in core-seconds. */
export function getJobWork(job: JobSubmission): number {
  return job.steps.reduce((sum, spec) => sum + getTaskWork(spec) * spec.taskCount, 0);
}

/** Declared work of one task in core-seconds. */
export function getTaskWork(spec: StepSpec): number {
  return (getCoreEquivalent(spec.demand) * getTaskMs(spec)) / msPerSecond;
}

/** Longest chain of declared run times from `step` on, in milliseconds. */
export function getChainMs(job: JobSubmission, step = 0): number {
  const own = job.steps[step];
  if (own === undefined) return 0;
  let longest = 0;
  for (const [index, spec] of job.steps.entries()) {
    if (spec.dependsOn.includes(step)) longest = Math.max(longest, getChainMs(job, index));
  }
  return getTaskMs(own) + longest;
}

/** Time within which a job is to be done, in milliseconds. */
export function getObjectiveMs(job: JobSubmission): number {
  const chains = job.steps.map((_, step) => getChainMs(job, step));
  return job.rules.stretch * Math.max(0, ...chains) + job.rules.targetMs;
}

/** What is known of a group when it is ranked. */
export interface RankInput {
  group: TaskGroup;
  /** Time since the occurrence was due or the job was accepted, in milliseconds. */
  ageMs: number;
  /** Mean work of the queue's jobs in core-seconds. */
  meanWork: number;
}

/**
 * Worth of a group per core-second of its job's work. It answers overload: with more work than room,
 * the jobs that are worth most for the room they take go first, a job that can no longer be in time
 * yields to those that can, and a begun job goes before a new one.
 */
export function getRank(input: RankInput, policy: WorthPolicy): number {
  const { group, ageMs, meanWork } = input;
  const { job } = group;
  const { priorityWeights, fixedShare } = policy;
  const worth = priorityWeights[job.rules.priority] ?? priorityWeights.at(-1) ?? 1;
  const work = getJobWork(job);
  const size = meanWork > 0 ? work / meanWork : 1;
  const value = worth * (fixedShare + (1 - fixedShare) * size);
  const density = value / Math.max(work, 1);
  const hasBegun = group.step > 0 || group.tasks.some((task) => task.run > 0);
  return density * getTimeliness(group, ageMs) * (hasBegun ? begunFactor : 1);
}

function getTimeliness(group: TaskGroup, ageMs: number): number {
  const objectiveMs = getObjectiveMs(group.job);
  const doneAtMs = ageMs + getChainMs(group.job, group.step);
  return doneAtMs <= objectiveMs ? 1 : lateFactor;
}

/** Whether a group has tasks that wait for a run. */
export function hasWaiting(group: TaskGroup): boolean {
  return group.tasks.some((task) => task.phase === TaskPhase.Waiting);
}
