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

/** Unbound cells of a site, counting those in `taken` as bound. */
export function listUnboundCells(site: Site, taken: ReadonlySet<Slot>): CellNode[] {
  return listMaximalCells(site.forest, (leaf) => {
    const slot = leaf.worker.slots[leaf.index];
    return slot?.binding === undefined && isUsable(leaf.worker) && !(slot && taken.has(slot));
  });
}

/** Guarantees of all accounts at a site, in the order of the configuration. */
export function listSiteGuarantees(state: CoreState, site: Site): Guarantee[] {
  const found: Guarantee[] = [];
  for (const account of state.accounts.values()) {
    for (const guarantee of account.guarantees) {
      if (guarantee.site === site) found.push(guarantee);
    }
  }
  return found;
}

/** Number of shapes of the guarantee that are not bound. */
export function countUnused(guarantee: Guarantee): number {
  return Math.max(0, guarantee.spec.count - guarantee.bindings.size);
}

/** Shapes of each guarantee that cannot be had now, given the unbound cells. */
export function computeMissing(
  site: Site,
  cells: readonly CellNode[],
  guarantees: readonly Guarantee[],
  countOwed: (guarantee: Guarantee) => number = countUnused,
): number[] {
  const { classes, maxLevel } = site.forest;
  const demands: CellDemand[] = guarantees.map((guarantee) =>
    createDemand(guarantee.spec, countOwed(guarantee)),
  );
  return computeShortage(countSupply(classes, maxLevel, cells), demands);
}

/** The maximal cells that remain when one cell of `level` is taken out of `cell`. */
function splitCell(cell: CellNode, level: number): CellNode[] {
  const rest: CellNode[] = [];
  let part = cell;
  while (part.level > level && part.children !== undefined) {
    rest.push(part.children[1]);
    part = part.children[0];
  }
  return rest;
}

interface Candidate {
  node: CellNode;
  parent: CellNode;
  lostSeconds: number;
}

/** Lost work of stopping everything in a cell; cells kept for a waiting gang come last. */
function computeCellCost(state: CoreState, site: Site, node: CellNode): number {
  const gangs = new Set<Gang>();
  let cost = 0;
  for (const slot of listCellSlots(site, node)) {
    if (slot.gang !== undefined) gangs.add(slot.gang);
    if (slot.claim !== undefined) cost += reservedCostSeconds;
  }
  for (const gang of gangs) cost += 1 + computeStopCost(state, gang);
  return cost;
}

// Larger than any lost work, so that reserved cells are taken only when no others are left.
const reservedCostSeconds = 1e12;

function listDescendants(cell: CellNode, level: number): CellNode[] {
  if (cell.level === level) return [cell];
  return cell.children?.flatMap((child) => listDescendants(child, level)) ?? [];
}

function listCandidates(
  state: CoreState,
  guarantee: Guarantee,
  parents: readonly CellNode[],
): Candidate[] {
  const demand = createDemand(guarantee.spec, 1);
  return parents
    .filter((cell) => cell.level >= demand.level && hasAdjacency(cell.cellClass, demand))
    .flatMap((parent) =>
      listDescendants(parent, demand.level).map((node) => ({
        node,
        parent,
        lostSeconds:
          computeCellCost(state, guarantee.site, node) +
          state.policy.splitCostSeconds * (2 ** parent.level - 2 ** node.level),
      })),
    )
    .sort((a, b) => a.lostSeconds - b.lostSeconds || a.parent.level - b.parent.level);
}

/** Tells whether taking a cell of the guarantee out of `parent` leaves every guarantee as it was. */
function createTakeCheck(
  state: CoreState,
  guarantee: Guarantee,
  cells: readonly CellNode[],
  boundMore: number,
): (parent: CellNode) => boolean {
  const { site } = guarantee;
  const guarantees = listSiteGuarantees(state, site);
  const countOwed = (taken: number) => (item: Guarantee) =>
    Math.max(0, countUnused(item) - (item === guarantee ? taken : 0));
  const before = computeMissing(site, cells, guarantees, countOwed(boundMore));
  const known = new Map<string, boolean>();
  return (parent) => {
    const key = `${parent.level}/${parent.cellClass.index}`;
    const found = known.get(key);
    if (found !== undefined) return found;
    const level = createDemand(guarantee.spec, 1).level;
    const rest = [...cells.filter((cell) => cell !== parent), ...splitCell(parent, level)];
    const after = computeMissing(site, rest, guarantees, countOwed(boundMore + 1));
    const isSafe = after.every((missing, index) => missing <= (before[index] ?? 0));
    known.set(key, isSafe);
    return isSafe;
  };
}

/**
 * Chooses up to `count` cells to bind to the guarantee, such that all other unused guarantees can
 * still be had: free cells first, then those where the least work is lost; among equals the cell
 * out of the smallest larger one. `isSuitable` may exclude cells. May return fewer cells.
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
    const canTake = createTakeCheck(state, guarantee, cells, chosen.length);
    const slots = findCell(state, guarantee, cells, canTake, isSuitable);
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
  canTake: (parent: CellNode) => boolean,
  isSuitable: (slots: Slot[]) => boolean,
): Slot[] | undefined {
  for (const { node, parent } of listCandidates(state, guarantee, cells)) {
    if (!canTake(parent)) continue;
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

/** Ends a binding; its cell is unbound again. */
export function removeBinding(binding: Binding): void {
  binding.guarantee.bindings.delete(binding);
  for (const slot of binding.slots) if (slot.binding === binding) slot.binding = undefined;
}

/** Whether work of the slot's own account, under guarantee, may use the slot. */
export function isGuaranteedFree(slot: Slot): boolean {
  return (
    isUsable(slot.worker) &&
    slot.gang?.capacityClass !== CapacityClass.Guaranteed &&
    slot.claim?.capacityClass !== CapacityClass.Guaranteed
  );
}
