import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import { addResources, countFitting, getDominantShare } from './resources.ts';
import type { Resources } from './resources.ts';
import { urgentPriority } from './submission.ts';
import { Reservation } from './urgentshare.ts';
import type { WorkerView } from './worker.ts';

/** Attempts that a group must have left to be tried on a suspect worker. */
const minProbeAttempts = 2;

/** A task with the worker chosen for it. */
export interface Placement {
  task: Task;
  worker: WorkerView;
}

/** Which room of a worker counts. */
export type RoomReader = (worker: WorkerView) => Resources;

/** Room that is free now. */
export const getFreeRoom: RoomReader = (worker) => worker.free;

/** Room that is free once the stops under way are done. */
export const getComingRoom: RoomReader = (worker) => {
  const room = { ...worker.free };
  addResources(room, worker.releasing);
  return room;
};

/** Whether a worker is of the pool of a group, has its label and is admitted by its policy. */
export function isMember(group: TaskGroup, worker: WorkerView): boolean {
  const { requiredLabel } = group.spec;
  if (worker.pool !== group.job.pool) return false;
  if (group.allowedWorkers?.has(worker.id) === false) return false;
  return requiredLabel === '' || worker.labels.has(requiredLabel);
}

/** Whether tasks of a group may start on a worker now, room aside. */
export function isEligible(group: TaskGroup, worker: WorkerView): boolean {
  return worker.maxStarts > 0 && isMember(group, worker);
}

/** How many waiting tasks of a group a worker can take. */
export function countRoom(group: TaskGroup, worker: WorkerView, room: Resources): number {
  if (!isEligible(group, worker)) return 0;
  const fitting = Math.min(countFitting(group.spec.demand, room), worker.maxStarts);
  const { maxPerWorker } = group.spec;
  if (maxPerWorker <= 0) return fitting;
  const present = group.tasks.filter((task) => isOccupying(task) && task.workerId === worker.id);
  return Math.min(fitting, maxPerWorker - present.length);
}

/** The waiting tasks of a group. */
export function listWaiting(group: TaskGroup): Task[] {
  return group.tasks.filter((task) => task.phase === TaskPhase.Waiting);
}

function canProbe(group: TaskGroup): boolean {
  if (group.job.rules.priority === urgentPriority || group.spec.isGang) return false;
  const failures = Math.max(...group.tasks.map((task) => task.failures));
  return group.job.rules.maxAttempts - failures >= minProbeAttempts;
}

/**
 * Whether a worker's health admits a group. A worker that may fail all it starts is probed by work that
 * can afford the attempt: an urgent job would lose one of its few.
 */
export function isTrusted(group: TaskGroup, worker: WorkerView): boolean {
  return !worker.isSuspect || canProbe(group);
}

/** Whether a worker's health and reservation admit a group. */
export function isAdmitted(group: TaskGroup, worker: WorkerView): boolean {
  if (!isTrusted(group, worker)) return false;
  if (group.job.rules.priority === urgentPriority) return true;
  if (worker.reservation === Reservation.None) return true;
  return worker.reservation === Reservation.Lent && group.spec.isCheckpointing;
}

interface Slot {
  worker: WorkerView;
  count: number;
}

function listSlots(group: TaskGroup, workers: readonly WorkerView[], read: RoomReader): Slot[] {
  const slots: Slot[] = [];
  for (const worker of workers) {
    const count = isAdmitted(group, worker) ? countRoom(group, worker, read(worker)) : 0;
    if (count > 0) slots.push({ worker, count });
  }
  return slots;
}

/** Prefers reserved workers, then those that are left with the least room. */
function compareSlots(group: TaskGroup, needed: number): (a: Slot, b: Slot) => number {
  const getLeftover = ({ worker, count }: Slot): number => {
    const left = { ...worker.free };
    addResources(left, group.spec.demand, -Math.min(count, needed));
    return getDominantShare(left, worker.capacity);
  };
  const cache = new Map<Slot, number>();
  const read = (slot: Slot): number => {
    const known = cache.get(slot) ?? getLeftover(slot);
    cache.set(slot, known);
    return known;
  };
  return (a, b) => b.worker.reservation - a.worker.reservation || read(a) - read(b);
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

/** Puts each task on another worker than the one it failed on, where that is possible. */
function swapFailed(placements: Placement[]): void {
  for (const placement of placements) {
    if (placement.task.failedOn !== placement.worker.id) continue;
    const other = placements.find((one) => one.worker.id !== placement.worker.id);
    if (other === undefined) continue;
    [placement.task, other.task] = [other.task, placement.task];
  }
}

/** Workers by rack. */
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
  const placements = fillSlots(slots.sort(compareSlots(group, tasks.length)), tasks);
  swapFailed(placements);
  return placements;
}

/** Racks in which a rack-bound group or one with local data runs at full speed. */
function listGoodRacks(group: TaskGroup, racks: ReadonlyMap<string, WorkerView[]>): string[] {
  if (group.spec.preferredRack !== '') {
    return racks.has(group.spec.preferredRack) ? [group.spec.preferredRack] : [];
  }
  return [...racks.keys()];
}

/** Sets of workers in which a group that is bound to a rack, or has local data, runs at full speed. */
export function listLocalSets(group: TaskGroup, workers: readonly WorkerView[]): WorkerView[][] {
  if (!group.spec.isRackBound && group.spec.preferredRack === '') return [];
  const racks = groupByRack(workers);
  return listGoodRacks(group, racks).map((rack) => racks.get(rack) ?? []);
}

/** Places all waiting tasks inside one rack, the one that is left with the fewest slots. */
function placeOneRack(
  group: TaskGroup,
  workers: readonly WorkerView[],
  read: RoomReader,
): Placement[] | undefined {
  const tasks = listWaiting(group);
  const racks = groupByRack(workers);
  let best: Slot[] | undefined;
  for (const rack of listGoodRacks(group, racks)) {
    const slots = listSlots(group, racks.get(rack) ?? [], read);
    const count = countSlots(slots);
    if (count < tasks.length) continue;
    if (best === undefined || count < countSlots(best)) best = slots;
  }
  return best === undefined ? undefined : placeAll(group, best, tasks);
}

/** Whether an empty rack could hold the whole group. */
export function hasRackSize(group: TaskGroup, workers: readonly WorkerView[]): boolean {
  const racks = groupByRack(workers);
  return listGoodRacks(group, racks).some((rack) => {
    const members = racks.get(rack) ?? [];
    const count = members.reduce(
      (sum, worker) => sum + countRoom(group, worker, worker.capacity),
      0,
    );
    return count >= group.tasks.length;
  });
}

/** How freely a group may be placed. */
export enum Spread {
  /** Only where its tasks run at full speed. */
  Local = 'local',
  Anywhere = 'anywhere',
}

function isLocal(group: TaskGroup, worker: WorkerView): boolean {
  const { preferredRack } = group.spec;
  return preferredRack === '' || worker.rack === preferredRack;
}

/** Places all waiting tasks of a gang, or none. */
export function placeGang(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
  read: RoomReader = getFreeRoom,
): Placement[] | undefined {
  const isBound = group.spec.isRackBound || group.spec.preferredRack !== '';
  const local = isBound ? placeOneRack(group, workers, read) : undefined;
  if (local !== undefined || (isBound && spread === Spread.Local)) return local;
  return placeAll(group, listSlots(group, workers, read), listWaiting(group));
}

/** Places as many waiting tasks of a group as there is room for. */
export function placeSome(
  group: TaskGroup,
  workers: readonly WorkerView[],
  spread: Spread,
  read: RoomReader = getFreeRoom,
): Placement[] {
  const tasks = listWaiting(group);
  const slots = listSlots(group, workers, read);
  const near = slots.filter(({ worker }) => isLocal(group, worker));
  const far = slots.filter(({ worker }) => !isLocal(group, worker));
  const order = compareSlots(group, tasks.length);
  const usable =
    spread === Spread.Local ? near.sort(order) : [...near.sort(order), ...far.sort(order)];
  const placements = fillSlots(usable, tasks);
  swapFailed(placements);
  return placements;
}

/** Takes the room of placements from their workers. */
export function takeRoom(group: TaskGroup, placements: readonly Placement[]): void {
  for (const { worker } of placements) {
    addResources(worker.free, group.spec.demand, -1);
    worker.maxStarts -= 1;
  }
}
