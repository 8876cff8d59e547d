import { ActionKind } from './action.ts';
import type { CoreState, Gang, Job, Worker } from './state.ts';

const firstRetryMs = 500;
const maxRetryMs = 30_000;
// Fails a job that always fails on the same few workers, which never adds up to distinct workers.
const maxFailuresPerAttempt = 3;

/** Clears the record of the workers on which a job succeeded. */
export function applySuccess(gang: Gang): void {
  for (const { worker } of gang.members) {
    worker.failedJobs.clear();
    worker.quarantines = 0;
  }
}

function quarantineWorker(state: CoreState, worker: Worker): void {
  const { quarantineMs, quarantineMaxMs } = state.config;
  const durationMs = Math.min(quarantineMs * 2 ** worker.quarantines, quarantineMaxMs);
  worker.quarantines += 1;
  worker.isQuarantined = true;
  worker.site.version += 1;
  worker.quarantineUntilMs = state.nowMs + durationMs;
  // The worker was at fault, so its failures no longer count against the jobs.
  for (const jobId of worker.failedJobs) {
    state.jobs.get(jobId)?.failedWorkers.delete(worker.spec.id);
  }
  worker.failedJobs.clear();
  state.isGuaranteeDirty = true;
  state.isCapacityDirty = true;
  state.pending.push({ kind: ActionKind.QuarantineWorker, worker: worker.spec.id, durationMs });
}

function countAgainstWorker(state: CoreState, job: Job, workerId: string): void {
  const worker = state.workers.get(workerId);
  if (worker === undefined || worker.isQuarantined) return;
  worker.failedJobs.add(job.spec.jobId);
  if (worker.failedJobs.size >= state.config.quarantineAfterJobs) quarantineWorker(state, worker);
}

function failJob(state: CoreState, job: Job): void {
  const { jobId } = job.spec;
  for (const id of job.failedWorkers) state.workers.get(id)?.failedJobs.delete(jobId);
  state.jobs.delete(jobId);
  state.queue.delete(job);
  const message = `the job failed on ${job.failedWorkers.size} distinct workers`;
  state.pending.push({ kind: ActionKind.FailJob, jobId, message });
}

/**
 * Counts a failed member against its worker and the job. A job that failed on `maxAttempts`
 * distinct workers is at fault and ends; returns whether it did.
 */
export function applyMemberFailure(state: CoreState, job: Job, workerId: string): boolean {
  job.memberFailures += 1;
  job.failedWorkers.add(workerId);
  const { maxAttempts } = state.config;
  const isAtFault =
    !job.isCancelled &&
    (job.failedWorkers.size >= maxAttempts ||
      job.memberFailures >= maxFailuresPerAttempt * maxAttempts);
  if (isAtFault) failJob(state, job);
  else countAgainstWorker(state, job, workerId);
  return isAtFault;
}

/** Delays the next start after a failed one, which may be the worker's fault but not the job's. */
export function applyFailedStart(state: CoreState, job: Job, workerId: string): void {
  job.notBeforeMs = state.nowMs + Math.min(firstRetryMs * 2 ** job.failedStarts, maxRetryMs);
  job.failedStarts += 1;
  if (workerId !== '') countAgainstWorker(state, job, workerId);
}

/** Tries quarantined workers again whose time has come. */
export function releaseWorkers(state: CoreState): void {
  for (const worker of state.workers.values()) {
    if (!worker.isQuarantined || worker.quarantineUntilMs > state.nowMs) continue;
    worker.isQuarantined = false;
    worker.site.version += 1;
    state.isGuaranteeDirty = true;
    state.isCapacityDirty = true;
    state.pending.push({ kind: ActionKind.ReleaseWorker, worker: worker.spec.id });
  }
}
