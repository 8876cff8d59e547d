import type { Resources } from '@bergamotreach/scheduling';

/** A worker as the platform lists it. */
export interface WorkerEntry {
  id: string;
  /** Unix time in milliseconds at which this life of the worker began. */
  bornAtMs: number;
  /** `ip:port` that takes orders. */
  address: string;
  pool: string;
  dataCentre: string;
  rack: string;
  labels: readonly string[];
  capacity: Resources;
  /** Takes no new work and will leave. */
  isDraining: boolean;
  /** Shortest time until a draining worker leaves, in milliseconds. */
  drainRemainingMs: number;
}
