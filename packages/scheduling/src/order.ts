import { computeStanding, defaultLatePolicy, getDelayDensity } from './callercost.ts';
import type { LatePolicy } from './callercost.ts';
import { getObjectiveMs, getScore } from './ranking.ts';
import type { RankInput, ValuePolicy } from './ranking.ts';
import type { RunTimes } from './runtimes.ts';
import { urgentPriority } from './submission.ts';
import type { JobSubmission } from './submission.ts';

/** What an order depends on besides the groups. */
export interface OrderContext {
  /** Ids of the urgent jobs that are within the guarantee of their account. */
  guaranteed: ReadonlySet<string>;
  /** Monotonic time in milliseconds. */
  nowMs: number;
  runTimes: RunTimes;
}

/** Order in which the ready groups of a plan are placed. */
export abstract class ReadyOrder {
  /** Sorts groups, first to be placed first; the sort is stable. */
  abstract rank<T extends RankInput>(ready: readonly T[], context: OrderContext): T[];
}

/** Wait after which a guaranteed job goes before all others. */
const guaranteeOverdueAfterMs = 1000;

/** Ageing: a job that waited this many times its objective goes before all others that are not urgent. */
const overdueObjectiveFactor = 2;

/** Whether a job that is not urgent has waited so long that it would starve behind other work. */
export function isOverdue(job: JobSubmission, ageMs: number): boolean {
  const isUrgent = job.rules.priority === urgentPriority;
  return !isUrgent && ageMs > overdueObjectiveFactor * getObjectiveMs(job);
}

enum ServiceClass {
  /** Urgent and within its guarantee, and has waited too long. */
  GuaranteeOverdue = 0,
  Urgent = 1,
  /** Not urgent, and has waited so long that it would starve behind other work. */
  Overdue = 2,
  Other = 3,
}

function getServiceClass({ group, ageMs }: RankInput, { guaranteed }: OrderContext): ServiceClass {
  if (group.job.rules.priority !== urgentPriority) {
    return isOverdue(group.job, ageMs) ? ServiceClass.Overdue : ServiceClass.Other;
  }
  const isGuaranteeOverdue = guaranteed.has(group.job.id) && ageMs > guaranteeOverdueAfterMs;
  return isGuaranteeOverdue ? ServiceClass.GuaranteeOverdue : ServiceClass.Urgent;
}

/** Ranks by service class, then all but the others by age, and the others by `getRank`. */
function rankByClass<T extends RankInput>(
  ready: readonly T[],
  context: OrderContext,
  getRank: (one: T) => number,
): T[] {
  const ranked = ready.map((one) => ({
    one,
    serviceClass: getServiceClass(one, context),
    rank: getRank(one),
  }));
  ranked.sort((a, b) => {
    if (a.serviceClass !== b.serviceClass) return a.serviceClass - b.serviceClass;
    // The oldest urgent job goes first, so that a younger one does not take the room it preempted.
    return a.serviceClass === ServiceClass.Other ? b.rank - a.rank : b.one.ageMs - a.one.ageMs;
  });
  return ranked.map(({ one }) => one);
}

class ValueOrder extends ReadyOrder {
  constructor(private readonly policy: ValuePolicy) {
    super();
  }

  rank<T extends RankInput>(ready: readonly T[], context: OrderContext): T[] {
    return rankByClass(ready, context, (one) => getScore(one, this.policy));
  }
}

/** Wait by which the costs of delaying jobs are compared: about the run time of a task. */
const comparedDelayMs = 5000;

class CallerCostOrder extends ReadyOrder {
  constructor(
    private readonly value: ValuePolicy,
    private readonly late: LatePolicy,
  ) {
    super();
  }

  rank<T extends RankInput>(ready: readonly T[], context: OrderContext): T[] {
    const { nowMs, runTimes } = context;
    return rankByClass(ready, context, (one) => {
      const standing = computeStanding({ ...one, nowMs, runTimes }, this.value);
      return getDelayDensity(standing, comparedDelayMs, this.late);
    });
  }
}

class ArrivalOrder extends ReadyOrder {
  rank<T extends RankInput>(ready: readonly T[]): T[] {
    const getPriority = ({ group }: T): number => group.job.rules.priority;
    return [...ready].sort((a, b) => getPriority(a) - getPriority(b) || b.ageMs - a.ageMs);
  }
}

/**
 * Creates the order by value density, meant for overload: urgent jobs first by age, then overdue jobs
 * by age, so that no job is overtaken for more than a few objectives, then the jobs with the most value
 * per core-second.
 */
export function createValueOrder(policy: ValuePolicy): ReadyOrder {
  return new ValueOrder(policy);
}

/**
 * Creates the order by what a wait costs callers, meant for overload: urgent and overdue jobs as in the
 * order by value, then the jobs for which a wait costs most per core-second of the work left.
 */
export function createCallerCostOrder(
  value: ValuePolicy,
  late: LatePolicy = defaultLatePolicy,
): ReadyOrder {
  return new CallerCostOrder(value, late);
}

/** Creates the order by priority and then arrival; the baseline for comparing policies. */
export function createArrivalOrder(): ReadyOrder {
  return new ArrivalOrder();
}
