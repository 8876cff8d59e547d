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
import { JobState, isFinal } from '@bergamotreach/scheduling';
import type {
  CrashRow,
  GroupRecord,
  JobSubmission,
  StoredCrashRecord,
} from '@bergamotreach/scheduling';
import * as z from 'zod/mini';
import { computeJobBytes } from './heldwork.ts';
import { decodePacked } from './packedrow.ts';
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
  /** Memory that the job makes an owner hold until it ends, in bytes; earlier versions drop it. */
  heldBytes?: number;
}

const adviceSchema = z.object({
  decisionMs: amountSchema,
  perWorkerMs: amountSchema,
  validityMs: z.optional(amountSchema),
});

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
    // Optional, and what cannot be read of it must not keep the job from running.
    advice: z.catch(z.optional(adviceSchema), undefined),
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
  heldBytes: z.exactOptional(amountSchema),
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

/** Format of the progress of a job that versions without heads cannot read. */
const headFormat = 2;

/**
 * Row `progress/<job>.999999999.0`: the occurrences of a job whose progress is not one row a step. It is in the table of
 * the progress and no record of a group, so versions without heads leave the job alone instead of starting its tasks
 * again.
 */
export interface JobHead {
  format: number;
  /** Number of the next occurrence that was not opened yet. */
  next: number;
  /** Occurrences before `next` that are not done. */
  open: number[];
}

/** Occurrence in the key of a head; jobs have fewer. */
const headOccurrence = 999_999_999;
const headSuffix = `.${headOccurrence}.0`;

/** Most occurrences of a job that are open at once, so that its head fits into a row. */
export const maxOpenOccurrences = 1000;

const headSchema = z.object({
  format: z.literal(headFormat),
  next: ordinalSchema,
  open: z.array(ordinalSchema).check(z.maxLength(maxOpenOccurrences)),
});

export const checkJobHead: Check<JobHead> = createCheck(headSchema);

/** Creates the head of a job. */
export function createHead(next: number, open: Iterable<number>): JobHead {
  return { format: headFormat, next, open: [...open] };
}

/** Name of the head of a job within the table of progress. */
export function formatHeadName(jobId: string): string {
  return `${jobId}${headSuffix}`;
}

/** Whether the name of a row in the table of progress is that of a head. */
export function isHeadName(name: string): boolean {
  return name.endsWith(headSuffix);
}

const checkJobShape: Check<JobRow> = createCheck(jobRowSchema);

/** Checks rows of the store, which other versions of this software may have written. */
export const checkJobRow: Check<JobRow> = (value) =>
  decodePacked(value)
    .andThen(checkJobShape)
    .andThen((row) => checkWork(row.submission).map(() => row));
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

/** Key of a row of progress: of a group, of one of its chunks, or of the head of a job. */
export function getProgressKey(name: string): string {
  return `${progressTable}/${name}`;
}

/** Key of the row with the crash records of a group of tasks, or of one of its chunks. */
export function getCrashKey(name: string): string {
  return `${crashTable}/${name}`;
}

/** Id of the job that a row belongs to. */
export function parseJobId(key: string): string {
  const name = key.slice(key.indexOf('/') + 1);
  return name.split('.')[0] ?? name;
}

/** Creates the row of a job state that changes at the Unix time `wallMs`. */
export function createStateRow(
  submission: JobSubmission,
  state: JobState,
  wallMs: number,
): StateRow {
  const { queue, account, recurrence } = submission;
  const isTimed = recurrence !== undefined;
  const row = { state, queue, account, isTimed, changedAtMs: Math.round(wallMs) };
  return isFinal(state) ? row : { ...row, heldBytes: computeJobBytes(submission) };
}

/** Encodes a row for the store. Rows are plain JSON values by construction. */
export function encodeRow(row: JobRow | StateRow | GroupRecord | CrashRow | JobHead): RowValue {
  return row as unknown as RowValue;
}
