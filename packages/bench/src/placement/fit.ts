import { Adjacency } from '@bergamotreach/placement';
import type { JobSpec, WorkerSpec } from '@bergamotreach/placement';

/** What a gang needs of free accelerators. */
export type Shape = Pick<JobSpec, 'members' | 'accelerators' | 'within'>;

/** Free accelerators by worker, in the order of the workers. */
export interface FreeCounts {
  workers: readonly WorkerSpec[];
  free: number[];
}

/** Groups of worker indexes among which a gang of this adjacency may spread. */
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

/** Groups workers once; the groups hold as long as the workers do. */
export function createGroups(workers: readonly WorkerSpec[]): Groups {
  return {
    [Adjacency.Worker]: workers.map((_, index) => [index]),
    [Adjacency.Rack]: groupBy(workers, (worker) => worker.rack),
    [Adjacency.DataCentre]: groupBy(workers, (worker) => worker.dataCentre),
  };
}

function countMembers(free: readonly number[], group: readonly number[], each: number): number {
  let members = 0;
  for (const index of group) members += Math.floor((free[index] ?? 0) / each);
  return members;
}

/** Free accelerators that gangs of this shape could use. */
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

/** Worker index of each member: first fit, or (`isBest`) the tightest group and workers. */
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
    const room = Math.floor((free[index] ?? 0) / shape.accelerators);
    for (let n = 0; n < room && members.length < shape.members; n += 1) members.push(index);
  }
  return members;
}
