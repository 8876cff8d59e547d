import type { WorkerSpec } from './spec.ts';

/**
 * Class of interchangeable cells: the same hardware, and the same largest levels at which a cell still
 * lies within one worker and within one rack.
 */
export interface CellClass {
  index: number;
  workerLevel: number;
  rackLevel: number;
  /** Hardware type, see `getHardwareType`. */
  type: string;
}

/** A cell of 2^level adjacent accelerators: a block of the buddy allocator. */
export interface CellNode {
  level: number;
  cellClass: CellClass;
  /** First leaf in the order of the data centre's leaves; the cell's leaves are contiguous. */
  firstLeaf: number;
  children: readonly [CellNode, CellNode] | undefined;
}

/** The part of a worker that the cells are built from. */
export interface CellWorker {
  spec: WorkerSpec;
}

/** One accelerator of a worker, a cell of level 0. */
export interface Leaf<W extends CellWorker> {
  worker: W;
  /** Position of the accelerator within its worker. */
  index: number;
}

/** Buddy trees over all accelerators of one data centre. */
export interface CellForest<W extends CellWorker> {
  /** All cells, children before parents. */
  nodes: CellNode[];
  roots: CellNode[];
  leaves: Leaf<W>[];
  classes: CellClass[];
  maxLevel: number;
}

interface CellDraft<W extends CellWorker> {
  level: number;
  workerLevel: number;
  rackLevel: number;
  type: string;
  leaf: Leaf<W> | undefined;
  children: readonly [CellDraft<W>, CellDraft<W>] | undefined;
}

/** Smallest level whose cells hold `accelerators`; 0 for 0 accelerators. */
export function computeCellLevel(accelerators: number): number {
  return accelerators <= 1 ? 0 : 32 - Math.clz32(accelerators - 1);
}

/** Levels of the fewest cells that add up to `accelerators`, largest first. */
export function listBuddyLevels(accelerators: number): number[] {
  const levels: number[] = [];
  for (let level = 30; level >= 0; level -= 1) {
    if ((accelerators & (1 << level)) !== 0) levels.push(level);
  }
  return levels;
}

/** Hardware type of a worker: equal for equal accelerators, cores and memory. */
export function getHardwareType(spec: WorkerSpec): string {
  return `${spec.accelerators}/${spec.cores}/${spec.memoryMb}`;
}

/** Merges pairs of equal drafts into drafts of the next level until no pair is left. */
function mergeBuddies<W extends CellWorker>(
  drafts: readonly CellDraft<W>[],
  join: (left: CellDraft<W>, right: CellDraft<W>) => CellDraft<W>,
): CellDraft<W>[] {
  const unpaired = new Map<string, CellDraft<W>>();
  for (let draft of drafts) {
    for (;;) {
      const key = `${draft.level}/${draft.workerLevel}/${draft.rackLevel}/${draft.type}`;
      const buddy = unpaired.get(key);
      if (buddy === undefined) {
        unpaired.set(key, draft);
        break;
      }
      unpaired.delete(key);
      draft = join(buddy, draft);
    }
  }
  return [...unpaired.values()];
}

function buildWorkerCell<W extends CellWorker>(
  worker: W,
  firstIndex: number,
  level: number,
): CellDraft<W> {
  const type = getHardwareType(worker.spec);
  const half = 2 ** (level - 1);
  return {
    level,
    workerLevel: level,
    rackLevel: level,
    type,
    leaf: level === 0 ? { worker, index: firstIndex } : undefined,
    children:
      level === 0
        ? undefined
        : [
            buildWorkerCell(worker, firstIndex, level - 1),
            buildWorkerCell(worker, firstIndex + half, level - 1),
          ],
  };
}

function listWorkerCells<W extends CellWorker>(worker: W): CellDraft<W>[] {
  let firstIndex = 0;
  return listBuddyLevels(worker.spec.accelerators).map((level) => {
    const cell = buildWorkerCell(worker, firstIndex, level);
    firstIndex += 2 ** level;
    return cell;
  });
}

function listRackCells<W extends CellWorker>(workers: readonly W[]): CellDraft<W>[] {
  return mergeBuddies(workers.flatMap(listWorkerCells), (left, right) => ({
    ...left,
    level: left.level + 1,
    rackLevel: left.level + 1,
    leaf: undefined,
    children: [left, right],
  }));
}

/** Groups `workers` by rack; keeps their order. */
export function groupByRack<W extends CellWorker>(workers: readonly W[]): Map<string, W[]> {
  const racks = new Map<string, W[]>();
  for (const worker of workers) {
    const rack = racks.get(worker.spec.rack);
    if (rack === undefined) racks.set(worker.spec.rack, [worker]);
    else rack.push(worker);
  }
  return racks;
}

/** Adds the tree of a draft to the forest; all its cells get the class of the root. */
function addTree<W extends CellWorker>(forest: CellForest<W>, draft: CellDraft<W>, cls: CellClass) {
  const convert = (part: CellDraft<W>): CellNode => {
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

function findClass<W extends CellWorker>(forest: CellForest<W>, draft: CellDraft<W>): CellClass {
  const { workerLevel, rackLevel, type } = draft;
  const found = forest.classes.find(
    (cls) => cls.workerLevel === workerLevel && cls.rackLevel === rackLevel && cls.type === type,
  );
  if (found !== undefined) return found;
  const cls = { index: forest.classes.length, workerLevel, rackLevel, type };
  forest.classes.push(cls);
  return cls;
}

/** Builds the cells of one data centre by merging buddies within a worker, a rack and then across racks. */
export function buildForest<W extends CellWorker>(workers: readonly W[]): CellForest<W> {
  const rackCells = [...groupByRack(workers).values()].flatMap(listRackCells);
  const roots = mergeBuddies(rackCells, (left, right) => ({
    ...left,
    level: left.level + 1,
    leaf: undefined,
    children: [left, right],
  }));
  const forest: CellForest<W> = { nodes: [], roots: [], leaves: [], classes: [], maxLevel: 0 };
  for (const root of roots) addTree(forest, root, findClass(forest, root));
  return forest;
}
