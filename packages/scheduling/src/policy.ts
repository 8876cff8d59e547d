import { createWorthOrder } from './order.ts';
import type { ReadyOrder } from './order.ts';
import type { WorthPolicy } from './ranking.ts';

/** What operators may choose about plans. */
export interface PlanPolicy {
  order: ReadyOrder;
  /**
   * A job beyond its account's guarantee stops other work only while the loss, in core-seconds, is at
   * most this many times its own declared work.
   */
  maxLossFactor: number;
  /**
   * Part of the accelerators that urgent work has needed lately which other work leaves free or uses only
   * if it saves its progress. More of it starts urgent work sooner and holds other work up.
   */
  urgentReserveShare: number;
  /** Gangs for which room may be gathered at once; 0 gathers none. */
  maxGatherings: number;
}

/** Each priority counts twice the next, and a third of a job's worth does not depend on its size. */
export const defaultWorthPolicy: WorthPolicy = { priorityWeights: [4, 2, 1], fixedShare: 1 / 3 };

const defaultMaxLossFactor = 30;
const defaultUrgentReserveShare = 1.5;
const defaultMaxGatherings = 2;

/** Creates a policy; what is absent has its default. */
export function createPlanPolicy(
  changes: Partial<PlanPolicy> & { worth?: Partial<WorthPolicy> } = {},
): PlanPolicy {
  const { worth, ...rest } = changes;
  return {
    order: createWorthOrder({ ...defaultWorthPolicy, ...worth }),
    maxLossFactor: defaultMaxLossFactor,
    urgentReserveShare: defaultUrgentReserveShare,
    maxGatherings: defaultMaxGatherings,
    ...rest,
  };
}
