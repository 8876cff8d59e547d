import { getAttainedSeconds } from './state.ts';
import type { Job } from './state.ts';

// Accelerator-seconds of the first level; each further level is four times as long.
const firstLevelSeconds = 600;
const levelRatio = 4;
// One level is gained for each of these periods of waiting.
const ageingMs = 30 * 60_000;

/**
 * Priority level by attained service (lower goes first): the logarithm of the accelerator-seconds
 * attained per unit of account weight, less one level for each period of waiting.
 */
export function computePriority(job: Job, nowMs: number): number {
  const attained = getAttainedSeconds(job, nowMs) / job.account.spec.weight;
  const level =
    attained < firstLevelSeconds
      ? 0
      : 1 + Math.floor(Math.log(attained / firstLevelSeconds) / Math.log(levelRatio));
  const age = job.gang === undefined ? Math.floor((nowMs - job.queuedAtMs) / ageingMs) : 0;
  return Math.max(0, level - age);
}

/** Orders waiting jobs: by priority level, urgent ones first within a level, then by age. */
export function listInOrder(jobs: Iterable<Job>, nowMs: number): Job[] {
  const ranked = [...jobs].map((job) => ({ job, level: computePriority(job, nowMs) }));
  ranked.sort(
    (a, b) =>
      a.level - b.level ||
      Number(b.job.spec.urgent) - Number(a.job.spec.urgent) ||
      a.job.acceptedAtMs - b.job.acceptedAtMs ||
      a.job.sequence - b.job.sequence,
  );
  return ranked.map(({ job }) => job);
}
