import { isOccupying } from './group.ts';
import type { TaskGroup } from './group.ts';
import {
  countFittingTasks,
  getFreeResources,
  listLocalSets,
  listWaitingTasks,
  placeGang,
  placeTasks,
} from './packing.ts';
import type { Placement, Spread } from './packing.ts';
import { urgentPriority } from './submission.ts';
import type { WorkerView } from './worker.ts';

/** What the policy of a queue has decided for one group. It does not change during the life of a worker. */
export interface PolicyDecisions {
  /** Ids of admitted workers, with or without a valid ticket. */
  admitted: ReadonlySet<string>;
  /** Ids of refused workers. */
  refused: ReadonlySet<string>;
}

/** What a group needs advice for. */
export enum AdvicePurpose {
  /** It would start now on workers for which it has no valid ticket. */
  Start = 'start',
  /** It cannot start yet, and too few workers are known to be admitted to plan ahead for it. */
  Decision = 'decision',
}

/** A group that waits for advice after a plan. */
export interface AdviceRequest {
  group: TaskGroup;
  purpose: AdvicePurpose;
  /** Workers without a valid ticket that it would start on, admitted ones first; empty for decisions. */
  workerIds: string[];
}

/** The group as far as decisions go, regardless of tickets: work that is planned ahead starts later. */
export function createDecidedGroup(group: TaskGroup): TaskGroup {
  if (group.decisions === undefined) return group;
  return { ...group, allowedWorkers: group.decisions.admitted };
}

/** The group as if the policy admitted all workers on which it has not decided. */
export function createOpenGroup(
  group: TaskGroup,
  workers: readonly { readonly id: string }[],
): TaskGroup {
  const { decisions } = group;
  if (decisions === undefined) return group;
  const open = workers.filter(({ id }) => !decisions.refused.has(id));
  return { ...group, allowedWorkers: new Set(open.map(({ id }) => id)) };
}

function isDecided({ decisions }: TaskGroup, workerId: string): boolean {
  return decisions?.admitted.has(workerId) === true || decisions?.refused.has(workerId) === true;
}

function placeGroup(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
): readonly Placement[] {
  if (group.spec.isGang) return placeGang(group, workers, spread) ?? [];
  return placeTasks(group, workers, spread);
}

/**
 * Workers that the waiting tasks of a group would start on if it had tickets for all workers that are not refused; as far
 * as possible admitted ones.
 */
function listStartWorkers(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
): WorkerView[] {
  const admitted = placeGroup(createDecidedGroup(group), workers, spread);
  if (admitted.length >= listWaitingTasks(group).length) return admitted.map(getWorker);
  const placed = new Set(admitted.map(({ task }) => task));
  const rest = { ...group, tasks: group.tasks.filter((task) => !placed.has(task)) };
  const others = placeGroup(createOpenGroup(rest, workers), workers, spread);
  return [...admitted, ...others].map(getWorker);
}

function getWorker({ worker }: Placement): WorkerView {
  return worker;
}

/** Tasks of a group that some workers would hold if they were empty. */
function countWhole(group: TaskGroup, workers: readonly WorkerView[]): number {
  const isolatedFor = group.isIsolated === true ? group.job.id : undefined;
  const empty = { placed: [], hasOrphans: false, maxStarts: Infinity, isolatedFor };
  return workers.reduce(
    (sum, worker) => sum + countFittingTasks(group, { ...worker, ...empty }, worker.capacity),
    0,
  );
}

/** Whether work is planned ahead for a group: by preemption, by a reservation or on a worker kept for it. */
function isPlannedAhead({ spec, job, isIsolated }: TaskGroup): boolean {
  return spec.isGang || job.rules.priority === urgentPriority || isIsolated === true;
}

/** Whether planning ahead for a group needs decisions on more workers, and these could suffice. */
function hasTooFewDecisions(group: TaskGroup, workers: readonly WorkerView[]): boolean {
  if (!isPlannedAhead(group)) return false;
  const needed = group.isIsolated === true ? 1 : listWaitingTasks(group).length;
  const open = createOpenGroup(group, workers);
  const sets = listLocalSets(group, workers).filter((set) => countWhole(open, set) >= needed);
  if (sets.length === 0) sets.push([...workers]);
  const decided = createDecidedGroup(group);
  if (sets.some((set) => countWhole(decided, set) >= needed)) return false;
  const openCount = Math.max(...sets.map((set) => countWhole(open, set)));
  return group.spec.isGang ? openCount >= needed : openCount > countWhole(decided, workers);
}

/**
 * Finds out what a group that a plan leaves waiting needs advice for; `undefined` if advice would not help it. `reservedWorkers`
 * are the workers on which room is being made or kept for it. A group that could not start even if all undecided workers
 * were admitted asks for nothing, so that it takes no calls from others.
 */
export function findAdviceRequest(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
  reservedWorkers?: readonly WorkerView[],
): AdviceRequest | undefined {
  if (listWaitingTasks(group).length === 0) return undefined;
  if (group.spec.isGang && group.tasks.some(isOccupying)) return undefined;
  const wanted = reservedWorkers ?? listStartWorkers(group, workers, spread);
  const ids = [...new Set(wanted.map(({ id }) => id))]
    .filter((id) => group.allowedWorkers?.has(id) !== true)
    .sort((a, b) => Number(isDecided(group, b)) - Number(isDecided(group, a)));
  if (ids.length > 0) return { group, purpose: AdvicePurpose.Start, workerIds: ids };
  if (reservedWorkers !== undefined || !hasTooFewDecisions(group, workers)) return undefined;
  return { group, purpose: AdvicePurpose.Decision, workerIds: [] };
}

/**
 * Undecided workers that a call for a request may name in addition, best first: those in the preferred rack, for rack-bound
 * groups those in the rack with the most room, then those with the most room. A start needs room now.
 */
export function listSpareWorkers(
  { group, purpose, workerIds }: AdviceRequest,
  workers: readonly WorkerView[],
): string[] {
  const open = createOpenGroup(group, workers);
  const named = new Set(workerIds);
  const isStart = purpose === AdvicePurpose.Start;
  const choices = workers
    .filter(({ id }) => !isDecided(group, id))
    .map((worker) => ({
      worker,
      slots: isStart
        ? countFittingTasks(open, worker, getFreeResources(worker))
        : countWhole(open, [worker]),
    }));
  const rackSlots = new Map<string, number>();
  for (const { worker, slots } of choices) {
    rackSlots.set(worker.rack, (rackSlots.get(worker.rack) ?? 0) + slots);
  }
  const { preferredRack, isRackBound } = group.spec;
  const getRackScore = (rack: string): number => {
    if (rack === preferredRack) return Infinity;
    return isRackBound ? (rackSlots.get(rack) ?? 0) : 0;
  };
  return choices
    .filter(({ worker, slots }) => slots > 0 && !named.has(worker.id))
    .map(({ worker, slots }) => ({ id: worker.id, slots, rackScore: getRackScore(worker.rack) }))
    .sort((a, b) => compareNumbers(b.rackScore, a.rackScore) || b.slots - a.slots)
    .map(({ id }) => id);
}

/** Unlike a difference, it is defined for two infinite values. */
function compareNumbers(a: number, b: number): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
