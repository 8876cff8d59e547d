import { TaskPhase } from './group.ts';
import type { TaskGroup } from './group.ts';
import { countRoom, getComingRoom, listWaiting } from './packing.ts';
import { getTaskMs } from './ranking.ts';
import { addResources } from './resources.ts';
import type { PlacedTask, WorkerView } from './worker.ts';

/** Room that is gathered for a group while the work in it ends by itself. */
export interface Gathering {
  slots: { worker: WorkerView; count: number }[];
  /** Time until all of the room is free if the declared run times hold, in milliseconds. */
  readyInMs: number;
}

/** A run beyond its declared time is expected to last for this part of it. */
const overrunShare = 0.2;
const minRemainingMs = 200;

/** Time for which a run is expected to go on, in milliseconds. */
export function getRemainingMs({ group, task }: PlacedTask, nowMs: number): number {
  const declaredMs = getTaskMs(group.spec);
  const ranMs = task.startedAtMs > 0 ? nowMs - task.startedAtMs : 0;
  return Math.max(declaredMs - ranMs, declaredMs * overrunShare, minRemainingMs);
}

interface Opening {
  worker: WorkerView;
  count: number;
  inMs: number;
}

/** Slots that open on a worker as its runs end, in the order of their times. */
function listOpenings(group: TaskGroup, worker: WorkerView, nowMs: number): Opening[] {
  const room = getComingRoom(worker);
  let count = countRoom(group, worker, room);
  const openings: Opening[] = count > 0 ? [{ worker, count, inMs: 0 }] : [];
  const ends = worker.placed
    .filter(({ task }) => task.phase !== TaskPhase.Stopping)
    .map((placed) => ({ placed, inMs: getRemainingMs(placed, nowMs) }))
    .sort((a, b) => a.inMs - b.inMs);
  for (const { placed, inMs } of ends) {
    addResources(room, placed.group.spec.demand);
    const next = countRoom(group, worker, room);
    if (next <= count) continue;
    openings.push({ worker, count: next - count, inMs });
    count = next;
  }
  return openings;
}

/**
 * Finds the room on `workers` that is free soonest for all waiting tasks of a group; `undefined` if they
 * could not hold it. It answers wide gangs on a busy fleet: without room gathered for them smaller work
 * takes each free accelerator, and room that was chosen by loss, the youngest work, is free last.
 */
export function planGathering(
  group: TaskGroup,
  workers: readonly WorkerView[],
  nowMs: number,
): Gathering | undefined {
  const openings = workers
    .flatMap((worker) => listOpenings(group, worker, nowMs))
    .sort((a, b) => a.inMs - b.inMs);
  const slots = new Map<WorkerView, number>();
  let needed = listWaiting(group).length;
  let readyInMs = 0;
  for (const { worker, count, inMs } of openings) {
    if (needed <= 0) break;
    const taken = Math.min(needed, count);
    needed -= taken;
    readyInMs = inMs;
    slots.set(worker, (slots.get(worker) ?? 0) + taken);
  }
  if (needed > 0) return undefined;
  return { slots: [...slots].map(([worker, count]) => ({ worker, count })), readyInMs };
}

/** Takes the gathered room from its workers, or gives it back with `sign` -1. */
export function takeGathering(group: TaskGroup, gathering: Gathering, sign = 1): void {
  for (const { worker, count } of gathering.slots) {
    addResources(worker.free, group.spec.demand, -count * sign);
  }
}
