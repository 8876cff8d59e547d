import type { RowValue } from '@bergamotreach/hosting';
import { JobState, isFinal } from '@bergamotreach/scheduling';
import { countOccupying } from './jobbook.ts';
import type { JobLife } from './joblife.ts';
import { checkStateRow, getStateKey, stateTable } from './jobrows.ts';
import type { StateRow } from './jobrows.ts';
import type { OwnerContext } from './ownercontext.ts';

/** How an owner learned of a cancel. */
export enum CancelSource {
  /** The copy of the states showed it. */
  Feed = 'feed',
  /** A write of the owner met it in the store. */
  Conflict = 'conflict',
}

/** Stops jobs that their callers cancelled. */
export interface JobCancels {
  /** Takes in a state that the store holds; stops the job when it is cancelled. */
  noteState(jobId: string, row: StateRow, source: CancelSource): void;
  /** Takes in a stored row whose value was found to be a cancel. */
  noteRow(key: string, value: RowValue): void;
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
export function createJobCancels(context: OwnerContext, life: JobLife): JobCancels {
  const { book, journal } = context;
  const { states, getWallMs, logger, metrics } = context.options;

  function noteState(jobId: string, row: StateRow, source: CancelSource): void {
    const job = book.find(jobId);
    if (job === undefined || row.state !== JobState.Cancelled || isFinal(job.state)) return;
    job.state = JobState.Cancelled;
    journal.releaseRow(getStateKey(jobId));
    const ageMs = getWallMs() - row.changedAtMs;
    logger.info('job_cancelled', {
      job: jobId,
      source,
      ageMs: Math.round(ageMs),
      stateAgeMs: Math.round(states.getAgeMs()),
      occupying: countOccupying(job),
    });
    metrics.reportTiming('cancels.delay', Math.max(0, ageMs));
    life.stopJob(job, 'job cancelled');
    life.releaseJob(job);
    context.planSoon();
  }

  return {
    noteState,
    noteRow(key, value) {
      const row = findCancel(key, value);
      if (row !== undefined) noteState(key.slice(statePrefix.length), row, CancelSource.Conflict);
    },
  };
}
