import type { JobRecord, JobRow, JobStore, RegionLease } from '@bergamotreach/ownership';
import type { GangPlacement, JobSpec, Scheduler } from '@bergamotreach/placement';
import type { WorkerClient } from '@bergamotreach/hosting';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';

/** Job record with the types of the placement core. */
export type GangJobRecord = JobRecord<JobSpec, GangPlacement>;
/** Job row with the types of the placement core. */
export type GangJobRow = JobRow<JobSpec, GangPlacement>;
/** Job store with the types of the placement core. */
export type GangJobStore = JobStore<JobSpec, GangPlacement>;

/** Durations in milliseconds and limits of a region owner. */
export interface OwnerSettings {
  taskLeaseMs: number;
  /** Allowance for clock rates and call times when a task lease is waited out. */
  taskMarginMs: number;
  /** Period in which each worker's tasks are renewed once, and listed at least once. */
  roundMs: number;
  /** Time from the first hold until the last member must be held. */
  gangStartMs: number;
  /** Silence after which a worker counts as lost. */
  workerLostMs: number;
  /** Time that gangs on a worker that is leaving get to checkpoint. */
  leavingGraceMs: number;
  /** Time that a new owner waits for workers; those that answer later join as they do. */
  recoveryWaitMs: number;
  /** Wait before a failed call or write is tried again. */
  retryMs: number;
  /** Period of reading all job rows, which finds jobs whose wake was lost. */
  rescanMs: number;
  /** Age after which the rows of ended jobs are deleted. */
  retainMs: number;
  /** Calls under way at once for starts and stops. */
  maxEffectCalls: number;
  /** Calls under way at once for renewals and task lists. */
  maxRoundCalls: number;
}

/** Default settings; lease times are those of the design page. */
export const defaultOwnerSettings: Readonly<OwnerSettings> = {
  taskLeaseMs: 30_000,
  taskMarginMs: 1_000,
  roundMs: 5_000,
  gangStartMs: 5_000,
  workerLostMs: 12_000,
  leavingGraceMs: 10_000,
  recoveryWaitMs: 3_000,
  retryMs: 500,
  rescanMs: 30_000,
  retainMs: 86_400_000,
  maxEffectCalls: 64,
  maxRoundCalls: 32,
};

/** Options of a region owner. */
export interface RegionOwnerOptions {
  region: string;
  /** Creates an empty placement core; the configuration follows as its first event. */
  createScheduler: () => Scheduler;
  /** Creates the lease of the region; `onChange` is to be passed to `createRegionLease`. */
  createLease: (onChange: () => void) => RegionLease;
  jobStore: GangJobStore;
  workerClient: WorkerClient;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Wall-clock time in milliseconds; used for the age of jobs and the times shown to users. */
  getWallMs: () => number;
  /**
   * Whether this daemon is the one to renew task leases while the store is down and the owner is
   * gone. Default: never.
   */
  isCaretaker?: () => boolean;
  settings?: Partial<OwnerSettings>;
}
