/** State of a job row. */
export enum JobState {
  Queued = 'queued',
  /** A placement is decided and members are being held; none executes. */
  Starting = 'starting',
  /** All members were held; they are released or about to be. */
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Whether a job in this state never runs again. */
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
  /** SHA-256 of the submission in hexadecimal; tells a repeat from a reuse of the job id. */
  digest: string;
}

/** Value of a job row. `Placement` is opaque to the store. */
export interface JobRecord<Spec, Placement> extends JobSubmission<Spec> {
  state: JobState;
  /** Number of the last start; 0 before the first. */
  attempts: number;
  /** Where the gang of the last start runs; `null` unless starting or running. */
  placement: Placement | null;
  /** Accelerator-seconds of ended starts. */
  attainedSeconds: number;
  /** Workers on which a member failed by itself. */
  failedWorkers: string[];
  /** Set by any daemon; the owner then ends the job. */
  isCancelRequested: boolean;
  /** Wall-clock time in milliseconds, for display and ageing only. */
  acceptedAtMs: number;
  /** Wall-clock time of the end in milliseconds; 0 before. */
  endedAtMs: number;
  /** Why the job failed; empty otherwise. */
  message: string;
}

/** A job record with the version of its row. */
export interface JobRow<Spec, Placement> {
  version: number;
  record: JobRecord<Spec, Placement>;
}
