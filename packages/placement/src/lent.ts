import { CapacityClass } from './event.ts';
import { listMaximalCells } from './feasibility.ts';
import type { Plan } from './guaranteed.ts';
import { placeMembers, placePlainMembers } from './pack.ts';
import type { SlotSource } from './pack.ts';
import { getLostSeconds, isUsable } from './state.ts';
import type { CoreState, Gang, Job, MemberSlots, Site, Slot, Worker } from './state.ts';

function isFree(slot: Slot): boolean {
  return slot.gang === undefined && slot.claim === undefined;
}

/** Level of the largest whole free cell around each free slot. */
function computeFreeLevels(site: Site): Map<Slot, number> {
  const levels = new Map<Slot, number>();
  const cells = listMaximalCells(site.forest, (leaf) => {
    const slot = leaf.worker.slots[leaf.index];
    return slot !== undefined && isFree(slot) && isUsable(slot.worker);
  });
  for (const { firstLeaf, level } of cells) {
    for (let index = firstLeaf; index < firstLeaf + 2 ** level; index += 1) {
      const leaf = site.forest.leaves[index];
      const slot = leaf?.worker.slots[leaf.index];
      if (slot !== undefined) levels.set(slot, level);
    }
  }
  return levels;
}

/** Fills the smallest free cells first, so that large ones stay whole. */
function createFreeSource(site: Site): SlotSource {
  const levels = computeFreeLevels(site);
  const getLevel = (slot: Slot): number => levels.get(slot) ?? 0;
  return {
    countSlots: (worker) => worker.freeSlots,
    listSlots: (worker) => worker.slots.filter(isFree).sort((a, b) => getLevel(a) - getLevel(b)),
    rankWorker: (worker) =>
      worker.slots.reduce((least, slot) => Math.min(least, levels.get(slot) ?? least), 64),
  };
}

/** Sites at which the job may run. */
export function listSites(state: CoreState, job: Job): Site[] {
  if (job.spec.dataCentre === '') return [...state.sites.values()];
  const site = state.sites.get(job.spec.dataCentre);
  return site === undefined ? [] : [site];
}

function createLentPlan(job: Job, site: Site, members: MemberSlots[]): Plan {
  const capacityClass = CapacityClass.Lent;
  return { job, site, capacityClass, members, newCells: [], guarantee: undefined };
}

/** Works out a placement on free capacity; the site with the least free capacity goes first. */
export function planLent(state: CoreState, job: Job): Plan | undefined {
  const sites = listSites(state, job).sort((a, b) => a.freeSlots - b.freeSlots);
  for (const site of sites) {
    if (job.accelerators > 0 && site.freeSlots < job.accelerators) continue;
    const members =
      job.accelerators === 0
        ? placePlainMembers(site.workers, job, state.config)
        : placeMembers(site.workers, job, state.config, createFreeSource(site));
    if (members !== undefined) return createLentPlan(job, site, members);
  }
  return undefined;
}

function listStoppable(state: CoreState, site: Site, canStop: (gang: Gang) => boolean): Gang[] {
  const gangs = new Set<Gang>();
  for (const worker of site.workers) {
    if (!isUsable(worker)) continue;
    for (const { gang } of worker.slots) {
      if (gang?.capacityClass === CapacityClass.Lent && canStop(gang)) gangs.add(gang);
    }
  }
  const costs = new Map([...gangs].map((gang) => [gang, getLostSeconds(gang, state.nowMs)]));
  return [...gangs].sort((a, b) => (costs.get(a) ?? 0) - (costs.get(b) ?? 0));
}

function createStoppingSource(stopped: ReadonlySet<Gang>): SlotSource {
  const canUse = (slot: Slot): boolean =>
    slot.claim === undefined && (slot.gang === undefined || stopped.has(slot.gang));
  const countBusy = (worker: Worker): number =>
    worker.slots.filter((slot) => canUse(slot) && slot.gang !== undefined).length;
  return {
    countSlots: (worker) => worker.slots.filter(canUse).length,
    listSlots: (worker) =>
      worker.slots.filter(canUse).sort((a, b) => Number(!isFree(a)) - Number(!isFree(b))),
    rankWorker: countBusy,
  };
}

/** The shortest prefix of `gangs`, by halving, whose stop makes the job fit. */
function planWithPrefix(
  state: CoreState,
  job: Job,
  site: Site,
  gangs: readonly Gang[],
): MemberSlots[] | undefined {
  const place = (count: number): MemberSlots[] | undefined =>
    placeMembers(
      site.workers,
      job,
      state.config,
      createStoppingSource(new Set(gangs.slice(0, count))),
    );
  let members = place(gangs.length);
  if (members === undefined) return undefined;
  let low = 0;
  let high = gangs.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const found = place(middle);
    if (found === undefined) low = middle + 1;
    else {
      high = middle;
      members = found;
    }
  }
  return members;
}

/** Gangs that use the slots of a placement. */
export function listVictims(members: readonly MemberSlots[]): Set<Gang> {
  const gangs = new Set<Gang>();
  for (const { slots } of members) for (const { gang } of slots) if (gang) gangs.add(gang);
  return gangs;
}

/**
 * Works out a placement that stops lent work, the least attained first, at the site where the
 * least is lost. Only gangs that pass `canStop` are stopped.
 */
export function planStopping(
  state: CoreState,
  job: Job,
  canStop: (gang: Gang) => boolean,
): Plan | undefined {
  let best: Plan | undefined;
  let bestCost = Infinity;
  for (const site of listSites(state, job)) {
    const members = planWithPrefix(state, job, site, listStoppable(state, site, canStop));
    if (members === undefined) continue;
    let cost = 0;
    for (const gang of listVictims(members)) cost += getLostSeconds(gang, state.nowMs);
    if (cost >= bestCost) continue;
    best = createLentPlan(job, site, members);
    bestCost = cost;
  }
  return best;
}
