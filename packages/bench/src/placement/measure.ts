import type { JobSpec } from '@bergamotreach/placement';
import type { RegionSetup } from './deployment.ts';
import { countUsable, createGroups, hasFit } from './fit.ts';
import type { Shape } from './fit.ts';
import { Adjacency } from '@bergamotreach/placement';

/** Sums over time that describe how the accelerators were used. Times are in milliseconds. */
export interface UseTotals {
  /** Time during which some accelerator was free, and the sum over it of the unusable share. */
  freeMs: number;
  unusableShareMs: number;
  /** Accelerator-milliseconds: free, free but unusable by the largest shape, and in use. */
  freeAcceleratorMs: number;
  unusableAcceleratorMs: number;
  usedAcceleratorMs: number;
  /** Accelerator-milliseconds idle while a waiting job fits in the free accelerators. */
  idleWhileFitsMs: number;
}

/** Follows the free accelerators of a region over time. */
export interface UseMeter {
  /** Adds the time since the last call, during which nothing changed. */
  advance: (nowMs: number, waiting: Iterable<JobSpec>) => void;
  take: (workers: readonly string[], accelerators: number) => void;
  release: (workers: readonly string[], accelerators: number) => void;
  getTotals: () => UseTotals;
}

function getWidth(shape: Shape): number {
  return shape.members * shape.accelerators;
}

const tightness = { [Adjacency.Worker]: 2, [Adjacency.Rack]: 1, [Adjacency.DataCentre]: 0 };

function isLarger(a: Shape, b: Shape | undefined): boolean {
  if (b === undefined) return true;
  const difference = getWidth(a) - getWidth(b);
  return difference > 0 || (difference === 0 && tightness[a.within] > tightness[b.within]);
}

function listSoldShapes(setup: RegionSetup): Shape[] {
  return setup.config.accounts.flatMap(({ guarantees }) =>
    guarantees.map(({ accelerators, within }) =>
      within === Adjacency.Worker
        ? { members: 1, accelerators, within }
        : { members: accelerators, accelerators: 1, within },
    ),
  );
}

function getShapeKey(shape: Shape): string {
  return `${shape.members}/${shape.accelerators}/${shape.within}`;
}

/** Creates a meter for a region whose accelerators are all free. */
export function createUseMeter(setup: RegionSetup): UseMeter {
  const groups = createGroups(setup.workers);
  const indexOf = new Map(setup.workers.map((worker, index) => [worker.id, index]));
  const free = setup.workers.map((worker) => worker.accelerators);
  const capacity = free.reduce((sum, count) => sum + count, 0);
  const sold = listSoldShapes(setup);
  let freeNow = capacity;
  let lastMs = 0;
  const totals: UseTotals = {
    freeMs: 0,
    unusableShareMs: 0,
    freeAcceleratorMs: 0,
    unusableAcceleratorMs: 0,
    usedAcceleratorMs: 0,
    idleWhileFitsMs: 0,
  };
  const changeFree = (workers: readonly string[], accelerators: number): void => {
    for (const worker of workers) {
      const index = indexOf.get(worker);
      if (index === undefined) throw new Error(`worker "${worker}" does not exist`);
      const left = (free[index] ?? 0) + accelerators;
      if (left < 0) throw new Error(`worker "${worker}" has no free accelerators left`);
      free[index] = left;
      freeNow += accelerators;
    }
  };
  const addFragmentation = (shapes: readonly Shape[], durationMs: number): void => {
    let largest: Shape | undefined;
    for (const shape of [...shapes, ...sold]) if (isLarger(shape, largest)) largest = shape;
    const usable = largest === undefined ? freeNow : countUsable(free, groups, largest);
    totals.freeMs += durationMs;
    totals.unusableShareMs += (durationMs * (freeNow - usable)) / freeNow;
    totals.unusableAcceleratorMs += durationMs * (freeNow - usable);
    const widest = Math.max(
      0,
      ...shapes.map((shape) =>
        getWidth(shape) <= freeNow && hasFit(free, groups, shape) ? getWidth(shape) : 0,
      ),
    );
    totals.idleWhileFitsMs += durationMs * widest;
  };
  return {
    advance: (nowMs, waiting) => {
      const durationMs = nowMs - lastMs;
      lastMs = nowMs;
      if (durationMs <= 0) return;
      totals.freeAcceleratorMs += durationMs * freeNow;
      totals.usedAcceleratorMs += durationMs * (capacity - freeNow);
      if (freeNow === 0) return;
      const shapes = new Map<string, Shape>();
      for (const job of waiting) shapes.set(getShapeKey(job), job);
      addFragmentation([...shapes.values()], durationMs);
    },
    take: (workers, accelerators) => {
      changeFree(workers, -accelerators);
    },
    release: (workers, accelerators) => {
      changeFree(workers, accelerators);
    },
    getTotals: () => totals,
  };
}
