import type { PlacementPolicy } from './policy.ts';
import { getAttainedSeconds } from './state.ts';
import type { CoreState, Job } from './state.ts';

/** Levels that the job has gained by waiting. */
export function computeAgeCredit(state: CoreState, job: Job): number {
  return Math.max(0, Math.floor((state.nowMs - job.queuedAtMs) / state.policy.ageingMs));
}

function computeServiceLevel(attainedSeconds: number, policy: PlacementPolicy): number {
  const { firstLevelSeconds, levelRatio, hasServiceLevels: hasLevels } = policy;
  if (!hasLevels || attainedSeconds < firstLevelSeconds) return 0;
  return 1 + Math.floor(Math.log(attainedSeconds / firstLevelSeconds) / Math.log(levelRatio));
}

/**
 * Priority level by attained service, lower first: the logarithm of the service attained per unit of
 * account weight, minus one level per `ageingMs` of waiting. A running gang keeps the credit of the
 * wait before its start; without it, two aged gangs would preempt each other in turn without progress.
 */
export function computePriorityLevel(state: CoreState, job: Job): number {
  const width = Math.max(1, job.accelerators) ** (1 - state.policy.widthExponent);
  const attained = getAttainedSeconds(job, state.nowMs) / width / job.account.spec.weight;
  const age = job.gang?.ageCredit ?? computeAgeCredit(state, job);
  return Math.max(0, computeServiceLevel(attained, state.policy) - age);
}

/**
 * Rank within a level, lower first. The declared work is only a hint: a wrong one moves a job within
 * its level, and each `ageingMs` of waiting offsets a factor of `levelRatio`.
 */
function computeRank(state: CoreState, job: Job): number {
  if (state.policy.hasWidestFirst) {
    const ageCredit = (state.nowMs - job.queuedAtMs) / state.policy.ageingMs;
    return -Math.log2(Math.max(1, job.accelerators)) - ageCredit;
  }
  if (!state.policy.usesDeclaredWork) return job.acceptedAtMs;
  const work = Math.max(1, job.spec.declaredSeconds * Math.max(1, job.accelerators));
  const aged = (state.nowMs - job.queuedAtMs) / state.policy.ageingMs;
  return Math.log(work) / Math.log(state.policy.levelRatio) - aged;
}

/** Sorts waiting jobs by priority level, urgent ones first within a level, then by rank. */
export function rankJobs(state: CoreState, jobs: Iterable<Job>): Job[] {
  const ranked = [...jobs].map((job) => {
    job.priorityLevel = computePriorityLevel(state, job);
    return { job, rank: computeRank(state, job) };
  });
  ranked.sort(
    (a, b) =>
      a.job.priorityLevel - b.job.priorityLevel ||
      Number(b.job.spec.urgent) - Number(a.job.spec.urgent) ||
      a.rank - b.rank ||
      a.job.sequence - b.job.sequence,
  );
  return ranked.map(({ job }) => job);
}
