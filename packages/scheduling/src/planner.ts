import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import {
  Spread,
  getComingRoom,
  hasRackSize,
  listWaiting,
  placeGang,
  placeSome,
  takeRoom,
} from './packing.ts';
import type { Placement } from './packing.ts';
import { getChainMs, getRank } from './ranking.ts';
import { listStops, planClearing, takeClearing } from './reclaim.ts';
import type { Clearing } from './reclaim.ts';
import { addResources, getDominantShare } from './resources.ts';
import type { Resources } from './resources.ts';
import { markReserved } from './urgentshare.ts';
import type { Wait } from './waiting.ts';
import type { PlacedTask, WorkerView } from './worker.ts';

/** A group that may start tasks now: due, its dependencies done, its job live. */
export interface ReadyGroup {
  group: TaskGroup;
  /** Time since it was due or its job accepted, in milliseconds. */
  ageMs: number;
  /** Mean work of its queue in core-seconds. */
  meanWork: number;
}

/** Everything that a plan depends on. */
export interface PlanInput {
  /** Steady time in milliseconds. */
  nowMs: number;
  /** Workers; their `free` is consumed by planning. */
  workers: WorkerView[];
  ready: readonly ReadyGroup[];
  /** Ids of the urgent jobs that are within their account's guarantee. */
  guaranteed: ReadonlySet<string>;
  /** Accelerators to be set aside for urgent work. */
  urgentReserve: number;
  /** Time since the last job was accepted, in milliseconds. */
  quietMs: number;
  /** Wait after which a guaranteed job stops other urgent work, in milliseconds. */
  stopUrgentAfterMs: number;
}

/** Tasks of one group to be started. */
export interface PlannedStart {
  group: TaskGroup;
  placements: { task: Task; workerId: string }[];
}

/** Why running work is stopped. */
export enum StopReason {
  /** Its room goes to work of higher priority. */
  Preempted = 'preempted',
}

/** A task to be stopped. */
export interface PlannedStop extends PlacedTask {
  reason: StopReason;
  /** Group that gets the room. */
  beneficiary: string;
}

/** What to do now. */
export interface Plan {
  starts: PlannedStart[];
  stops: PlannedStop[];
  /** Groups with tasks that wait on, in the order in which they were planned. */
  waits: Wait[];
}

const urgentPriority = 0;
/** A rack-bound job waits for its rack at most this share of its run time, then is spread. */
const localWaitShare = 1.5;
/** An urgent job waits this long for the right rack; reclaiming must fit into the rest. */
const urgentLocalWaitMs = 2100;
/** A guaranteed job that waited this long goes before all others. */
const pressingAfterMs = 1000;
/** A fleet with a smaller free share of its accelerators is crowded. */
const crowdedFreeShare = 0.3;
/**
 * Without a new job for this long, an idle fleet makes none wait for a better place: nothing else is
 * coming that the room could be kept for. The platform asks 14 s after its last job.
 */
const quietAfterMs = 8000;
/** A fleet is idle when at most this share of it is in use. */
const idleUsedShare = 0.5;
/** A gang that waited this long gets room reserved against work ranked below it. */
const reserveAfterMs = 2500;
/** Gangs that may hold a reservation at once. */
const maxReservations = 2;

function compareReady(input: PlanInput): (a: ReadyGroup, b: ReadyGroup) => number {
  const ranks = new Map(input.ready.map((ready) => [ready, getRank(ready)]));
  const getClass = ({ group, ageMs }: ReadyGroup): number => {
    if (group.job.rules.priority !== urgentPriority) return 2;
    const isPressing = input.guaranteed.has(group.job.id) && ageMs > pressingAfterMs;
    return isPressing ? 0 : 1;
  };
  return (a, b) => {
    const byClass = getClass(a) - getClass(b);
    if (byClass !== 0) return byClass;
    // The oldest urgent job goes first, so that none takes the room that another has cleared.
    if (getClass(a) < 2) return b.ageMs - a.ageMs;
    return (ranks.get(b) ?? 0) - (ranks.get(a) ?? 0);
  };
}

function isIdle(input: PlanInput): boolean {
  if (input.quietMs < quietAfterMs) return false;
  const used: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const total = { ...used };
  for (const { capacity, free } of input.workers) {
    addResources(used, capacity);
    addResources(used, free, -1);
    addResources(total, capacity);
  }
  return getDominantShare(used, total) <= idleUsedShare;
}

/** Spread tasks take several times as long, which a crowded fleet cannot afford. */
function isCrowded(workers: readonly WorkerView[]): boolean {
  let free = 0;
  let total = 0;
  for (const worker of workers) {
    free += Math.max(0, worker.free.accelerators);
    total += worker.capacity.accelerators;
  }
  return free < total * crowdedFreeShare;
}

function chooseSpread({ group, ageMs }: ReadyGroup, workers: readonly WorkerView[]): Spread {
  if (group.spec.isRackBound && group.spec.isGang && !hasRackSize(group, workers)) {
    return Spread.Anywhere;
  }
  const isUrgent = group.job.rules.priority === urgentPriority;
  const waitMs = isUrgent ? urgentLocalWaitMs : getChainMs(group.job, group.step) * localWaitShare;
  return ageMs < waitMs || (!isUrgent && isCrowded(workers)) ? Spread.Local : Spread.Anywhere;
}

/** Plans starts and stops. It changes the room in `input.workers` and nothing else. */
export function planStarts(input: PlanInput): Plan {
  const plan: Plan = { starts: [], stops: [], waits: [] };
  const clearing = new Set<TaskGroup>();
  const stopping = new Set<Task>();
  let reservations = 0;
  const isQuiet = isIdle(input);
  markReserved(input.workers, isQuiet ? 0 : input.urgentReserve);
  const order = [...input.ready].sort(compareReady(input));

  function addStart(group: TaskGroup, placements: Placement[]): void {
    if (placements.length === 0) return;
    takeRoom(group, placements);
    plan.starts.push({
      group,
      placements: placements.map(({ task, worker }) => ({ task, workerId: worker.id })),
    });
  }

  /** Stops work for a group, or holds the room of stops that are under way. */
  function freeRoom({ group, ageMs }: ReadyGroup, spread: Spread): void {
    const isLower = (victim: TaskGroup): boolean =>
      victim.job.rules.priority > group.job.rules.priority;
    const canStop = (victim: TaskGroup): boolean => {
      if (isLower(victim)) return true;
      if (victim.job.account === group.job.account) return false;
      const isUrgent = victim.job.rules.priority === urgentPriority;
      return isUrgent && !input.guaranteed.has(victim.job.id);
    };
    // Stopping urgent work for urgent work only loses what has run, and most ends by itself in time.
    const mayStopUrgent = input.guaranteed.has(group.job.id) && ageMs >= input.stopUrgentAfterMs;
    const found =
      chooseClearing(group, spread, isLower) ??
      (mayStopUrgent ? chooseClearing(group, spread, canStop) : undefined);
    if (found === undefined) return;
    clearing.add(group);
    takeClearing(group, found);
    for (const victim of listStops(found)) {
      if (victim.task.phase !== TaskPhase.Running || stopping.has(victim.task)) continue;
      stopping.add(victim.task);
      noteRelease(victim);
      plan.stops.push({ ...victim, reason: StopReason.Preempted, beneficiary: group.key });
    }
  }

  function noteRelease(victim: PlacedTask): void {
    const worker = input.workers.find(({ id }) => id === victim.task.workerId);
    if (worker === undefined) return;
    addResources(worker.releasing, victim.group.spec.demand);
    worker.placed = worker.placed.filter(({ task }) => task !== victim.task);
  }

  function chooseClearing(
    group: TaskGroup,
    spread: Spread,
    canStop: (victim: TaskGroup) => boolean,
  ): Clearing | undefined {
    const isBound = group.spec.isRackBound || group.spec.preferredRack !== '';
    const racks = new Set(input.workers.map(({ rack }) => rack));
    const choices: Clearing[] = [];
    if (isBound) {
      for (const rack of racks) {
        if (group.spec.preferredRack !== '' && rack !== group.spec.preferredRack) continue;
        const members = input.workers.filter((worker) => worker.rack === rack);
        const found = planClearing(group, members, canStop, input.nowMs);
        if (found !== undefined) choices.push(found);
      }
    }
    const isWide = !isBound || (choices.length === 0 && spread === Spread.Anywhere);
    if (isWide) {
      const found = planClearing(group, input.workers, canStop, input.nowMs);
      if (found !== undefined) choices.push(found);
    }
    return choices.sort((a, b) => a.cost - b.cost)[0];
  }

  function planGang(ready: ReadyGroup): void {
    const { group } = ready;
    // A gang starts whole, so it waits until the last member of its previous run has ended.
    if (group.tasks.some(isOccupying)) return;
    const spread = isQuiet ? Spread.Anywhere : chooseSpread(ready, input.workers);
    const placements = placeGang(group, input.workers, spread);
    if (placements !== undefined) addStart(group, placements);
    else if (group.job.rules.priority === urgentPriority) freeRoom(ready, spread);
    else holdGang(ready, spread);
  }

  function holdGang({ group, ageMs }: ReadyGroup, spread: Spread): void {
    if (ageMs < reserveAfterMs || reservations >= maxReservations) return;
    reservations += 1;
    const coming = placeGang(group, input.workers, spread, getComingRoom);
    if (coming !== undefined) takeRoom(group, coming);
    else holdLater(group, spread);
  }

  /** Reserves room that other work holds now; nothing is stopped for it. */
  function holdLater(group: TaskGroup, spread: Spread): void {
    const found = chooseClearing(group, spread, () => true);
    if (found !== undefined) takeClearing(group, found);
  }

  function planTasks(ready: ReadyGroup): void {
    const { group } = ready;
    const spread = isQuiet ? Spread.Anywhere : chooseSpread(ready, input.workers);
    addStart(group, placeSome(group, input.workers, spread));
    const placed = plan.starts.find((start) => start.group === group)?.placements.length ?? 0;
    const isUrgent = group.job.rules.priority === urgentPriority;
    if (isUrgent && placed < listWaiting(group).length) freeRoom(ready, Spread.Anywhere);
  }

  function noteWait({ group, ageMs }: ReadyGroup, ahead: number): void {
    const placed = plan.starts.find((start) => start.group === group)?.placements.length ?? 0;
    if (placed >= listWaiting(group).length) return;
    plan.waits.push({ group, ageMs, isClearing: clearing.has(group), ahead });
  }

  for (const ready of order) {
    if (ready.group.spec.isGang) planGang(ready);
    else planTasks(ready);
  }
  for (const [ahead, ready] of order.entries()) noteWait(ready, ahead);
  return plan;
}
