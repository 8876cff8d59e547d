import type { RowValue } from '@bergamotreach/hosting';
import type { GroupRecord, JobState, JobSubmission } from '@bergamotreach/scheduling';

/** Row `job/<id>`: a job as it was accepted; never changed. */
export interface JobRow {
  submission: JobSubmission;
  /** Unix time of the acceptance in milliseconds. */
  acceptedAtMs: number;
}

/** Row `state/<id>`: what every instance needs to answer callers. */
export interface StateRow {
  state: JobState;
  queue: string;
  account: string;
  /** Whether the job is timed; such jobs wait for their time, not for room. */
  isTimed: boolean;
  /** Unix time of the last change in milliseconds. */
  changedAtMs: number;
}

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

/** Encodes a row for the store. Rows are plain JSON values by construction. */
export function encodeRow(row: JobRow | StateRow | GroupRecord): RowValue {
  return row as unknown as RowValue;
}
