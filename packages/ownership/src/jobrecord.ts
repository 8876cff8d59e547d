/** State of a job row. */
export enum JobState {
  Queued = 'queued',
  /** A placement is decided and its members are being held; none executes yet. */
  Starting = 'starting',
  /** All members were held; they are released or about to be released. */
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Whether a job in this state has ended and never runs again. */
export function isEnded(state: JobState): boolean {
  return state === JobState.Done || state === JobState.Failed || state === JobState.Cancelled;
}

/** A job as accepted from a caller. `Spec` is opaque to the store. */
export interface JobSubmission<Spec> {
  jobId: string;
  account: string;
  spec: Spec;
  /** Passed to the tasks; opaque to the scheduler. */
  payload: string;
  /** SHA-256 of the submission in hexadecimal; tells a retry from a reuse of the job id. */
  digest: string;
}

/** Value of a job row. `Placement` is opaque to the store. */
export interface JobRecord<Spec, Placement> extends JobSubmission<Spec> {
  state: JobState;
  /** Number of the latest start of the job's gang; 0 before the first. */
  attempts: number;
  /** Workers of the gang's members; `null` unless starting or running. */
  placement: Placement | null;
  /** Accelerator-seconds used by the starts that ended. */
  attainedSeconds: number;
  /** Workers on which a member of the job failed on its own; lost workers are not included. */
  failedWorkers: string[];
  /** Set by any daemon; the owner then ends the job. */
  isCancelRequested: boolean;
  /** Wall-clock time of acceptance in milliseconds; only for display and for the job's age. */
  acceptedAtMs: number;
  /** Wall-clock time of the end in milliseconds; 0 before the end. */
  endedAtMs: number;
  /** Why the job failed; empty otherwise. */
  message: string;
}

/** A job record with the version of its row. */
export interface JobRow<Spec, Placement> {
  version: number;
  record: JobRecord<Spec, Placement>;
}
