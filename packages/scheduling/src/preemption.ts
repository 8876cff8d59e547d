import { TaskPhase } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import { listAffectedTasks } from './loss.ts';
import { countFittingTasks, getFreeAfterStops, listWaitingTasks } from './packing.ts';
import { addResources } from './resources.ts';
import type { PlacedTask, WorkerView } from './worker.ts';

/** Whether the tasks of a running group may be preempted. */
export type VictimRule = (victim: TaskGroup) => boolean;

/** Loss by stopping a victim with everything that ends with it. */
export type StopLossRule = (victim: PlacedTask) => number;

interface PreemptionOption {
  worker: WorkerView;
  victims: PlacedTask[];
  slots: number;
  cost: number;
}

/** Lists sets of victims on a worker, least loss first; each set frees more slots than the one before. */
function listOptions(
  group: TaskGroup,
  worker: WorkerView,
  canPreempt: VictimRule,
  getLoss: StopLossRule,
): PreemptionOption[] {
  const room = getFreeAfterStops(worker);
  const options: PreemptionOption[] = [];
  let slots = countFittingTasks(group, worker, room);
  if (slots > 0) options.push({ worker, victims: [], slots, cost: 0 });
  const candidates = worker.placed
    .filter(({ group: owner, task }) => task.phase === TaskPhase.Running && canPreempt(owner))
    .map((victim) => ({ victim, loss: getLoss(victim) }))
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
    const slotsNow = countFittingTasks(group, worker, room);
    if (slotsNow <= slots) continue;
    slots = slotsNow;
    options.push({ worker, victims: [...victims], slots, cost });
  }
  return options;
}

/** Preemption options of one worker, with the one chosen so far. */
interface WorkerChoice {
  worker: WorkerView;
  options: readonly PreemptionOption[];
  chosen: PreemptionOption;
}

/** Added loss per added slot of an option, compared with the one chosen so far. */
function getExtraLoss(choice: WorkerChoice, option: PreemptionOption, needed: number): number {
  const slots = Math.min(option.slots - choice.chosen.slots, needed);
  return (option.cost - choice.chosen.cost) / slots;
}

/** Finds the larger option of a worker with the least added loss per added slot. */
function findBestOption(choice: WorkerChoice, needed: number): PreemptionOption | undefined {
  let best: PreemptionOption | undefined;
  for (const option of choice.options) {
    if (option.slots <= choice.chosen.slots) continue;
    const loss = getExtraLoss(choice, option, needed);
    if (best === undefined || loss < getExtraLoss(choice, best, needed)) best = option;
  }
  return best;
}

/** Tasks to stop, and the free and freed slots for the group; `cost` is in the unit of the loss rule. */
export interface PreemptionPlan {
  victims: PlacedTask[];
  workers: { worker: WorkerView; slots: number }[];
  cost: number;
}

/**
 * Plans a preemption that makes room for all waiting tasks of a group on `workers`; `undefined` if
 * that is impossible. Greedy: it repeatedly takes the option with the least loss per slot.
 */
export function planPreemption(
  group: TaskGroup,
  workers: readonly WorkerView[],
  canPreempt: VictimRule,
  getLoss: StopLossRule,
): PreemptionPlan | undefined {
  let needed = listWaitingTasks(group).length;
  const choices: WorkerChoice[] = workers.map((worker) => ({
    worker,
    options: listOptions(group, worker, canPreempt, getLoss),
    chosen: { worker, victims: [], slots: 0, cost: 0 },
  }));
  while (needed > 0) {
    let best: { choice: WorkerChoice; option: PreemptionOption } | undefined;
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
  let left = listWaitingTasks(group).length;
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

/** Reserves the slots of a preemption for its group, so that groups planned later do not take them. */
export function reservePreempted(group: TaskGroup, plan: PreemptionPlan): void {
  for (const { worker, slots } of plan.workers) {
    addResources(worker.free, group.spec.demand, -slots);
  }
}

/** Tasks that a preemption stops, without duplicates and with all members of each gang. */
export function listStops(plan: PreemptionPlan): PlacedTask[] {
  const seen = new Set<Task>();
  const stops: PlacedTask[] = [];
  for (const victim of plan.victims.flatMap(listAffectedTasks)) {
    if (seen.has(victim.task)) continue;
    seen.add(victim.task);
    stops.push(victim);
  }
  return stops;
}
