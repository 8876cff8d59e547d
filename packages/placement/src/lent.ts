import { CapacityClass } from './event.ts';
import { listMaximalCells } from './feasibility.ts';
import type { Plan } from './guaranteed.ts';
import { placeCpuOnlyMembers, placeMembers } from './packing.ts';
import type { SlotSource } from './packing.ts';
import { computePriorityLevel } from './queue.ts';
import { computeStopCost, isUsable } from './state.ts';
import type { CoreState, Gang, Job, MemberSlots, Site, Slot, Worker } from './state.ts';

/** Whether no gang occupies the slot and no claim holds it. */
export function isFree(slot: Slot): boolean {
  return slot.gang === undefined && slot.claim === undefined;
}

/** Level of the largest free cell that contains each free slot; cached per site version. */
function computeFreeLevels(site: Site): ReadonlyMap<Slot, number> {
  if (site.freeCellLevels?.version === site.version) return site.freeCellLevels.levels;
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
  site.freeCellLevels = { version: site.version, levels };
  return levels;
}

/** Source of free slots; with `hasBestFit`, smallest free cells first, so that large ones stay whole. */
function createFreeSource(site: Site, hasBestFit: boolean): SlotSource {
  const levels = hasBestFit ? computeFreeLevels(site) : new Map<Slot, number>();
  const getLevel = (slot: Slot): number => levels.get(slot) ?? 0;
  return {
    countSlots: (worker) => worker.freeSlots,
    listSlots: (worker) => worker.slots.filter(isFree).sort((a, b) => getLevel(a) - getLevel(b)),
    rankWorker: (worker) =>
      !hasBestFit
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

/** Plans a placement on free capacity; tries the sites with the least free capacity first. */
export function planLent(state: CoreState, job: Job): Plan | undefined {
  const sites = listSites(state, job).sort((a, b) => a.freeSlots - b.freeSlots);
  for (const site of sites) {
    if (job.accelerators > 0 && site.freeSlots < job.accelerators) continue;
    const members =
      job.accelerators === 0
        ? placeCpuOnlyMembers(site.workers, job, state.config)
        : placeMembers(
            site.workers,
            job,
            state.config,
            createFreeSource(site, state.policy.hasBestFit),
          );
    if (members !== undefined) return createLentPlan(job, site, members);
  }
  return undefined;
}

/** A lent gang that may be preempted, with its priority level and the cost of stopping it. */
export interface PreemptionCandidate {
  gang: Gang;
  priorityLevel: number;
  cost: number;
}

/** Lent gangs with accelerators of each site, the cheapest to stop first. */
export function listPreemptionCandidates(state: CoreState): Map<Site, PreemptionCandidate[]> {
  const candidates = new Map<Site, PreemptionCandidate[]>();
  for (const site of state.sites.values()) {
    const list: PreemptionCandidate[] = [];
    for (const gang of site.gangs) {
      if (gang.capacityClass !== CapacityClass.Lent) continue;
      const priorityLevel = computePriorityLevel(state, gang.job);
      list.push({ gang, priorityLevel, cost: computeStopCost(state, gang) });
    }
    candidates.set(
      site,
      list.sort((a, b) => a.cost - b.cost),
    );
  }
  return candidates;
}

function createPreemptingSource(victims: ReadonlySet<Gang>): SlotSource {
  const canUse = (slot: Slot): boolean =>
    slot.claim === undefined && (slot.gang === undefined || victims.has(slot.gang));
  const countSlots = ({ slots }: Worker): number => {
    let count = 0;
    for (const slot of slots) if (canUse(slot)) count += 1;
    return count;
  };
  return {
    countSlots,
    listSlots: (worker) =>
      worker.slots.filter(canUse).sort((a, b) => Number(!isFree(a)) - Number(!isFree(b))),
    // Workers with the fewest occupied slots to preempt come first.
    rankWorker: (worker) => countSlots(worker) - worker.freeSlots,
  };
}

/** Minimum number of gangs, in order, that must stop to free enough accelerators. */
function countMinVictims(site: Site, job: Job, gangs: readonly Gang[]): number {
  let accelerators = site.freeSlots;
  let count = 0;
  for (const gang of gangs) {
    if (accelerators >= job.accelerators) break;
    accelerators += gang.job.accelerators;
    count += 1;
  }
  return accelerators >= job.accelerators ? count : Infinity;
}

/** Places the job by stopping a short prefix of `gangs`, found by bisection; `undefined` if none suffices. */
function placeWithFewestVictims(
  state: CoreState,
  job: Job,
  site: Site,
  gangs: readonly Gang[],
): MemberSlots[] | undefined {
  const place = (count: number): MemberSlots[] | undefined => {
    const source = createPreemptingSource(new Set(gangs.slice(0, count)));
    return placeMembers(site.workers, job, state.config, source);
  };
  let low = countMinVictims(site, job, gangs);
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

/** Gangs that occupy the slots of a placement. */
export function listVictims(members: readonly MemberSlots[]): Set<Gang> {
  const gangs = new Set<Gang>();
  for (const { slots } of members) for (const { gang } of slots) if (gang) gangs.add(gang);
  return gangs;
}

/**
 * Plans a placement that preempts lent work, the cheapest to stop first, at the site where the least is
 * lost. Only gangs that pass `canPreempt` are stopped, within `limit` in total.
 */
export function planPreemption(
  state: CoreState,
  job: Job,
  candidates: ReadonlyMap<Site, PreemptionCandidate[]>,
  canPreempt: (candidate: PreemptionCandidate) => boolean,
  limit: { accelerators: number; cost: number },
): Plan | undefined {
  let best: Plan | undefined;
  let bestCost = Infinity;
  for (const site of listSites(state, job)) {
    const gangs = (candidates.get(site) ?? [])
      .filter(
        (candidate) =>
          candidate.gang.job.accelerators <= limit.accelerators && canPreempt(candidate),
      )
      .map((item) => item.gang);
    if (gangs.length === 0) continue;
    const members = placeWithFewestVictims(state, job, site, gangs);
    if (members === undefined) continue;
    let cost = 0;
    let stoppedAccelerators = 0;
    for (const gang of listVictims(members)) {
      cost += computeStopCost(state, gang);
      stoppedAccelerators += gang.job.accelerators;
    }
    if (stoppedAccelerators > limit.accelerators || cost > limit.cost) continue;
    if (cost >= bestCost) continue;
    best = createLentPlan(job, site, members);
    bestCost = cost;
  }
  return best;
}
