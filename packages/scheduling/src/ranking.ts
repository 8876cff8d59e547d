import { TaskPhase } from './group.ts';
import type { TaskGroup } from './group.ts';
import { getCoreEquivalent } from './resources.ts';
import type { JobSubmission, StepSpec } from './submission.ts';

/** How operators value jobs. */
export interface ValuePolicy {
  /** Value of a job of mean size by priority; the last one applies to all further priorities. */
  priorityWeights: readonly number[];
  /** Share of a job's value that does not depend on its size, 0 to 1. */
  fixedShare: number;
}

/** Factor for a job that can no longer meet its objective, however late it is. */
const lateFactor = 0.5;
const defaultTaskMs = 5000;
const msPerSecond = 1000;
/** Factor for a job that has started, so that started jobs complete before new ones start. */
const startedFactor = 1.5;

/** Mean declared work of the jobs of each queue, over all accepted jobs. */
export interface WorkMeans {
  /** Adds a job to the mean of its queue. */
  add(job: JobSubmission): void;
  /** Mean work of a queue in core-seconds; `undefined` before its first job. */
  find(queue: string): number | undefined;
}

/** Creates the means of queues without jobs. */
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

/** Declared run time of a task of a step in milliseconds, or a default when none was given. */
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

const criticalPaths = new WeakMap<JobSubmission, readonly number[]>();

/**
 * Computes the critical path from each step on. A step depends on earlier ones only, so one walk from the
 * last step suffices; following each path would take exponential time in a job of dense steps.
 */
function computeCriticalPaths({ steps }: JobSubmission): number[] {
  const longestAfter = steps.map(() => 0);
  const paths = steps.map(() => 0);
  for (const [step, spec] of [...steps.entries()].reverse()) {
    const pathMs = getTaskMs(spec) + (longestAfter[step] ?? 0);
    paths[step] = pathMs;
    for (const earlier of spec.dependsOn) {
      longestAfter[earlier] = Math.max(longestAfter[earlier] ?? 0, pathMs);
    }
  }
  return paths;
}

/** Critical path from `step` on: the longest chain of declared run times, in milliseconds. */
export function getCriticalPathMs(job: JobSubmission, step = 0): number {
  const paths = criticalPaths.get(job) ?? computeCriticalPaths(job);
  criticalPaths.set(job, paths);
  return paths[step] ?? 0;
}

/** Completion objective of a job: time from its acceptance, in milliseconds. */
export function getObjectiveMs(job: JobSubmission): number {
  const paths = job.steps.map((_, step) => getCriticalPathMs(job, step));
  return job.rules.stretch * Math.max(0, ...paths) + job.rules.targetMs;
}

/** A group to rank. */
export interface RankInput {
  group: TaskGroup;
  /** Time since the occurrence was due or the job was accepted, in milliseconds. */
  ageMs: number;
  /** Mean work of the queue's jobs in core-seconds. */
  meanWork: number;
}

/**
 * Score of a group, higher first: value per core-second of its job's work. Under overload, the jobs
 * with the highest value density go first, a job that can no longer meet its objective yields to those
 * that can, and a started job goes before a new one.
 */
export function getScore(input: RankInput, policy: ValuePolicy): number {
  const { group, ageMs, meanWork } = input;
  const { job } = group;
  const { priorityWeights, fixedShare } = policy;
  const weight = priorityWeights[job.rules.priority] ?? priorityWeights.at(-1) ?? 1;
  const work = getJobWork(job);
  const size = meanWork > 0 ? work / meanWork : 1;
  const value = weight * (fixedShare + (1 - fixedShare) * size);
  const density = value / Math.max(work, 1);
  const hasStarted = group.step > 0 || group.tasks.some((task) => task.run > 0);
  return density * getLatenessFactor(group, ageMs) * (hasStarted ? startedFactor : 1);
}

function getLatenessFactor(group: TaskGroup, ageMs: number): number {
  const objectiveMs = getObjectiveMs(group.job);
  const doneAtMs = ageMs + getCriticalPathMs(group.job, group.step);
  return doneAtMs <= objectiveMs ? 1 : lateFactor;
}

/** Whether a group has tasks that wait for a run. */
export function hasWaitingTasks(group: TaskGroup): boolean {
  return group.tasks.some((task) => task.phase === TaskPhase.Waiting);
}
