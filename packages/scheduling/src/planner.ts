import { createDecidedGroup, createOpenGroup, findAdviceRequest } from './advice.ts';
import type { AdviceRequest } from './advice.ts';
import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import { claimWorkers, markIsolated, splitSuspects } from './isolation.ts';
import {
  Spread,
  getFreeAfterStops,
  canFitRack,
  listLocalSets,
  listWaitingTasks,
  placeGang,
  placeTasks,
  reservePlacements,
} from './packing.ts';
import type { Placement } from './packing.ts';
import type { PlanPolicy } from './policy.ts';
import { listStops, planPreemption, reservePreempted } from './preemption.ts';
import type { PreemptionPlan } from './preemption.ts';
import { getTaskMs } from './ranking.ts';
import type { LossContext, RankedGroup } from './loss.ts';
import { applyReservation, planReservation } from './reservation.ts';
import type { GangReservation } from './reservation.ts';
import { addResources, getDominantShare } from './resources.ts';
import type { Resources } from './resources.ts';
import { isOverdue } from './order.ts';
import { createRunTimes } from './runtimes.ts';
import type { RunTimes } from './runtimes.ts';
import { urgentPriority } from './submission.ts';
import { markUrgentReserve } from './urgentreserve.ts';
import type { Wait } from './waiting.ts';
import { UrgentReserve } from './worker.ts';
import type { PlacedTask, WorkerView } from './worker.ts';

/** A group that may start tasks now: it is due, its dependencies are done and its job has not ended. */
export interface ReadyGroup {
  group: TaskGroup;
  /** Time since it was due or its job was accepted, in milliseconds. */
  ageMs: number;
  /** Mean work of its queue in core-seconds. */
  meanWork: number;
}

/** Complete input of a plan. */
export interface PlanInput {
  /** Monotonic time in milliseconds. */
  nowMs: number;
  /**
   * Workers; planning changes their `free`, `releasing`, `placed`, `maxStarts`, `urgentReserve` and
   * `isolatedFor`.
   */
  workers: WorkerView[];
  ready: readonly ReadyGroup[];
  /** By pool, workers that do not answer and had tasks that may crash their workers. */
  suspectsDown: ReadonlyMap<string, number>;
  /** Ids of the urgent jobs that are within the guarantee of their account. */
  guaranteed: ReadonlySet<string>;
  /** Recent accelerator demand of urgent work by pool; see `UrgentDemands`. */
  urgentDemand: ReadonlyMap<string, number>;
  /** What was observed about run times; as declared if absent. */
  runTimes?: RunTimes;
  /** Age and mean work of a running group; its age counts as 0 if absent. */
  getRanked?: (group: TaskGroup) => RankedGroup;
  /** Wait after which a guaranteed job may preempt other urgent work, in milliseconds. */
  preemptUrgentAfterMs: number;
  policy: PlanPolicy;
  /** Whether the plan lists what its groups need advice for. */
  listsAdviceRequests?: boolean;
}

/** Tasks of one group to be started. */
export interface PlannedStart {
  group: TaskGroup;
  placements: { task: Task; workerId: string }[];
}

/** Why running work is stopped. */
export enum StopReason {
  /** Preempted for work of higher priority, or for a guaranteed job. */
  Preempted = 'preempted',
}

/** A task to be stopped. */
export interface PlannedStop extends PlacedTask {
  reason: StopReason;
  /** Key of the group that gets the freed resources. */
  beneficiary: string;
}

/** Decisions of one planning pass. */
export interface Plan {
  starts: PlannedStart[];
  stops: PlannedStop[];
  /** Groups that still have waiting tasks, in planning order. */
  waits: Wait[];
  /** Groups that need advice, in planning order; empty if the plan does not list them. */
  adviceRequests: AdviceRequest[];
}

/** Longest wait of an urgent job for its rack; preemption must fit into the rest of its reclaim time. */
const urgentLocalWaitMs = 2100;
/** Longest wait of a job for its rack while its pool is idle. */
const idleLocalWaitMs = 5000;
/** A pool counts as idle while its dominant share in use is at most this. */
const idleUsedShare = 0.5;
/** Wait after which a gang gets a reservation. */
const reserveAfterMs = 2500;
/** Backfill must end before the reservation is due even if it takes this many times its declared time. */
const backfillMargin = 1.3;

/** Time before reserved room is free at which tickets for it are requested: a call and a part of their validity. */
const adviceLeadMs = 1000;

/** Wait after which a task that lasts may use workers that are reserved for urgent work. */
const lastingWaitMs = 2000;

/** Groups workers by pool; keeps their order. */
function groupByPool(workers: readonly WorkerView[]): Map<string, WorkerView[]> {
  const pools = new Map<string, WorkerView[]>();
  for (const worker of workers) {
    const members = pools.get(worker.pool);
    if (members === undefined) pools.set(worker.pool, [worker]);
    else members.push(worker);
  }
  return pools;
}

/** Reserves workers of each pool for the urgent work of that pool alone. */
function reservePools(
  { policy, urgentDemand }: PlanInput,
  pools: ReadonlyMap<string, WorkerView[]>,
  idlePools: ReadonlySet<string>,
): void {
  for (const [pool, workers] of pools) {
    const demand = idlePools.has(pool) ? 0 : (urgentDemand.get(pool) ?? 0);
    markUrgentReserve(workers, demand * policy.urgentReserveShare);
  }
}

/**
 * Whether a group may use workers that are reserved for urgent work: nothing waits for urgent work that may
 * never come beyond the bound on waiting.
 */
function canUseReserve({ group, ageMs }: ReadyGroup): boolean {
  return group.spec.isLongRunning ? ageMs > lastingWaitMs : isOverdue(group.job, ageMs);
}

function isIdle(workers: readonly WorkerView[]): boolean {
  const used: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const total = { ...used };
  for (const { capacity, free } of workers) {
    addResources(used, capacity);
    addResources(used, free, -1);
    addResources(total, capacity);
  }
  return getDominantShare(used, total) <= idleUsedShare;
}

/**
 * Rack-bound work that is spread over racks takes several times as long: it misses its objective and
 * occupies resources longer. So it waits for a rack, as long as some rack could hold it.
 */
function chooseSpread({ group, ageMs }: ReadyGroup, input: PlanInput, isPoolIdle: boolean): Spread {
  const { isGang, isRackBound } = group.spec;
  const canFit = (): boolean => canFitRack(createOpenGroup(group, input.workers), input.workers);
  if (isRackBound && isGang && !canFit()) return Spread.Anywhere;
  if (isPoolIdle && ageMs >= idleLocalWaitMs) return Spread.Anywhere;
  const isUrgent = group.job.rules.priority === urgentPriority;
  return isUrgent && ageMs >= urgentLocalWaitMs ? Spread.Anywhere : Spread.Local;
}

/** Replaces groups with tasks that may crash their workers by their parts. */
function splitReady({ ready, nowMs }: PlanInput): ReadyGroup[] {
  return ready.flatMap((one) =>
    splitSuspects(one.group, nowMs).map((group) => ({ ...one, group })),
  );
}

/** Plans starts and stops. It changes only `input.workers`; tasks keep their phases. */
export function planStarts(input: PlanInput): Plan {
  const plan: Plan = { starts: [], stops: [], waits: [], adviceRequests: [] };
  const preempting = new Set<TaskGroup>();
  const stopping = new Set<Task>();
  const reservations = new Map<TaskGroup, GangReservation>();
  const pools = groupByPool(input.workers);
  // Work of one pool never waits for what other pools have in use.
  const idlePools = new Set(
    [...pools].filter(([, workers]) => isIdle(workers)).map(([pool]) => pool),
  );
  reservePools(input, pools, idlePools);
  const losses: LossContext = {
    nowMs: input.nowMs,
    runTimes: input.runTimes ?? createRunTimes(),
    getRanked: input.getRanked ?? ((group) => ({ group, ageMs: 0, meanWork: 0 })),
  };
  const getLoss = (victim: PlacedTask): number => input.policy.loss.getStopLoss(victim, losses);
  const order = input.policy.order.rank(splitReady(input), { ...input, ...losses });
  /** Tasks placed, by group or part of a group. */
  const placedTasks = new Map<TaskGroup, ReadonlySet<Task>>();
  /** Workers on which room is made or kept for a group. */
  const reservedWorkers = new Map<TaskGroup, readonly WorkerView[]>();
  markIsolated(input.workers, input.nowMs);
  claimWorkers(
    order.map(({ group }) => createDecidedGroup(group)),
    input.workers,
    input.suspectsDown,
    input.nowMs,
  );

  function addStart(group: TaskGroup, placements: Placement[]): void {
    if (placements.length === 0) return;
    reservePlacements(group, placements);
    placedTasks.set(group, new Set(placements.map(({ task }) => task)));
    plan.starts.push({
      group: group.source ?? group,
      placements: placements.map(({ task, worker }) => ({ task, workerId: worker.id })),
    });
  }

  /** Preempts work for a group, or reserves the resources of stops in progress. */
  function preemptFor(ready: ReadyGroup, spread: Spread): void {
    const { group, ageMs } = ready;
    const hasLowerPriority = (victim: TaskGroup): boolean =>
      victim.job.rules.priority > group.job.rules.priority;
    const canPreempt = (victim: TaskGroup): boolean => {
      if (hasLowerPriority(victim)) return true;
      if (victim.job.account === group.job.account) return false;
      const isUrgent = victim.job.rules.priority === urgentPriority;
      return isUrgent && !input.guaranteed.has(victim.job.id);
    };
    // Preempting urgent work for other urgent work loses what has run, and most of it ends soon anyway.
    const canPreemptUrgent =
      input.guaranteed.has(group.job.id) && ageMs >= input.preemptUrgentAfterMs;
    const preemption =
      choosePreemption(group, spread, hasLowerPriority) ??
      (canPreemptUrgent ? choosePreemption(group, spread, canPreempt) : undefined);
    if (preemption === undefined || !isLossAcceptable(ready, preemption)) return;
    preempting.add(group);
    reservedWorkers.set(
      group,
      preemption.workers.map(({ worker }) => worker),
    );
    reservePreempted(group, preemption);
    for (const victim of listStops(preemption)) {
      if (victim.task.phase !== TaskPhase.Running || stopping.has(victim.task)) continue;
      stopping.add(victim.task);
      markReleasing(victim);
      plan.stops.push({ ...victim, reason: StopReason.Preempted, beneficiary: group.key });
    }
  }

  /**
   * A guarantee is met at any cost. Beyond its guarantee, a job must not lose far more work than its
   * own: without this limit, a burst of small urgent jobs preempted one wide gang after another.
   */
  function isLossAcceptable(ready: ReadyGroup, { cost, victims }: PreemptionPlan): boolean {
    const { group } = ready;
    if (victims.length === 0 || input.guaranteed.has(group.job.id)) return true;
    const reservation = planReservation(createDecidedGroup(group), input.workers, input.nowMs);
    const waitMs = reservation?.readyInMs ?? Infinity;
    return input.policy.loss.isWorth(ready, cost, waitMs, losses);
  }

  function markReleasing(victim: PlacedTask): void {
    const worker = input.workers.find(({ id }) => id === victim.task.workerId);
    if (worker === undefined) return;
    addResources(worker.releasing, victim.group.spec.demand);
    worker.placed = worker.placed.filter(({ task }) => task !== victim.task);
  }

  function choosePreemption(
    group: TaskGroup,
    spread: Spread,
    canPreempt: (victim: TaskGroup) => boolean,
  ): PreemptionPlan | undefined {
    const decided = createDecidedGroup(group);
    const sets = listLocalSets(group, input.workers);
    const choices = sets
      .map((members) => planPreemption(decided, members, canPreempt, getLoss))
      .filter((found) => found !== undefined);
    const isWide = sets.length === 0 || (choices.length === 0 && spread === Spread.Anywhere);
    if (isWide) {
      const found = planPreemption(decided, input.workers, canPreempt, getLoss);
      if (found !== undefined) choices.push(found);
    }
    return choices.sort((a, b) => a.cost - b.cost)[0];
  }

  function planGang(ready: ReadyGroup): void {
    const { group } = ready;
    // All members start together, so the gang waits until its previous run has ended everywhere.
    if (group.tasks.some(isOccupying)) return;
    const spread = chooseSpread(ready, input, idlePools.has(group.job.pool));
    const placements = placeGang(group, input.workers, spread);
    if (placements !== undefined) addStart(group, placements);
    else if (group.job.rules.priority === urgentPriority) preemptFor(ready, spread);
    else reserveForGang(ready, spread);
  }

  function countReservations(pool: string): number {
    return [...reservations.keys()].filter(({ job }) => job.pool === pool).length;
  }

  function reserveForGang({ group, ageMs }: ReadyGroup, spread: Spread): void {
    if (ageMs < reserveAfterMs) return;
    if (countReservations(group.job.pool) >= input.policy.maxReservations) return;
    const decided = createDecidedGroup(group);
    const afterStops = placeGang(decided, input.workers, spread, getFreeAfterStops);
    if (afterStops !== undefined) {
      reservePlacements(group, afterStops);
      reservedWorkers.set(
        group,
        afterStops.map(({ worker }) => worker),
      );
      return;
    }
    const reservation = chooseReservation(group, spread);
    if (reservation === undefined) return;
    reservations.set(group, reservation);
    applyReservation(group, reservation);
    const isSoon = reservation.readyInMs <= adviceLeadMs;
    reservedWorkers.set(group, isSoon ? reservation.slots.map(({ worker }) => worker) : []);
  }

  function chooseReservation(group: TaskGroup, spread: Spread): GangReservation | undefined {
    const decided = createDecidedGroup(group);
    const sets = listLocalSets(group, input.workers);
    if (sets.length === 0 || spread === Spread.Anywhere) sets.push(input.workers);
    return sets
      .map((workers) => planReservation(decided, workers, input.nowMs))
      .filter((reservation) => reservation !== undefined)
      .sort((a, b) => a.readyInMs - b.readyInMs)[0];
  }

  /** Opens the workers reserved for urgent work to a group; returns what they were reserved for. */
  function takeReserve({ job }: TaskGroup): [WorkerView, UrgentReserve][] {
    const reserved: [WorkerView, UrgentReserve][] = [];
    for (const worker of pools.get(job.pool) ?? []) {
      if (worker.urgentReserve === UrgentReserve.None) continue;
      reserved.push([worker, worker.urgentReserve]);
      worker.urgentReserve = UrgentReserve.None;
    }
    return reserved;
  }

  /** Plans a group with access to reserved slots if it ends before their gang needs them (backfill). */
  function planWithBackfill(ready: ReadyGroup): void {
    const { group } = ready;
    const takesMs = getTaskMs(group.spec) * backfillMargin;
    const usable = [...reservations].filter(
      ([owner, { readyInMs }]) => owner !== group && takesMs <= readyInMs,
    );
    for (const [owner, reservation] of usable) applyReservation(owner, reservation, -1);
    const reserved = canUseReserve(ready) ? takeReserve(group) : [];
    if (group.spec.isGang) planGang(ready);
    else planTasks(ready);
    addAdviceRequest(ready);
    for (const [worker, reserve] of reserved) worker.urgentReserve = reserve;
    for (const [owner, reservation] of usable) applyReservation(owner, reservation);
  }

  function planTasks(ready: ReadyGroup): void {
    const { group } = ready;
    const spread = chooseSpread(ready, input, idlePools.has(group.job.pool));
    addStart(group, placeTasks(group, input.workers, spread));
    const placed = placedTasks.get(group)?.size ?? 0;
    const isUrgent = group.job.rules.priority === urgentPriority;
    if (isUrgent && placed < listWaitingTasks(group).length) preemptFor(ready, Spread.Anywhere);
  }

  /** Lists what a group would start on with tickets, at its rank: work that is planned later may take that room. */
  function addAdviceRequest(ready: ReadyGroup): void {
    const { group } = ready;
    if (input.listsAdviceRequests !== true || group.decisions === undefined) return;
    const placed = placedTasks.get(group);
    const tasks = group.tasks.filter((task) => placed?.has(task) !== true);
    const spread = chooseSpread(ready, input, idlePools.has(group.job.pool));
    const request = findAdviceRequest(
      { ...group, tasks },
      input.workers,
      spread,
      reservedWorkers.get(group),
    );
    if (request !== undefined) plan.adviceRequests.push(request);
  }

  function addWait({ group, ageMs }: ReadyGroup, ahead: number): void {
    const placed = placedTasks.get(group)?.size ?? 0;
    // The isolated part of a split group tells why the group waits.
    if (group.source !== undefined && group.isIsolated !== true) return;
    if (placed >= listWaitingTasks(group).length) return;
    plan.waits.push({ group, ageMs, isPreempting: preempting.has(group), ahead });
  }

  for (const ready of order) planWithBackfill(ready);
  for (const [ahead, ready] of order.entries()) addWait(ready, ahead);
  return plan;
}
