import { getExpectedWorth } from './callercost.ts';
import type { JobStanding, LatePolicy } from './callercost.ts';
import type { Task, TaskGroup } from './group.ts';
import { findRemainingMs } from './runprogress.ts';
import { getEndChance } from './runtimes.ts';
import type { RunTime } from './runtimes.ts';

/** What happens to a run on a worker that is about to leave. */
export enum LeavingAction {
  /** It probably ends before the worker leaves, or there is time to decide later. */
  Keep = 'keep',
  /** It is stopped, so that its checkpoint is saved or its next run starts without waiting for the lease. */
  Stop = 'stop',
}

/** What is known about the departure of a worker. Durations are in milliseconds. */
export interface Departure {
  /** Shortest time until the worker leaves. */
  leftMs: number;
  /** Longest time that the worker takes to stop a run and to report it. */
  stopMs: number;
  /** Time after the departure until it is certain that the run is gone: what is left of the lease. */
  uncertainMs: number;
}

/** A run on a worker that leaves, or the run of a whole gang with a member there. */
export interface LeavingRun {
  group: TaskGroup;
  /** Tasks of the run on the worker that leaves. */
  tasks: readonly Task[];
  time: RunTime;
  standing: JobStanding;
}

/** Reported progress lags by up to a second, so an end this close to the departure is not counted on. */
const endMarginMs = 250;
/** Least time before the departure at which a run that saves is stopped; covers a lost order. */
const minSaveMs = 1500;

/** Probability that a run ends before its worker leaves. */
export function getLeavingChance(
  { tasks, time }: LeavingRun,
  leftMs: number,
  nowMs: number,
): number {
  const usableMs = leftMs - endMarginMs;
  const chances = tasks.map((task) => {
    const remainingMs = findRemainingMs(task, nowMs);
    if (remainingMs !== undefined) return Number(remainingMs <= usableMs);
    const ranMs = task.startedAtMs > 0 ? nowMs - task.startedAtMs : 0;
    return getEndChance(time, ranMs, usableMs);
  });
  return Math.min(1, ...chances);
}

/**
 * Decides about a run on a worker that leaves soon. A run that is still there when the worker leaves is
 * lost, and its task starts again only once the worker's lease has expired, as nothing else shows that the
 * run is gone. A stop that is confirmed in time loses the same work and saves that wait.
 */
export function decideLeaving(
  run: LeavingRun,
  { leftMs, stopMs, uncertainMs }: Departure,
  policy: LatePolicy,
  nowMs: number,
): LeavingAction {
  const { spec } = run.group;
  const chance = spec.isLongRunning ? 0 : getLeavingChance(run, leftMs, nowMs);
  if (spec.isCheckpointing) {
    // The stop saves the work, so the run goes on for as long as possible.
    const isLastCall = leftMs <= Math.max(minSaveMs, 2 * stopMs);
    return isLastCall && chance < 1 ? LeavingAction.Stop : LeavingAction.Keep;
  }
  const startedAgain: JobStanding = { ...run.standing, remaining: run.time };
  const ending: JobStanding = {
    ...run.standing,
    remaining: { medianMs: Math.max(1, leftMs / 2), spread: run.time.spread },
  };
  const lostDelayMs = leftMs + uncertainMs;
  const keptWorth =
    chance * getExpectedWorth(ending, 0, policy) +
    (1 - chance) * getExpectedWorth(startedAgain, lostDelayMs, policy);
  const stoppedWorth = getExpectedWorth(startedAgain, stopMs, policy);
  if (keptWorth !== stoppedWorth) {
    return keptWorth < stoppedWorth ? LeavingAction.Stop : LeavingAction.Keep;
  }
  // Neither choice matters to the caller any more: the shorter delay frees the room sooner.
  const keptMs = chance * leftMs + (1 - chance) * (lostDelayMs + run.time.medianMs);
  return keptMs > stopMs + run.time.medianMs ? LeavingAction.Stop : LeavingAction.Keep;
}
