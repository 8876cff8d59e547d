import { getTaskMs } from './ranking.ts';
import type { JobSubmission, StepSpec } from './submission.ts';

/** What is known about the run time of the tasks of a step. */
export interface RunTime {
  /** Median of the total run time in milliseconds. */
  medianMs: number;
  /** Spread of the total run time around the median: the scale of a log-logistic distribution. */
  spread: number;
}

/** Run times of tasks, as declared and as observed. */
export interface RunTimes {
  /** Records that a run of a step ended as done after `ranMs`. */
  record(job: JobSubmission, spec: StepSpec, ranMs: number, nowMs: number): void;
  /** Expected run time of the tasks of a step; as declared until enough runs have ended. */
  estimate(job: JobSubmission, spec: StepSpec, nowMs: number): RunTime;
}

/** Observed runs of a kind of work, as the logarithm of observed to declared run time. */
interface Sample {
  /** Weight of the observations; it halves with `halfLifeMs`. */
  weight: number;
  median: number;
  /** Mean distance from the median. */
  deviation: number;
  updatedMs: number;
}

/** Callers may declare run times that are off by a factor of two either way. */
const declaredSpread = 0.4;
/** Observations that count as much as what callers declare. */
const declaredWeight = 8;
/** The mix of work changes within minutes; older observations say little. */
const halfLifeMs = 60_000;
/** More observations than this make the estimate no steadier, only slower to follow a change. */
const maxWeight = 200;
/**
 * Largest distance of one observation from the median. A few runs that take seven times as long must
 * not move the estimate of all others.
 */
const maxStep = Math.log(2.5);
/** Ratio of the scale of a log-logistic distribution to its mean distance from the median. */
const scalePerDeviation = 1 / (2 * Math.LN2);
/** Kinds of work that are remembered; the oldest is dropped first. */
const maxSamples = 512;

const knownKinds = new WeakMap<StepSpec, readonly string[]>();

/** Kinds that a step belongs to, the widest first: what callers declare is corrected by each in turn. */
function listKinds(job: JobSubmission, spec: StepSpec): readonly string[] {
  const known = knownKinds.get(spec);
  if (known !== undefined) return known;
  const queue = JSON.stringify([job.pool, job.queue]);
  const kinds = [queue, `${queue}/${JSON.stringify([job.account, spec.image])}`];
  knownKinds.set(spec, kinds);
  return kinds;
}

/** Creates run times without observations. */
export function createRunTimes(): RunTimes {
  const samples = new Map<string, Sample>();

  function getWeight({ weight, updatedMs }: Sample, nowMs: number): number {
    return weight * 0.5 ** (Math.max(0, nowMs - updatedMs) / halfLifeMs);
  }

  function update(kind: string, ratio: number, nowMs: number): void {
    const known = samples.get(kind);
    if (known === undefined) {
      if (samples.size >= maxSamples) dropOldest();
      samples.set(kind, {
        weight: 1,
        median: Math.max(-maxStep, Math.min(maxStep, ratio)),
        deviation: declaredSpread / scalePerDeviation,
        updatedMs: nowMs,
      });
      return;
    }
    const weight = Math.min(maxWeight, getWeight(known, nowMs) + 1);
    const distance = Math.max(-maxStep, Math.min(maxStep, ratio - known.median));
    known.median += distance / weight;
    known.deviation += (Math.abs(distance) - known.deviation) / weight;
    known.weight = weight;
    known.updatedMs = nowMs;
  }

  function dropOldest(): void {
    let oldest: string | undefined;
    let oldestMs = Infinity;
    for (const [kind, { updatedMs }] of samples) {
      if (updatedMs >= oldestMs) continue;
      oldest = kind;
      oldestMs = updatedMs;
    }
    if (oldest !== undefined) samples.delete(oldest);
  }

  return {
    record(job, spec, ranMs, nowMs) {
      if (spec.estimatedMs <= 0 || ranMs <= 0) return;
      const ratio = Math.log(ranMs / spec.estimatedMs);
      for (const kind of listKinds(job, spec)) update(kind, ratio, nowMs);
    },
    estimate(job, spec, nowMs) {
      let median = 0;
      let spread = declaredSpread;
      for (const kind of listKinds(job, spec)) {
        const sample = samples.get(kind);
        if (sample === undefined) continue;
        const weight = getWeight(sample, nowMs);
        const share = weight / (weight + declaredWeight);
        median += (sample.median - median) * share;
        spread += (sample.deviation * scalePerDeviation - spread) * share;
      }
      return { medianMs: getTaskMs(spec) * Math.exp(median), spread };
    },
  };
}

/** Probability that a total run time is at most `totalMs`. */
export function getDoneShare({ medianMs, spread }: RunTime, totalMs: number): number {
  if (totalMs <= 0) return 0;
  return 1 / (1 + (medianMs / totalMs) ** (1 / spread));
}

/** Probability that a task that has run for `ranMs` ends within another `withinMs`. */
export function getEndChance(time: RunTime, ranMs: number, withinMs: number): number {
  const ended = getDoneShare(time, ranMs);
  if (ended >= 1) return 1;
  return (getDoneShare(time, ranMs + Math.max(0, withinMs)) - ended) / (1 - ended);
}

/**
 * Expected remaining time of a task that has run for `ranMs`: the median of the times that are still
 * possible. It grows again for a task that is far past its fellows.
 */
export function getRemainingRunMs(time: RunTime, ranMs: number): number {
  const ended = getDoneShare(time, ranMs);
  // Inverse of the distribution at half of what is left of it.
  const share = ended + (1 - ended) / 2;
  return Math.max(0, time.medianMs * (share / (1 - share)) ** time.spread - ranMs);
}
