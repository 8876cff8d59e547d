import { UrgentReserve } from './worker.ts';
import type { WorkerView } from './worker.ts';

/** Smoothed estimate of the accelerators that urgent work needs. */
export interface UrgentDemand {
  /** Records the accelerators that urgent work holds or waits for now. */
  record(accelerators: number, nowMs: number): void;
  /** Estimated accelerators that urgent work needs; may be fractional. */
  getLevel(): number;
}

// Time constants of the exponential smoothing. Bursts of urgent jobs arrive within a second and last
// for several, so the estimate rises fast and falls slowly.
const riseTimeConstantMs = 600;
const fallTimeConstantMs = 7000;
/** Share of the reserve that is open to urgent work only. */
const urgentOnlyShare = 0.65;
/** Upper bound of the reserve, as a share of all accelerators. */
const maxShare = 0.6;

/** Creates an estimate that starts at zero. */
export function createUrgentDemand(): UrgentDemand {
  let level = 0;
  let recordedMs: number | undefined;
  return {
    record(accelerators, nowMs) {
      const elapsedMs = recordedMs === undefined ? 0 : nowMs - recordedMs;
      recordedMs = nowMs;
      const timeConstantMs = accelerators > level ? riseTimeConstantMs : fallTimeConstantMs;
      level += (accelerators - level) * (1 - Math.exp(-elapsedMs / timeConstantMs));
    },
    getLevel: () => level,
  };
}

/** Estimates of the accelerators that urgent work needs, by pool. */
export interface UrgentDemands {
  /** Records the accelerators that urgent work of each pool holds or waits for now. */
  record(accelerators: ReadonlyMap<string, number>, nowMs: number): void;
  getLevels(): ReadonlyMap<string, number>;
}

/** Creates estimates that start at zero; pools are added as they have urgent work. */
export function createUrgentDemands(): UrgentDemands {
  const demands = new Map<string, UrgentDemand>();
  return {
    record(accelerators, nowMs) {
      for (const pool of accelerators.keys()) {
        if (!demands.has(pool)) demands.set(pool, createUrgentDemand());
      }
      for (const [pool, demand] of demands) demand.record(accelerators.get(pool) ?? 0, nowMs);
    },
    getLevels: () => new Map([...demands].map(([pool, demand]) => [pool, demand.getLevel()])),
  };
}

/**
 * Reserves whole workers for urgent work by setting `urgentReserve`, rack by rack so that urgent gangs
 * find room in one rack. Without a reserve, each burst of urgent jobs on a full fleet preempts work
 * that does not checkpoint.
 */
export function markUrgentReserve(workers: readonly WorkerView[], accelerators: number): void {
  const total = workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
  const wanted = Math.min(accelerators, total * maxShare);
  const order = [...workers].sort((a, b) => compareText(a.rack, b.rack) || compareText(a.id, b.id));
  let reserved = 0;
  for (const worker of order) {
    if (reserved >= wanted) worker.urgentReserve = UrgentReserve.None;
    else if (reserved >= wanted * urgentOnlyShare)
      worker.urgentReserve = UrgentReserve.CheckpointingOnly;
    else worker.urgentReserve = UrgentReserve.UrgentOnly;
    reserved += worker.capacity.accelerators;
  }
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
