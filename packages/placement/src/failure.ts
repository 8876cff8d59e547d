import { ActionKind } from './action.ts';
import type { CoreState, Gang, Job, Worker } from './state.ts';

const firstBackoffMs = 500;
const maxBackoffMs = 30_000;
// Fails a job that keeps failing on the same few workers and never reaches `maxAttempts` distinct ones.
const maxFailuresPerAttempt = 3;

/** Clears the failures of the workers on which a gang succeeded. */
export function applySuccess(gang: Gang): void {
  for (const { worker } of gang.members) {
    worker.failedJobs.clear();
    worker.quarantineCount = 0;
  }
}

function quarantineWorker(state: CoreState, worker: Worker): void {
  const { quarantineMs, quarantineMaxMs } = state.config;
  const durationMs = Math.min(quarantineMs * 2 ** worker.quarantineCount, quarantineMaxMs);
  worker.quarantineCount += 1;
  worker.isQuarantined = true;
  worker.site.version += 1;
  worker.quarantineUntilMs = state.nowMs + durationMs;
  // The worker is at fault, so its failures no longer count against the jobs.
  for (const jobId of worker.failedJobs) {
    state.jobs.get(jobId)?.failedWorkers.delete(worker.spec.id);
  }
  worker.failedJobs.clear();
  state.isGuaranteeDirty = true;
  state.isCapacityDirty = true;
  state.pendingActions.push({
    kind: ActionKind.QuarantineWorker,
    worker: worker.spec.id,
    durationMs,
  });
}

function recordWorkerFailure(state: CoreState, job: Job, workerId: string): void {
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
  state.pendingActions.push({ kind: ActionKind.FailJob, jobId, message });
}

/**
 * Counts a failed member against its worker and its job. A job that failed on `maxAttempts` distinct
 * workers, or too often in total, is at fault and fails. Returns whether it did.
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
  else recordWorkerFailure(state, job, workerId);
  return isAtFault;
}

/** Delays the retry of a failed start with exponential backoff; it counts against the worker only. */
export function applyFailedStart(state: CoreState, job: Job, workerId: string): void {
  job.notBeforeMs = state.nowMs + Math.min(firstBackoffMs * 2 ** job.failedStarts, maxBackoffMs);
  job.failedStarts += 1;
  if (workerId !== '') recordWorkerFailure(state, job, workerId);
}

/** Releases workers whose quarantine has expired. */
export function releaseWorkers(state: CoreState): void {
  for (const worker of state.workers.values()) {
    if (!worker.isQuarantined || worker.quarantineUntilMs > state.nowMs) continue;
    worker.isQuarantined = false;
    worker.site.version += 1;
    state.isGuaranteeDirty = true;
    state.isCapacityDirty = true;
    state.pendingActions.push({ kind: ActionKind.ReleaseWorker, worker: worker.spec.id });
  }
}
