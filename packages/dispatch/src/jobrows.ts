import type { RowValue } from '@bergamotreach/hosting';
import {
  amountSchema,
  idSchema,
  nameSchema,
  ordinalSchema,
  unixMsSchema,
} from '@bergamotreach/protocol/bounds';
import { createCheck } from '@bergamotreach/protocol/check';
import type { Check } from '@bergamotreach/protocol/check';
import { JobState } from '@bergamotreach/scheduling';
import type {
  CrashRow,
  GroupRecord,
  JobSubmission,
  StoredCrashRecord,
} from '@bergamotreach/scheduling';
import * as z from 'zod/mini';
import { checkWork, maxTasksPerStep, recurrenceSchema, stepsSchema } from './jobrequest.ts';

/** Row `job/<id>`: an accepted job; never changed. Without a state row the job is queued. */
export interface JobRow {
  submission: JobSubmission;
  /** Unix time of acceptance in milliseconds. */
  acceptedAtMs: number;
}

/**
 * Row `state/<id>`: what every instance needs to answer callers. Created by the owner when it
 * adopts the job, or by an instance that cancels it.
 */
export interface StateRow {
  state: JobState;
  queue: string;
  account: string;
  /** Whether the job has a start time; such a job waits for that time, not for resources. */
  isTimed: boolean;
  /** Unix time of the last change in milliseconds. */
  changedAtMs: number;
  /**
   * Set in a tombstone: a cancellation that found no job. A submission that got no answer may still
   * be stored, and must not run then. The row alone does not prove that the job exists.
   */
  isWithdrawn?: boolean;
}

const jobRowSchema = z.object({
  submission: z.object({
    id: nameSchema,
    account: nameSchema,
    queue: nameSchema,
    pool: nameSchema,
    rules: z.object({
      priority: ordinalSchema,
      maxAttempts: ordinalSchema,
      stretch: amountSchema,
      targetMs: amountSchema,
    }),
    payload: z.string(),
    steps: stepsSchema,
    recurrence: z.exactOptional(recurrenceSchema),
  }),
  acceptedAtMs: unixMsSchema,
});

const stateRowSchema = z.object({
  state: z.enum(JobState),
  queue: nameSchema,
  account: nameSchema,
  isTimed: z.boolean(),
  changedAtMs: unixMsSchema,
  isWithdrawn: z.exactOptional(z.boolean()),
});

/** Longest checkpoint, which a worker chooses; a row of a group holds one for each task. */
const maxCheckpointChars = 16_384;
/** Checkpoint of a run. */
export const checkpointSchema = z.string().check(z.maxLength(maxCheckpointChars));
/** Highest stored phase of a task. */
const maxStoredPhase = 2;

const groupRecordSchema = z.object({
  // Versions back to 02ed38f read exactly five fields.
  tasks: z
    .array(
      z.tuple([
        ordinalSchema.check(z.lte(maxStoredPhase)),
        ordinalSchema,
        idSchema,
        ordinalSchema,
        checkpointSchema,
      ]),
    )
    .check(z.maxLength(maxTasksPerStep)),
  gangFailures: ordinalSchema,
  lastFailedRun: ordinalSchema,
});

/**
 * Index, run, crashes, sole crashes, log chance, longest run, machine, and 1 if the task is only exposed.
 * Earlier versions lack the last field, and later ones may append more.
 */
const crashRecordSchema = z.pipe(
  z.tuple(
    [
      ordinalSchema.check(z.lt(maxTasksPerStep)),
      ordinalSchema,
      ordinalSchema,
      ordinalSchema,
      z.number().check(z.lte(0)),
      z.number().check(z.gte(0)),
      nameSchema,
    ],
    z.unknown(),
  ),
  z.transform((record): StoredCrashRecord => {
    const [index, run, crashes, soleCrashes, logChance, longestMs, machine, exposed] = record;
    const isExposed = exposed === 1 && crashes === 0;
    return [index, run, crashes, soleCrashes, logChance, longestMs, machine, Number(isExposed)];
  }),
);
const crashRowSchema = z.object({
  records: z
    .array(
      crashRecordSchema.check(
        z.refine(
          ([, , crashes, soleCrashes]) => soleCrashes <= crashes,
          'more sole crashes than crashes',
        ),
      ),
    )
    .check(z.maxLength(maxTasksPerStep)),
});

const checkJobShape: Check<JobRow> = createCheck(jobRowSchema);

/** Checks rows of the store, which other versions of this software may have written. */
export const checkJobRow: Check<JobRow> = (value) =>
  checkJobShape(value).andThen((row) => checkWork(row.submission).map(() => row));
export const checkStateRow: Check<StateRow> = createCheck(stateRowSchema);
export const checkGroupRecord: Check<GroupRecord> = createCheck(groupRecordSchema);

export const checkCrashRow: Check<CrashRow> = createCheck(crashRowSchema);

/** Tables of jobs; the name is the first part of each row key. */
export const jobTable = 'job';
export const stateTable = 'state';
export const progressTable = 'progress';
/** Version of the rows that an owner keeps: 2 with crash records. */
export const rowVersion = 2;
/** Versions without crash records neither read nor write this table, so the counts outlive them. */
export const crashTable = 'crash';

/** Key of the row with an accepted job. */
export function getJobKey(id: string): string {
  return `${jobTable}/${id}`;
}

/** Key of the row with a job's state. */
export function getStateKey(id: string): string {
  return `${stateTable}/${id}`;
}

/** Key of the row with the progress of a group of tasks. */
export function getProgressKey(groupKey: string): string {
  return `${progressTable}/${groupKey}`;
}

/** Key of the row with the crash records of a group of tasks. */
export function getCrashKey(groupKey: string): string {
  return `${crashTable}/${groupKey}`;
}

/** Creates the row of a job state that changes at the Unix time `wallMs`. */
export function createStateRow(
  { queue, account, recurrence }: JobSubmission,
  state: JobState,
  wallMs: number,
): StateRow {
  const isTimed = recurrence !== undefined;
  return { state, queue, account, isTimed, changedAtMs: Math.round(wallMs) };
}

/** Encodes a row for the store. Rows are plain JSON values by construction. */
export function encodeRow(row: JobRow | StateRow | GroupRecord | CrashRow): RowValue {
  return row as unknown as RowValue;
}
