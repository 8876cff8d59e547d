import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import { addResources, countFitting, getDominantShare } from './resources.ts';
import type { Resources } from './resources.ts';
import { urgentPriority } from './submission.ts';
import { UrgentReserve } from './worker.ts';
import type { WorkerView } from './worker.ts';

/** Attempts that a group must have left before it may run on a suspect worker. */
const minProbeAttemptsLeft = 2;

/** A task with the worker chosen for it. */
export interface Placement {
  task: Task;
  worker: WorkerView;
}

/** Selects the resources of a worker that a placement may use. */
export type ResourceSelector = (worker: WorkerView) => Resources;

/** Resources that are free now. */
export const getFreeResources: ResourceSelector = (worker) => worker.free;

/** Resources that are free once the tasks being stopped have ended. */
export const getFreeAfterStops: ResourceSelector = (worker) => {
  const room = { ...worker.free };
  addResources(room, worker.releasing);
  return room;
};

/** Whether a worker is in the pool of a group, has its label and is in its allowed workers. */
export function isCompatible(group: TaskGroup, worker: WorkerView): boolean {
  const { requiredLabel } = group.spec;
  if (worker.pool !== group.job.pool) return false;
  if (group.allowedWorkers?.has(worker.id) === false) return false;
  return requiredLabel === '' || worker.labels.has(requiredLabel);
}

/**
 * Whether the tasks of a group and those on a worker may share it: tasks that may crash their worker run
 * only beside tasks of their own job.
 */
export function canShare(group: TaskGroup, worker: WorkerView): boolean {
  if (group.isIsolated !== true) return worker.isolatedFor === undefined;
  if (worker.isolatedFor !== group.job.id || worker.hasOrphans) return false;
  return worker.placed.every((placed) => placed.group.job.id === group.job.id);
}

/** Whether tasks of a group may start on a worker now, regardless of free resources. */
export function isEligible(group: TaskGroup, worker: WorkerView): boolean {
  return worker.maxStarts > 0 && isCompatible(group, worker) && canShare(group, worker);
}

/** Number of tasks of a group that may start on a worker with `room` as its free resources. */
export function countFittingTasks(group: TaskGroup, worker: WorkerView, room: Resources): number {
  if (!isEligible(group, worker)) return 0;
  const fitting = Math.min(countFitting(group.spec.demand, room), worker.maxStarts);
  const { maxPerWorker } = group.spec;
  if (maxPerWorker <= 0) return fitting;
  const present = group.tasks.filter((task) => isOccupying(task) && task.workerId === worker.id);
  return Math.min(fitting, maxPerWorker - present.length);
}

/** Tasks of a group that wait for a run. */
export function listWaitingTasks(group: TaskGroup): Task[] {
  return group.tasks.filter((task) => task.phase === TaskPhase.Waiting);
}

function canProbe(group: TaskGroup): boolean {
  if (group.job.rules.priority === urgentPriority || group.spec.isGang) return false;
  const failures = Math.max(...group.tasks.map((task) => task.failures));
  return group.job.rules.maxAttempts - failures >= minProbeAttemptsLeft;
}

/**
 * Whether the health of a worker allows a group to run on it. A suspect worker may fail everything
 * that starts there, so only work with attempts to spare probes it: no gangs, and no urgent jobs,
 * which have only a few attempts.
 */
export function isAllowedByHealth(group: TaskGroup, worker: WorkerView): boolean {
  return !worker.isSuspect || canProbe(group);
}

/** Whether the health of a worker and its urgent reserve allow a group to run on it. */
export function isAdmitted(group: TaskGroup, worker: WorkerView): boolean {
  if (!isAllowedByHealth(group, worker)) return false;
  if (group.job.rules.priority === urgentPriority) return true;
  if (worker.urgentReserve === UrgentReserve.None) return true;
  return worker.urgentReserve === UrgentReserve.CheckpointingOnly && group.spec.isCheckpointing;
}

interface Slot {
  worker: WorkerView;
  count: number;
}

function listSlots(
  group: TaskGroup,
  workers: readonly WorkerView[],
  getResources: ResourceSelector,
): Slot[] {
  const slots: Slot[] = [];
  for (const worker of workers) {
    const count = isAdmitted(group, worker)
      ? countFittingTasks(group, worker, getResources(worker))
      : 0;
    if (count > 0) slots.push({ worker, count });
  }
  return slots;
}

function hasSpeeds(slots: readonly Slot[]): boolean {
  return slots.some(({ worker }) => worker.speedClass !== 0);
}

/**
 * The slowest speed class that a group needs for `needed` tasks, if it takes the fastest workers; `undefined` if
 * not all of them fit.
 */
function findPace(slots: readonly Slot[], needed: number): number | undefined {
  if (!hasSpeeds(slots)) return countSlots(slots) >= needed ? 0 : undefined;
  let count = 0;
  for (const slot of [...slots].sort((a, b) => b.worker.speedClass - a.worker.speedClass)) {
    count += slot.count;
    if (count >= needed) return slot.worker.speedClass;
  }
  return undefined;
}

/**
 * Orders speed classes, lowest rank first. A group ends with its slowest task, so it takes the slowest of the
 * workers that keep its pace and leaves faster ones to others. Without a pace the fastest go first.
 */
function createSpeedRank(slots: readonly Slot[], needed: number): (speedClass: number) => number {
  if (!hasSpeeds(slots)) return () => 0;
  const pace = findPace(slots, needed);
  if (pace === undefined) return (speedClass) => -speedClass;
  return (speedClass) => (speedClass >= pace ? speedClass - pace : Number.MAX_SAFE_INTEGER);
}

/**
 * Orders workers of the urgent reserve first, then by best fit (least resources left after placement), then by
 * speed. Speed before fit scattered small tasks over fast workers, so that wide gangs waited for room.
 */
function compareSlots(
  group: TaskGroup,
  slots: readonly Slot[],
  needed: number,
): (a: Slot, b: Slot) => number {
  const getSpeedRank = createSpeedRank(slots, needed);
  const getLeftover = ({ worker, count }: Slot): number => {
    const left = { ...worker.free };
    addResources(left, group.spec.demand, -Math.min(count, needed));
    return getDominantShare(left, worker.capacity);
  };
  const cache = new Map<Slot, number>();
  const getCachedLeftover = (slot: Slot): number => {
    const leftover = cache.get(slot) ?? getLeftover(slot);
    cache.set(slot, leftover);
    return leftover;
  };
  return (a, b) =>
    b.worker.urgentReserve - a.worker.urgentReserve ||
    getCachedLeftover(a) - getCachedLeftover(b) ||
    getSpeedRank(a.worker.speedClass) - getSpeedRank(b.worker.speedClass);
}

function fillSlots(slots: readonly Slot[], tasks: readonly Task[]): Placement[] {
  const placements: Placement[] = [];
  for (const { worker, count } of slots) {
    const taken = tasks.slice(placements.length, placements.length + count);
    placements.push(...taken.map((task) => ({ task, worker })));
    if (placements.length === tasks.length) break;
  }
  return placements;
}

/** Swaps workers between placements so that a task does not retry on the worker it failed on last. */
function replaceFailedWorkers(placements: Placement[]): void {
  for (const placement of placements) {
    if (placement.task.lastFailedWorkerId !== placement.worker.id) continue;
    const other = placements.find((one) => one.worker.id !== placement.worker.id);
    if (other === undefined) continue;
    [placement.task, other.task] = [other.task, placement.task];
  }
}

/** Groups workers by rack; keeps their order. */
export function groupByRack(workers: readonly WorkerView[]): Map<string, WorkerView[]> {
  const racks = new Map<string, WorkerView[]>();
  for (const worker of workers) {
    const members = racks.get(worker.rack);
    if (members === undefined) racks.set(worker.rack, [worker]);
    else members.push(worker);
  }
  return racks;
}

function countSlots(slots: readonly Slot[]): number {
  return slots.reduce((sum, { count }) => sum + count, 0);
}

function placeAll(
  group: TaskGroup,
  slots: Slot[],
  tasks: readonly Task[],
): Placement[] | undefined {
  if (countSlots(slots) < tasks.length) return undefined;
  const placements = fillSlots(slots.sort(compareSlots(group, slots, tasks.length)), tasks);
  replaceFailedWorkers(placements);
  return placements;
}

/** Racks in which a rack-bound group, or one with a preferred rack, runs at full speed. */
function listLocalRacks(group: TaskGroup, racks: ReadonlyMap<string, WorkerView[]>): string[] {
  if (group.spec.preferredRack !== '') {
    return racks.has(group.spec.preferredRack) ? [group.spec.preferredRack] : [];
  }
  return [...racks.keys()];
}

/**
 * Workers of each rack in which a rack-bound group, or one with a preferred rack, runs at full speed;
 * empty for other groups.
 */
export function listLocalSets(group: TaskGroup, workers: readonly WorkerView[]): WorkerView[][] {
  if (!group.spec.isRackBound && group.spec.preferredRack === '') return [];
  const racks = groupByRack(workers);
  return listLocalRacks(group, racks).map((rack) => racks.get(rack) ?? []);
}

/** Places all waiting tasks in one rack: the one with the fewest slots, and of those the one with the fastest pace. */
function placeOneRack(
  group: TaskGroup,
  workers: readonly WorkerView[],
  getResources: ResourceSelector,
): Placement[] | undefined {
  const tasks = listWaitingTasks(group);
  const racks = groupByRack(workers);
  let best: { slots: Slot[]; pace: number; count: number } | undefined;
  for (const rack of listLocalRacks(group, racks)) {
    const slots = listSlots(group, racks.get(rack) ?? [], getResources);
    const count = countSlots(slots);
    if (count < tasks.length) continue;
    const pace = findPace(slots, tasks.length) ?? 0;
    const isBetter =
      best === undefined || count < best.count || (count === best.count && pace > best.pace);
    if (isBetter) best = { slots, pace, count };
  }
  return best === undefined ? undefined : placeAll(group, best.slots, tasks);
}

/** Whether some rack could hold the whole group if it were empty. */
export function canFitRack(group: TaskGroup, workers: readonly WorkerView[]): boolean {
  const racks = groupByRack(workers);
  return listLocalRacks(group, racks).some((rack) => {
    const members = racks.get(rack) ?? [];
    const count = members.reduce(
      (sum, worker) => sum + countFittingTasks(group, worker, worker.capacity),
      0,
    );
    return count >= group.tasks.length;
  });
}

/** Locality constraint of a placement. */
export enum Spread {
  /** Only where the tasks run at full speed. */
  Local = 'local',
  Anywhere = 'anywhere',
}

function isLocal(group: TaskGroup, worker: WorkerView): boolean {
  const { preferredRack } = group.spec;
  return preferredRack === '' || worker.rack === preferredRack;
}

/** Places all waiting tasks of a gang; `undefined` if not all of them fit. */
export function placeGang(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
  getResources: ResourceSelector = getFreeResources,
): Placement[] | undefined {
  const isBound = group.spec.isRackBound || group.spec.preferredRack !== '';
  const local = isBound ? placeOneRack(group, workers, getResources) : undefined;
  if (local !== undefined || (isBound && spread === Spread.Local)) return local;
  return placeAll(group, listSlots(group, workers, getResources), listWaitingTasks(group));
}

/** Places as many waiting tasks of a group as fit. */
export function placeTasks(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
  getResources: ResourceSelector = getFreeResources,
): Placement[] {
  const tasks = listWaitingTasks(group);
  const slots = listSlots(group, workers, getResources);
  const local = slots.filter(({ worker }) => isLocal(group, worker));
  const remote = slots.filter(({ worker }) => !isLocal(group, worker));
  const order = compareSlots(group, slots, tasks.length);
  const usable =
    spread === Spread.Local ? local.sort(order) : [...local.sort(order), ...remote.sort(order)];
  const placements = fillSlots(usable, tasks);
  replaceFailedWorkers(placements);
  return placements;
}

/** Subtracts the resources of placements from the free resources of their workers. */
export function reservePlacements(group: TaskGroup, placements: readonly Placement[]): void {
  for (const { worker } of placements) {
    addResources(worker.free, group.spec.demand, -1);
    worker.maxStarts -= 1;
  }
}
