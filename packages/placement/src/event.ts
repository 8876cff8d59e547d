import type { JobSpec, PlacementConfig, WorkerSpec } from './spec.ts';

/** Kinds of events that the placement core handles. */
export enum EventKind {
  JobArrived = 'jobArrived',
  /** A gang was found running during recovery; it keeps its placement. */
  GangRecovered = 'gangRecovered',
  JobsCancelled = 'jobsCancelled',
  /** All members of the gang are running. */
  GangRunning = 'gangRunning',
  /** The end of the gang is confirmed; its accelerators are free again. */
  GangEnded = 'gangEnded',
  WorkersAdded = 'workersAdded',
  WorkersLost = 'workersLost',
  ConfigChanged = 'configChanged',
  UsageReported = 'usageReported',
}

/** How a gang ended. */
export enum GangEnd {
  Done = 'done',
  /** A member failed on its own; `worker` is where it ran. */
  MemberFailed = 'memberFailed',
  /** Not all members could be started in time, or a worker was lost; not a failure of the job. */
  StartFailed = 'startFailed',
  WorkerLost = 'workerLost',
  /** Stopped by a decision of the core; see `StopReason`. */
  Stopped = 'stopped',
}

/** Where one gang member runs. */
export interface MemberPlacement {
  member: number;
  worker: string;
  accelerators: number;
}

/** Whether a gang runs under a guarantee of its account or on lent capacity, where it can be preempted. */
export enum CapacityClass {
  Guaranteed = 'guaranteed',
  Lent = 'lent',
}

/** A decided placement of a whole gang. */
export interface GangPlacement {
  jobId: string;
  /** Increases with each start of the job; part of the task ids. */
  attempt: number;
  capacityClass: CapacityClass;
  dataCentre: string;
  members: MemberPlacement[];
}

/** Input of the placement core. Data from the job row restores the history of a job. */
export type PlacementEvent =
  | {
      kind: EventKind.JobArrived;
      job: JobSpec;
      /** When the job was accepted, on the same clock as `nowMs`; may lie in the past. */
      acceptedAtMs: number;
      /** Attempts made so far, from the job row. */
      attempts: number;
      /** Accelerator-seconds attained so far, from the job row. */
      attainedSeconds: number;
      /** Workers on which the job failed, from the job row. */
      failedWorkers: string[];
    }
  | {
      kind: EventKind.GangRecovered;
      job: JobSpec;
      placement: GangPlacement;
      acceptedAtMs: number;
      attainedSeconds: number;
      failedWorkers: string[];
    }
  | { kind: EventKind.JobsCancelled; jobIds: string[] }
  | { kind: EventKind.GangRunning; jobId: string; attempt: number }
  | { kind: EventKind.GangEnded; jobId: string; attempt: number; end: GangEnd; worker: string }
  | { kind: EventKind.WorkersAdded; workers: WorkerSpec[] }
  | { kind: EventKind.WorkersLost; workerIds: string[] }
  | { kind: EventKind.ConfigChanged; config: PlacementConfig }
  | { kind: EventKind.UsageReported; jobId: string; attainedSeconds: number };
