import { TaskPhase } from './group.ts';
import type { TaskGroup } from './group.ts';
import { countFittingTasks, getFreeAfterStops, listWaitingTasks } from './packing.ts';
import { getTaskMs } from './ranking.ts';
import { addResources } from './resources.ts';
import { findRemainingMs } from './runprogress.ts';
import type { PlacedTask, WorkerView } from './worker.ts';

/** Slots reserved for a waiting gang; the work in them runs to its end. */
export interface GangReservation {
  slots: { worker: WorkerView; count: number }[];
  /** Time until all slots are free according to the declared run times, in milliseconds. */
  readyInMs: number;
}

/** Minimum expected remaining time of a run, as a share of its declared time; covers overruns. */
const overrunShare = 0.2;
const minRemainingMs = 200;

/** Expected remaining time of a run by its reported progress, or else as declared, in milliseconds. */
export function getRemainingMs({ group, task }: PlacedTask, nowMs: number): number {
  const reportedMs = findRemainingMs(task, nowMs);
  if (reportedMs !== undefined) return Math.max(reportedMs, minRemainingMs);
  const declaredMs = getTaskMs(group.spec);
  const ranMs = task.startedAtMs > 0 ? nowMs - task.startedAtMs : 0;
  return Math.max(declaredMs - ranMs, declaredMs * overrunShare, minRemainingMs);
}

interface UpcomingSlots {
  worker: WorkerView;
  count: number;
  inMs: number;
}

/** Slots that become free on a worker as its runs end, earliest first. */
function listUpcomingSlots(group: TaskGroup, worker: WorkerView, nowMs: number): UpcomingSlots[] {
  const room = getFreeAfterStops(worker);
  let count = countFittingTasks(group, worker, room);
  const upcoming: UpcomingSlots[] = count > 0 ? [{ worker, count, inMs: 0 }] : [];
  const ends = worker.placed
    .filter(({ task }) => task.phase !== TaskPhase.Stopping)
    .map((placed) => ({ placed, inMs: getRemainingMs(placed, nowMs) }))
    .sort((a, b) => a.inMs - b.inMs);
  for (const { placed, inMs } of ends) {
    addResources(room, placed.group.spec.demand);
    const next = countFittingTasks(group, worker, room);
    if (next <= count) continue;
    upcoming.push({ worker, count: next - count, inMs });
    count = next;
  }
  return upcoming;
}

/**
 * Finds the slots on `workers` that are free soonest for all waiting tasks of a group; `undefined` if
 * the workers could not hold them. Without a reservation, smaller work takes each accelerator that
 * becomes free and wide gangs starve on a busy fleet. The slots are not chosen by least loss, as in a
 * preemption: that would choose the youngest work, which ends last.
 */
export function planReservation(
  group: TaskGroup,
  workers: readonly WorkerView[],
  nowMs: number,
): GangReservation | undefined {
  const upcoming = workers
    .flatMap((worker) => listUpcomingSlots(group, worker, nowMs))
    .sort((a, b) => a.inMs - b.inMs);
  const slots = new Map<WorkerView, number>();
  let needed = listWaitingTasks(group).length;
  let readyInMs = 0;
  for (const { worker, count, inMs } of upcoming) {
    if (needed <= 0) break;
    const taken = Math.min(needed, count);
    needed -= taken;
    readyInMs = inMs;
    slots.set(worker, (slots.get(worker) ?? 0) + taken);
  }
  if (needed > 0) return undefined;
  return { slots: [...slots].map(([worker, count]) => ({ worker, count })), readyInMs };
}

/** Subtracts the reserved slots from the free resources of their workers; adds them back with `sign` -1. */
export function applyReservation(group: TaskGroup, reservation: GangReservation, sign = 1): void {
  for (const { worker, count } of reservation.slots) {
    addResources(worker.free, group.spec.demand, -count * sign);
  }
}
