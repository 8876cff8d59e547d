import { defaultLatePolicy } from './callercost.ts';
import type { LatePolicy } from './callercost.ts';
import { createCallerLoss, createWorkLoss } from './loss.ts';
import type { LossMeasure } from './loss.ts';
import { createCallerCostOrder, createValueOrder } from './order.ts';
import type { ReadyOrder } from './order.ts';
import type { ValuePolicy } from './ranking.ts';

/** Scheduling policy that operators can configure. */
export interface PlanPolicy {
  order: ReadyOrder;
  /** How stops are weighed. A job within the guarantee of its account preempts whatever the loss is. */
  loss: LossMeasure;
  /**
   * Size of the urgent reserve, as a multiple of the recent accelerator demand of urgent work. Other
   * work may use only a part of it, and only if it checkpoints. A larger reserve starts urgent work
   * sooner and delays other work.
   */
  urgentReserveShare: number;
  /** Maximum number of waiting gangs of a pool with a reservation at the same time; 0 turns reservations off. */
  maxReservations: number;
  /** How operators value jobs. */
  value: ValuePolicy;
  /** What is left of that value when a job ends late. */
  late: LatePolicy;
  /** Whether the progress that workers report is used; otherwise run times are taken as declared. */
  observesRuns: boolean;
  /** Whether workers that were seen to be faster or slower than their fellows are chosen by their speed. */
  placesBySpeed: boolean;
  /**
   * A worker that leaves within less than this time of its notice, in milliseconds, leaves runs whose end
   * is uncertain until its lease expires; they are decided about one by one. 0 turns this off: only runs
   * that save their work are stopped then.
   */
  shortNoticeMs: number;
}

/** Each priority weighs twice the next one; a third of the value of a job does not depend on its size. */
export const defaultValuePolicy: ValuePolicy = { priorityWeights: [4, 2, 1], fixedShare: 1 / 3 };

/** How the costs of waits and stops are measured. */
export enum CostMeasure {
  /** Waiting jobs by value per declared work, stops by the core-seconds that they lose. */
  Separate = 'separate',
  /** Both by what they cost callers, from what is left of a job and of its objective. */
  Callers = 'callers',
}

/** Changes to the default policy. */
export interface PolicyChanges extends Partial<Omit<PlanPolicy, 'value'>> {
  measure?: CostMeasure;
  value?: Partial<ValuePolicy>;
  /**
   * With separate measures, a job beyond the guarantee of its account preempts other work only if the lost
   * core-seconds are at most this many times its own declared work.
   */
  maxLossFactor?: number;
}

export const defaultMaxLossFactor = 30;
const defaultUrgentReserveShare = 1.5;
const defaultMaxReservations = 2;

function createMeasure(
  measure: CostMeasure,
  value: ValuePolicy,
  maxLossFactor: number,
): Pick<PlanPolicy, 'order' | 'loss'> {
  return measure === CostMeasure.Callers
    ? { order: createCallerCostOrder(value), loss: createCallerLoss(value) }
    : { order: createValueOrder(value), loss: createWorkLoss(maxLossFactor) };
}

/** Creates a policy with defaults for the fields that are not given. */
export function createPlanPolicy({
  measure = CostMeasure.Separate,
  ...changes
}: PolicyChanges = {}): PlanPolicy {
  const { value: valuePolicy, maxLossFactor = defaultMaxLossFactor, ...rest } = changes;
  const value = { ...defaultValuePolicy, ...valuePolicy };
  return {
    ...createMeasure(measure, value, maxLossFactor),
    urgentReserveShare: defaultUrgentReserveShare,
    maxReservations: defaultMaxReservations,
    late: defaultLatePolicy,
    observesRuns: false,
    placesBySpeed: false,
    shortNoticeMs: 0,
    ...rest,
    value,
  };
}
