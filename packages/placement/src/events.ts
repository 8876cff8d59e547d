import { match } from 'ts-pattern';
import { ActionKind, StopReason } from './action.ts';
import { applyConfig, createUnknownAccount } from './account.ts';
import { dropClaim, removeGang, stopGang } from './allocation.ts';
import { EventKind, GangEnd } from './event.ts';
import type { PlacementEvent } from './event.ts';
import { applyFailedStart, applyMemberFailure, applySuccess } from './failure.ts';
import { createJob } from './job.ts';
import { applyRecoveredGang } from './recovery.ts';
import { addWorkers, removeWorkers } from './site.ts';
import { getAttainedSeconds } from './state.ts';
import type { CoreState, Gang, Job } from './state.ts';

type EventOf<K extends EventKind> = Extract<PlacementEvent, { kind: K }>;

function applyArrival(state: CoreState, event: EventOf<EventKind.JobArrived>): void {
  const { jobId } = event.job;
  if (state.jobs.has(jobId)) return;
  const account = state.accounts.get(event.job.account);
  if (account === undefined) {
    const message = `account "${event.job.account}" does not exist`;
    state.pendingActions.push({ kind: ActionKind.FailJob, jobId, message });
    return;
  }
  const job = createJob(state, account, event);
  job.attempts = event.attempts;
  state.jobs.set(jobId, job);
  state.queue.add(job);
  state.arrivals.add(job);
}

function applyRecovery(state: CoreState, event: EventOf<EventKind.GangRecovered>): void {
  const { jobId } = event.job;
  if (state.jobs.has(jobId)) return;
  const account = state.accounts.get(event.job.account);
  const job = createJob(state, account ?? createUnknownAccount(event.job.account), event);
  state.jobs.set(jobId, job);
  applyRecoveredGang(state, job, event.placement);
}

/** Removes a job that has ended. */
function endJob(state: CoreState, job: Job, isCancelled: boolean): void {
  state.jobs.delete(job.spec.jobId);
  state.queue.delete(job);
  state.pendingActions.push({ kind: ActionKind.EndJob, jobId: job.spec.jobId, isCancelled });
}

function applyCancel(state: CoreState, jobId: string): void {
  const job = state.jobs.get(jobId);
  if (job === undefined || job.isCancelled) return;
  job.isCancelled = true;
  if (job.claim !== undefined) dropClaim(state, job.claim);
  if (job.gang === undefined) endJob(state, job, true);
  else stopGang(state, job.gang, StopReason.Cancel, 0, state.pendingActions);
}

function findGang(state: CoreState, jobId: string, attempt: number): Gang | undefined {
  const gang = state.jobs.get(jobId)?.gang;
  return gang?.placement.attempt === attempt ? gang : undefined;
}

function applyRunning(state: CoreState, event: EventOf<EventKind.GangRunning>): void {
  const gang = findGang(state, event.jobId, event.attempt);
  if (gang === undefined) return;
  gang.isRunning = true;
  gang.job.attainedAtMs = state.nowMs;
  gang.job.failedStarts = 0;
}

function applyUsage(state: CoreState, event: EventOf<EventKind.UsageReported>): void {
  const job = state.jobs.get(event.jobId);
  if (job === undefined) return;
  job.attainedSeconds = event.attainedSeconds;
  job.attainedAtMs = state.nowMs;
}

/** Requeues the job; if it has not run, its wait continues from the earlier start of the wait. */
function requeueJob(state: CoreState, job: Job, hasRun: boolean): void {
  if (hasRun) job.queuedAtMs = state.nowMs;
  state.queue.add(job);
  state.arrivals.add(job);
}

function applyEnd(state: CoreState, event: EventOf<EventKind.GangEnded>): void {
  const gang = findGang(state, event.jobId, event.attempt);
  if (gang === undefined) return;
  const { job } = gang;
  job.attainedSeconds = getAttainedSeconds(job, state.nowMs);
  removeGang(state, gang);
  if (event.end === GangEnd.Done) {
    applySuccess(gang);
    endJob(state, job, false);
    return;
  }
  const isAtFault =
    event.end === GangEnd.MemberFailed && applyMemberFailure(state, job, event.worker);
  if (event.end === GangEnd.StartFailed) applyFailedStart(state, job, event.worker);
  if (job.isCancelled) endJob(state, job, true);
  else if (!isAtFault) requeueJob(state, job, gang.isRunning);
}

/** Applies one event to the state, at `state.nowMs`. */
export function applyEvent(state: CoreState, event: PlacementEvent): void {
  match(event)
    .with({ kind: EventKind.JobArrived }, (item) => {
      applyArrival(state, item);
    })
    .with({ kind: EventKind.GangRecovered }, (item) => {
      applyRecovery(state, item);
    })
    .with({ kind: EventKind.JobsCancelled }, ({ jobIds }) => {
      for (const jobId of jobIds) applyCancel(state, jobId);
    })
    .with({ kind: EventKind.GangRunning }, (item) => {
      applyRunning(state, item);
    })
    .with({ kind: EventKind.GangEnded }, (item) => {
      applyEnd(state, item);
    })
    .with({ kind: EventKind.WorkersAdded }, ({ workers }) => {
      addWorkers(state, workers);
    })
    .with({ kind: EventKind.WorkersLost }, ({ workerIds }) => {
      removeWorkers(state, workerIds);
    })
    .with({ kind: EventKind.ConfigChanged }, ({ config }) => {
      applyConfig(state, config);
    })
    .with({ kind: EventKind.UsageReported }, (item) => {
      applyUsage(state, item);
    })
    .exhaustive();
}
