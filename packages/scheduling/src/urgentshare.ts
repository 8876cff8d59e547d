import type { WorkerView } from './worker.ts';

/** How the room of a worker is set aside for urgent work. */
export enum Reservation {
  None = 0,
  /** Lent to work that saves its progress, which can be stopped at little loss. */
  Lent = 1,
  /** Kept free for urgent work. */
  Kept = 2,
}

/** Follows how many accelerators urgent work needs. */
export interface UrgentDemand {
  /** Notes the accelerators that urgent work holds or waits for now. */
  note(accelerators: number, nowMs: number): void;
  /** Accelerators that urgent work has needed lately. */
  getLevel(): number;
}

// Bursts come within a second and last for several, so the level follows a rise at once and a fall
// slowly.
const riseMs = 600;
const fallMs = 7000;
/** Part of the reserved workers that is kept free rather than lent. */
const keptShare = 0.65;
/** Urgent work gets at most this part of all accelerators set aside. */
const maxShare = 0.6;

/** Creates a demand that begins at zero. */
export function createUrgentDemand(): UrgentDemand {
  let level = 0;
  let notedMs: number | undefined;
  return {
    note(accelerators, nowMs) {
      const elapsedMs = notedMs === undefined ? 0 : nowMs - notedMs;
      notedMs = nowMs;
      const timeMs = accelerators > level ? riseMs : fallMs;
      level += (accelerators - level) * (1 - Math.exp(-elapsedMs / timeMs));
    },
    getLevel: () => level,
  };
}

/**
 * Sets whole workers aside, rack by rack, so that urgent gangs find adjacent room. It answers bursts
 * of urgent jobs on a full fleet: without it each one stops work that does not save its progress.
 */
export function markReserved(workers: readonly WorkerView[], accelerators: number): void {
  const total = workers.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
  const wanted = Math.min(accelerators, total * maxShare);
  const order = [...workers].sort((a, b) => compareText(a.rack, b.rack) || compareText(a.id, b.id));
  let reserved = 0;
  for (const worker of order) {
    if (reserved >= wanted) worker.reservation = Reservation.None;
    else if (reserved >= wanted * keptShare) worker.reservation = Reservation.Lent;
    else worker.reservation = Reservation.Kept;
    reserved += worker.capacity.accelerators;
  }
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
