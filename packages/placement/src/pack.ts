import { computeFootprint, computePlainCapacity } from './footprint.ts';
import { Adjacency } from './spec.ts';
import type { JobSpec, PlacementConfig } from './spec.ts';
import { isUsable } from './state.ts';
import type { Job, MemberSlots, Slot, Worker } from './state.ts';

/** Which slots a gang may use, and which it should use first. */
export interface SlotSource {
  countSlots: (worker: Worker) => number;
  /** Slots of the worker that the gang may use, best first. */
  listSlots: (worker: Worker) => Slot[];
  /** Workers with a smaller rank are filled first; ties keep cell order. */
  rankWorker: (worker: Worker) => number;
}

interface Room {
  worker: Worker;
  /** Members that fit on the worker. */
  members: number;
  /** Slots of each member. */
  footprint: number;
  rank: number;
}

function listRooms(
  workers: readonly Worker[],
  job: JobSpec,
  config: PlacementConfig,
  source: SlotSource,
): Room[] {
  const rooms: Room[] = [];
  for (const worker of workers) {
    const slots = source.countSlots(worker);
    if (slots < job.accelerators) continue;
    const footprint = computeFootprint(job, worker.spec, config.acceleratorShare);
    if (footprint === undefined || footprint > slots) continue;
    const members = Math.floor(slots / footprint);
    rooms.push({ worker, members, footprint, rank: source.rankWorker(worker) });
  }
  return rooms;
}

function listPlainRooms(
  workers: readonly Worker[],
  job: JobSpec,
  config: PlacementConfig,
  isEmpty: boolean,
): Room[] {
  const rooms: Room[] = [];
  for (const worker of workers) {
    if (!isEmpty && !isUsable(worker)) continue;
    const capacity = computePlainCapacity(worker.spec, config);
    const cores = capacity.cores - (isEmpty ? 0 : worker.plainCores);
    const memoryMb = capacity.memoryMb - (isEmpty ? 0 : worker.plainMemoryMb);
    const byCores = job.cores > 0 ? cores / job.cores : job.members;
    const byMemory = job.memoryMb > 0 ? memoryMb / job.memoryMb : job.members;
    // Sums of fractional cores carry rounding errors far below 1e-9 of a member.
    const members = Math.floor(Math.min(byCores, byMemory, job.members) + 1e-9);
    if (members > 0) rooms.push({ worker, members, footprint: 0, rank: cores });
  }
  return rooms;
}

function countMembers(rooms: readonly Room[]): number {
  return rooms.reduce((sum, room) => sum + room.members, 0);
}

function fillRooms(
  rooms: Room[],
  memberCount: number,
  listSlots: SlotSource['listSlots'],
): MemberSlots[] {
  const members: MemberSlots[] = [];
  rooms.sort((a, b) => a.rank - b.rank);
  for (const { worker, footprint, members: room } of rooms) {
    const wanted = Math.min(room, memberCount - members.length);
    if (wanted === 0) break;
    const slots = footprint === 0 ? [] : listSlots(worker);
    for (let index = 0; index < wanted; index += 1) {
      members.push({ worker, slots: slots.slice(index * footprint, (index + 1) * footprint) });
    }
  }
  return members;
}

/** The group with the fewest members to spare. */
function chooseTightest(groups: readonly Room[][], members: number): Room[] | undefined {
  let best: Room[] | undefined;
  let bestSpare = Infinity;
  for (const rooms of groups) {
    const spare = countMembers(rooms) - members;
    if (spare >= 0 && spare < bestSpare) {
      best = rooms;
      bestSpare = spare;
    }
  }
  return best;
}

function groupByRack(rooms: readonly Room[]): Room[][] {
  const racks = new Map<string, Room[]>();
  for (const room of rooms) {
    const rack = racks.get(room.worker.spec.rack);
    if (rack === undefined) racks.set(room.worker.spec.rack, [room]);
    else rack.push(room);
  }
  return [...racks.values()];
}

function chooseRooms(rooms: Room[], job: JobSpec): Room[] | undefined {
  if (countMembers(rooms) < job.members) return undefined;
  if (job.within === Adjacency.DataCentre) return rooms;
  const groups = job.within === Adjacency.Rack ? groupByRack(rooms) : rooms.map((room) => [room]);
  return chooseTightest(groups, job.members);
}

/** Rooms for the whole gang, without the workers on which the job failed where possible. */
function chooseAvoiding(rooms: Room[], job: Job): Room[] | undefined {
  const { failedWorkers } = job;
  if (failedWorkers.size === 0) return chooseRooms(rooms, job.spec);
  const others = rooms.filter((room) => !failedWorkers.has(room.worker.spec.id));
  return chooseRooms(others, job.spec) ?? chooseRooms(rooms, job.spec);
}

/**
 * Places all members on workers of one site, or returns `undefined`. Several members may share a
 * worker. Members that must be close go to the worker or rack with the least room to spare.
 */
export function placeMembers(
  workers: readonly Worker[],
  job: Job,
  config: PlacementConfig,
  source: SlotSource,
): MemberSlots[] | undefined {
  const usable = workers.filter(isUsable);
  const rooms = chooseAvoiding(listRooms(usable, job.spec, config, source), job);
  return rooms && fillRooms(rooms, job.spec.members, source.listSlots);
}

/** Places members that need no accelerators by cores and memory, fullest workers first. */
export function placePlainMembers(
  workers: readonly Worker[],
  job: Job,
  config: PlacementConfig,
): MemberSlots[] | undefined {
  const rooms = chooseAvoiding(listPlainRooms(workers, job.spec, config, false), job);
  return rooms && fillRooms(rooms, job.spec.members, () => []);
}

/** Tells whether the gang fits on workers, lost ones included, with nothing else on them. */
export function canFitEmpty(
  workers: readonly Worker[],
  job: JobSpec,
  config: PlacementConfig,
): boolean {
  const rooms =
    job.accelerators === 0
      ? listPlainRooms(workers, job, config, true)
      : listRooms(workers, job, config, {
          countSlots: (worker) => worker.slots.length,
          listSlots: (worker) => worker.slots,
          rankWorker: () => 0,
        });
  return chooseRooms(rooms, job) !== undefined;
}
