import { computeCpuOnlyCapacity, computeFootprint } from './footprint.ts';
import { Adjacency } from './spec.ts';
import type { JobSpec, PlacementConfig } from './spec.ts';
import { isUsable } from './state.ts';
import type { Job, MemberSlots, Slot, Worker } from './state.ts';

/** The slots that a gang may use, and their order of preference. */
export interface SlotSource {
  countSlots: (worker: Worker) => number;
  /** Slots of the worker that the gang may use, best first. */
  listSlots: (worker: Worker) => Slot[];
  /** Workers with a smaller rank are filled first; equal ranks keep cell order. */
  rankWorker: (worker: Worker) => number;
}

/** How many members fit on a worker. */
interface WorkerFit {
  worker: Worker;
  /** Number of members that fit on the worker. */
  members: number;
  /** Slots that each member occupies. */
  footprint: number;
  rank: number;
}

function listFits(
  workers: readonly Worker[],
  job: JobSpec,
  config: PlacementConfig,
  source: SlotSource,
): WorkerFit[] {
  const fits: WorkerFit[] = [];
  for (const worker of workers) {
    const slots = source.countSlots(worker);
    if (slots < job.accelerators) continue;
    const footprint = computeFootprint(job, worker.spec, config.acceleratorShare);
    if (footprint === undefined || footprint > slots) continue;
    const members = Math.floor(slots / footprint);
    fits.push({ worker, members, footprint, rank: source.rankWorker(worker) });
  }
  return fits;
}

function listCpuOnlyFits(
  workers: readonly Worker[],
  job: JobSpec,
  config: PlacementConfig,
  isEmpty: boolean,
): WorkerFit[] {
  const fits: WorkerFit[] = [];
  for (const worker of workers) {
    if (!isEmpty && !isUsable(worker)) continue;
    const capacity = computeCpuOnlyCapacity(worker.spec, config);
    const cores = capacity.cores - (isEmpty ? 0 : worker.cpuOnlyCores);
    const memoryMb = capacity.memoryMb - (isEmpty ? 0 : worker.cpuOnlyMemoryMb);
    const byCores = job.cores > 0 ? cores / job.cores : job.members;
    const byMemory = job.memoryMb > 0 ? memoryMb / job.memoryMb : job.members;
    // Sums of fractional cores have rounding errors far below 1e-9 of a member.
    const members = Math.floor(Math.min(byCores, byMemory, job.members) + 1e-9);
    if (members > 0) fits.push({ worker, members, footprint: 0, rank: cores });
  }
  return fits;
}

function countMembers(fits: readonly WorkerFit[]): number {
  return fits.reduce((sum, fit) => sum + fit.members, 0);
}

function fillWorkers(
  fits: WorkerFit[],
  memberCount: number,
  listSlots: SlotSource['listSlots'],
): MemberSlots[] {
  const members: MemberSlots[] = [];
  fits.sort((a, b) => a.rank - b.rank);
  for (const { worker, footprint, members: capacity } of fits) {
    const wanted = Math.min(capacity, memberCount - members.length);
    if (wanted === 0) break;
    const slots = footprint === 0 ? [] : listSlots(worker);
    for (let index = 0; index < wanted; index += 1) {
      members.push({ worker, slots: slots.slice(index * footprint, (index + 1) * footprint) });
    }
  }
  return members;
}

/** Best fit: the group with the least spare capacity that holds all members. */
function chooseTightest(groups: readonly WorkerFit[][], members: number): WorkerFit[] | undefined {
  let best: WorkerFit[] | undefined;
  let bestSpare = Infinity;
  for (const fits of groups) {
    const spare = countMembers(fits) - members;
    if (spare >= 0 && spare < bestSpare) {
      best = fits;
      bestSpare = spare;
    }
  }
  return best;
}

function groupByRack(fits: readonly WorkerFit[]): WorkerFit[][] {
  const racks = new Map<string, WorkerFit[]>();
  for (const fit of fits) {
    const rack = racks.get(fit.worker.spec.rack);
    if (rack === undefined) racks.set(fit.worker.spec.rack, [fit]);
    else rack.push(fit);
  }
  return [...racks.values()];
}

function chooseWorkers(fits: WorkerFit[], job: JobSpec): WorkerFit[] | undefined {
  if (countMembers(fits) < job.members) return undefined;
  if (job.within === Adjacency.DataCentre) return fits;
  const groups = job.within === Adjacency.Rack ? groupByRack(fits) : fits.map((fit) => [fit]);
  return chooseTightest(groups, job.members);
}

/** Chooses workers for the whole gang; avoids those on which the job failed if possible. */
function chooseAvoidingFailed(fits: WorkerFit[], job: Job): WorkerFit[] | undefined {
  const { failedWorkers } = job;
  if (failedWorkers.size === 0) return chooseWorkers(fits, job.spec);
  const others = fits.filter((fit) => !failedWorkers.has(fit.worker.spec.id));
  return chooseWorkers(others, job.spec) ?? chooseWorkers(fits, job.spec);
}

/**
 * Places all members on workers of one site; `undefined` if they do not fit. Several members may share
 * a worker. Members that must be adjacent go to the worker or rack with the least spare capacity.
 */
export function placeMembers(
  workers: readonly Worker[],
  job: Job,
  config: PlacementConfig,
  source: SlotSource,
): MemberSlots[] | undefined {
  const usable = workers.filter(isUsable);
  const fits = chooseAvoidingFailed(listFits(usable, job.spec, config, source), job);
  return fits && fillWorkers(fits, job.spec.members, source.listSlots);
}

/** Places members without accelerators by cores and memory, fullest workers first (bin packing). */
export function placeCpuOnlyMembers(
  workers: readonly Worker[],
  job: Job,
  config: PlacementConfig,
): MemberSlots[] | undefined {
  const fits = chooseAvoidingFailed(listCpuOnlyFits(workers, job.spec, config, false), job);
  return fits && fillWorkers(fits, job.spec.members, () => []);
}

/** Whether the gang fits on the workers, including lost ones, if nothing else runs on them. */
export function canFitEmpty(
  workers: readonly Worker[],
  job: JobSpec,
  config: PlacementConfig,
): boolean {
  const fits =
    job.accelerators === 0
      ? listCpuOnlyFits(workers, job, config, true)
      : listFits(workers, job, config, {
          countSlots: (worker) => worker.slots.length,
          listSlots: (worker) => worker.slots,
          rankWorker: () => 0,
        });
  return chooseWorkers(fits, job) !== undefined;
}
