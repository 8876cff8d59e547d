import type { TaskGroup } from './group.ts';

/** Speeds of workers relative to their fellows, from the runs of tasks of the same group. */
export interface WorkerSpeeds {
  /** Records that the first run of a task ended as done on a machine after `ranMs`. */
  record(group: TaskGroup, machine: string, ranMs: number): void;
  /** Compares the recorded runs of a group that is complete. */
  learn(group: TaskGroup, nowMs: number): void;
  /**
   * Speed class of a machine: 0 for one like its fellows or without enough runs; each class is faster by about
   * a fifth than the one below.
   */
  getClass(machine: string, nowMs: number): number;
}

interface Run {
  machine: string;
  ranMs: number;
}

/** Speed of a machine as the logarithm of its ratio to the usual speed. */
interface Estimate {
  median: number;
  /** Weight of the runs; it halves with `halfLifeMs`. */
  weight: number;
  updatedMs: number;
}

/** Fewer runs do not show how long a task of a group usually takes. */
const minRuns = 4;
/** A machine may turn slow for a while, so older runs say little. */
const halfLifeMs = 120_000;
const maxWeight = 30;
/** Runs without a difference that each machine is credited with; the lengths of tasks differ too. */
const usualWeight = 4;
/** A single run that takes seven times as long must not move a machine by more than this factor. */
const maxStep = Math.log(1.6);
const classStep = 0.2;
const maxClass = 3;
/** All speed classes, slowest first. */
export const speedClasses: readonly number[] = Array.from(
  { length: 2 * maxClass + 1 },
  (_, index) => index - maxClass,
);
/** Machines that are remembered; the one without a run for longest is dropped first. */
const maxMachines = 4096;

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function limitStep(distance: number): number {
  return Math.max(-maxStep, Math.min(maxStep, distance));
}

/** Creates speeds without observations. */
export function createWorkerSpeeds(): WorkerSpeeds {
  const runs = new WeakMap<TaskGroup, Run[]>();
  /** In the order of their latest runs. */
  const estimates = new Map<string, Estimate>();

  function getWeight({ weight, updatedMs }: Estimate, nowMs: number): number {
    return weight * 0.5 ** (Math.max(0, nowMs - updatedMs) / halfLifeMs);
  }

  function update(machine: string, speed: number, nowMs: number): void {
    const known = estimates.get(machine) ?? { median: 0, weight: 0, updatedMs: nowMs };
    const weight = Math.min(maxWeight, getWeight(known, nowMs) + 1);
    estimates.delete(machine);
    estimates.set(machine, {
      median: known.median + limitStep(speed - known.median) / weight,
      weight,
      updatedMs: nowMs,
    });
    const [oldest] = estimates.keys();
    if (estimates.size > maxMachines && oldest !== undefined) estimates.delete(oldest);
  }

  return {
    record(group, machine, ranMs) {
      if (ranMs <= 0) return;
      const known = runs.get(group);
      if (known === undefined) runs.set(group, [{ machine, ranMs }]);
      else known.push({ machine, ranMs });
    },
    learn(group, nowMs) {
      const known = runs.get(group) ?? [];
      runs.delete(group);
      if (known.length < minRuns) return;
      // What each run would have taken at the usual speed: a group may have run on fast machines alone.
      const usual = getMedian(
        known.map(({ machine, ranMs }) => Math.log(ranMs) + (estimates.get(machine)?.median ?? 0)),
      );
      for (const { machine, ranMs } of known) update(machine, usual - Math.log(ranMs), nowMs);
    },
    getClass(machine, nowMs) {
      const known = estimates.get(machine);
      if (known === undefined) return 0;
      const weight = getWeight(known, nowMs);
      const speedClass = Math.round((known.median * weight) / (weight + usualWeight) / classStep);
      return Math.max(-maxClass, Math.min(maxClass, speedClass));
    },
  };
}
