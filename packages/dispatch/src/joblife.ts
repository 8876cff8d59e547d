import {
  EndEffect,
  JobState,
  RunEnd,
  TaskPhase,
  encodeGroup,
  isFinal,
  noteEnd,
} from '@bergamotreach/scheduling';
import type { PlacedTask, Task, TaskGroup } from '@bergamotreach/scheduling';
import { countOccupying } from './jobbook.ts';
import type { LiveJob } from './jobbook.ts';
import { createStateRow, encodeRow, getProgressKey, getStateKey } from './jobrows.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { createRunWatch } from './runwatch.ts';

/** Changes of jobs and their tasks, each with its rows and orders. */
export interface JobLife {
  findJob(group: TaskGroup): LiveJob | undefined;
  /** Plans to store the progress of a group. */
  writeGroup(group: TaskGroup): void;
  /** Plans to store runs that are to be started, on condition that the job's state is unchanged. */
  writeStarts(group: TaskGroup): void;
  /** Plans to store the state of a job. */
  writeState(job: LiveJob): void;
  finishJob(job: LiveJob, state: JobState, reason: string): void;
  /** Forgets a final job once none of its tasks holds room. */
  releaseJob(job: LiveJob): void;
  stopJob(job: LiveJob, reason: string): void;
  stopTask(placed: PlacedTask, reason: string): void;
  stopGang(group: TaskGroup, reason: string): void;
  /** Draws the conclusions of an end for the job. */
  settleEnd(placed: PlacedTask, effect: EndEffect): void;
  /** Gives up a run that has not begun or is gone; its task waits for the next one. */
  dropRun(placed: PlacedTask): void;
  /** Notes that a worker confirmed the latest run of a task. */
  noteRunning(task: Task, confirmedClockMs: number): void;
}

/** Creates the part of an owner that changes jobs. */
export function createJobLife(context: OwnerContext): JobLife {
  const { book, journal, stops, watches } = context;
  const { logger, metrics, getWallMs } = context.options;

  function findJob(group: TaskGroup): LiveJob | undefined {
    return book.find(group.job.id);
  }

  function writeGroup(group: TaskGroup): void {
    journal.write(getProgressKey(group.key), encodeRow(encodeGroup(group)));
  }

  /** The copy of the states may lag behind a cancel, so the store checks the state that a plan was made on. */
  function writeStarts(group: TaskGroup): void {
    const stateKey = getStateKey(group.job.id);
    journal.write(getProgressKey(group.key), encodeRow(encodeGroup(group)), stateKey);
  }

  function writeState(job: LiveJob): void {
    const row = createStateRow(job.submission, job.state, getWallMs());
    journal.write(getStateKey(job.submission.id), encodeRow(row));
  }

  function finishJob(job: LiveJob, state: JobState, reason: string): void {
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
      releaseJob(job);
    });
  }

  function releaseJob(job: LiveJob): void {
    if (!isFinal(job.state) || countOccupying(job) > 0) return;
    book.remove(job.submission.id);
    context.tickets.dropJob(job.submission.id);
  }

  function stopJob(job: LiveJob, reason: string): void {
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
    // Without a link the worker's first report lists the run, and the stop follows.
    if (link !== undefined) stops.stopRun(link, { task: getTaskName(group, task), run });
  }

  function settleEnd({ group, task }: PlacedTask, effect: EndEffect): void {
    const job = findJob(group);
    writeGroup(group);
    if (job === undefined) return;
    if (isFinal(job.state)) {
      releaseJob(job);
      return;
    }
    if (effect === EndEffect.Exhausted) {
      finishJob(job, JobState.Failed, 'attempts used up');
      return;
    }
    if (effect === EndEffect.Done && book.isComplete(job)) {
      finishJob(job, JobState.Completed, 'all tasks done');
    }
    if (group.spec.isGang && task.phase === TaskPhase.Waiting) stopGang(group, 'gang broken');
  }

  function stopGang(group: TaskGroup, reason: string): void {
    for (const task of group.tasks) stopTask({ group, task }, reason);
  }

  function dropRun(placed: PlacedTask): void {
    const { group, task } = placed;
    watches.delete(task);
    const effect = noteEnd(group, task, task.run, RunEnd.Lapsed, '');
    if (effect !== EndEffect.Stale) settleEnd(placed, effect);
    context.planSoon();
  }

  function noteRunning(task: Task, confirmedClockMs: number): void {
    watches.set(task, createRunWatch(task.run, { confirmedClockMs }));
  }

  return {
    findJob,
    writeGroup,
    writeStarts,
    writeState,
    finishJob,
    releaseJob,
    stopJob,
    stopTask,
    stopGang,
    settleEnd,
    dropRun,
    noteRunning,
  };
}
