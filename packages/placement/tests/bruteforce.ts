import type { WorkerSpec } from '../src/index.ts';
import { Adjacency } from '../src/index.ts';

/** A shape that must be placed in one aligned block. */
export interface Shape {
  accelerators: number;
  within: Adjacency;
}

/** Key of one accelerator, in the format of the dump of the core. */
export function getSlotKey(worker: string, index: number): string {
  return `${worker}/${index}`;
}

function roundUp(accelerators: number): number {
  let size = 1;
  while (size < accelerators) size *= 2;
  return size;
}

/** Aligned blocks of `size` in one worker, whose accelerators are split into the largest buddies. */
function listWorkerBlocks(worker: WorkerSpec, size: number): string[][] {
  const blocks: string[][] = [];
  let first = 0;
  for (let part = 64; part >= 1; part /= 2) {
    if ((worker.accelerators & part) === 0) continue;
    for (let start = first; start + size <= first + part; start += size) {
      blocks.push(Array.from({ length: size }, (_, k) => getSlotKey(worker.id, start + k)));
    }
    first += part;
  }
  return blocks;
}

/** Aligned groups of whole workers in one rack; only for equal workers of 2^k accelerators. */
function listRackBlocks(workers: readonly WorkerSpec[], size: number): string[][] {
  const blocks: string[][] = [];
  for (const rack of new Set(workers.map((worker) => worker.rack))) {
    const members = workers.filter((worker) => worker.rack === rack);
    const group = size / (members[0]?.accelerators ?? size);
    for (let start = 0; start + group <= members.length; start += group) {
      blocks.push(
        members
          .slice(start, start + group)
          .flatMap((worker) => listWorkerBlocks(worker, worker.accelerators)[0] ?? []),
      );
    }
  }
  return blocks;
}

function listBlocks(workers: readonly WorkerSpec[], shape: Shape): string[][] {
  const size = roundUp(shape.accelerators);
  const inWorkers = workers.flatMap((worker) => listWorkerBlocks(worker, size));
  if (shape.within === Adjacency.Worker || inWorkers.length > 0) return inWorkers;
  return listRackBlocks(workers, size);
}

/**
 * Searches exhaustively for disjoint blocks for all shapes in the slots that `isFree` accepts.
 * `workers` are all workers of one data centre by position, including lost ones.
 */
export function canPlaceAll(
  workers: readonly WorkerSpec[],
  shapes: readonly Shape[],
  isFree: (slot: string) => boolean,
): boolean {
  const sorted = [...shapes].sort((a, b) => b.accelerators - a.accelerators);
  const options = sorted.map((shape) =>
    listBlocks(workers, shape).filter((block) => block.every(isFree)),
  );
  const used = new Set<string>();
  const search = (index: number, from: number): boolean => {
    const blocks = options[index];
    if (blocks === undefined) return true;
    const next = sorted[index + 1];
    const isRepeated =
      next?.accelerators === sorted[index]?.accelerators && next?.within === sorted[index]?.within;
    for (let choice = from; choice < blocks.length; choice += 1) {
      const block = blocks[choice] ?? [];
      if (block.some((slot) => used.has(slot))) continue;
      for (const slot of block) used.add(slot);
      if (search(index + 1, isRepeated ? choice + 1 : 0)) return true;
      for (const slot of block) used.delete(slot);
    }
    return false;
  };
  return search(0, 0);
}
