import type { JobRecord, JobRow, JobStore, RegionLease } from '@bergamotreach/ownership';
import type { GangPlacement, JobSpec, Scheduler } from '@bergamotreach/placement';
import type { WorkerClient } from '@bergamotreach/hosting';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';

/** Job record with the job and placement types of the scheduler. */
export type GangJobRecord = JobRecord<JobSpec, GangPlacement>;
/** Job row with the job and placement types of the scheduler. */
export type GangJobRow = JobRow<JobSpec, GangPlacement>;
/** Job store with the job and placement types of the scheduler. */
export type GangJobStore = JobStore<JobSpec, GangPlacement>;

/** Durations (in milliseconds) and limits of a region owner. */
export interface OwnerSettings {
  /** Lease of a task on its worker, which stops the task unless the lease is renewed. */
  taskLeaseMs: number;
  /** Margin for clock drift and call latency when waiting for a task lease to expire. */
  taskMarginMs: number;
  /** Interval of renewals on each worker; its tasks are listed at least as often. */
  taskRenewMs: number;
  /** Time within which all members of a gang must be held, from the first hold. */
  gangStartMs: number;
  /** Time without a reply after which a worker counts as lost. */
  workerLostMs: number;
  /** Grace period in which gangs on a leaving worker can checkpoint. */
  leavingGraceMs: number;
  /** Time that the recovery waits for the workers' replies; later ones are added as they reply. */
  recoveryWaitMs: number;
  /** Wait before a failed call or write is retried. */
  retryMs: number;
  /** Interval of full scans of the job rows, which find jobs whose notification was lost. */
  rescanMs: number;
  /** Time after its end for which a job's row is retained. */
  retainMs: number;
  /** Concurrent calls that start, stop, checkpoint or fence. */
  maxCommandCalls: number;
  /** Concurrent calls that renew or list tasks. */
  maxPollCalls: number;
}

/** Default settings; lease times are those of the design page. */
export const defaultOwnerSettings: Readonly<OwnerSettings> = {
  taskLeaseMs: 30_000,
  taskMarginMs: 1_000,
  taskRenewMs: 5_000,
  gangStartMs: 5_000,
  workerLostMs: 12_000,
  leavingGraceMs: 10_000,
  recoveryWaitMs: 3_000,
  retryMs: 500,
  rescanMs: 30_000,
  retainMs: 86_400_000,
  maxCommandCalls: 64,
  maxPollCalls: 32,
};

/** Options of a region owner. */
export interface RegionOwnerOptions {
  region: string;
  /** Creates an empty scheduler; the configuration follows as its first event. */
  createScheduler: () => Scheduler;
  /** Creates the lease of the region; must pass `onChange` to `createRegionLease`. */
  createLease: (onChange: () => void) => RegionLease;
  jobStore: GangJobStore;
  workerClient: WorkerClient;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Wall-clock time in milliseconds, for the age of jobs and the times shown to users. */
  getWallMs: () => number;
  /**
   * Whether this daemon is the caretaker, which renews task leases while the store is down and the
   * region has no owner. Default: never.
   */
  isCaretaker?: () => boolean;
  settings?: Partial<OwnerSettings>;
}
