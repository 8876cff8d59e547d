import { CostMeasure, createArrivalOrder, createPlanPolicy } from '@bergamotreach/scheduling';
import type { PlanPolicy } from '@bergamotreach/scheduling';

/** A policy under comparison. */
export interface NamedPolicy {
  name: string;
  policy: PlanPolicy;
}

/**
 * The default policy first, since the others are compared to it; then variants with one part changed
 * or disabled, and the arrival-order baseline.
 */
export function listPolicies(): NamedPolicy[] {
  return [
    { name: 'default', policy: createPlanPolicy() },
    { name: 'caller-cost', policy: createPlanPolicy({ measure: CostMeasure.Callers }) },
    { name: 'observed', policy: createPlanPolicy({ observesRuns: true }) },
    { name: 'by-speed', policy: createPlanPolicy({ placesBySpeed: true }) },
    {
      name: 'cost-observed',
      policy: createPlanPolicy({ measure: CostMeasure.Callers, observesRuns: true }),
    },
    { name: 'no-reserve', policy: createPlanPolicy({ urgentReserveShare: 0 }) },
    { name: 'half-reserve', policy: createPlanPolicy({ urgentReserveShare: 0.5 }) },
    { name: 'no-reservations', policy: createPlanPolicy({ maxReservations: 0 }) },
    { name: 'no-loss-limit', policy: createPlanPolicy({ maxLossFactor: Infinity }) },
    { name: 'equal-worth', policy: createPlanPolicy({ value: { priorityWeights: [1] } }) },
    { name: 'arrival-order', policy: createPlanPolicy({ order: createArrivalOrder() }) },
  ];
}
