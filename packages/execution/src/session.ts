import { JobState } from '@bergamotreach/ownership';
import type { RegionLease } from '@bergamotreach/ownership';
import { ActionKind, EventKind, GangEnd } from '@bergamotreach/placement';
import type {
  GangPlacement,
  PlacementAction,
  PlacementConfig,
  PlacementEvent,
  Scheduler,
} from '@bergamotreach/placement';
import type { Instance } from '@bergamotreach/hosting';
import type { CancelTimer } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';
import { createOwnerContext } from './context.ts';
import type { OwnerContext } from './context.ts';
import { finishGang, stopMembers } from './ending.ts';
import { createGang, requestStop } from './gang.ts';
import type { Gang } from './gang.ts';
import { createJobRegistry } from './jobs.ts';
import type { JobEntry } from './jobs.ts';
import { createMonitor } from './monitor.ts';
import type { OwnerSettings, RegionOwnerOptions } from './options.ts';
import { listRunningWorkers, loadRegion, recoverGang } from './recovery.ts';
import { createReports } from './reports.ts';
import { createScanner } from './scanner.ts';
import { releaseMembers, startMembers } from './starting.ts';
import { createWorkerRegistry } from './workers.ts';

/** Ownership of a region under one epoch, from the takeover until the lease is lost or released. */
export interface OwnerSession {
  readonly epoch: number;
  isOpen(): boolean;
  /** Whether recovery is complete. */
  isReady(): boolean;
  /** Continues after the lease was suspended and then renewed. */
  resume(): void;
  close(reason: string): void;
  /** Reads the rows of jobs that were added or changed. */
  refreshJobs(jobIds: readonly string[]): void;
  applyInstances(instances: readonly Instance[]): void;
  applyConfig(config: PlacementConfig): void;
  scheduler: Scheduler;
  getDump(): unknown;
}

/** Options of a session. */
export type SessionOptions = Omit<RegionOwnerOptions, 'settings'> & {
  lease: RegionLease;
  epoch: number;
  settings: OwnerSettings;
  instances: readonly Instance[];
  config: PlacementConfig;
};

/** Minimum delay of a timed decision; prevents a busy loop if the scheduler names a past time. */
const minDecisionDelayMs = 10;
/** Time for which events are collected before a decision on all of them. */
const eventBatchMs = 2;

/** Starts a session: recovers the region, then makes placement decisions and carries them out. */
export function createOwnerSession(options: SessionOptions): OwnerSession {
  const { clock, logger, epoch, settings } = options;
  const scheduler = options.createScheduler();
  const workers = createWorkerRegistry(options.region);
  const reports = createReports(options);
  const events: PlacementEvent[] = [];
  let isRecovered = false;
  let cancelDecision: CancelTimer | undefined;
  let cancelNextDecision: CancelTimer | undefined;

  const context: OwnerContext = createOwnerContext({
    ...options,
    workers,
    pushEvent,
    onClose() {
      cancelDecision?.();
      cancelNextDecision?.();
      monitor.stop();
      scanner.stop();
    },
  });
  const jobs = createJobRegistry(context);
  const monitor = createMonitor(context, jobs);
  const scanner = createScanner(context, jobs);

  function pushEvent(event: PlacementEvent): void {
    events.push(event);
    scheduleDecision(eventBatchMs);
  }

  function scheduleDecision(delayMs: number): void {
    if (!isRecovered || cancelDecision !== undefined || !context.isOpen()) return;
    cancelDecision = clock.setTimer(delayMs, runDecision);
  }

  function runDecision(): void {
    cancelDecision = undefined;
    // Events stay queued while the lease is suspended; `resume` schedules the next decision.
    if (!context.hasLease()) return;
    const nowMs = clock.getNowMs();
    scheduler.applyEvents(events.splice(0), nowMs);
    const actions = scheduler.decide(nowMs);
    options.metrics.reportTiming('placement.decide', clock.getNowMs() - nowMs);
    for (const action of actions) runAction(action);
    scheduleNextDecision();
  }

  function scheduleNextDecision(): void {
    cancelNextDecision?.();
    const nextMs = scheduler.getNextWakeMs();
    if (nextMs === undefined) return;
    cancelNextDecision = clock.setTimer(
      Math.max(minDecisionDelayMs, nextMs - clock.getNowMs()),
      () => {
        scheduleDecision(0);
      },
    );
  }

  function runAction(action: PlacementAction): void {
    match(action)
      .with({ kind: ActionKind.StartGang }, ({ placement }) => {
        startGang(placement);
      })
      .with({ kind: ActionKind.StopGang }, ({ jobId, attempt, reason, graceMs }) => {
        const gang = jobs.get(jobId)?.gang;
        if (gang?.attempt !== attempt) return;
        options.metrics.count('placement.stops', 1, { reason });
        const deadlineMs = clock.getNowMs() + graceMs;
        requestStop(gang, { end: GangEnd.Stopped, worker: '', reason, deadlineMs });
      })
      .with({ kind: ActionKind.FailJob }, ({ jobId, message }) => {
        endJob(jobId, JobState.Failed, message);
      })
      .with({ kind: ActionKind.EndJob }, ({ jobId, isCancelled }) => {
        endJob(jobId, isCancelled ? JobState.Cancelled : JobState.Done, '');
      })
      .with({ kind: ActionKind.QuarantineWorker }, ({ worker, durationMs }) => {
        reports.addQuarantine(worker, durationMs);
      })
      .with({ kind: ActionKind.ReleaseWorker }, ({ worker }) => {
        reports.removeQuarantine(worker);
      })
      .with({ kind: ActionKind.ReportGuarantee }, (report) => {
        reports.reportGuarantee(report);
      })
      .exhaustive();
  }

  function startGang(placement: GangPlacement): void {
    const { jobId, attempt } = placement;
    const entry = jobs.get(jobId);
    if (entry === undefined || entry.gang !== undefined) {
      logger.error('gang_start_invalid', { job: jobId, attempt, isKnown: entry !== undefined });
      const end = GangEnd.Stopped;
      pushEvent({ kind: EventKind.GangEnded, jobId, attempt, end, worker: '' });
      return;
    }
    const gang = createGang(placement, clock.getNowMs());
    jobs.addGang(entry, gang);
    void runGang(entry, gang, () => startMembers(context, jobs, entry, gang));
  }

  /** Runs a gang from `begin` to its end; only this call moves it from phase to phase. */
  async function runGang(
    entry: JobEntry,
    gang: Gang,
    begin: () => Promise<unknown>,
  ): Promise<void> {
    await begin();
    while (gang.stop === undefined && context.isOpen()) await gang.stopChanged;
    if (!context.isOpen()) return;
    await stopMembers(context, gang);
    await finishGang(context, jobs, entry, gang);
  }

  function endJob(jobId: string, state: JobState, message: string): void {
    const entry = jobs.get(jobId);
    if (entry === undefined) return;
    const endedAtMs = options.getWallMs();
    void jobs.writeRow(entry, (record) => ({
      ...record,
      state,
      message,
      endedAtMs,
      placement: null,
    }));
    logger.info('job_ended', { job: jobId, state, message });
    options.metrics.count('job.ends', 1, { state });
  }

  async function recoverRegion(): Promise<void> {
    const startMs = clock.getNowMs();
    const { lists, rows } = await loadRegion(context);
    if (!context.isOpen()) return;
    // A worker that did not reply is added only if a running gang is placed on it; the others
    // follow once they reply.
    const needed = listRunningWorkers(rows);
    monitor.addWorkers(workers.list().filter(({ id }) => lists.has(id) || needed.has(id)));
    for (const row of rows) recoverRow(row, lists);
    isRecovered = true;
    for (const [id, { listed, sentMs }] of lists) {
      const worker = workers.get(id);
      if (worker !== undefined) monitor.applyTasks(worker, listed, sentMs);
    }
    monitor.start();
    scanner.start();
    scheduleDecision(0);
    const durationMs = clock.getNowMs() - startMs;
    options.metrics.reportTiming('owner.recovery', durationMs);
    logger.info('region_recovered', { epoch, rows: rows.length, workers: lists.size, durationMs });
  }

  function recoverRow(
    row: Parameters<typeof recoverGang>[3],
    lists: Parameters<typeof recoverGang>[2],
  ): void {
    if (row.record.state === JobState.Queued) {
      jobs.applyRow(row);
      return;
    }
    const gang = recoverGang(context, jobs, lists, row);
    const entry = jobs.get(row.record.jobId);
    if (gang === undefined || entry === undefined) return;
    void runGang(entry, gang, () => releaseMembers(context, gang));
  }

  workers.applyInstances(options.instances, clock.getNowMs());
  events.push({ kind: EventKind.ConfigChanged, config: options.config });
  void recoverRegion();

  return {
    epoch,
    scheduler,
    isOpen: () => context.isOpen(),
    isReady: () => isRecovered,
    close(reason) {
      context.close(reason);
    },
    resume() {
      scheduleDecision(0);
      scanner.scanSoon();
    },
    refreshJobs(jobIds) {
      scanner.addChangedJobs(jobIds);
    },
    applyInstances(instances) {
      const leaving = workers.applyInstances(instances, clock.getNowMs());
      if (isRecovered) monitor.removeWorkers(leaving, settings.leavingGraceMs);
    },
    applyConfig(config) {
      pushEvent({ kind: EventKind.ConfigChanged, config });
    },
    getDump: () => ({
      epoch,
      isRecovered,
      waitingCalls: context.getWaitingCalls(),
      waitingEvents: events.length,
      jobs: jobs.list().map(dumpJob),
      workers: workers.list(),
      ...reports.getDump(),
      placement: scheduler.getDump(),
    }),
  };
}

/** Dumps a job without its payload, which may contain secrets of the account. */
function dumpJob({ row, gang }: JobEntry): unknown {
  const { attempt, phase, members, stop } = gang ?? {};
  const record = { ...row.record, payload: '' };
  return { ...record, version: row.version, gang: { attempt, phase, members, stop } };
}
