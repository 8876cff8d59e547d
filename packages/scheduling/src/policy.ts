import { createValueOrder } from './order.ts';
import type { ReadyOrder } from './order.ts';
import type { ValuePolicy } from './ranking.ts';

/** Scheduling policy that operators can configure. */
export interface PlanPolicy {
  order: ReadyOrder;
  /**
   * A job beyond the guarantee of its account preempts other work only if the lost core-seconds are at
   * most this many times its own declared work.
   */
  maxLossFactor: number;
  /**
   * Size of the urgent reserve, as a multiple of the recent accelerator demand of urgent work. Other
   * work may use only a part of it, and only if it checkpoints. A larger reserve starts urgent work
   * sooner and delays other work.
   */
  urgentReserveShare: number;
  /** Maximum number of waiting gangs with a reservation at the same time; 0 turns reservations off. */
  maxReservations: number;
}

/** Each priority weighs twice the next one; a third of the value of a job does not depend on its size. */
export const defaultValuePolicy: ValuePolicy = { priorityWeights: [4, 2, 1], fixedShare: 1 / 3 };

const defaultMaxLossFactor = 30;
const defaultUrgentReserveShare = 1.5;
const defaultMaxReservations = 2;

/** Creates a policy with defaults for the fields that are not given. */
export function createPlanPolicy(
  changes: Partial<PlanPolicy> & { value?: Partial<ValuePolicy> } = {},
): PlanPolicy {
  const { value: valuePolicy, ...rest } = changes;
  return {
    order: createValueOrder({ ...defaultValuePolicy, ...valuePolicy }),
    maxLossFactor: defaultMaxLossFactor,
    urgentReserveShare: defaultUrgentReserveShare,
    maxReservations: defaultMaxReservations,
    ...rest,
  };
}
