import type { RowValue } from '@bergamotreach/hosting';
import { createCheck } from '@bergamotreach/protocol/check';
import type { Check } from '@bergamotreach/protocol/check';
import { JobState } from '@bergamotreach/scheduling';
import type { GroupRecord, JobSubmission } from '@bergamotreach/scheduling';
import * as z from 'zod/mini';
import { recurrenceSchema, stepSchema } from './jobrequest.ts';

/** Row `job/<id>`: a job as it was accepted; never changed. Without a state row the job is queued. */
export interface JobRow {
  submission: JobSubmission;
  /** Unix time of the acceptance in milliseconds. */
  acceptedAtMs: number;
}

/**
 * Row `state/<id>`: what every instance needs to answer callers. Created by the owner when it takes the
 * job on, or by the cancelling instance.
 */
export interface StateRow {
  state: JobState;
  queue: string;
  account: string;
  /** Whether the job is timed; such jobs wait for their time, not for room. */
  isTimed: boolean;
  /** Unix time of the last change in milliseconds. */
  changedAtMs: number;
  /**
   * Written by a cancel that found no job: a submission without an answer may still be stored, and must
   * not run then. Nobody may have submitted the job, so the state alone does not show that it exists.
   */
  isWithdrawn?: boolean;
}

const jobRowSchema = z.object({
  submission: z.object({
    id: z.string(),
    account: z.string(),
    queue: z.string(),
    pool: z.string(),
    rules: z.object({
      priority: z.number(),
      maxAttempts: z.number(),
      stretch: z.number(),
      targetMs: z.number(),
    }),
    payload: z.string(),
    steps: z.array(stepSchema),
    recurrence: z.exactOptional(recurrenceSchema),
  }),
  acceptedAtMs: z.number(),
});

const stateRowSchema = z.object({
  state: z.enum(JobState),
  queue: z.string(),
  account: z.string(),
  isTimed: z.boolean(),
  changedAtMs: z.number(),
  isWithdrawn: z.exactOptional(z.boolean()),
});

const groupRecordSchema = z.object({
  tasks: z.array(z.tuple([z.number(), z.number(), z.string(), z.number(), z.string()])),
  gangFailures: z.number(),
  lastFailedRun: z.number(),
});

/** Checks of the rows, which an older or newer version of the product may have written. */
export const checkJobRow: Check<JobRow> = createCheck(jobRowSchema);
export const checkStateRow: Check<StateRow> = createCheck(stateRowSchema);
export const checkGroupRecord: Check<GroupRecord> = createCheck(groupRecordSchema);

/** Tables of jobs, each the first part of the keys of its rows. */
export const jobTable = 'job';
export const stateTable = 'state';
export const progressTable = 'progress';

/** Key of the row of a job. */
export function getJobKey(id: string): string {
  return `${jobTable}/${id}`;
}

/** Key of the state of a job. */
export function getStateKey(id: string): string {
  return `${stateTable}/${id}`;
}

/** Key of the progress of a group of tasks. */
export function getProgressKey(groupKey: string): string {
  return `${progressTable}/${groupKey}`;
}

/** State of a job that is written now. */
export function createStateRow(
  { queue, account, recurrence }: JobSubmission,
  state: JobState,
  wallMs: number,
): StateRow {
  const isTimed = recurrence !== undefined;
  return { state, queue, account, isTimed, changedAtMs: Math.round(wallMs) };
}

/** Encodes a row for the store. Rows are plain JSON values by construction. */
export function encodeRow(row: JobRow | StateRow | GroupRecord): RowValue {
  return row as unknown as RowValue;
}
