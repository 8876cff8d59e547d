import type { Resources } from '@bergamotreach/scheduling';

/** A worker as the platform lists it. */
export interface WorkerEntry {
  id: string;
  /** Unix time in milliseconds at which this incarnation of the worker started; identifies it. */
  bornAtMs: number;
  /** `ip:port` for orders. */
  address: string;
  pool: string;
  dataCentre: string;
  rack: string;
  labels: readonly string[];
  capacity: Resources;
  /** Whether the worker takes no new tasks and will leave. */
  isDraining: boolean;
  /** Shortest time until a draining worker leaves, in milliseconds. */
  drainRemainingMs: number;
}
