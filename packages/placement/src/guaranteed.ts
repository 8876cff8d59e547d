import { chooseCells, countUnused, isAvailableForGuaranteed } from './binding.ts';
import { computeCellLevel } from './cell.ts';
import { CapacityClass } from './event.ts';
import { placeMembers } from './packing.ts';
import type { SlotSource } from './packing.ts';
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

/** A planned placement that is not applied yet. */
export interface Plan {
  job: Job;
  site: Site;
  capacityClass: CapacityClass;
  members: MemberSlots[];
  /** Cells to bind to `guarantee`; empty for lent capacity. */
  newCells: Slot[][];
  guarantee: Guarantee | undefined;
}

function groupByWorker(slots: readonly Slot[]): Map<Worker, Slot[]> {
  const groups = new Map<Worker, Slot[]>();
  for (const slot of slots) {
    if (!isAvailableForGuaranteed(slot)) continue;
    const group = groups.get(slot.worker);
    if (group === undefined) groups.set(slot.worker, [slot]);
    else group.push(slot);
  }
  return groups;
}

function isBusy(slot: Slot): boolean {
  return slot.gang !== undefined || slot.claim !== undefined;
}

function createCellSource(groups: Map<Worker, Slot[]>): SlotSource {
  const list = (worker: Worker): Slot[] => groups.get(worker) ?? [];
  return {
    countSlots: (worker) => list(worker).length,
    listSlots: (worker) => [...list(worker)].sort((a, b) => Number(isBusy(a)) - Number(isBusy(b))),
    rankWorker: (worker) => list(worker).filter(isBusy).length,
  };
}

/** Places the gang in `cells`, on slots without guaranteed work; prefers those that nothing occupies. */
function placeInCells(state: CoreState, job: Job, cells: Slot[][]): MemberSlots[] | undefined {
  const groups = groupByWorker(cells.flat());
  return placeMembers([...groups.keys()], job, state.config, createCellSource(groups));
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

function countAvailable(binding: Binding): number {
  let free = 0;
  for (const slot of binding.slots) if (isAvailableForGuaranteed(slot)) free += 1;
  return free;
}

function planInBoundCell(state: CoreState, job: Job, guarantee: Guarantee): Plan | undefined {
  for (const binding of guarantee.bindings) {
    if (countAvailable(binding) < job.accelerators) continue;
    const members = placeInCells(state, job, [binding.slots]);
    if (members !== undefined) return createPlan(job, guarantee, members, []);
  }
  return undefined;
}

function planInNewCell(state: CoreState, job: Job, guarantee: Guarantee): Plan | undefined {
  if (job.accelerators > 2 ** computeCellLevel(guarantee.spec.accelerators)) return undefined;
  const canHold = (slots: Slot[]): boolean => placeInCells(state, job, [slots]) !== undefined;
  const [cell] = chooseCells(state, guarantee, 1, canHold);
  if (cell === undefined) return undefined;
  const members = placeInCells(state, job, [cell]);
  return members && createPlan(job, guarantee, members, [cell]);
}

/** Places the gang across several cells; not possible for gangs that must stay within one worker. */
function planAcrossCells(state: CoreState, job: Job, guarantee: Guarantee): Plan | undefined {
  if (job.spec.within === Adjacency.Worker) return undefined;
  const bound = [...guarantee.bindings].map((binding) => binding.slots);
  const size = 2 ** computeCellLevel(guarantee.spec.accelerators);
  const room = bound.flat().filter(isAvailableForGuaranteed).length;
  const unused = countUnused(guarantee);
  if (room + unused * size < job.accelerators) return undefined;
  const minCount = Math.max(0, Math.ceil((job.accelerators - room) / size));
  // Members may not fill a cell completely, so all unused cells are tried if the minimum does not suffice.
  for (const count of minCount === unused ? [minCount] : [minCount, unused]) {
    const cells = chooseCells(state, guarantee, count, () => true);
    const members = placeInCells(state, job, [...bound, ...cells]);
    if (members !== undefined) return createPlan(job, guarantee, members, cells);
  }
  return undefined;
}

function isAllowedSite(job: Job, site: Site): boolean {
  return job.spec.dataCentre === '' || job.spec.dataCentre === site.id;
}

/** Whether the bound and unbound cells of the guarantee have enough accelerators left. */
function hasRoom(job: Job, guarantee: Guarantee): boolean {
  let room = countUnused(guarantee) * 2 ** computeCellLevel(guarantee.spec.accelerators);
  for (const binding of guarantee.bindings) room += countAvailable(binding);
  return room >= job.accelerators;
}

/**
 * Plans a placement under the guarantees of the job's account: in a bound cell, else in a new cell,
 * else across several cells; smallest guaranteed shapes first. `undefined` if none fits.
 */
export function planGuaranteed(state: CoreState, job: Job): Plan | undefined {
  if (job.accelerators === 0) return undefined;
  const guarantees = job.account.guarantees
    .filter((guarantee) => isAllowedSite(job, guarantee.site) && hasRoom(job, guarantee))
    .sort((a, b) => a.spec.accelerators - b.spec.accelerators);
  for (const plan of [planInBoundCell, planInNewCell, planAcrossCells]) {
    for (const guarantee of guarantees) {
      const found = plan(state, job, guarantee);
      if (found !== undefined) return found;
    }
  }
  return undefined;
}
