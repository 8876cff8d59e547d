import { createOpenGroup } from './advice.ts';
import { isOccupying } from './group.ts';
import type { TaskGroup } from './group.ts';
import {
  countFittingTasks,
  getFreeResources,
  groupByRack,
  isAdmitted,
  isCompatible,
  isAllowedByHealth,
  listWaitingTasks,
} from './packing.ts';
import type { WorkerView } from './worker.ts';

/** Why a ready group still has waiting tasks after a plan. */
export enum WaitReason {
  /** No worker is in its pool and has its label, or its policy has refused all that are. */
  NoWorker = 'no_worker',
  /** The compatible workers could not hold it even if all of them were empty. */
  TooLarge = 'too_large',
  /** It may crash its worker, and no worker is free of other jobs for it yet. */
  Isolated = 'isolated',
  /** Members of its previous run have not ended yet. */
  PreviousRun = 'previous_run',
  /** Other work is being preempted for it. */
  Preempting = 'preempting',
  /** There is room, but the advisor has not given tickets for it. */
  Ticket = 'ticket',
  /** There is room, but not in one rack or not in its preferred rack. */
  Rack = 'rack',
  /** There is room only on workers that are suspect or paused after failures. */
  Unhealthy = 'unhealthy',
  /** There is room only on workers that are reserved for urgent work. */
  Reserved = 'reserved',
  /** The free resources do not suffice. */
  NoRoom = 'no_room',
}

/** A group with waiting tasks, and its position in the plan. */
export interface Wait {
  group: TaskGroup;
  ageMs: number;
  /** Whether other work is being preempted for it. */
  isPreempting: boolean;
  /** Number of groups that were planned before it. */
  ahead: number;
}

function sumFitting(workers: readonly WorkerView[], count: (worker: WorkerView) => number): number {
  return workers.reduce((sum, worker) => sum + count(worker), 0);
}

/**
 * Finds out why a plan did not start all tasks of a group. `workers` hold the free resources that the
 * plan left. It visits each worker several times, so it is meant for logs, not for every plan.
 */
export function findWaitReason(
  { group, isPreempting }: Wait,
  workers: readonly WorkerView[],
): WaitReason {
  if (group.spec.isGang && group.tasks.some(isOccupying)) return WaitReason.PreviousRun;
  if (group.isIsolated === true) return WaitReason.Isolated;
  const open = createOpenGroup(group, workers);
  const possible = workers.filter((worker) => isCompatible(open, worker));
  if (possible.length === 0) return WaitReason.NoWorker;
  const needed = group.spec.isGang ? listWaitingTasks(group).length : 1;
  const countWhole = (worker: WorkerView): number =>
    countFittingTasks(open, { ...worker, maxStarts: Infinity }, worker.capacity);
  if (sumFitting(possible, countWhole) < needed) return WaitReason.TooLarge;
  if (isPreempting) return WaitReason.Preempting;
  const countFree = (worker: WorkerView): number =>
    countFittingTasks(open, { ...worker, maxStarts: Infinity }, getFreeResources(worker));
  if (sumFitting(possible, countFree) < needed) return WaitReason.NoRoom;
  const compatible = possible.filter((worker) => isCompatible(group, worker));
  if (sumFitting(compatible, countFree) < needed) return WaitReason.Ticket;
  const healthy = compatible.filter(
    (worker) => worker.maxStarts > 0 && isAllowedByHealth(group, worker),
  );
  if (sumFitting(healthy, countFree) < needed) return WaitReason.Unhealthy;
  const admitted = healthy.filter((worker) => isAdmitted(group, worker));
  if (sumFitting(admitted, countFree) < needed) return WaitReason.Reserved;
  const isBound = group.spec.isRackBound || group.spec.preferredRack !== '';
  const racks = [...groupByRack(admitted).values()];
  const isSplit = racks.every((rack) => sumFitting(rack, countFree) < needed);
  return isBound || isSplit ? WaitReason.Rack : WaitReason.NoRoom;
}
