import { Adjacency } from './spec.ts';
import type { GuaranteeSpec } from './spec.ts';
import { computeCellLevel } from './cell.ts';
import type { CellClass, CellForest, CellNode, CellWorker, Leaf } from './cell.ts';

/** A number of equal cells that must be available at the same time. */
export interface CellDemand {
  level: number;
  /** Minimum `workerLevel` and `rackLevel` of the classes whose cells satisfy the demand. */
  minWorkerLevel: number;
  minRackLevel: number;
  count: number;
}

/** Number of maximal available cells of a data centre by level and class. */
export interface CellSupply {
  classes: readonly CellClass[];
  /** `counts[level][class index]`. */
  counts: number[][];
}

/** Creates a demand for `count` cells of a guaranteed shape. */
export function createDemand(spec: GuaranteeSpec, count: number): CellDemand {
  const level = computeCellLevel(spec.accelerators);
  return {
    level,
    minWorkerLevel: spec.within === Adjacency.Worker ? level : 0,
    minRackLevel: spec.within === Adjacency.DataCentre ? 0 : level,
    count,
  };
}

/** Whether cells of the class satisfy the adjacency of a demand. */
export function hasAdjacency(
  cls: CellClass,
  demand: Pick<CellDemand, 'minWorkerLevel' | 'minRackLevel'>,
): boolean {
  return cls.workerLevel >= demand.minWorkerLevel && cls.rackLevel >= demand.minRackLevel;
}

/** Lists the largest cells whose leaves are all available. */
export function listMaximalCells<W extends CellWorker>(
  forest: CellForest<W>,
  isAvailable: (leaf: Leaf<W>) => boolean,
): CellNode[] {
  const cells: CellNode[] = [];
  const visit = (node: CellNode): boolean => {
    if (node.children === undefined) {
      const leaf = forest.leaves[node.firstLeaf];
      return leaf !== undefined && isAvailable(leaf);
    }
    const [left, right] = node.children;
    const isLeftWhole = visit(left);
    const isRightWhole = visit(right);
    if (isLeftWhole && isRightWhole) return true;
    if (isLeftWhole) cells.push(left);
    if (isRightWhole) cells.push(right);
    return false;
  };
  for (const root of forest.roots) if (visit(root)) cells.push(root);
  return cells;
}

/** Counts cells by level and class. */
export function countSupply(
  classes: readonly CellClass[],
  maxLevel: number,
  cells: readonly CellNode[],
): CellSupply {
  const counts = Array.from({ length: maxLevel + 1 }, () => classes.map(() => 0));
  for (const { level, cellClass } of cells) {
    const row = counts[level];
    if (row !== undefined) row[cellClass.index] = (row[cellClass.index] ?? 0) + 1;
  }
  return { classes, counts };
}

function compareDemands(a: CellDemand, b: CellDemand): number {
  return (
    b.level - a.level || b.minWorkerLevel - a.minWorkerLevel || b.minRackLevel - a.minRackLevel
  );
}

/** Takes the cells of a demand, least adjacent suitable class first; returns the number that is missing. */
function fillDemand(spare: number[], order: readonly CellClass[], demand: CellDemand): number {
  let missing = demand.count;
  for (const cls of order) {
    if (missing === 0) break;
    if (!hasAdjacency(cls, demand)) continue;
    const taken = Math.min(missing, spare[cls.index] ?? 0);
    spare[cls.index] = (spare[cls.index] ?? 0) - taken;
    missing -= taken;
  }
  return missing;
}

/**
 * Feasibility check: returns for each demand the number of cells that are missing when all demands are
 * met at the same time; all 0 means feasible. It goes from the largest level down and splits spare
 * cells in halves. Exact if the classes are totally ordered by adjacency, as with uniform hardware;
 * otherwise it can only overestimate the shortage. Among demands of the same shape, the later ones get
 * the shortage.
 */
export function computeShortage(supply: CellSupply, demands: readonly CellDemand[]): number[] {
  const order = [...supply.classes].sort(
    (a, b) => a.rackLevel - b.rackLevel || a.workerLevel - b.workerLevel,
  );
  const ranked = demands.map((demand, index) => ({ demand, index }));
  ranked.sort((a, b) => compareDemands(a.demand, b.demand) || a.index - b.index);
  const shortage = demands.map(() => 0);
  const spare = supply.classes.map(() => 0);
  let next = 0;
  for (; next < ranked.length; next += 1) {
    const item = ranked[next];
    if (item === undefined || item.demand.level < supply.counts.length) break;
    shortage[item.index] = item.demand.count;
  }
  for (let level = supply.counts.length - 1; level >= 0; level -= 1) {
    for (const cls of supply.classes) {
      spare[cls.index] = 2 * (spare[cls.index] ?? 0) + (supply.counts[level]?.[cls.index] ?? 0);
    }
    for (; next < ranked.length; next += 1) {
      const item = ranked[next];
      if (item?.demand.level !== level) break;
      shortage[item.index] = fillDemand(spare, order, item.demand);
    }
  }
  return shortage;
}
