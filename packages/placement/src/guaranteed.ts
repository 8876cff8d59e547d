import { chooseCells, countUnused, isGuaranteedFree } from './bind.ts';
import { computeLevel } from './cell.ts';
import { CapacityClass } from './event.ts';
import { placeMembers } from './pack.ts';
import type { SlotSource } from './pack.ts';
import { Adjacency } from './spec.ts';
import type {
  Binding,
  CoreState,
  Guarantee,
  Job,
  MemberSlots,
  Site,
  Slot,
  Worker,
} from './state.ts';

/** A placement that has been worked out but not yet entered. */
export interface Plan {
  job: Job;
  site: Site;
  capacityClass: CapacityClass;
  members: MemberSlots[];
  /** Cells to bind, each to the guarantee; empty for lent capacity. */
  newCells: Slot[][];
  guarantee: Guarantee | undefined;
}

function groupByWorker(slots: readonly Slot[]): Map<Worker, Slot[]> {
  const groups = new Map<Worker, Slot[]>();
  for (const slot of slots) {
    if (!isGuaranteedFree(slot)) continue;
    const group = groups.get(slot.worker);
    if (group === undefined) groups.set(slot.worker, [slot]);
    else group.push(slot);
  }
  return groups;
}

function isBusy(slot: Slot): boolean {
  return slot.gang !== undefined || slot.claim !== undefined;
}

function createAreaSource(groups: Map<Worker, Slot[]>): SlotSource {
  const list = (worker: Worker): Slot[] => groups.get(worker) ?? [];
  return {
    countSlots: (worker) => list(worker).length,
    listSlots: (worker) => [...list(worker)].sort((a, b) => Number(isBusy(a)) - Number(isBusy(b))),
    rankWorker: (worker) => list(worker).filter(isBusy).length,
  };
}

/** Places the gang on the slots of `areas`, as far as the account's own work leaves them. */
function placeInAreas(state: CoreState, job: Job, areas: Slot[][]): MemberSlots[] | undefined {
  const groups = groupByWorker(areas.flat());
  return placeMembers([...groups.keys()], job, state.config, createAreaSource(groups));
}

function createPlan(
  job: Job,
  guarantee: Guarantee,
  members: MemberSlots[],
  newCells: Slot[][],
): Plan {
  const used = new Set(members.flatMap((member) => member.slots));
  return {
    job,
    site: guarantee.site,
    capacityClass: CapacityClass.Guaranteed,
    members,
    newCells: newCells.filter((cell) => cell.some((slot) => used.has(slot))),
    guarantee,
  };
}

function countFree(binding: Binding): number {
  let free = 0;
  for (const slot of binding.slots) if (isGuaranteedFree(slot)) free += 1;
  return free;
}

function planInBoundCell(state: CoreState, job: Job, guarantee: Guarantee): Plan | undefined {
  for (const binding of guarantee.bindings) {
    if (countFree(binding) < job.accelerators) continue;
    const members = placeInAreas(state, job, [binding.slots]);
    if (members !== undefined) return createPlan(job, guarantee, members, []);
  }
  return undefined;
}

function planInNewCell(state: CoreState, job: Job, guarantee: Guarantee): Plan | undefined {
  if (job.accelerators > 2 ** computeLevel(guarantee.spec.accelerators)) return undefined;
  const canHold = (slots: Slot[]): boolean => placeInAreas(state, job, [slots]) !== undefined;
  const [cell] = chooseCells(state, guarantee, 1, canHold);
  if (cell === undefined) return undefined;
  const members = placeInAreas(state, job, [cell]);
  return members && createPlan(job, guarantee, members, [cell]);
}

/** Spreads the gang over several cells, which only gangs without closer adjacency can use. */
function planInManyCells(state: CoreState, job: Job, guarantee: Guarantee): Plan | undefined {
  if (job.spec.within === Adjacency.Worker) return undefined;
  const bound = [...guarantee.bindings].map((binding) => binding.slots);
  const size = 2 ** computeLevel(guarantee.spec.accelerators);
  const room = bound.flat().filter(isGuaranteedFree).length;
  const unused = countUnused(guarantee);
  if (room + unused * size < job.accelerators) return undefined;
  const least = Math.max(0, Math.ceil((job.accelerators - room) / size));
  // Members may fill a cell badly, so all unused cells are tried when the fewest do not do.
  for (const count of least === unused ? [least] : [least, unused]) {
    const cells = chooseCells(state, guarantee, count, () => true);
    const members = placeInAreas(state, job, [...bound, ...cells]);
    if (members !== undefined) return createPlan(job, guarantee, members, cells);
  }
  return undefined;
}

function isAllowedSite(job: Job, site: Site): boolean {
  return job.spec.dataCentre === '' || job.spec.dataCentre === site.id;
}

/** Whether the cells of the guarantee, bound or not, have enough accelerators left. */
function hasRoom(job: Job, guarantee: Guarantee): boolean {
  let room = countUnused(guarantee) * 2 ** computeLevel(guarantee.spec.accelerators);
  for (const binding of guarantee.bindings) room += countFree(binding);
  return room >= job.accelerators;
}

/**
 * Works out a placement under the guarantees of the job's account: in a cell that it has bound
 * already, else in a new cell, else over several cells; smallest guaranteed shapes first.
 */
export function planGuaranteed(state: CoreState, job: Job): Plan | undefined {
  if (job.accelerators === 0) return undefined;
  const guarantees = job.account.guarantees
    .filter((guarantee) => isAllowedSite(job, guarantee.site) && hasRoom(job, guarantee))
    .sort((a, b) => a.spec.accelerators - b.spec.accelerators);
  for (const plan of [planInBoundCell, planInNewCell, planInManyCells]) {
    for (const guarantee of guarantees) {
      const found = plan(state, job, guarantee);
      if (found !== undefined) return found;
    }
  }
  return undefined;
}
