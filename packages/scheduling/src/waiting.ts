import { isOccupying } from './group.ts';
import type { TaskGroup } from './group.ts';
import {
  countRoom,
  getFreeRoom,
  groupByRack,
  isAdmitted,
  isMember,
  isTrusted,
  listWaiting,
} from './packing.ts';
import type { WorkerView } from './worker.ts';

/** Why a group that is ready has waiting tasks after a plan. */
export enum WaitReason {
  /** No worker of its pool with its label is usable. */
  NoWorker = 'no_worker',
  /** The usable workers could not hold it even if all of them were empty. */
  TooLarge = 'too_large',
  /** Members of its former run have not ended yet. */
  Ending = 'ending',
  /** Other work is being stopped for it. */
  Clearing = 'clearing',
  /** There is room, but not in one rack or not near its data. */
  Rack = 'rack',
  /** There is room on workers that are suspect or paused after failures. */
  Trust = 'trust',
  /** There is room on workers that are set aside for urgent work. */
  Reserved = 'reserved',
  /** The room that is left does not suffice. */
  NoRoom = 'no_room',
}

/** A group that waits, with its place in the order of the plan. */
export interface Wait {
  group: TaskGroup;
  ageMs: number;
  /** Whether other work is being stopped for it. */
  isClearing: boolean;
  /** Groups that were planned before it. */
  ahead: number;
}

function sumRoom(workers: readonly WorkerView[], count: (worker: WorkerView) => number): number {
  return workers.reduce((sum, worker) => sum + count(worker), 0);
}

/**
 * Finds out why a group got nothing, or not all, from a plan. `workers` have the room that the plan
 * left. It looks at each worker several times, so it is for logs and not for each plan.
 */
export function findWaitReason(
  { group, isClearing }: Wait,
  workers: readonly WorkerView[],
): WaitReason {
  if (group.spec.isGang && group.tasks.some(isOccupying)) return WaitReason.Ending;
  const members = workers.filter((worker) => isMember(group, worker));
  if (members.length === 0) return WaitReason.NoWorker;
  const needed = group.spec.isGang ? listWaiting(group).length : 1;
  const countWhole = (worker: WorkerView): number =>
    countRoom(group, { ...worker, maxStarts: Infinity }, worker.capacity);
  if (sumRoom(members, countWhole) < needed) return WaitReason.TooLarge;
  if (isClearing) return WaitReason.Clearing;
  const countFree = (worker: WorkerView): number =>
    countRoom(group, { ...worker, maxStarts: Infinity }, getFreeRoom(worker));
  if (sumRoom(members, countFree) < needed) return WaitReason.NoRoom;
  const trusted = members.filter((worker) => worker.maxStarts > 0 && isTrusted(group, worker));
  if (sumRoom(trusted, countFree) < needed) return WaitReason.Trust;
  const admitted = trusted.filter((worker) => isAdmitted(group, worker));
  if (sumRoom(admitted, countFree) < needed) return WaitReason.Reserved;
  const isBound = group.spec.isRackBound || group.spec.preferredRack !== '';
  const racks = [...groupByRack(admitted).values()];
  const isSplit = racks.every((rack) => sumRoom(rack, countFree) < needed);
  return isBound || isSplit ? WaitReason.Rack : WaitReason.NoRoom;
}
