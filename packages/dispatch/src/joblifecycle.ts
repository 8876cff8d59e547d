import {
  EndEffect,
  JobState,
  RunEnd,
  TaskPhase,
  isCulprit,
  isFinal,
  recordEnd,
} from '@bergamotreach/scheduling';
import type { PlacedTask, Task, TaskGroup } from '@bergamotreach/scheduling';
import { runContained } from '@bergamotreach/protocol';
import { countOccupying, encodeHead } from './activejobs.ts';
import type { ActiveJob } from './activejobs.ts';
import {
  createStateRow,
  encodeRow,
  formatHeadName,
  getCrashKey,
  getProgressKey,
  getStateKey,
} from './jobrows.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { createObservedRun } from './observedrun.ts';
import { encodeProgress, listGroupRows } from './progressrows.ts';

/** State changes of jobs and tasks, together with the rows to write and the orders to send. */
export interface JobLifecycle {
  findJob(group: TaskGroup): ActiveJob | undefined;
  /** Queues a write of the progress of some tasks of a group; of all if absent. */
  writeGroup(group: TaskGroup, tasks?: readonly Task[]): void;
  /** Queues a write of runs to be started, conditional on an unchanged job state. */
  writeStarts(group: TaskGroup, tasks: readonly Task[]): void;
  /** Queues a write of the head of a job. */
  writeHead(job: ActiveJob): void;
  /** Stops starting tasks of a job of which the store refuses a row. */
  holdJob(jobId: string, key: string, reason: string): void;
  /** Queues a write of a job's state. */
  writeState(job: ActiveJob): void;
  finishJob(job: ActiveJob, state: JobState, reason: string): void;
  /** Removes a job if it is final and none of its tasks occupies a worker. */
  removeFinalJob(job: ActiveJob): void;
  stopJob(job: ActiveJob, reason: string): void;
  stopTask(placed: PlacedTask, reason: string): void;
  stopGang(group: TaskGroup, reason: string): void;
  /** Updates the job after one of its runs has ended. */
  applyEnd(placed: PlacedTask, effect: EndEffect): void;
  /** Gives up a run that never began or is gone; its task waits for the next run. */
  dropRun(placed: PlacedTask): void;
  /** Records that a worker confirmed the latest run of a task. */
  recordRunning(task: Task, confirmedClockMs: number): void;
}

/** Why a job is given up whose task crashed several workers. */
export const crashReason = 'a task crashes its workers';

/** Creates the part of an owner that changes the state of jobs. */
export function createJobLifecycle(context: OwnerContext): JobLifecycle {
  const { activeJobs, journal, stops, observedRuns } = context;
  const { logger, metrics, getWallMs, table } = context.options;
  const maxRowBytes = table.getLimits().rowBytes;

  function findJob(group: TaskGroup): ActiveJob | undefined {
    return activeJobs.find(group.job.id);
  }

  function writeRows(group: TaskGroup, tasks: readonly Task[], guardKey?: string): void {
    const wasChunked = group.isChunked;
    const { rows, omitted } = encodeProgress(group, tasks, maxRowBytes);
    const job = findJob(group);
    // Versions without heads would start the tasks of the chunks again.
    if (job !== undefined && group.isChunked && (!wasChunked || !job.hasHead)) writeHead(job);
    for (const { key, value } of rows) {
      journal.write(getProgressKey(key), encodeRow(value), guardKey);
    }
    if (omitted === 0) return;
    metrics.count('checkpoints.omitted', omitted);
    logger.warn('checkpoints_not_stored', { group: group.key, checkpoints: omitted });
  }

  function writeGroup(group: TaskGroup, tasks: readonly Task[] = group.tasks): void {
    writeRows(group, tasks);
  }

  function writeHead(job: ActiveJob): void {
    job.hasHead = true;
    const name = formatHeadName(job.submission.id);
    journal.write(getProgressKey(name), encodeRow(encodeHead(job)));
  }

  function holdJob(jobId: string, key: string, reason: string): void {
    const job = activeJobs.find(jobId);
    if (job?.isHeld === true) return;
    metrics.count('jobs.held');
    logger.error('job_held', { job: jobId, row: key, reason, state: job?.state });
    if (job !== undefined) job.isHeld = true;
  }

  /** The rows of an occurrence are removed once the head that calls it done is stored. */
  async function closeOccurrence(job: ActiveJob, occurrence: number): Promise<void> {
    const names = [...job.groups.values()]
      .filter((group) => group.occurrence === occurrence)
      .flatMap((group) => [group.key, ...listGroupRows(group, group.tasks)]);
    activeJobs.closeOccurrence(job, occurrence);
    context.tickets.dropJob(`${job.submission.id}.${occurrence}`);
    if (!job.hasHead) return;
    writeHead(job);
    const headKey = getProgressKey(formatHeadName(job.submission.id));
    if ((await journal.flushRow(headKey)) === undefined) return;
    for (const name of names) {
      journal.remove(getProgressKey(name));
      journal.remove(getCrashKey(name));
    }
    await journal.flush();
  }

  /**
   * The replica of the job states may not show a cancellation yet, so the store checks the state
   * that the plan relied on.
   */
  function writeStarts(group: TaskGroup, tasks: readonly Task[]): void {
    writeRows(group, tasks, getStateKey(group.job.id));
  }

  function writeState(job: ActiveJob): void {
    const row = createStateRow(job.submission, job.state, getWallMs());
    journal.write(getStateKey(job.submission.id), encodeRow(row));
  }

  function finishJob(job: ActiveJob, state: JobState, reason: string): void {
    job.state = state;
    writeState(job);
    logger.info('job_ended', {
      job: job.submission.id,
      state,
      reason,
      ageMs: Math.round(getWallMs() - job.acceptedAtMs),
    });
    metrics.count('jobs.ended', 1, { state });
    metrics.reportTiming('jobs.duration', getWallMs() - job.acceptedAtMs);
    stopJob(job, reason);
    void journal.flush().then(() => {
      removeFinalJob(job);
    });
  }

  function removeFinalJob(job: ActiveJob): void {
    if (!isFinal(job.state) || countOccupying(job) > 0) return;
    activeJobs.remove(job.submission.id);
    context.tickets.dropJob(job.submission.id);
  }

  function stopJob(job: ActiveJob, reason: string): void {
    for (const group of job.groups.values()) {
      for (const task of group.tasks) stopTask({ group, task }, reason);
    }
  }

  function stopTask(placed: PlacedTask, reason: string): void {
    const { group, task } = placed;
    if (task.phase !== TaskPhase.Running && task.phase !== TaskPhase.Starting) return;
    task.phase = TaskPhase.Stopping;
    const { run } = task;
    const link = context.fleet.find(task.workerId);
    logger.info('task_stopped', {
      task: getTaskName(group, task),
      run,
      worker: task.workerId,
      reason,
      workerState: link?.getState() ?? 'unknown',
    });
    metrics.count('tasks.stopped');
    // Without a link, the run is stopped once the worker's first report lists it.
    if (link !== undefined) stops.stopRun(link, { task: getTaskName(group, task), run });
  }

  function applyEnd({ group, task }: PlacedTask, effect: EndEffect): void {
    const job = findJob(group);
    // The end of one member is that of the gang.
    writeGroup(group, group.spec.isGang ? group.tasks : [task]);
    if (job === undefined) return;
    if (isFinal(job.state)) {
      removeFinalJob(job);
      return;
    }
    if (effect === EndEffect.Exhausted) {
      finishJob(job, JobState.Failed, 'no attempts left');
      return;
    }
    const isEnded = effect === EndEffect.Done;
    if (isEnded && activeJobs.isComplete(job)) {
      finishJob(job, JobState.Completed, 'all tasks done');
    } else if (isEnded && activeJobs.isOccurrenceDone(job, group.occurrence)) {
      void runContained(logger, 'occurrence', () => closeOccurrence(job, group.occurrence));
    }
    if (group.spec.isGang && task.phase === TaskPhase.Waiting) stopGang(group, 'gang member ended');
  }

  function stopGang(group: TaskGroup, reason: string): void {
    for (const task of group.tasks) stopTask({ group, task }, reason);
  }

  function dropRun(placed: PlacedTask): void {
    const { group, task } = placed;
    // Stored before the progress, which lets the task start again.
    context.losses.countLoss(placed);
    observedRuns.delete(task);
    const effect = recordEnd(group, task, task.run, RunEnd.LeaseExpired, '');
    if (effect !== EndEffect.Stale) applyEnd(placed, effect);
    if (task.phase === TaskPhase.Waiting && isCulprit(task)) endCulpritJob(group);
    context.requestPlan();
  }

  function endCulpritJob(group: TaskGroup): void {
    const job = findJob(group);
    if (job === undefined || isFinal(job.state)) return;
    finishJob(job, JobState.Failed, crashReason);
  }

  function recordRunning(task: Task, confirmedClockMs: number): void {
    observedRuns.set(task, createObservedRun(task.run, { confirmedClockMs }));
  }

  return {
    findJob,
    writeGroup,
    writeStarts,
    writeHead,
    holdJob,
    writeState,
    finishJob,
    removeFinalJob,
    stopJob,
    stopTask,
    stopGang,
    applyEnd,
    dropRun,
    recordRunning,
  };
}
