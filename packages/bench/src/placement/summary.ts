import type { ReplayResult } from './replay.ts';

/** Measures of one policy over all regions and seeds of a deployment. */
export interface Summary {
  /** Mean run time, which no policy can get below. */
  meanRunS: number;
  meanCompletionS: number;
  p99CompletionS: number;
  makespanS: number;
  /** Wait until the first start of gangs of 32 accelerators and more. */
  largeGangWaitMeanS: number;
  largeGangWaitMaxS: number;
  /** Time average of the share of free accelerators that the largest shape cannot use. */
  fragmentation: number;
  /** The same share by accelerator-hours: unusable ones over free ones. */
  fragmentationByHours: number;
  utilisation: number;
  /** Accelerators idle, on average, while a waiting job fits in the free ones. */
  idleWhileFits: number;
  preemptions: number;
  lostAcceleratorHours: number;
  guaranteedStarts: number;
  failedReclaims: number;
  unfinished: number;
  decisionMedianMs: number;
  decisionP99Ms: number;
}

const largeWidth = 32;

function computeMean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Value below which the given share of the values lies. */
export function computeQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function addUp(results: readonly ReplayResult[], get: (result: ReplayResult) => number): number {
  return results.reduce((sum, result) => sum + get(result), 0);
}

function getMakespanMs(result: ReplayResult): number {
  return result.jobs.reduce((last, job) => Math.max(last, job.endMs), 0);
}

/** Sums up replays of one policy. */
export function computeSummary(results: readonly ReplayResult[]): Summary {
  const jobs = results.flatMap((result) => result.jobs);
  const finished = jobs.filter((job) => Number.isFinite(job.endMs));
  const completion = finished.map((job) => (job.endMs - job.arrivalMs) / 1000);
  const waits = jobs
    .filter((job) => job.width >= largeWidth)
    .map((job) => (job.firstStartMs - job.arrivalMs) / 1000);
  const decisionMs = results.flatMap((result) => result.decisionMs);
  const freeMs = addUp(results, ({ use }) => use.freeAcceleratorMs);
  const usedMs = addUp(results, ({ use }) => use.usedAcceleratorMs);
  const spanMs = addUp(results, getMakespanMs);
  return {
    meanRunS: computeMean(finished.map((job) => job.workMs)) / 1000,
    meanCompletionS: computeMean(completion),
    p99CompletionS: computeQuantile(completion, 0.99),
    makespanS: computeMean(results.map(getMakespanMs)) / 1000,
    largeGangWaitMeanS: computeMean(waits),
    largeGangWaitMaxS: waits.reduce((most, wait) => Math.max(most, wait), 0),
    fragmentation:
      addUp(results, ({ use }) => use.unusableShareMs) / addUp(results, ({ use }) => use.freeMs),
    fragmentationByHours: addUp(results, ({ use }) => use.unusableAcceleratorMs) / freeMs,
    utilisation: usedMs / (usedMs + freeMs),
    idleWhileFits: addUp(results, ({ use }) => use.idleWhileFitsMs) / spanMs,
    preemptions: addUp(results, (result) => result.preemptions),
    lostAcceleratorHours: addUp(results, (result) => result.lostAcceleratorMs) / 3_600_000,
    guaranteedStarts: addUp(results, (result) => result.guaranteedStarts),
    failedReclaims: addUp(results, (result) => result.failedReclaims),
    unfinished: jobs.length - finished.length,
    decisionMedianMs: computeQuantile(decisionMs, 0.5),
    decisionP99Ms: computeQuantile(decisionMs, 0.99),
  };
}
