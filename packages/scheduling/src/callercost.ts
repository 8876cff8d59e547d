import { TaskPhase, getLatestRun, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import type { ValuePolicy } from './ranking.ts';
import { getJobWork, getObjectiveMs, getTaskWork } from './ranking.ts';
import { findRemainingMs } from './runprogress.ts';
import { getDoneShare, getRemainingRunMs } from './runtimes.ts';
import type { RunTime, RunTimes } from './runtimes.ts';

/** What is left of a job's worth when it ends late. */
export interface LatePolicy {
  /** Share of its worth that a late job keeps, 0 to 1. */
  lateShare: number;
  /** A job that ends after this many times its objective is worth nothing. */
  lateFactor: number;
}

/** A job that ends within three times its objective keeps half of its worth. */
export const defaultLatePolicy: LatePolicy = { lateShare: 0.5, lateFactor: 3 };

/** How far a job is, and what its caller still expects of it. */
export interface JobStanding {
  /** Worth of the job when it ends in time; about 1 for a job of mean size of the lowest priority. */
  worth: number;
  /** Time since the job was due or accepted, in milliseconds. */
  ageMs: number;
  /** Completion objective, counted like the age, in milliseconds. */
  objectiveMs: number;
  /** Time that the longest chain of the work left takes once it runs. */
  remaining: RunTime;
  /** Work left, in core-seconds. */
  remainingWork: number;
  /** Earlier runs of the job that were stopped or lost through no fault of its own. */
  stops: number;
}

/** What a stop throws away and delays. */
export interface StopLoss {
  /** Time by which the job ends later: unsaved work, restart, and the wait for the next run. */
  delayMs: number;
  /** Core-seconds that are not saved, of the run and of all that ends with it. */
  lostWork: number;
}

const minRemainingMs = 50;
const minWork = 0.1;
/** Each earlier stop of a job raises the cost of the next one by this share. */
const repeatedStopShare = 0.5;

/** Worth of a job that ends in time; a large job stands for more of its caller's work. */
export function getWorth(
  job: TaskGroup['job'],
  meanWork: number,
  { priorityWeights, fixedShare }: ValuePolicy,
): number {
  const weight = priorityWeights[job.rules.priority] ?? priorityWeights.at(-1) ?? 1;
  const size = meanWork > 0 ? getJobWork(job) / meanWork : 1;
  return weight * (fixedShare + (1 - fixedShare) * size);
}

/** Expected worth of a job whose work left begins, or goes on, `delayMs` from now. */
export function getExpectedWorth(
  { worth, ageMs, objectiveMs, remaining }: JobStanding,
  delayMs: number,
  { lateShare, lateFactor }: LatePolicy,
): number {
  const startMs = ageMs + delayMs;
  const inTime = getDoneShare(remaining, objectiveMs - startMs);
  const notTooLate = getDoneShare(remaining, objectiveMs * lateFactor - startMs);
  return worth * ((1 - lateShare) * inTime + lateShare * notTooLate);
}

/**
 * What it costs the caller to delay a job by `delayMs`. For a given delay it does not fall while the job
 * waits, until the delay makes the job miss its objective in any case.
 */
export function getDelayCost(standing: JobStanding, delayMs: number, policy: LatePolicy): number {
  return Math.max(
    0,
    getExpectedWorth(standing, 0, policy) - getExpectedWorth(standing, delayMs, policy),
  );
}

/** What it costs the caller to turn a job away: all that it could still expect. */
export function getRefusalCost(standing: JobStanding, policy: LatePolicy): number {
  return getExpectedWorth(standing, 0, policy);
}

/** Cost of a delay per core-second of the work left; the highest goes first when room is short. */
export function getDelayDensity(
  standing: JobStanding,
  delayMs: number,
  policy: LatePolicy,
): number {
  return getDelayCost(standing, delayMs, policy) / Math.max(minWork, standing.remainingWork);
}

/**
 * What it costs callers to stop runs of a job. Lost work is done again in room that others wait for, so it
 * counts at the job's own worth per core-second. Earlier stops add to it, so that it is not always the
 * same job that is stopped.
 */
export function getStopCost(
  standing: JobStanding,
  { delayMs, lostWork }: StopLoss,
  policy: LatePolicy,
): number {
  const { worth, remainingWork, stops } = standing;
  const redone = (worth * lostWork) / Math.max(minWork, remainingWork + lostWork);
  return (getDelayCost(standing, delayMs, policy) + redone) * (1 + repeatedStopShare * stops);
}

/** Expected time until a task that is not done ends once it runs, in milliseconds. */
export function getTaskRemainingMs(task: Task, time: RunTime, nowMs: number): number {
  if (task.phase !== TaskPhase.Running || task.startedAtMs <= 0) return time.medianMs;
  return findRemainingMs(task, nowMs) ?? getRemainingRunMs(time, nowMs - task.startedAtMs);
}

function countStops(group: TaskGroup): number {
  const failures = group.spec.isGang
    ? group.gangFailures
    : Math.max(0, ...group.tasks.map((task) => task.failures));
  const current = group.tasks.some(isOccupying) ? 1 : 0;
  return Math.max(0, getLatestRun(group) - failures - current);
}

/** What a standing is computed from. */
export interface StandingInput {
  group: TaskGroup;
  ageMs: number;
  /** Mean work of the queue's jobs in core-seconds. */
  meanWork: number;
  /** Monotonic time in milliseconds. */
  nowMs: number;
  runTimes: RunTimes;
}

/** Computes how far the job of a group is. Steps that depend on the group's count as a whole. */
export function computeStanding(
  { group, ageMs, meanWork, nowMs, runTimes }: StandingInput,
  policy: ValuePolicy,
): JobStanding {
  const { job, spec, tasks } = group;
  const time = runTimes.estimate(job, spec, nowMs);
  const later = getLaterSteps(group, runTimes, nowMs);
  const taskWork = getTaskWork(spec);
  let chainMs = 0;
  let work = 0;
  for (const task of tasks) {
    if (task.phase === TaskPhase.Done) continue;
    const leftMs = getTaskRemainingMs(task, time, nowMs);
    chainMs = Math.max(chainMs, leftMs);
    work += taskWork * Math.min(1, leftMs / time.medianMs);
  }
  return {
    worth: getWorth(job, meanWork, policy),
    ageMs,
    objectiveMs: getObjectiveMs(job),
    remaining: {
      medianMs: Math.max(minRemainingMs, chainMs + later.chainMs),
      spread: time.spread,
    },
    remainingWork: work + later.work,
    stops: countStops(group),
  };
}

/** Longest chain and work of the steps that depend on a group's step. */
function getLaterSteps(
  { job, step }: TaskGroup,
  runTimes: RunTimes,
  nowMs: number,
): { chainMs: number; work: number } {
  const ends = new Map<number, number>([[step, 0]]);
  let chainMs = 0;
  let work = 0;
  for (const [index, spec] of job.steps.entries()) {
    const before = spec.dependsOn.flatMap((earlier) => ends.get(earlier) ?? []);
    if (index <= step || before.length === 0) continue;
    const endMs = Math.max(...before) + runTimes.estimate(job, spec, nowMs).medianMs;
    ends.set(index, endMs);
    chainMs = Math.max(chainMs, endMs);
    work += getTaskWork(spec) * spec.taskCount;
  }
  return { chainMs, work };
}
