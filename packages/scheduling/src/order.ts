import { getObjectiveMs, getScore } from './ranking.ts';
import type { RankInput, ValuePolicy } from './ranking.ts';
import { urgentPriority } from './submission.ts';

/** Input of the order besides the groups. */
export interface OrderContext {
  /** Ids of the urgent jobs that are within the guarantee of their account. */
  guaranteed: ReadonlySet<string>;
}

/** Order in which the ready groups of a plan are placed. */
export abstract class ReadyOrder {
  /** Sorts groups, first to be placed first; the sort is stable. */
  abstract rank<T extends RankInput>(ready: readonly T[], input: OrderContext): T[];
}

/** Wait after which a guaranteed job goes before all others. */
const guaranteeOverdueAfterMs = 1000;

/** Aging: a job that waited this many times its objective goes before all others that are not urgent. */
const overdueObjectiveFactor = 2;

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
    const isOverdue = ageMs > overdueObjectiveFactor * getObjectiveMs(group.job);
    return isOverdue ? ServiceClass.Overdue : ServiceClass.Other;
  }
  const isGuaranteeOverdue = guaranteed.has(group.job.id) && ageMs > guaranteeOverdueAfterMs;
  return isGuaranteeOverdue ? ServiceClass.GuaranteeOverdue : ServiceClass.Urgent;
}

class ValueOrder extends ReadyOrder {
  constructor(private readonly policy: ValuePolicy) {
    super();
  }

  rank<T extends RankInput>(ready: readonly T[], input: OrderContext): T[] {
    const ranked = ready.map((one) => ({
      one,
      serviceClass: getServiceClass(one, input),
      rank: getScore(one, this.policy),
    }));
    ranked.sort((a, b) => {
      if (a.serviceClass !== b.serviceClass) return a.serviceClass - b.serviceClass;
      // The oldest urgent job goes first, so that a younger one does not take the room it preempted.
      return a.serviceClass === ServiceClass.Other ? b.rank - a.rank : b.one.ageMs - a.one.ageMs;
    });
    return ranked.map(({ one }) => one);
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

/** Creates the order by priority and then arrival; the baseline for comparing policies. */
export function createArrivalOrder(): ReadyOrder {
  return new ArrivalOrder();
}
