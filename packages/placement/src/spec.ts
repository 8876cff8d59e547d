/** How close the accelerators of a job or a guaranteed shape must be. */
export enum Adjacency {
  Worker = 'worker',
  Rack = 'rack',
  DataCentre = 'dataCentre',
}

/** A worker as seen by placement. */
export interface WorkerSpec {
  id: string;
  dataCentre: string;
  rack: string;
  accelerators: number;
  cores: number;
  memoryMb: number;
}

/** `count` shapes of `accelerators` adjacent accelerators, sold to an account. */
export interface GuaranteeSpec {
  dataCentre: string;
  accelerators: number;
  within: Adjacency;
  count: number;
}

/** A client account as seen by placement. */
export interface AccountSpec {
  id: string;
  /** Relative share of lent capacity; above 0. */
  weight: number;
  /** Largest number of accelerators in use at once over all its jobs; 0 means no limit. */
  quotaAccelerators: number;
  guarantees: GuaranteeSpec[];
}

/** Weights of the two measures; only their ratio matters. */
export interface PolicyWeights {
  completion: number;
  fragmentation: number;
}

/** Configuration of the placement core. Durations are in milliseconds. */
export interface PlacementConfig {
  accounts: AccountSpec[];
  weights: PolicyWeights;
  /** Data centre to number of workers whose loss the guarantees must survive. */
  lossReserve: Record<string, number>;
  /** Wait after which a gang gets reserved cells. */
  reservationAfterMs: number;
  /** Time lent work gets to checkpoint before it is stopped. */
  reclaimMs: number;
  /** The same when the work that needs the cells is urgent. */
  urgentReclaimMs: number;
  /** Distinct workers on which a job may fail before it is at fault. */
  maxAttempts: number;
  /** Distinct jobs that fail on a worker before it is quarantined. */
  quarantineAfterJobs: number;
  /** First quarantine; doubles with each further one up to `quarantineMaxMs`. */
  quarantineMs: number;
  quarantineMaxMs: number;
  /** Share of a worker's cores and memory, 0 to 1, kept for tasks with accelerators. */
  acceleratorShare: number;
}

/** A job as submitted. Sizes are per member. */
export interface JobSpec {
  jobId: string;
  account: string;
  /** Number of gang members; 1 to 128. */
  members: number;
  /** Accelerators of each member; 0 for a task that needs none. */
  accelerators: number;
  cores: number;
  memoryMb: number;
  within: Adjacency;
  urgent: boolean;
  /** Declared run time in seconds; a hint that no decision relies on for safety. */
  declaredSeconds: number;
  /** Restricts the job to one data centre of the region; empty means any. */
  dataCentre: string;
}
