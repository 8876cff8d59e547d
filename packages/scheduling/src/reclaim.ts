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

/** Ways of clearing one worker; those up to `chosen` are taken. */
interface Choice {
  worker: WorkerView;
  options: readonly Option[];
  chosen: Option;
}

/** What an option adds to the one chosen so far. */
function getExtraLoss(choice: Choice, option: Option, needed: number): number {
  const slots = Math.min(option.slots - choice.chosen.slots, needed);
  return (option.cost - choice.chosen.cost) / slots;
}

/** The next option of a worker with the least loss per slot that it adds. */
function findBestOption(choice: Choice, needed: number): Option | undefined {
  let best: Option | undefined;
  for (const option of choice.options) {
    if (option.slots <= choice.chosen.slots) continue;
    const loss = getExtraLoss(choice, option, needed);
    if (best === undefined || loss < getExtraLoss(choice, best, needed)) best = option;
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
  const choices: Choice[] = workers.map((worker) => ({
    worker,
    options: listOptions(group, worker, canStop, nowMs),
    chosen: { worker, victims: [], slots: 0, cost: 0 },
  }));
  while (needed > 0) {
    let best: { choice: Choice; option: Option } | undefined;
    for (const choice of choices) {
      const option = findBestOption(choice, needed);
      if (option === undefined) continue;
      const isBetter =
        best === undefined ||
        getExtraLoss(choice, option, needed) < getExtraLoss(best.choice, best.option, needed);
      if (isBetter) best = { choice, option };
    }
    if (best === undefined) return undefined;
    needed -= best.option.slots - best.choice.chosen.slots;
    best.choice.chosen = best.option;
  }
  const taken = choices.filter(({ chosen }) => chosen.slots > 0);
  let left = listWaiting(group).length;
  return {
    victims: taken.flatMap(({ chosen }) => chosen.victims),
    cost: taken.reduce((sum, { chosen }) => sum + chosen.cost, 0),
    workers: taken.map(({ worker, chosen }) => {
      const slots = Math.min(chosen.slots, left);
      left -= slots;
      return { worker, slots };
    }),
  };
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
