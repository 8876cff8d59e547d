import { runContained } from '@bergamotreach/protocol';
import { JobState, TaskPhase, getLatestRun, isFinal, isOccupying } from '@bergamotreach/scheduling';
import type { PlacedTask, PlannedStart, Task, TaskGroup } from '@bergamotreach/scheduling';
import type { JobLife } from './joblife.ts';
import { getProgressKey } from './jobrows.ts';
import { StartFate } from './orders.ts';
import type { StartResult } from './orders.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { createRunWatch, lateOrderMs } from './runwatch.ts';
import { RefusalReason } from './taskrunner.ts';
import type { WorkerLink } from './workerlink.ts';

/** Carries out planned starts. */
export interface Starter {
  startAll(starts: readonly PlannedStart[]): Promise<void>;
}

/** A run whose start waits for the store. */
interface MarkedRun extends PlacedTask {
  run: number;
  workerId: string;
}

/** Age of the known state up to which a start is sent; the users bound starts after a cancel at 3 s. */
const maxStateAgeMs = 2500;
/** How long a worker that refused a start for want of room gets no further one. */
const refusalPauseMs = 400;
const unhealthyPauseMs = 2000;

/** Creates the part of an owner that starts runs. */
export function createStarter(context: OwnerContext, life: JobLife): Starter {
  const { journal, orders, watches, paused } = context;
  const { clock, logger, metrics } = context.options;

  /** Stores the runs before they are started, so that any later owner knows where to look. */
  async function startAll(starts: readonly PlannedStart[]): Promise<void> {
    const marked = starts.map((start) => ({ group: start.group, runs: markStart(start) }));
    await Promise.all(marked.map(({ group, runs }) => startStored(group, runs)));
  }

  /** Does not wait for the other commits of a plan: a cancel could come meanwhile. */
  async function startStored(group: TaskGroup, runs: readonly MarkedRun[]): Promise<void> {
    const shownMs = await journal.flushRow(getProgressKey(group.key));
    if (shownMs === undefined) return;
    for (const one of runs) void runContained(logger, 'start', () => startTask(one, shownMs));
  }

  function markStart({ group, placements }: PlannedStart): MarkedRun[] {
    const gangRun = getLatestRun(group) + 1;
    for (const { task, workerId } of placements) {
      task.run = group.spec.isGang ? gangRun : task.run + 1;
      task.workerId = workerId;
      task.phase = TaskPhase.Starting;
      task.startedAtMs = 0;
      // Until the order is sent no report can tell anything about the run.
      watches.set(task, createRunWatch(task.run));
    }
    life.writeStarts(group);
    const job = life.findJob(group);
    if (job?.state === JobState.Queued) {
      job.state = JobState.Running;
      life.writeState(job);
    }
    return placements.map(({ task, workerId }) => ({ group, task, run: task.run, workerId }));
  }

  async function startTask(
    { group, task, run, workerId }: MarkedRun,
    shownMs: number,
  ): Promise<void> {
    // Given up while it was being stored; a later run has a start of its own.
    if (task.run !== run) return;
    const link = context.fleet.find(workerId);
    const isWanted = (): boolean =>
      !context.isStopped() &&
      task.run === run &&
      task.phase === TaskPhase.Starting &&
      link?.getEntry().isDraining === false &&
      clock.getNowMs() - shownMs <= maxStateAgeMs;
    const isCancelled = isFinal(life.findJob(group)?.state ?? JobState.Cancelled);
    if (link === undefined || isCancelled || !isWanted()) {
      if (isOccupying(task)) life.dropRun({ group, task });
      return;
    }
    const name = { task: getTaskName(group, task), run };
    const sentMs = clock.getNowMs();
    const stateAgeMs = Math.round(context.options.states.getAgeMs());
    const ticket = context.tickets.findTicket(group, workerId);
    if (ticket === undefined && group.allowedWorkers !== undefined) {
      life.dropRun({ group, task });
      return;
    }
    const { payload } = group.job;
    const { checkpoint } = task;
    const input = { payload, checkpoint, isWanted, ...(ticket === undefined ? {} : { ticket }) };
    const result = await orders.start(link, name, input);
    if (result.hasLostCopy) noteLateCopy(task, workerId);
    if (result.reason === RefusalReason.BadTicket) context.tickets.dropTicket(group, workerId);
    metrics.reportTiming('orders.start', clock.getNowMs() - sentMs);
    logger.info('start_sent', {
      task: name.task,
      run,
      worker: workerId,
      fate: result.fate,
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
    if (result.fate === StartFate.Undecided) {
      const { windowUntilMs } = result;
      watches.set(task, createRunWatch(task.run, { confirmedClockMs: 0, windowUntilMs }));
      link.hurry();
      return;
    }
    if (result.fate === StartFate.NotStarted) {
      noteRefusal(link, result.reason);
      life.dropRun(placed);
      return;
    }
    life.noteRunning(task, result.clockMs);
    if (task.phase === TaskPhase.Starting) {
      task.phase = TaskPhase.Running;
      task.startedAtMs = clock.getNowMs();
    }
    // A member of the gang was refused or ended while this one was being started.
    if (group.spec.isGang && group.tasks.some(({ phase }) => phase === TaskPhase.Waiting)) {
      life.stopGang(group, 'gang incomplete');
    }
  }

  /** Remembered beyond the run: also an older copy may begin in the worker's next life. */
  function noteLateCopy(task: Task, workerId: string): void {
    const copies = context.lateCopies.get(task) ?? new Map<string, number>();
    copies.set(workerId, clock.getNowMs() + lateOrderMs);
    context.lateCopies.set(task, copies);
  }

  function noteRefusal(link: WorkerLink, reason: RefusalReason): void {
    metrics.count('orders.refused', 1, { reason });
    const nowMs = clock.getNowMs();
    if (reason === RefusalReason.Unhealthy) paused.set(link.id, nowMs + unhealthyPauseMs);
    else if (reason === RefusalReason.NoRoom) paused.set(link.id, nowMs + refusalPauseMs);
    link.hurry();
  }

  return { startAll };
}
