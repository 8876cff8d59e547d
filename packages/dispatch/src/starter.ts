import { runContained } from '@bergamotreach/protocol';
import {
  JobState,
  TaskPhase,
  canStartIn,
  getLatestRun,
  isFitting,
  isFinal,
  isOccupying,
} from '@bergamotreach/scheduling';
import type { PlacedTask, PlannedStart, Resources, TaskGroup } from '@bergamotreach/scheduling';
import type { JobLifecycle } from './joblifecycle.ts';
import { formatHeadName, getCrashKey, getProgressKey } from './jobrows.ts';
import { isOverCapacity } from './fleetview.ts';
import { listGroupRows } from './progressrows.ts';
import { StartOutcome, startWindowMs } from './orders.ts';
import type { StartResult } from './orders.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { createObservedRun, maxOrderDelayMs } from './observedrun.ts';
import { RefusalReason } from './taskrunner.ts';
import type { WorkerLink } from './workerlink.ts';

/** Carries out planned starts. */
export interface Starter {
  /**
   * Starts of a plan that may be carried out now, first ones first; a gang is never divided. Another plan is requested
   * once there is room for the others.
   */
  limitStarts(starts: readonly PlannedStart[]): PlannedStart[];
  startAll(starts: readonly PlannedStart[]): Promise<void>;
}

/** A run whose start is being stored. */
interface PendingRun extends PlacedTask {
  run: number;
  workerId: string;
  /** Capacity of the worker as the plan saw it; absent if the worker is gone. */
  plannedCapacity: Resources | undefined;
}

/**
 * A start is sent only if the job state was verified this recently. The service limit on starts
 * after a cancellation is 3 s.
 */
const maxStateAgeMs = 2500;
/**
 * Starts in progress of an owner. With more, their orders wait in the process until they time out, and the renewals of
 * leases wait behind them.
 */
const maxOpenStarts = 128;
/** How long a worker that refused a start for lack of resources gets no new one. */
const refusalBackoffMs = 400;
const unhealthyBackoffMs = 2000;

/** Creates the part of an owner that starts runs. */
export function createStarter(context: OwnerContext, lifecycle: JobLifecycle): Starter {
  const { journal, orders, observedRuns, startBackoffs } = context;
  const { clock, logger, metrics } = context.options;

  let openStarts = 0;
  /** Starts were left out of a plan. */
  let isLimited = false;

  function limitStarts(starts: readonly PlannedStart[]): PlannedStart[] {
    let room = maxOpenStarts - openStarts;
    const allowed: PlannedStart[] = [];
    for (const start of starts) {
      const { group, placements } = start;
      const taken =
        group.spec.isGang && room > 0 ? placements : placements.slice(0, Math.max(0, room));
      if (taken.length < placements.length) isLimited = true;
      room -= taken.length;
      if (taken.length > 0) allowed.push({ group, placements: taken });
    }
    return allowed;
  }

  function closeStarts(count: number): void {
    openStarts -= count;
    if (!isLimited || openStarts > maxOpenStarts / 2) return;
    isLimited = false;
    context.requestPlan();
  }

  /**
   * Stores the runs before they are started, so that any later owner knows where to look for them.
   */
  async function startAll(starts: readonly PlannedStart[]): Promise<void> {
    const pending = starts.map((start) => ({ group: start.group, runs: reserveRuns(start) }));
    openStarts += pending.reduce((sum, { runs }) => sum + runs.length, 0);
    await Promise.all(
      pending.flatMap(({ group, runs }) =>
        groupByRow(group, runs).map((stored) => startCounted(group, stored)),
      ),
    );
  }

  /** After an unexpected error before the orders, the runs no longer count as starts in progress. */
  async function startCounted(group: TaskGroup, runs: readonly PendingRun[]): Promise<void> {
    let isSent = false;
    try {
      isSent = await startWhenStored(group, runs);
    } finally {
      if (!isSent) closeStarts(runs.length);
    }
  }

  /** Runs that are stored in the same row start together; the members of a gang once all of them are stored. */
  function groupByRow(group: TaskGroup, runs: readonly PendingRun[]): PendingRun[][] {
    if (group.spec.isGang || !group.isChunked) return [[...runs]];
    const byRow = new Map<string, PendingRun[]>();
    for (const run of runs) {
      const [row = ''] = listGroupRows(group, [run.task]);
      byRow.set(row, [...(byRow.get(row) ?? []), run]);
    }
    return [...byRow.values()];
  }

  /** Resolves with the earliest time at which one of the rows was sent; `undefined` if one never is stored. */
  async function waitForRows(keys: readonly string[]): Promise<number | undefined> {
    const sentMs = await Promise.all(keys.map((key) => journal.flushRow(key)));
    const stored = sentMs.filter((ms) => ms !== undefined);
    return stored.length < keys.length ? undefined : Math.min(...stored);
  }

  /**
   * Does not wait for the other commits of a plan, since the job could be cancelled meanwhile. Resolves with false if
   * no order is sent.
   */
  async function startWhenStored(group: TaskGroup, runs: readonly PendingRun[]): Promise<boolean> {
    // The crash record of an earlier run is stored first, so that it outlives this owner.
    const tasks = runs.map(({ task }) => task);
    const rows = listGroupRows(group, tasks);
    if (tasks.some(({ crashRecord }) => crashRecord !== undefined)) {
      await Promise.all(rows.map((name) => journal.flushRow(getCrashKey(name))));
    }
    // The head keeps versions that do not know chunks from starting the tasks again; it has no guard.
    if (group.isChunked) await journal.flushRow(getProgressKey(formatHeadName(group.job.id)));
    const commitSentMs = await waitForRows(rows.map(getProgressKey));
    if (commitSentMs === undefined) {
      dropHeldRuns(group, runs);
      return false;
    }
    for (const pendingRun of runs) {
      void startContained(pendingRun, commitSentMs).finally(() => {
        closeStarts(1);
      });
    }
    return true;
  }

  /** The store refuses their row, so they are never sent. */
  function dropHeldRuns(group: TaskGroup, runs: readonly PendingRun[]): void {
    if (context.isStopped() || lifecycle.findJob(group)?.isHeld !== true) return;
    for (const { task, run } of runs) if (task.run === run) lifecycle.dropRun({ group, task });
  }

  /** After an unexpected error, the start may or may not have been sent: the worker's reports decide. */
  async function startContained(pendingRun: PendingRun, commitSentMs: number): Promise<void> {
    const { group, task, run, workerId } = pendingRun;
    const isDone = await runContained(logger, 'start', () => startTask(pendingRun, commitSentMs));
    if (isDone || task.run !== run) return;
    const link = context.fleet.find(workerId);
    const clockMs = link?.getClock().estimate(clock.getNowMs());
    if (link === undefined || clockMs === undefined) return;
    recordUnansweredStart({ group, task }, workerId);
    applyStart({ group, task }, link, {
      outcome: StartOutcome.Undecided,
      reason: RefusalReason.None,
      clockMs: 0,
      windowEndMs: Math.floor(clockMs + startWindowMs),
      hasUnansweredAttempt: true,
    });
  }

  function reserveRuns({ group, placements }: PlannedStart): PendingRun[] {
    const gangRun = getLatestRun(group) + 1;
    for (const { task, workerId } of placements) {
      task.run = group.spec.isGang ? gangRun : task.run + 1;
      task.workerId = workerId;
      task.phase = TaskPhase.Starting;
      task.startedAtMs = 0;
      // No report can show the run before its order is sent.
      observedRuns.set(task, createObservedRun(task.run));
    }
    lifecycle.writeStarts(
      group,
      placements.map(({ task }) => task),
    );
    const job = lifecycle.findJob(group);
    if (job?.state === JobState.Queued) {
      job.state = JobState.Running;
      lifecycle.writeState(job);
    }
    return placements.map(({ task, workerId }) => {
      const plannedCapacity = context.fleet.find(workerId)?.getEntry().capacity;
      return { group, task, run: task.run, workerId, plannedCapacity };
    });
  }

  async function startTask(
    { group, task, run, workerId, plannedCapacity }: PendingRun,
    commitSentMs: number,
  ): Promise<void> {
    // The run was given up while it was being stored; a later run has its own start.
    if (task.run !== run) return;
    const link = context.fleet.find(workerId);
    const hasRoom = (): boolean => {
      if (link === undefined || plannedCapacity === undefined) return true;
      const hasShrunk = !isFitting(plannedCapacity, link.getEntry().capacity);
      return !hasShrunk || !isOverCapacity(context, link);
    };
    const isWanted = (): boolean =>
      !context.isStopped() &&
      lifecycle.findJob(group)?.isHeld !== true &&
      hasRoom() &&
      task.run === run &&
      task.phase === TaskPhase.Starting &&
      link?.getEntry().isDraining === false &&
      canStartIn(link.getEntry().dataCentre, context.options.operatorRows.getEvacuations()) &&
      clock.getNowMs() - commitSentMs <= maxStateAgeMs;
    const isCancelled = isFinal(lifecycle.findJob(group)?.state ?? JobState.Cancelled);
    if (link === undefined || isCancelled || !isWanted()) {
      if (isOccupying(task)) lifecycle.dropRun({ group, task });
      return;
    }
    const name = { task: getTaskName(group, task), run };
    const sentMs = clock.getNowMs();
    const stateAgeMs = Math.round(context.options.states.getAgeMs());
    const ticket = context.tickets.findTicket(group, workerId);
    if (ticket === undefined && group.allowedWorkers !== undefined) {
      lifecycle.dropRun({ group, task });
      return;
    }
    const { payload } = group.job;
    const { checkpoint } = task;
    const observed = observedRuns.get(task);
    if (observed?.run === run) observed.sentAtMs = sentMs;
    const input = { payload, checkpoint, isWanted, ...(ticket === undefined ? {} : { ticket }) };
    const result = await orders.start(link, name, input);
    if (result.hasUnansweredAttempt) recordUnansweredStart({ group, task }, workerId);
    if (result.reason === RefusalReason.BadTicket) {
      context.tickets.recordRejection(group, { workerId, ticket, sentMs });
    }
    metrics.reportTiming('orders.start', clock.getNowMs() - sentMs);
    logger.info('start_sent', {
      task: name.task,
      run,
      worker: workerId,
      fate: result.outcome,
      reason: result.reason,
      isResumed: checkpoint !== '',
      stateAgeMs,
      tookMs: Math.round(clock.getNowMs() - sentMs),
    });
    if (task.run === run) applyStart({ group, task }, link, result);
  }

  function applyStart(placed: PlacedTask, link: WorkerLink, result: StartResult): void {
    const { group, task } = placed;
    if (task.phase !== TaskPhase.Starting && task.phase !== TaskPhase.Stopping) return;
    if (result.outcome === StartOutcome.Undecided) {
      const { windowEndMs } = result;
      const sentAtMs = observedRuns.get(task)?.sentAtMs;
      const known = {
        confirmedClockMs: 0,
        windowEndMs,
        ...(sentAtMs === undefined ? {} : { sentAtMs }),
      };
      observedRuns.set(task, createObservedRun(task.run, known));
      link.requestReport();
      return;
    }
    if (result.outcome === StartOutcome.NotStarted) {
      handleRefusal(link, result.reason);
      lifecycle.dropRun(placed);
      return;
    }
    lifecycle.recordRunning(task, result.clockMs);
    context.tickets.recordStart(group);
    if (task.phase === TaskPhase.Starting) {
      task.phase = TaskPhase.Running;
      task.startedAtMs = clock.getNowMs();
    }
    // Another member of the gang was refused or ended during this start.
    if (group.spec.isGang && group.tasks.some(({ phase }) => phase === TaskPhase.Waiting)) {
      lifecycle.stopGang(group, 'gang incomplete');
    }
  }

  /**
   * Records that a start attempt got no answer. The record outlives the run, since an older attempt
   * may also take effect in the worker's next incarnation.
   */
  function recordUnansweredStart(placed: PlacedTask, workerId: string): void {
    const { task } = placed;
    const expiresAtMs = clock.getNowMs() + maxOrderDelayMs;
    const expiries = context.unansweredStarts.get(task) ?? new Map<string, number>();
    expiries.set(workerId, expiresAtMs);
    context.unansweredStarts.set(task, expiries);
    context.losses.recordUnansweredStart(placed, workerId, expiresAtMs);
  }

  function handleRefusal(link: WorkerLink, reason: RefusalReason): void {
    metrics.count('orders.refused', 1, { reason });
    const nowMs = clock.getNowMs();
    if (reason === RefusalReason.Unhealthy) startBackoffs.set(link.id, nowMs + unhealthyBackoffMs);
    else if (reason === RefusalReason.NoRoom) startBackoffs.set(link.id, nowMs + refusalBackoffMs);
    link.requestReport();
  }

  return { limitStarts, startAll };
}
