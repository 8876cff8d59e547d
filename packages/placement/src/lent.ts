import { CapacityClass } from './event.ts';
import { listMaximalCells } from './feasibility.ts';
import type { Plan } from './guaranteed.ts';
import { computePriority } from './queue.ts';
import { placeMembers, placePlainMembers } from './pack.ts';
import type { SlotSource } from './pack.ts';
import { computeStopCost, isUsable } from './state.ts';
import type { CoreState, Gang, Job, MemberSlots, Site, Slot, Worker } from './state.ts';

/** Whether nothing runs on the slot and no claim keeps it. */
export function isFree(slot: Slot): boolean {
  return slot.gang === undefined && slot.claim === undefined;
}

/** Level of the largest whole free cell around each free slot. */
function computeFreeLevels(site: Site): ReadonlyMap<Slot, number> {
  if (site.freeLevels?.version === site.version) return site.freeLevels.levels;
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
  site.freeLevels = { version: site.version, levels };
  return levels;
}

/** Fills the smallest free cells first, so that large ones stay whole. */
function createFreeSource(site: Site, hasCellChoice: boolean): SlotSource {
  const levels = hasCellChoice ? computeFreeLevels(site) : new Map<Slot, number>();
  const getLevel = (slot: Slot): number => levels.get(slot) ?? 0;
  return {
    countSlots: (worker) => worker.freeSlots,
    listSlots: (worker) => worker.slots.filter(isFree).sort((a, b) => getLevel(a) - getLevel(b)),
    rankWorker: (worker) =>
      !hasCellChoice
        ? 0
        : worker.slots.reduce((least, slot) => Math.min(least, levels.get(slot) ?? least), 64),
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
        : placeMembers(
            site.workers,
            job,
            state.config,
            createFreeSource(site, state.policy.hasCellChoice),
          );
    if (members !== undefined) return createLentPlan(job, site, members);
  }
  return undefined;
}

/** A lent gang that may be stopped, with what its choice depends on. */
export interface StopCandidate {
  gang: Gang;
  level: number;
  cost: number;
}

/** Lent gangs of each site that use accelerators, the cheapest to stop first. */
export function listStopCandidates(state: CoreState): Map<Site, StopCandidate[]> {
  const candidates = new Map<Site, StopCandidate[]>();
  for (const site of state.sites.values()) {
    const list: StopCandidate[] = [];
    for (const gang of site.gangs) {
      if (gang.capacityClass !== CapacityClass.Lent) continue;
      const level = computePriority(state, gang.job);
      list.push({ gang, level, cost: computeStopCost(state, gang) });
    }
    candidates.set(
      site,
      list.sort((a, b) => a.cost - b.cost),
    );
  }
  return candidates;
}

function createStoppingSource(stopped: ReadonlySet<Gang>): SlotSource {
  const canUse = (slot: Slot): boolean =>
    slot.claim === undefined && (slot.gang === undefined || stopped.has(slot.gang));
  const countSlots = ({ slots }: Worker): number => {
    let count = 0;
    for (const slot of slots) if (canUse(slot)) count += 1;
    return count;
  };
  return {
    countSlots,
    listSlots: (worker) =>
      worker.slots.filter(canUse).sort((a, b) => Number(!isFree(a)) - Number(!isFree(b))),
    // Workers where nothing has to stop come first.
    rankWorker: (worker) => countSlots(worker) - worker.freeSlots,
  };
}

/** Number of gangs, in order, whose accelerators with the free ones are as many as needed. */
function countLeast(site: Site, job: Job, gangs: readonly Gang[]): number {
  let accelerators = site.freeSlots;
  let count = 0;
  for (const gang of gangs) {
    if (accelerators >= job.accelerators) break;
    accelerators += gang.job.accelerators;
    count += 1;
  }
  return accelerators >= job.accelerators ? count : Infinity;
}

/** The shortest prefix of `gangs`, by halving, whose stop makes the job fit. */
function planWithPrefix(
  state: CoreState,
  job: Job,
  site: Site,
  gangs: readonly Gang[],
): MemberSlots[] | undefined {
  const place = (count: number): MemberSlots[] | undefined => {
    const source = createStoppingSource(new Set(gangs.slice(0, count)));
    return placeMembers(site.workers, job, state.config, source);
  };
  let low = countLeast(site, job, gangs);
  if (low === Infinity) return undefined;
  let members = place(low);
  if (members !== undefined) return members;
  members = place(gangs.length);
  if (members === undefined) return undefined;
  let high = gangs.length;
  low += 1;
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
 * least is lost. Only gangs that pass `canStop` are stopped, within `limit`.
 */
export function planStopping(
  state: CoreState,
  job: Job,
  candidates: ReadonlyMap<Site, StopCandidate[]>,
  canStop: (candidate: StopCandidate) => boolean,
  limit: { accelerators: number; cost: number },
): Plan | undefined {
  let best: Plan | undefined;
  let bestCost = Infinity;
  for (const site of listSites(state, job)) {
    const gangs = (candidates.get(site) ?? [])
      .filter((item) => item.gang.job.accelerators <= limit.accelerators && canStop(item))
      .map((item) => item.gang);
    if (gangs.length === 0) continue;
    const members = planWithPrefix(state, job, site, gangs);
    if (members === undefined) continue;
    let cost = 0;
    let stopped = 0;
    for (const gang of listVictims(members)) {
      cost += computeStopCost(state, gang);
      stopped += gang.job.accelerators;
    }
    if (stopped > limit.accelerators || cost > limit.cost) continue;
    if (cost >= bestCost) continue;
    best = createLentPlan(job, site, members);
    bestCost = cost;
  }
  return best;
}
