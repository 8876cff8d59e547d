import type { RowValue } from '@bergamotreach/hosting';
import { JobState, isFinal } from '@bergamotreach/scheduling';
import { countOccupying } from './activejobs.ts';
import type { JobLifecycle } from './joblifecycle.ts';
import { checkStateRow, getStateKey, stateTable } from './jobrows.ts';
import type { StateRow } from './jobrows.ts';
import type { OwnerContext } from './ownercontext.ts';

/** How an owner learned of a cancellation. */
export enum CancelSource {
  /** From the change feed of the job states. */
  Feed = 'feed',
  /** From a conflict with one of its own writes. */
  Conflict = 'conflict',
}

/** Stops jobs that their callers cancelled. */
export interface JobCancels {
  /** Handles a stored job state; stops the job if it is cancelled. */
  handleState(jobId: string, row: StateRow, source: CancelSource): void;
  /** Handles a stored row that `isCancel` holds for. */
  handleRow(key: string, value: RowValue): void;
}

const statePrefix = `${stateTable}/`;

/** Whether a stored row is the state of a cancelled job. */
export function isCancel(key: string, value: RowValue): boolean {
  return findCancel(key, value) !== undefined;
}

function findCancel(key: string, value: RowValue): StateRow | undefined {
  if (!key.startsWith(statePrefix)) return undefined;
  const row = checkStateRow(value).unwrapOr(undefined);
  return row?.state === JobState.Cancelled ? row : undefined;
}

/** Creates the part of an owner that stops cancelled jobs. */
export function createJobCancels(context: OwnerContext, lifecycle: JobLifecycle): JobCancels {
  const { activeJobs, journal } = context;
  const { states, getWallMs, logger, metrics } = context.options;

  function handleState(jobId: string, row: StateRow, source: CancelSource): void {
    const job = activeJobs.find(jobId);
    if (job === undefined || row.state !== JobState.Cancelled || isFinal(job.state)) return;
    job.state = JobState.Cancelled;
    journal.dropRow(getStateKey(jobId));
    const ageMs = getWallMs() - row.changedAtMs;
    logger.info('job_cancelled', {
      job: jobId,
      source,
      ageMs: Math.round(ageMs),
      stateAgeMs: Math.round(states.getAgeMs()),
      occupying: countOccupying(job),
    });
    metrics.reportTiming('cancels.delay', Math.max(0, ageMs));
    lifecycle.stopJob(job, 'job cancelled');
    lifecycle.removeFinalJob(job);
    context.requestPlan();
  }

  return {
    handleState,
    handleRow(key, value) {
      const row = findCancel(key, value);
      if (row !== undefined) handleState(key.slice(statePrefix.length), row, CancelSource.Conflict);
    },
  };
}
