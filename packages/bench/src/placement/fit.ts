import { Adjacency } from '@bergamotreach/placement';
import type { JobSpec, WorkerSpec } from '@bergamotreach/placement';

/** Size and adjacency of a gang: members, accelerators of each, and where they must be together. */
export type Shape = Pick<JobSpec, 'members' | 'accelerators' | 'within'>;

/** Free accelerators by worker, in the order of the workers. */
export interface FreeCounts {
  workers: readonly WorkerSpec[];
  free: number[];
}

/** Groups of worker indexes, by adjacency; a gang must fit within one group. */
export interface Groups {
  [Adjacency.Worker]: number[][];
  [Adjacency.Rack]: number[][];
  [Adjacency.DataCentre]: number[][];
}

function groupBy(workers: readonly WorkerSpec[], getKey: (worker: WorkerSpec) => string) {
  const groups = new Map<string, number[]>();
  workers.forEach((worker, index) => {
    const key = getKey(worker);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [index]);
    else group.push(index);
  });
  return [...groups.values()];
}

/** Groups workers by adjacency; the groups are valid while the list of workers is unchanged. */
export function createGroups(workers: readonly WorkerSpec[]): Groups {
  return {
    [Adjacency.Worker]: workers.map((_, index) => [index]),
    [Adjacency.Rack]: groupBy(workers, (worker) => worker.rack),
    [Adjacency.DataCentre]: groupBy(workers, (worker) => worker.dataCentre),
  };
}

function countMembers(
  free: readonly number[],
  group: readonly number[],
  acceleratorsPerMember: number,
): number {
  let members = 0;
  for (const index of group) members += Math.floor((free[index] ?? 0) / acceleratorsPerMember);
  return members;
}

/** Number of free accelerators that gangs of this shape could use. */
export function countUsable(free: readonly number[], groups: Groups, shape: Shape): number {
  let gangs = 0;
  for (const group of groups[shape.within]) {
    gangs += Math.floor(countMembers(free, group, shape.accelerators) / shape.members);
  }
  return gangs * shape.members * shape.accelerators;
}

/** Whether one gang of this shape fits in the free accelerators. */
export function hasFit(free: readonly number[], groups: Groups, shape: Shape): boolean {
  return groups[shape.within].some(
    (group) => countMembers(free, group, shape.accelerators) >= shape.members,
  );
}

/**
 * Chooses a worker index for each member: the first group that fits, or with `isBest` the group with
 * the least spare capacity and its fullest workers first. `undefined` if no group fits.
 */
export function findFit(
  free: readonly number[],
  groups: Groups,
  shape: Shape,
  isBest: boolean,
): number[] | undefined {
  let chosen: number[] | undefined;
  let leastSpare = Infinity;
  for (const group of groups[shape.within]) {
    const spare = countMembers(free, group, shape.accelerators) - shape.members;
    if (spare < 0 || spare >= leastSpare) continue;
    chosen = group;
    leastSpare = spare;
    if (!isBest) break;
  }
  if (chosen === undefined) return undefined;
  const order = isBest ? [...chosen].sort((a, b) => (free[a] ?? 0) - (free[b] ?? 0)) : chosen;
  const members: number[] = [];
  for (const index of order) {
    const capacity = Math.floor((free[index] ?? 0) / shape.accelerators);
    for (let n = 0; n < capacity && members.length < shape.members; n += 1) members.push(index);
  }
  return members;
}
