import type { JobSpec, PlacementConfig, WorkerSpec } from './spec.ts';

/** Kinds of events that the placement core takes. */
export enum EventKind {
  JobArrived = 'jobArrived',
  /** A gang found running during recovery; its cells are taken as they are. */
  GangRecovered = 'gangRecovered',
  JobsCancelled = 'jobsCancelled',
  /** All members are released and run. */
  GangRunning = 'gangRunning',
  /** The gang ended or was stopped; its cells are free again. */
  GangEnded = 'gangEnded',
  WorkersAdded = 'workersAdded',
  WorkersLost = 'workersLost',
  ConfigChanged = 'configChanged',
  UsageReported = 'usageReported',
}

/** How a gang ended. */
export enum GangEnd {
  Done = 'done',
  /** A member failed by itself; `worker` tells where. */
  MemberFailed = 'memberFailed',
  /** Members could not be held in time, or a worker was lost; not the job's fault. */
  StartFailed = 'startFailed',
  WorkerLost = 'workerLost',
  /** Stopped on a decision of the core (reclaim or cancel). */
  Stopped = 'stopped',
}

/** Where one gang member runs. */
export interface MemberPlacement {
  member: number;
  worker: string;
  accelerators: number;
}

/** Whether a gang runs on its account's guarantee or on lent capacity. */
export enum CapacityClass {
  Guaranteed = 'guaranteed',
  Lent = 'lent',
}

/** A decided placement of a whole gang. */
export interface GangPlacement {
  jobId: string;
  /** Grows with each start of the job; part of the task ids. */
  attempt: number;
  capacityClass: CapacityClass;
  dataCentre: string;
  members: MemberPlacement[];
}

/** Input of the placement core. */
export type PlacementEvent =
  | {
      kind: EventKind.JobArrived;
      job: JobSpec;
      /** When the job was accepted, on the same time line as `nowMs`; may lie in the past. */
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
