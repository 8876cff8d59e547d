import type { JobSpec } from '@bergamotreach/placement';
import type { RegionSetup } from './deployment.ts';
import { countUsable, createGroups, hasFit } from './fit.ts';
import type { Shape } from './fit.ts';
import { Adjacency } from '@bergamotreach/placement';

/** Accelerator usage, summed over time in milliseconds. */
export interface UsageTotals {
  /** Time with any free accelerator, and the unusable share of them integrated over that time. */
  freeMs: number;
  unusableShareMs: number;
  /**
   * Accelerator-milliseconds: free, free but unusable by gangs of the largest shape, and in use.
   */
  freeAcceleratorMs: number;
  unusableAcceleratorMs: number;
  usedAcceleratorMs: number;
  /** Accelerator-milliseconds that the widest waiting job that fits could have used. */
  idleWhileFitsMs: number;
}

/** Tracks the free accelerators of a region over time. */
export interface UsageMeter {
  /** Adds the time since the last call to the totals; must be called before each change. */
  advance: (nowMs: number, waiting: Iterable<JobSpec>) => void;
  allocate: (workers: readonly string[], accelerators: number) => void;
  release: (workers: readonly string[], accelerators: number) => void;
  getTotals: () => UsageTotals;
}

function getWidth(shape: Shape): number {
  return shape.members * shape.accelerators;
}

const tightness = { [Adjacency.Worker]: 2, [Adjacency.Rack]: 1, [Adjacency.DataCentre]: 0 };

function isLarger(shape: Shape, other: Shape | undefined): boolean {
  if (other === undefined) return true;
  const difference = getWidth(shape) - getWidth(other);
  return difference > 0 || (difference === 0 && tightness[shape.within] > tightness[other.within]);
}

function listGuaranteedShapes(setup: RegionSetup): Shape[] {
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
export function createUsageMeter(setup: RegionSetup): UsageMeter {
  const groups = createGroups(setup.workers);
  const indexOf = new Map(setup.workers.map((worker, index) => [worker.id, index]));
  const free = setup.workers.map((worker) => worker.accelerators);
  const capacity = free.reduce((sum, count) => sum + count, 0);
  const guaranteedShapes = listGuaranteedShapes(setup);
  let freeCount = capacity;
  let lastMs = 0;
  const totals: UsageTotals = {
    freeMs: 0,
    unusableShareMs: 0,
    freeAcceleratorMs: 0,
    unusableAcceleratorMs: 0,
    usedAcceleratorMs: 0,
    idleWhileFitsMs: 0,
  };
  const updateFree = (workers: readonly string[], accelerators: number): void => {
    for (const worker of workers) {
      const index = indexOf.get(worker);
      if (index === undefined) throw new Error(`worker "${worker}" does not exist`);
      const freeAfter = (free[index] ?? 0) + accelerators;
      if (freeAfter < 0) throw new Error(`worker "${worker}" has no free accelerators left`);
      free[index] = freeAfter;
      freeCount += accelerators;
    }
  };
  const addFragmentation = (shapes: readonly Shape[], durationMs: number): void => {
    let largest: Shape | undefined;
    for (const shape of [...shapes, ...guaranteedShapes])
      if (isLarger(shape, largest)) largest = shape;
    const usable = largest === undefined ? freeCount : countUsable(free, groups, largest);
    totals.freeMs += durationMs;
    totals.unusableShareMs += (durationMs * (freeCount - usable)) / freeCount;
    totals.unusableAcceleratorMs += durationMs * (freeCount - usable);
    const widest = Math.max(
      0,
      ...shapes.map((shape) =>
        getWidth(shape) <= freeCount && hasFit(free, groups, shape) ? getWidth(shape) : 0,
      ),
    );
    totals.idleWhileFitsMs += durationMs * widest;
  };
  return {
    advance: (nowMs, waiting) => {
      const durationMs = nowMs - lastMs;
      lastMs = nowMs;
      if (durationMs <= 0) return;
      totals.freeAcceleratorMs += durationMs * freeCount;
      totals.usedAcceleratorMs += durationMs * (capacity - freeCount);
      if (freeCount === 0) return;
      const shapes = new Map<string, Shape>();
      for (const job of waiting) shapes.set(getShapeKey(job), job);
      addFragmentation([...shapes.values()], durationMs);
    },
    allocate: (workers, accelerators) => {
      updateFree(workers, -accelerators);
    },
    release: (workers, accelerators) => {
      updateFree(workers, accelerators);
    },
    getTotals: () => totals,
  };
}
