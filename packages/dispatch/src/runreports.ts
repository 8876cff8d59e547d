import {
  EndEffect,
  RunEnd,
  TaskPhase,
  addResources,
  getCoreEquivalent,
  isFinal,
  isGroupDone,
  setCheckpoint,
  recordEnd,
  recordProgress,
  parseTaskName,
} from '@bergamotreach/scheduling';
import type { PlacedTask, Resources, Task, TaskGroup } from '@bergamotreach/scheduling';
import { waitFor } from '@bergamotreach/protocol';
import type { HeldRuns } from './heldruns.ts';
import type { JobLifecycle } from './joblifecycle.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import type { EndedRun, RunStatus, WorkerReport } from './taskrunner.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Handles the reports of workers about their runs. */
export interface RunReports {
  /** Resolves with the number of the last ended run that is stored; 0 if there is none. */
  handleReport(link: WorkerLink, report: WorkerReport): Promise<number>;
  /** Handles the reports that arrived while the jobs were being loaded. */
  handleDeferred(): void;
}

/** A run that this many consecutive reports do not list is gone. */
const maxMissedReports = 2;
/**
 * A list of ends may be cut by its size, so a run of an earlier owner that is missing from it may have ended. It is
 * gone at the first report without ends, or after this many with ends, each of which follows the
 * acknowledgement of the one before.
 */
const maxReportsWithEnds = 5;
/**
 * How long after a takeover an end of a job that is not adopted stays unacknowledged: longer than the
 * feed of jobs lags. Later, the row of such a job is unreadable.
 */
const maxUnknownJobMs = 15_000;
const unknownJobRetryMs = 250;
const msPerSecond = 1000;
const percentPerShare = 100;
/** Entries of one worker that cannot be read and are logged. */
const maxReportedEntries = 20;

/** Creates the part of an owner that handles worker reports. */
export function createRunReports(
  context: OwnerContext,
  lifecycle: JobLifecycle,
  heldRuns: HeldRuns,
): RunReports {
  const { activeJobs, journal, stops, workerHealth, observedRuns, orphanUsage } = context;
  const { observesRuns, placesBySpeed } = context.options.policy;
  const { clock, logger, metrics } = context.options;

  /** The latest report of each worker that arrived before the jobs were loaded. */
  const deferredReports = new Map<WorkerLink, WorkerReport>();
  const createdMs = clock.getNowMs();
  /** Entries that were logged, by worker. */
  const reportedEntries = new WeakMap<WorkerLink, Set<string>>();
  /** Reports with ends that did not list a run of an earlier owner, by task. */
  const reportsWithEnds = new WeakMap<Task, number>();

  async function handleReport(link: WorkerLink, report: WorkerReport): Promise<number> {
    if (!context.isLoaded()) {
      deferredReports.set(link, report);
      return 0;
    }
    const lastSequence = handleEnds(link, report);
    heldRuns.handleReport(link, report);
    checkRuns(link, report);
    if (report.ends.length === 0) return 0;
    context.requestPlan();
    const isStored = await journal.flush();
    // The worker lists ends that are not acknowledged again at once.
    if (lastSequence === 0) await waitFor(clock, unknownJobRetryMs);
    return isStored ? lastSequence : 0;
  }

  /** Applies the ends of a report; returns the number of the last one that may be acknowledged. */
  function handleEnds(link: WorkerLink, { ends, hasMoreEnds }: WorkerReport): number {
    let lastSequence = 0;
    let isComplete = true;
    for (const ended of [...ends].sort((a, b) => a.sequence - b.sequence)) {
      if (isOfUnknownJob(ended)) {
        logger.warn('end_of_unknown_job', {
          task: ended.task,
          run: ended.run,
          worker: link.id,
          sequence: ended.sequence,
        });
        isComplete = false;
        continue;
      }
      handleEnd(link, ended);
      // A later owner may be able to store it. A full list must go on, since it hides the ends of other jobs.
      if (isOfHeldJob(ended) && hasMoreEnds !== true) isComplete = false;
      if (isComplete) lastSequence = ended.sequence;
    }
    return lastSequence;
  }

  /**
   * Whether the job of an ended run has not ended and is not adopted yet. Acknowledging such an end
   * would lose it, and the task would run again once the job is adopted.
   */
  function isOfUnknownJob({ task }: EndedRun): boolean {
    const jobId = parseTaskName(task)?.jobId;
    if (jobId === undefined || activeJobs.find(jobId) !== undefined) return false;
    if (clock.getNowMs() - createdMs > maxUnknownJobMs) return false;
    const state = context.options.states.find(jobId)?.state;
    return state !== undefined && !isFinal(state);
  }

  function isOfHeldJob({ task }: EndedRun): boolean {
    const job = activeJobs.find(parseTaskName(task)?.jobId ?? '');
    return job?.isHeld === true && !isFinal(job.state);
  }

  /**
   * Work lost with a run, in core-seconds; `undefined` if its run time is unknown or nothing is
   * lost.
   */
  function getLostWork(
    { spec }: TaskGroup,
    { end, checkpoint }: EndedRun,
    ranMs: number | undefined,
  ): number | undefined {
    if (ranMs === undefined || end === RunEnd.Done || checkpoint !== '') return undefined;
    return Math.round((getCoreEquivalent(spec.demand) * ranMs) / msPerSecond);
  }

  function handleEnd(link: WorkerLink, ended: EndedRun): void {
    const placed = activeJobs.findTask(ended.task);
    if (placed === undefined) return;
    const { group, task } = placed;
    const ranMs =
      task.startedAtMs > 0 ? Math.round(clock.getNowMs() - task.startedAtMs) : undefined;
    const effect = recordEnd(group, task, ended.run, ended.end, ended.checkpoint);
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
    if (effect === EndEffect.Superseded) {
      lifecycle.writeGroup(group, [task]);
      lifecycle.stopTask(placed, 'earlier run completed');
      return;
    }
    observedRuns.delete(task);
    if (ended.end === RunEnd.Done) workerHealth.recordSuccess(link.id);
    // A resumed run shows only a part of the run time.
    if (ended.end === RunEnd.Done && ranMs !== undefined && ended.run === 1) {
      if (observesRuns) context.runTimes.record(group.job, group.spec, ranMs, clock.getNowMs());
      if (placesBySpeed) context.workerSpeeds.record(group, link.getEntry().address, ranMs);
    }
    if (placesBySpeed && isGroupDone(group)) {
      context.workerSpeeds.learn(group, clock.getNowMs());
    }
    if (ended.end === RunEnd.Failed)
      workerHealth.recordFailure(link.id, group.key, clock.getNowMs());
    lifecycle.applyEnd(placed, effect);
  }

  function checkRuns(link: WorkerLink, report: WorkerReport): void {
    reportSkipped(link, report);
    const running = new Map(report.runs.map((run) => [`${run.task}/${run.run}`, run]));
    const orphanResources: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { group, task } of activeJobs.listOnWorker(link.id)) {
      const key = `${getTaskName(group, task)}/${task.run}`;
      const status = running.get(key);
      running.delete(key);
      if (status !== undefined) handlePresent(link, { group, task }, status, report.clockMs);
      else if (report.hasMoreEnds !== true && !isUnclear(report, getTaskName(group, task))) {
        handleAbsent(link, { group, task }, report);
      }
    }
    stops.setOrphans(link, [...running.values()]);
    for (const run of running.values()) stopOrphan(link, run, orphanResources);
    orphanUsage.set(link.id, orphanResources);
  }

  /** Whether an entry that cannot be read may be that of a task; the task must not start again then. */
  function isUnclear({ skippedEntries = [] }: WorkerReport, name: string): boolean {
    return skippedEntries.some(({ isRun, task = name }) => isRun && task === name);
  }

  /** Logs the parts of a report that cannot be read, once each. */
  function reportSkipped(link: WorkerLink, { skippedEntries = [] }: WorkerReport): void {
    const reported = reportedEntries.get(link) ?? new Set<string>();
    for (const { reason, task } of skippedEntries) {
      const key = `${task ?? ''} ${reason}`;
      if (reported.has(key) || reported.size >= maxReportedEntries) continue;
      reportedEntries.set(link, reported.add(key));
      logger.warn('report_entry_skipped', { worker: link.id, task, reason });
    }
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
      lifecycle.recordRunning(task, clockMs);
      logger.info('run_found', { task: status.task, run: status.run, worker: link.id });
    }
    // The stop may have been decided while there was no link to the worker.
    if (task.phase === TaskPhase.Stopping) {
      stops.stopRun(link, { task: status.task, run: status.run });
    }
    if (observesRuns) {
      recordProgress(task, status.percent / percentPerShare, clock.getNowMs());
    }
    const observed = observedRuns.get(task);
    if (observed !== undefined) Object.assign(observed, { missedReports: 0, isListed: true });
    if (status.checkpoint !== '' && status.checkpoint !== task.checkpoint) {
      setCheckpoint(group, task, status.checkpoint);
    }
  }

  /** Handles a run that its worker does not list: it has not begun, or it is gone. */
  function handleAbsent(link: WorkerLink, placed: PlacedTask, report: WorkerReport): void {
    const { group, task } = placed;
    const { clockMs } = report;
    const observed = observedRuns.get(task);
    const isRestored = observed === undefined;
    if (isRestored && canEndFollow(task, report)) return;
    if (observed?.run === task.run) {
      // A start in flight is decided by its own answer, and a report may be older than the
      // confirmation.
      if (observed.windowEndMs === 0 && observed.confirmedClockMs >= clockMs) return;
      if (observed.windowEndMs > 0 && observed.windowEndMs >= clockMs) return;
      observed.missedReports += 1;
      if (observed.windowEndMs === 0 && observed.missedReports < maxMissedReports) return;
    }
    logger.info('run_absent', {
      task: getTaskName(group, task),
      run: task.run,
      worker: link.id,
      phase: task.phase,
      clockMs,
      isRestored,
    });
    lifecycle.dropRun(placed);
  }

  /** Whether the end of a run of an earlier owner may follow the ends of a report that does not list it. */
  function canEndFollow(task: Task, { ends }: WorkerReport): boolean {
    if (ends.length === 0) return false;
    const count = (reportsWithEnds.get(task) ?? 0) + 1;
    reportsWithEnds.set(task, count);
    return count < maxReportsWithEnds;
  }

  /** Stops a run that no job wants: its job has ended, or a newer run of the task exists. */
  function stopOrphan(link: WorkerLink, run: RunStatus, total: Resources): void {
    // The demand of a task whose row was removed is unknown, so assume the whole worker.
    addResources(total, context.findDemand(run.task) ?? link.getEntry().capacity);
    if (!stops.stopRun(link, { task: run.task, run: run.run })) return;
    const jobId = parseTaskName(run.task)?.jobId;
    const jobState = jobId === undefined ? undefined : context.options.states.find(jobId)?.state;
    logger.info('stray_stopped', { task: run.task, run: run.run, worker: link.id, jobState });
  }

  return {
    handleReport,
    handleDeferred() {
      // Ended runs in these reports were not acknowledged, so the workers will report them again.
      for (const [link, report] of deferredReports) {
        if (link.getState() !== LinkState.Lapsed) void handleReport(link, report);
        // Nothing runs there any more, but what had ended before the worker left stays ended.
        else handleEnds(link, report);
      }
      deferredReports.clear();
    },
  };
}
