import type { WorkerSpec } from './spec.ts';

/**
 * Kind of cells that may take each other's place: the same hardware, and the same largest levels
 * at which a cell still lies within one worker and within one rack.
 */
export interface CellClass {
  index: number;
  workerLevel: number;
  rackLevel: number;
  /** Hardware type, see `getHardwareType`. */
  type: string;
}

/** A cell of 2^level accelerators. */
export interface CellNode {
  level: number;
  cellClass: CellClass;
  /** First leaf in the order of the data centre's leaves; the cell's leaves are contiguous. */
  firstLeaf: number;
  children: readonly [CellNode, CellNode] | undefined;
}

/** Minimal view of a worker from which cells are built. */
export interface CellWorker {
  spec: WorkerSpec;
}

/** One accelerator of a worker in the order of the leaves. */
export interface Leaf<W extends CellWorker> {
  worker: W;
  /** Position of the accelerator within its worker. */
  index: number;
}

/** The cells of one data centre. */
export interface CellForest<W extends CellWorker> {
  /** All cells, children before parents. */
  nodes: CellNode[];
  roots: CellNode[];
  leaves: Leaf<W>[];
  classes: CellClass[];
  maxLevel: number;
}

interface Draft<W extends CellWorker> {
  level: number;
  workerLevel: number;
  rackLevel: number;
  type: string;
  leaf: Leaf<W> | undefined;
  children: readonly [Draft<W>, Draft<W>] | undefined;
}

/** Smallest level whose cells hold `accelerators`; 0 for none. */
export function computeLevel(accelerators: number): number {
  return accelerators <= 1 ? 0 : 32 - Math.clz32(accelerators - 1);
}

/** Levels of the largest buddies that make up `accelerators`, largest first. */
export function listTopLevels(accelerators: number): number[] {
  const levels: number[] = [];
  for (let level = 30; level >= 0; level -= 1) {
    if ((accelerators & (1 << level)) !== 0) levels.push(level);
  }
  return levels;
}

/** Workers of the same type have the same accelerators, cores and memory. */
export function getHardwareType(spec: WorkerSpec): string {
  return `${spec.accelerators}/${spec.cores}/${spec.memoryMb}`;
}

/** Joins pairs of equal drafts level by level until no pair is left. */
function joinPairs<W extends CellWorker>(
  drafts: readonly Draft<W>[],
  join: (left: Draft<W>, right: Draft<W>) => Draft<W>,
): Draft<W>[] {
  const open = new Map<string, Draft<W>>();
  for (let draft of drafts) {
    for (;;) {
      const key = `${draft.level}/${draft.workerLevel}/${draft.rackLevel}/${draft.type}`;
      const partner = open.get(key);
      if (partner === undefined) {
        open.set(key, draft);
        break;
      }
      open.delete(key);
      draft = join(partner, draft);
    }
  }
  return [...open.values()];
}

function buildWorkerCell<W extends CellWorker>(worker: W, first: number, level: number): Draft<W> {
  const type = getHardwareType(worker.spec);
  const half = 2 ** (level - 1);
  return {
    level,
    workerLevel: level,
    rackLevel: level,
    type,
    leaf: level === 0 ? { worker, index: first } : undefined,
    children:
      level === 0
        ? undefined
        : [
            buildWorkerCell(worker, first, level - 1),
            buildWorkerCell(worker, first + half, level - 1),
          ],
  };
}

function listWorkerCells<W extends CellWorker>(worker: W): Draft<W>[] {
  let first = 0;
  return listTopLevels(worker.spec.accelerators).map((level) => {
    const cell = buildWorkerCell(worker, first, level);
    first += 2 ** level;
    return cell;
  });
}

function listRackCells<W extends CellWorker>(workers: readonly W[]): Draft<W>[] {
  return joinPairs(workers.flatMap(listWorkerCells), (left, right) => ({
    ...left,
    level: left.level + 1,
    rackLevel: left.level + 1,
    leaf: undefined,
    children: [left, right],
  }));
}

/** Groups `workers` by rack, keeping their order. */
export function listRacks<W extends CellWorker>(workers: readonly W[]): Map<string, W[]> {
  const racks = new Map<string, W[]>();
  for (const worker of workers) {
    const rack = racks.get(worker.spec.rack);
    if (rack === undefined) racks.set(worker.spec.rack, [worker]);
    else rack.push(worker);
  }
  return racks;
}

/** Gives every cell of a tree the class of its root, numbers its leaves, and lists its cells. */
function addTree<W extends CellWorker>(forest: CellForest<W>, draft: Draft<W>, cls: CellClass) {
  const convert = (part: Draft<W>): CellNode => {
    const firstLeaf = forest.leaves.length;
    if (part.leaf !== undefined) forest.leaves.push(part.leaf);
    const children: [CellNode, CellNode] | undefined = part.children && [
      convert(part.children[0]),
      convert(part.children[1]),
    ];
    const node = { level: part.level, cellClass: cls, firstLeaf, children };
    forest.nodes.push(node);
    return node;
  };
  forest.roots.push(convert(draft));
  forest.maxLevel = Math.max(forest.maxLevel, draft.level);
}

function findClass<W extends CellWorker>(forest: CellForest<W>, draft: Draft<W>): CellClass {
  const { workerLevel, rackLevel, type } = draft;
  const found = forest.classes.find(
    (cls) => cls.workerLevel === workerLevel && cls.rackLevel === rackLevel && cls.type === type,
  );
  if (found !== undefined) return found;
  const cls = { index: forest.classes.length, workerLevel, rackLevel, type };
  forest.classes.push(cls);
  return cls;
}

/** Builds the cells of one data centre: buddies within a worker, within a rack, across racks. */
export function buildForest<W extends CellWorker>(workers: readonly W[]): CellForest<W> {
  const tops = [...listRacks(workers).values()].flatMap(listRackCells);
  const roots = joinPairs(tops, (left, right) => ({
    ...left,
    level: left.level + 1,
    leaf: undefined,
    children: [left, right],
  }));
  const forest: CellForest<W> = { nodes: [], roots: [], leaves: [], classes: [], maxLevel: 0 };
  for (const root of roots) addTree(forest, root, findClass(forest, root));
  return forest;
}
