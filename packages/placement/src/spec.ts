/** Locality of the accelerators of a job or a guaranteed shape: all within one of these. */
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

/** Guarantee of an account: `count` shapes of `accelerators` adjacent accelerators. */
export interface GuaranteeSpec {
  dataCentre: string;
  accelerators: number;
  within: Adjacency;
  count: number;
}

/** A client account as seen by placement. */
export interface AccountSpec {
  id: string;
  /** Relative share of lent capacity; greater than 0. */
  weight: number;
  /** Maximum accelerators in use at the same time over all its jobs; 0 is unlimited. */
  quotaAccelerators: number;
  guarantees: GuaranteeSpec[];
}

/** Weights of completion time and fragmentation; only their ratio matters. */
export interface PolicyWeights {
  completion: number;
  fragmentation: number;
}

/** Configuration of the placement core. Durations are in milliseconds. */
export interface PlacementConfig {
  accounts: AccountSpec[];
  weights: PolicyWeights;
  /** Number of workers by data centre whose loss the guarantees must survive. */
  lossReserve: Record<string, number>;
  /** Data centres in which no gang starts. Running gangs are left to end. */
  evacuated: string[];
  /** Wait after which cells are reserved for a gang. */
  reservationAfterMs: number;
  /** Grace period for lent work to checkpoint before it is stopped. */
  reclaimMs: number;
  /** Grace period if the work that needs the cells is urgent. */
  urgentReclaimMs: number;
  /** Number of distinct workers on which a job fails before it counts as faulty and fails. */
  maxAttempts: number;
  /** Number of distinct jobs that fail on a worker before it is quarantined. */
  quarantineAfterJobs: number;
  /** Duration of the first quarantine; doubles with each further one up to `quarantineMaxMs`. */
  quarantineMs: number;
  quarantineMaxMs: number;
  /** Share of a worker's cores and memory that is reserved for tasks with accelerators, 0 to 1. */
  acceleratorShare: number;
}

/** A job as submitted. Sizes are per member. */
export interface JobSpec {
  jobId: string;
  account: string;
  /** Number of gang members; 1 to 128. */
  members: number;
  /** Accelerators of each member; may be 0. */
  accelerators: number;
  cores: number;
  memoryMb: number;
  within: Adjacency;
  urgent: boolean;
  /** Declared run time in seconds; only a hint, on which no guarantee depends. */
  declaredSeconds: number;
  /** Restricts the job to one data centre of the region; empty for any. */
  dataCentre: string;
}
