import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import { countRoom, getComingRoom, listWaiting } from './packing.ts';
import { addResources, getCoreEquivalent } from './resources.ts';
import type { PlacedTask, WorkerView } from './worker.ts';

const msPerSecond = 1000;
/** Penalty in core-seconds for each task that is stopped, so that few are. */
const stopCost = 5;
/** A stopped task that saves its progress loses its restart only, in core-seconds per core. */
const restoreSeconds = 0.5;

/** Decides which running work may be stopped for a group. */
export type VictimRule = (victim: TaskGroup) => boolean;

/** Core-seconds that stopping one task loses. */
export function getStopLoss({ group, task }: PlacedTask, nowMs: number): number {
  const cores = getCoreEquivalent(group.spec.demand);
  if (group.spec.isCheckpointing) return stopCost + cores * restoreSeconds;
  const ranMs = task.startedAtMs > 0 ? Math.max(0, nowMs - task.startedAtMs) : 0;
  return stopCost + (cores * ranMs) / msPerSecond;
}

/** Tasks that end when one task is stopped: all members of a gang. */
export function listAffected(victim: PlacedTask): PlacedTask[] {
  if (!victim.group.spec.isGang) return [victim];
  return victim.group.tasks.filter(isOccupying).map((task) => ({ group: victim.group, task }));
}

interface Option {
  worker: WorkerView;
  victims: PlacedTask[];
  slots: number;
  cost: number;
}

/** Loss of stopping a victim; a gang counts whole, shared out over its members on the worker. */
function getSharedLoss(victim: PlacedTask, nowMs: number): number {
  return listAffected(victim).reduce((sum, one) => sum + getStopLoss(one, nowMs), 0);
}

/** Lists ways of clearing a worker, each freeing more slots than the one before. */
function listOptions(
  group: TaskGroup,
  worker: WorkerView,
  canStop: VictimRule,
  nowMs: number,
): Option[] {
  const room = getComingRoom(worker);
  const options: Option[] = [];
  let slots = countRoom(group, worker, room);
  if (slots > 0) options.push({ worker, victims: [], slots, cost: 0 });
  const candidates = worker.placed
    .filter(({ group: owner, task }) => task.phase === TaskPhase.Running && canStop(owner))
    .map((victim) => ({ victim, loss: getSharedLoss(victim, nowMs) }))
    .sort((a, b) => a.loss - b.loss);
  const victims: PlacedTask[] = [];
  const counted = new Set<TaskGroup>();
  let cost = 0;
  for (const { victim, loss } of candidates) {
    const isCounted = victim.group.spec.isGang && counted.has(victim.group);
    counted.add(victim.group);
    cost += isCounted ? 0 : loss;
    victims.push(victim);
    addResources(room, victim.group.spec.demand);
    const now = countRoom(group, worker, room);
    if (now <= slots) continue;
    slots = now;
    options.push({ worker, victims: [...victims], slots, cost });
  }
  return options;
}

/** The cheapest option by loss per slot, among those that free at most what is needed. */
function chooseOption(options: readonly Option[], needed: number): Option | undefined {
  let best: Option | undefined;
  for (const option of options) {
    const value = option.cost / Math.min(option.slots, needed);
    if (best === undefined || value < best.cost / Math.min(best.slots, needed)) best = option;
  }
  return best;
}

/** Tasks to stop and the workers that will then have the room. */
export interface Clearing {
  victims: PlacedTask[];
  workers: { worker: WorkerView; slots: number }[];
  cost: number;
}

/** Plans to clear room for all waiting tasks of a group on `workers`; `undefined` if impossible. */
export function planClearing(
  group: TaskGroup,
  workers: readonly WorkerView[],
  canStop: VictimRule,
  nowMs: number,
): Clearing | undefined {
  let needed = listWaiting(group).length;
  const open = workers.map((worker) => listOptions(group, worker, canStop, nowMs));
  const clearing: Clearing = { victims: [], workers: [], cost: 0 };
  while (needed > 0) {
    let best: Option | undefined;
    for (const options of open) {
      const option = chooseOption(options, needed);
      if (option === undefined) continue;
      const isBetter =
        best === undefined ||
        option.cost / Math.min(option.slots, needed) < best.cost / Math.min(best.slots, needed);
      if (isBetter) best = option;
    }
    if (best === undefined) return undefined;
    const chosen = best;
    const index = open.findIndex((options) => options.includes(chosen));
    open.splice(index, 1);
    const slots = Math.min(chosen.slots, needed);
    needed -= slots;
    clearing.victims.push(...chosen.victims);
    clearing.workers.push({ worker: chosen.worker, slots });
    clearing.cost += chosen.cost;
  }
  return clearing;
}

/** Reserves the cleared room, so that work ranked lower does not take it. */
export function takeClearing(group: TaskGroup, clearing: Clearing): void {
  for (const { worker, slots } of clearing.workers) {
    addResources(worker.free, group.spec.demand, -slots);
  }
}

/** Tasks of a clearing without duplicates, whole gangs included. */
export function listStops(clearing: Clearing): PlacedTask[] {
  const seen = new Set<Task>();
  const stops: PlacedTask[] = [];
  for (const victim of clearing.victims.flatMap(listAffected)) {
    if (seen.has(victim.task)) continue;
    seen.add(victim.task);
    stops.push(victim);
  }
  return stops;
}
