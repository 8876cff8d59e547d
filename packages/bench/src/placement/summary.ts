import type { ReplayResult } from './replay.ts';

/** Metrics of one policy over all regions and seeds of a deployment. */
export interface Summary {
  /** Mean run time, the lower bound of the mean completion time. */
  meanRunS: number;
  meanCompletionS: number;
  p99CompletionS: number;
  makespanS: number;
  /** Wait until the first start of gangs with at least 32 accelerators. */
  largeGangWaitMeanS: number;
  largeGangWaitMaxS: number;
  /** Time average of the share of free accelerators that gangs of the largest shape cannot use. */
  fragmentation: number;
  /** The same share by accelerator-hours: unusable divided by free. */
  fragmentationByHours: number;
  utilisation: number;
  /** Time average of the accelerators that the widest waiting job that fits could have used. */
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

function sumResults(
  results: readonly ReplayResult[],
  get: (result: ReplayResult) => number,
): number {
  return results.reduce((sum, result) => sum + get(result), 0);
}

function getMakespanMs(result: ReplayResult): number {
  return result.jobs.reduce((last, job) => Math.max(last, job.endMs), 0);
}

/** Summarises replays of one policy. */
export function computeSummary(results: readonly ReplayResult[]): Summary {
  const jobs = results.flatMap((result) => result.jobs);
  const finished = jobs.filter((job) => Number.isFinite(job.endMs));
  const completion = finished.map((job) => (job.endMs - job.arrivalMs) / 1000);
  const waits = jobs
    .filter((job) => job.width >= largeWidth)
    .map((job) => (job.firstStartMs - job.arrivalMs) / 1000);
  const decisionMs = results.flatMap((result) => result.decisionMs);
  const freeMs = sumResults(results, ({ usage }) => usage.freeAcceleratorMs);
  const usedMs = sumResults(results, ({ usage }) => usage.usedAcceleratorMs);
  const spanMs = sumResults(results, getMakespanMs);
  return {
    meanRunS: computeMean(finished.map((job) => job.workMs)) / 1000,
    meanCompletionS: computeMean(completion),
    p99CompletionS: computeQuantile(completion, 0.99),
    makespanS: computeMean(results.map(getMakespanMs)) / 1000,
    largeGangWaitMeanS: computeMean(waits),
    largeGangWaitMaxS: waits.reduce((most, wait) => Math.max(most, wait), 0),
    fragmentation:
      sumResults(results, ({ usage }) => usage.unusableShareMs) /
      sumResults(results, ({ usage }) => usage.freeMs),
    fragmentationByHours: sumResults(results, ({ usage }) => usage.unusableAcceleratorMs) / freeMs,
    utilisation: usedMs / (usedMs + freeMs),
    idleWhileFits: sumResults(results, ({ usage }) => usage.idleWhileFitsMs) / spanMs,
    preemptions: sumResults(results, (result) => result.preemptions),
    lostAcceleratorHours: sumResults(results, (result) => result.lostAcceleratorMs) / 3_600_000,
    guaranteedStarts: sumResults(results, (result) => result.guaranteedStarts),
    failedReclaims: sumResults(results, (result) => result.failedReclaims),
    unfinished: jobs.length - finished.length,
    decisionMedianMs: computeQuantile(decisionMs, 0.5),
    decisionP99Ms: computeQuantile(decisionMs, 0.99),
  };
}
