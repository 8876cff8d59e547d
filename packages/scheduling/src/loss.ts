import {
  computeStanding,
  defaultLatePolicy,
  getDelayCost,
  getRefusalCost,
  getStopCost,
} from './callercost.ts';
import type { JobStanding, LatePolicy } from './callercost.ts';
import { TaskPhase, isOccupying } from './group.ts';
import type { TaskGroup } from './group.ts';
import { listWaitingTasks } from './packing.ts';
import { getTaskWork } from './ranking.ts';
import type { ValuePolicy } from './ranking.ts';
import { getCoreEquivalent } from './resources.ts';
import type { RunTimes } from './runtimes.ts';
import type { PlacedTask } from './worker.ts';

const msPerSecond = 1000;
/** Penalty per stopped task, which favours plans with fewer victims. */
const stopPenaltyCoreSeconds = 5;
/** Time that a checkpointing task loses by a restart; other tasks lose their whole run. */
const restartSeconds = 0.5;

/** A group with what its rank and its cost depend on. */
export interface RankedGroup {
  group: TaskGroup;
  /** Time since it was due or its job was accepted, in milliseconds. */
  ageMs: number;
  /** Mean work of its queue in core-seconds. */
  meanWork: number;
}

/** What a loss depends on besides the groups. */
export interface LossContext {
  /** Monotonic time in milliseconds. */
  nowMs: number;
  runTimes: RunTimes;
  getRanked: (group: TaskGroup) => RankedGroup;
}

/** How a plan weighs the stops that make room for a group against the group's wait. */
export abstract class LossMeasure {
  /** Loss by stopping a task with everything that ends with it; the unit is the measure's own. */
  abstract getStopLoss(victim: PlacedTask, context: LossContext): number;
  /**
   * Whether stops that lose `loss` are worth it for a group. Without them, room for it is expected to be free in
   * `waitMs`; infinite if the running work never leaves enough.
   */
  abstract isWorth(ready: RankedGroup, loss: number, waitMs: number, context: LossContext): boolean;
}

/** Tasks that end when one task is stopped: the task itself, or all members of its gang. */
export function listAffectedTasks(victim: PlacedTask): PlacedTask[] {
  if (!victim.group.spec.isGang) return [victim];
  return victim.group.tasks.filter(isOccupying).map((task) => ({ group: victim.group, task }));
}

/** Core-seconds lost by stopping one task, with a fixed penalty per task. */
export function getPreemptionLoss({ group, task }: PlacedTask, nowMs: number): number {
  const cores = getCoreEquivalent(group.spec.demand);
  if (group.spec.isCheckpointing) return stopPenaltyCoreSeconds + cores * restartSeconds;
  const ranMs = task.startedAtMs > 0 ? Math.max(0, nowMs - task.startedAtMs) : 0;
  return stopPenaltyCoreSeconds + (cores * ranMs) / msPerSecond;
}

class WorkLoss extends LossMeasure {
  constructor(private readonly maxLossFactor: number) {
    super();
  }

  getStopLoss(victim: PlacedTask, { nowMs }: LossContext): number {
    return listAffectedTasks(victim).reduce((sum, one) => sum + getPreemptionLoss(one, nowMs), 0);
  }

  isWorth({ group }: RankedGroup, loss: number): boolean {
    const ownWork = getTaskWork(group.spec) * listWaitingTasks(group).length;
    return loss <= ownWork * this.maxLossFactor;
  }
}

/** Time until a stopped run starts again where room is short, in milliseconds. */
const restartWaitMs = 2000;
/** Work since the latest checkpoint of a task that saves, in milliseconds. */
const unsavedMs = 1000;

/** What a plan has computed about a group; it is needed for each of its tasks on each worker. */
interface GroupCosts {
  standing: JobStanding;
  /** Tasks that are not done. */
  open: number;
  /** Loss by stopping the whole gang; absent before it is needed. */
  gangLoss?: number;
}

class CallerLoss extends LossMeasure {
  /** Costs by the plan for which they were computed. */
  private readonly plans = new WeakMap<LossContext, Map<TaskGroup, GroupCosts>>();

  constructor(
    private readonly value: ValuePolicy,
    private readonly late: LatePolicy,
  ) {
    super();
  }

  getStopLoss(victim: PlacedTask, context: LossContext): number {
    const { group } = victim;
    if (!group.spec.isGang) return this.computeLoss(victim, [victim], context);
    const costs = this.getCosts(group, context);
    costs.gangLoss ??= this.computeLoss(victim, listAffectedTasks(victim), context);
    return costs.gangLoss;
  }

  private computeLoss(
    { group }: PlacedTask,
    affected: readonly PlacedTask[],
    context: LossContext,
  ): number {
    const { standing, open } = this.getCosts(group, context);
    let lostMs = 0;
    for (const { task } of affected) {
      const ranMs = task.startedAtMs > 0 ? context.nowMs - task.startedAtMs : 0;
      lostMs = Math.max(lostMs, group.spec.isCheckpointing ? Math.min(ranMs, unsavedMs) : ranMs);
    }
    const cores = getCoreEquivalent(group.spec.demand) * affected.length;
    const loss = {
      delayMs: lostMs + restartWaitMs,
      lostWork: (cores * lostMs) / msPerSecond,
    };
    // One of many tasks delays its job by its share, since others may take longer anyway.
    const share = group.spec.isGang ? 1 : 1 / open;
    return getStopCost({ ...standing, worth: standing.worth * share }, loss, this.late);
  }

  isWorth(ready: RankedGroup, loss: number, waitMs: number, context: LossContext): boolean {
    const { nowMs, runTimes } = context;
    const standing = computeStanding({ ...ready, nowMs, runTimes }, this.value);
    const gain = Number.isFinite(waitMs)
      ? getDelayCost(standing, waitMs, this.late)
      : getRefusalCost(standing, this.late);
    return loss <= gain;
  }

  private getCosts(group: TaskGroup, context: LossContext): GroupCosts {
    const known = this.plans.get(context) ?? new Map<TaskGroup, GroupCosts>();
    this.plans.set(context, known);
    const found = known.get(group);
    if (found !== undefined) return found;
    const { nowMs, runTimes } = context;
    const costs: GroupCosts = {
      standing: computeStanding({ ...context.getRanked(group), nowMs, runTimes }, this.value),
      open: group.tasks.filter(({ phase }) => phase !== TaskPhase.Done).length,
    };
    known.set(group, costs);
    return costs;
  }
}

/**
 * Creates the measure by lost work: stops are worth it while the core-seconds lost are at most
 * `maxLossFactor` times the group's own declared work.
 */
export function createWorkLoss(maxLossFactor: number): LossMeasure {
  return new WorkLoss(maxLossFactor);
}

/** Creates the measure by what stops and waits cost callers. */
export function createCallerLoss(
  value: ValuePolicy,
  late: LatePolicy = defaultLatePolicy,
): LossMeasure {
  return new CallerLoss(value, late);
}
