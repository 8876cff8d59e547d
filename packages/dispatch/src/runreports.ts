import {
  EndEffect,
  RunEnd,
  TaskPhase,
  addResources,
  getCoreEquivalent,
  keepCheckpoint,
  noteEnd,
  parseTaskName,
} from '@bergamotreach/scheduling';
import type { PlacedTask, Resources, TaskGroup } from '@bergamotreach/scheduling';
import type { HeldRuns } from './heldruns.ts';
import type { JobLife } from './joblife.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import type { EndedRun, RunStatus, WorkerReport } from './taskrunner.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Takes in what workers say of their runs. */
export interface RunReports {
  /** Resolves with the number of the last end that is stored; 0 when none is. */
  handleReport(link: WorkerLink, report: WorkerReport): Promise<number>;
  /** Takes in what workers said while the jobs were being loaded. */
  handleEarly(): void;
}

/** A run that is missing from this many reports after its start is gone. */
const maxMissedReports = 2;
const msPerSecond = 1000;

/** Creates the part of an owner that reads reports. */
export function createRunReports(
  context: OwnerContext,
  life: JobLife,
  heldRuns: HeldRuns,
): RunReports {
  const { book, journal, stops, trust, watches, strayRoom } = context;
  const { clock, logger, metrics } = context.options;

  /** The latest report of each worker that came before the jobs were loaded. */
  const early = new Map<WorkerLink, WorkerReport>();

  async function handleReport(link: WorkerLink, report: WorkerReport): Promise<number> {
    if (!context.isLoaded()) {
      early.set(link, report);
      return 0;
    }
    let lastSequence = 0;
    let hasEnds = false;
    for (const ended of [...report.ends].sort((a, b) => a.sequence - b.sequence)) {
      lastSequence = Math.max(lastSequence, ended.sequence);
      hasEnds = true;
      handleEnd(link, ended);
    }
    heldRuns.noteReport(link, report);
    checkRuns(link, report);
    if (!hasEnds) return 0;
    context.planSoon();
    const isStored = await journal.flush();
    return isStored ? lastSequence : 0;
  }

  /** Work in core-seconds that a run has lost; absent when it is not known how long it ran. */
  function getLostWork(
    { spec }: TaskGroup,
    { end, checkpoint }: EndedRun,
    ranMs: number | undefined,
  ): number | undefined {
    if (ranMs === undefined || end === RunEnd.Done || checkpoint !== '') return undefined;
    return Math.round((getCoreEquivalent(spec.demand) * ranMs) / msPerSecond);
  }

  function handleEnd(link: WorkerLink, ended: EndedRun): void {
    const placed = book.findTask(ended.task);
    if (placed === undefined) return;
    const { group, task } = placed;
    const ranMs =
      task.startedAtMs > 0 ? Math.round(clock.getNowMs() - task.startedAtMs) : undefined;
    const effect = noteEnd(group, task, ended.run, ended.end, ended.checkpoint);
    logger.info('run_ended', {
      task: ended.task,
      run: ended.run,
      worker: link.id,
      end: ended.end,
      effect,
      sequence: ended.sequence,
      failures: task.failures,
      ranMs,
      estimatedMs: group.spec.estimatedMs,
      lostCoreSeconds: getLostWork(group, ended, ranMs),
    });
    metrics.count('runs.ended', 1, { end: ended.end });
    if (effect === EndEffect.Stale) return;
    if (effect === EndEffect.Settled) {
      life.writeGroup(group);
      life.stopTask(placed, 'an earlier run was done');
      return;
    }
    watches.delete(task);
    if (ended.end === RunEnd.Done) trust.noteDone(link.id);
    if (ended.end === RunEnd.Failed) trust.noteFailure(link.id, group.key, clock.getNowMs());
    life.settleEnd(placed, effect);
  }

  function checkRuns(link: WorkerLink, report: WorkerReport): void {
    const running = new Map(report.runs.map((run) => [`${run.task}/${run.run}`, run]));
    const stray: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { group, task } of book.listOnWorker(link.id)) {
      const key = `${getTaskName(group, task)}/${task.run}`;
      const status = running.get(key);
      running.delete(key);
      if (status === undefined) handleAbsent(link, { group, task }, report.clockMs);
      else handlePresent(link, { group, task }, status, report.clockMs);
    }
    stops.noteStrays(link, [...running.values()]);
    for (const run of running.values()) stopStray(link, run, stray);
    strayRoom.set(link.id, stray);
  }

  function handlePresent(
    link: WorkerLink,
    { group, task }: PlacedTask,
    status: RunStatus,
    clockMs: number,
  ): void {
    if (task.phase === TaskPhase.Starting) {
      task.phase = TaskPhase.Running;
      task.startedAtMs = clock.getNowMs();
      life.noteRunning(task, clockMs);
      logger.info('run_found', { task: status.task, run: status.run, worker: link.id });
    }
    // The stop may have been decided while there was no link to the worker.
    if (task.phase === TaskPhase.Stopping) {
      stops.stopRun(link, { task: status.task, run: status.run });
    }
    const watch = watches.get(task);
    if (watch !== undefined) Object.assign(watch, { missedReports: 0, isListed: true });
    if (status.checkpoint !== '' && status.checkpoint !== task.checkpoint) {
      keepCheckpoint(group, task, status.checkpoint);
    }
  }

  /** A run that its worker does not list has not begun, or is gone. */
  function handleAbsent(link: WorkerLink, placed: PlacedTask, clockMs: number): void {
    const { group, task } = placed;
    const watch = watches.get(task);
    const isRestored = watch === undefined;
    if (watch?.run === task.run) {
      // Orders under way decide their own fate, and answers may overtake each other.
      if (watch.windowUntilMs === 0 && watch.confirmedClockMs >= clockMs) return;
      if (watch.windowUntilMs > 0 && watch.windowUntilMs >= clockMs) return;
      watch.missedReports += 1;
      if (watch.windowUntilMs === 0 && watch.missedReports < maxMissedReports) return;
    }
    logger.info('run_absent', {
      task: getTaskName(group, task),
      run: task.run,
      worker: link.id,
      phase: task.phase,
      clockMs,
      isRestored,
    });
    life.dropRun(placed);
  }

  /** A run that no job wants: of a job that ended, or older than the current run. */
  function stopStray(link: WorkerLink, run: RunStatus, room: Resources): void {
    // Nothing is known of a task whose row was removed, so it may take the whole worker.
    addResources(room, context.findDemand(run.task) ?? link.getEntry().capacity);
    if (!stops.stopRun(link, { task: run.task, run: run.run })) return;
    const jobId = parseTaskName(run.task)?.jobId;
    const jobState = jobId === undefined ? undefined : context.options.states.find(jobId)?.state;
    logger.info('stray_stopped', { task: run.task, run: run.run, worker: link.id, jobState });
  }

  return {
    handleReport,
    handleEarly() {
      // Their ends are not acknowledged, so that they are listed again.
      for (const [link, report] of early) {
        if (link.getState() !== LinkState.Lapsed) void handleReport(link, report);
      }
      early.clear();
    },
  };
}
