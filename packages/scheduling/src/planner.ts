import { planGathering, takeGathering } from './gathering.ts';
import type { Gathering } from './gathering.ts';
import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import {
  Spread,
  getComingRoom,
  hasRackSize,
  listLocalSets,
  listWaiting,
  placeGang,
  placeSome,
  takeRoom,
} from './packing.ts';
import type { Placement } from './packing.ts';
import type { PlanPolicy } from './policy.ts';
import { getTaskMs, getTaskWork } from './ranking.ts';
import { listStops, planClearing, takeClearing } from './reclaim.ts';
import type { Clearing } from './reclaim.ts';
import { addResources, getDominantShare } from './resources.ts';
import type { Resources } from './resources.ts';
import { urgentPriority } from './submission.ts';
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
  /** Accelerators that urgent work has needed lately. */
  urgentDemand: number;
  /** Wait after which a guaranteed job stops other urgent work, in milliseconds. */
  stopUrgentAfterMs: number;
  policy: PlanPolicy;
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

/** An urgent job waits this long for the right rack; reclaiming must fit into the rest. */
const urgentLocalWaitMs = 2100;
/** An idle fleet makes no job wait longer than this for a better place, in milliseconds. */
const idleLocalWaitMs = 5000;
/** A fleet is idle when at most this share of it is in use. */
const idleUsedShare = 0.5;
/** Room is gathered for a gang that waited this long, in milliseconds. */
const gatherAfterMs = 2500;
/** Work may use gathered room if it ends in time even when it takes this much longer than declared. */
const backfillMargin = 1.3;

function isIdle(input: PlanInput): boolean {
  const used: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const total = { ...used };
  for (const { capacity, free } of input.workers) {
    addResources(used, capacity);
    addResources(used, free, -1);
    addResources(total, capacity);
  }
  return getDominantShare(used, total) <= idleUsedShare;
}

/**
 * Work that is spread off its rack takes several times as long, which costs it its objective and others
 * their room. So it waits for its rack as long as a rack could hold it.
 */
function chooseSpread({ group, ageMs }: ReadyGroup, input: PlanInput, isIdleNow: boolean): Spread {
  const { isGang, isRackBound } = group.spec;
  if (isRackBound && isGang && !hasRackSize(group, input.workers)) return Spread.Anywhere;
  if (isIdleNow && ageMs >= idleLocalWaitMs) return Spread.Anywhere;
  const isUrgent = group.job.rules.priority === urgentPriority;
  return isUrgent && ageMs >= urgentLocalWaitMs ? Spread.Anywhere : Spread.Local;
}

/** Plans starts and stops. It changes the room in `input.workers` and nothing else. */
export function planStarts(input: PlanInput): Plan {
  const plan: Plan = { starts: [], stops: [], waits: [] };
  const clearing = new Set<TaskGroup>();
  const stopping = new Set<Task>();
  const gatherings = new Map<TaskGroup, Gathering>();
  const isIdleNow = isIdle(input);
  markReserved(input.workers, isIdleNow ? 0 : input.urgentDemand * input.policy.urgentReserveShare);
  const order = input.policy.order.rank(input.ready, input);

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
    if (found === undefined || !isWorthStopping(group, found)) return;
    clearing.add(group);
    takeClearing(group, found);
    for (const victim of listStops(found)) {
      if (victim.task.phase !== TaskPhase.Running || stopping.has(victim.task)) continue;
      stopping.add(victim.task);
      noteRelease(victim);
      plan.stops.push({ ...victim, reason: StopReason.Preempted, beneficiary: group.key });
    }
  }

  /**
   * A guarantee is made good whatever it costs; beyond it a job is not worth the loss of far more work
   * than its own: a burst of small urgent jobs stopped one wide gang after the other.
   */
  function isWorthStopping(group: TaskGroup, { cost, victims }: Clearing): boolean {
    if (victims.length === 0 || input.guaranteed.has(group.job.id)) return true;
    const ownWork = getTaskWork(group.spec) * listWaiting(group).length;
    return cost <= ownWork * input.policy.maxLossFactor;
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
    const sets = listLocalSets(group, input.workers);
    const choices = sets
      .map((members) => planClearing(group, members, canStop, input.nowMs))
      .filter((found) => found !== undefined);
    const isWide = sets.length === 0 || (choices.length === 0 && spread === Spread.Anywhere);
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
    const spread = chooseSpread(ready, input, isIdleNow);
    const placements = placeGang(group, input.workers, spread);
    if (placements !== undefined) addStart(group, placements);
    else if (group.job.rules.priority === urgentPriority) freeRoom(ready, spread);
    else holdGang(ready, spread);
  }

  function holdGang({ group, ageMs }: ReadyGroup, spread: Spread): void {
    if (ageMs < gatherAfterMs || gatherings.size >= input.policy.maxGatherings) return;
    const coming = placeGang(group, input.workers, spread, getComingRoom);
    if (coming !== undefined) {
      takeRoom(group, coming);
      return;
    }
    const gathering = chooseGathering(group, spread);
    if (gathering === undefined) return;
    gatherings.set(group, gathering);
    takeGathering(group, gathering);
  }

  function chooseGathering(group: TaskGroup, spread: Spread): Gathering | undefined {
    const sets = listLocalSets(group, input.workers);
    if (sets.length === 0 || spread === Spread.Anywhere) sets.push(input.workers);
    return sets
      .map((workers) => planGathering(group, workers, input.nowMs))
      .filter((gathering) => gathering !== undefined)
      .sort((a, b) => a.readyInMs - b.readyInMs)[0];
  }

  /** Lends gathered room to work that ends before the room is needed. */
  function planBackfilled(ready: ReadyGroup): void {
    const { group } = ready;
    const takesMs = getTaskMs(group.spec) * backfillMargin;
    const lent = [...gatherings].filter(
      ([owner, { readyInMs }]) => owner !== group && takesMs <= readyInMs,
    );
    for (const [owner, gathering] of lent) takeGathering(owner, gathering, -1);
    if (group.spec.isGang) planGang(ready);
    else planTasks(ready);
    for (const [owner, gathering] of lent) takeGathering(owner, gathering);
  }

  function planTasks(ready: ReadyGroup): void {
    const { group } = ready;
    const spread = chooseSpread(ready, input, isIdleNow);
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

  for (const ready of order) planBackfilled(ready);
  for (const [ahead, ready] of order.entries()) noteWait(ready, ahead);
  return plan;
}
