import type { CellNode } from './cell.ts';
import {
  computeShortage,
  countSupply,
  createDemand,
  hasAdjacency,
  listMaximalCells,
} from './feasibility.ts';
import type { CellDemand } from './feasibility.ts';
import { CapacityClass } from './event.ts';
import { computeStopCost, isUsable, listCellSlots } from './state.ts';
import type { Binding, CoreState, Gang, Guarantee, Site, Slot } from './state.ts';

/** Maximal unbound cells of the usable workers of a site; slots in `taken` count as bound. */
export function listUnboundCells(site: Site, taken: ReadonlySet<Slot>): CellNode[] {
  return listMaximalCells(site.forest, (leaf) => {
    const slot = leaf.worker.slots[leaf.index];
    return slot?.binding === undefined && isUsable(leaf.worker) && !(slot && taken.has(slot));
  });
}

/** Guarantees of all accounts at a site, in configuration order. */
export function listSiteGuarantees(state: CoreState, site: Site): Guarantee[] {
  const found: Guarantee[] = [];
  for (const account of state.accounts.values()) {
    for (const guarantee of account.guarantees) {
      if (guarantee.site === site) found.push(guarantee);
    }
  }
  return found;
}

/** Number of shapes of the guarantee that have no bound cell. */
export function countUnused(guarantee: Guarantee): number {
  return Math.max(0, guarantee.spec.count - guarantee.bindings.size);
}

/**
 * Number of shapes of each guarantee that `cells`, the unbound ones, cannot satisfy together with the
 * others. `countRequired` gives the number that is needed of each.
 */
export function computeMissingShapes(
  site: Site,
  cells: readonly CellNode[],
  guarantees: readonly Guarantee[],
  countRequired: (guarantee: Guarantee) => number = countUnused,
): number[] {
  const { classes, maxLevel } = site.forest;
  const demands: CellDemand[] = guarantees.map((guarantee) =>
    createDemand(guarantee.spec, countRequired(guarantee)),
  );
  return computeShortage(countSupply(classes, maxLevel, cells), demands);
}

/** Buddy allocation: the maximal cells that remain when a cell of `level` is split off `cell`. */
function splitCell(cell: CellNode, level: number): CellNode[] {
  const rest: CellNode[] = [];
  let part = cell;
  while (part.level > level && part.children !== undefined) {
    rest.push(part.children[1]);
    part = part.children[0];
  }
  return rest;
}

interface CellCandidate {
  node: CellNode;
  parent: CellNode;
  costSeconds: number;
}

/** Work lost by stopping everything in a cell, in accelerator-seconds; claimed cells cost the most. */
function computeCellCost(state: CoreState, site: Site, node: CellNode): number {
  const gangs = new Set<Gang>();
  let cost = 0;
  for (const slot of listCellSlots(site, node)) {
    if (slot.gang !== undefined) gangs.add(slot.gang);
    if (slot.claim !== undefined) cost += claimedCostSeconds;
  }
  for (const gang of gangs) cost += 1 + computeStopCost(state, gang);
  return cost;
}

// Larger than any lost work, so that a cell with a claim is taken only when no other is left.
const claimedCostSeconds = 1e12;

function listDescendants(cell: CellNode, level: number): CellNode[] {
  if (cell.level === level) return [cell];
  return cell.children?.flatMap((child) => listDescendants(child, level)) ?? [];
}

function listCandidates(
  state: CoreState,
  guarantee: Guarantee,
  parents: readonly CellNode[],
): CellCandidate[] {
  const demand = createDemand(guarantee.spec, 1);
  return parents
    .filter((cell) => cell.level >= demand.level && hasAdjacency(cell.cellClass, demand))
    .flatMap((parent) =>
      listDescendants(parent, demand.level).map((node) => ({
        node,
        parent,
        costSeconds:
          computeCellCost(state, guarantee.site, node) +
          state.policy.splitCostSeconds * (2 ** parent.level - 2 ** node.level),
      })),
    )
    .sort((a, b) => a.costSeconds - b.costSeconds || a.parent.level - b.parent.level);
}

/** Checks that binding a cell out of `parent` leaves no guarantee with more missing shapes than before. */
function createFeasibilityCheck(
  state: CoreState,
  guarantee: Guarantee,
  cells: readonly CellNode[],
  chosenCount: number,
): (parent: CellNode) => boolean {
  const { site } = guarantee;
  const guarantees = listSiteGuarantees(state, site);
  const countRequired = (taken: number) => (item: Guarantee) =>
    Math.max(0, countUnused(item) - (item === guarantee ? taken : 0));
  const before = computeMissingShapes(site, cells, guarantees, countRequired(chosenCount));
  const cache = new Map<string, boolean>();
  return (parent) => {
    const key = `${parent.level}/${parent.cellClass.index}`;
    const cached = cache.get(key);
    if (cached !== undefined) return cached;
    const level = createDemand(guarantee.spec, 1).level;
    const rest = [...cells.filter((cell) => cell !== parent), ...splitCell(parent, level)];
    const after = computeMissingShapes(site, rest, guarantees, countRequired(chosenCount + 1));
    const isSafe = after.every((missing, index) => missing <= (before[index] ?? 0));
    cache.set(key, isSafe);
    return isSafe;
  };
}

/**
 * Chooses up to `count` cells to bind to the guarantee so that all other unused guarantees stay
 * feasible: free cells first, then those that lose the least work, then those that split the smallest
 * larger cell. `isSuitable` can exclude cells. Returns fewer cells if there are not enough.
 */
export function chooseCells(
  state: CoreState,
  guarantee: Guarantee,
  count: number,
  isSuitable: (slots: Slot[]) => boolean,
): Slot[][] {
  const chosen: Slot[][] = [];
  const taken = new Set<Slot>();
  while (chosen.length < Math.min(count, countUnused(guarantee))) {
    const cells = listUnboundCells(guarantee.site, taken);
    const isFeasible = createFeasibilityCheck(state, guarantee, cells, chosen.length);
    const slots = findCell(state, guarantee, cells, isFeasible, isSuitable);
    if (slots === undefined) break;
    chosen.push(slots);
    for (const slot of slots) taken.add(slot);
  }
  return chosen;
}

function findCell(
  state: CoreState,
  guarantee: Guarantee,
  cells: readonly CellNode[],
  isFeasible: (parent: CellNode) => boolean,
  isSuitable: (slots: Slot[]) => boolean,
): Slot[] | undefined {
  for (const { node, parent } of listCandidates(state, guarantee, cells)) {
    if (!isFeasible(parent)) continue;
    const slots = listCellSlots(guarantee.site, node);
    if (isSuitable(slots)) return slots;
  }
  return undefined;
}

/** Binds a cell to the guarantee. */
export function createBinding(guarantee: Guarantee, slots: Slot[]): Binding {
  const binding: Binding = { guarantee, slots, users: new Set() };
  guarantee.bindings.add(binding);
  for (const slot of slots) slot.binding = binding;
  return binding;
}

/** Removes a binding; its cell becomes unbound. */
export function removeBinding(binding: Binding): void {
  binding.guarantee.bindings.delete(binding);
  for (const slot of binding.slots) if (slot.binding === binding) slot.binding = undefined;
}

/** Whether guaranteed work may take the slot: lent work in it does not count, as it can be preempted. */
export function isAvailableForGuaranteed(slot: Slot): boolean {
  return (
    isUsable(slot.worker) &&
    slot.gang?.capacityClass !== CapacityClass.Guaranteed &&
    slot.claim?.capacityClass !== CapacityClass.Guaranteed
  );
}
