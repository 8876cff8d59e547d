import { getObjectiveMs, getRank } from './ranking.ts';
import type { RankInput, WorthPolicy } from './ranking.ts';
import { urgentPriority } from './submission.ts';

/** What the order of a plan depends on besides the groups. */
export interface OrderInput {
  /** Ids of the urgent jobs that are within their account's guarantee. */
  guaranteed: ReadonlySet<string>;
}

/** Decides in which order the groups of a plan get room. */
export abstract class ReadyOrder {
  /** Groups in the order in which they are served; equal groups keep their order. */
  abstract rank<T extends RankInput>(ready: readonly T[], input: OrderInput): T[];
}

/** A guaranteed job that waited this long goes before all others, in milliseconds. */
const pressingAfterMs = 1000;

/** A job that waited this many times its objective goes before all that are not urgent. */
const overdueObjectives = 2;

enum ServiceClass {
  /** Its guarantee is at stake. */
  Pressing = 0,
  Urgent = 1,
  /** Passed by other work for so long that its turn has come. */
  Overdue = 2,
  Other = 3,
}

function getServiceClass({ group, ageMs }: RankInput, { guaranteed }: OrderInput): ServiceClass {
  if (group.job.rules.priority !== urgentPriority) {
    const isOverdue = ageMs > overdueObjectives * getObjectiveMs(group.job);
    return isOverdue ? ServiceClass.Overdue : ServiceClass.Other;
  }
  const isPressing = guaranteed.has(group.job.id) && ageMs > pressingAfterMs;
  return isPressing ? ServiceClass.Pressing : ServiceClass.Urgent;
}

class WorthOrder extends ReadyOrder {
  constructor(private readonly policy: WorthPolicy) {
    super();
  }

  rank<T extends RankInput>(ready: readonly T[], input: OrderInput): T[] {
    const ranked = ready.map((one) => ({
      one,
      serviceClass: getServiceClass(one, input),
      rank: getRank(one, this.policy),
    }));
    ranked.sort((a, b) => {
      if (a.serviceClass !== b.serviceClass) return a.serviceClass - b.serviceClass;
      // The oldest urgent job goes first, so that none takes the room that another has cleared.
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
 * Creates the order by what a job is worth for the room it takes. It answers overload: urgent jobs first
 * by age, then the jobs that bring most for their work; no job is passed for more than a few objectives.
 */
export function createWorthOrder(policy: WorthPolicy): ReadyOrder {
  return new WorthOrder(policy);
}

/** Creates the order by priority and arrival, which policies are compared with. */
export function createArrivalOrder(): ReadyOrder {
  return new ArrivalOrder();
}
