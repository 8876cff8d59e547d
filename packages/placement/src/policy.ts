import type { PolicyWeights } from './spec.ts';

/**
 * Settings that affect completion time and fragmentation but no guarantee. Benchmarks vary them;
 * `createPolicy` returns the ones in use.
 */
export interface PlacementPolicy {
  /** Orders jobs by attained service (multilevel feedback); otherwise by age alone. */
  hasServiceLevels: boolean;
  /** Accelerator-seconds of the first level, and the factor by which each further level is longer. */
  firstLevelSeconds: number;
  levelRatio: number;
  /** Exponent of the gang's width in the attained service: 1 counts accelerator-seconds, 0 only seconds. */
  widthExponent: number;
  /** Waiting time by which a job gains one level (aging). */
  ageingMs: number;
  /** Orders jobs of the same level by declared work instead of age. */
  usesDeclaredWork: boolean;
  /** Preempts running work of higher levels for waiting work of lower ones. */
  hasPreemption: boolean;
  /** Maximum accelerators preempted for a job, as a multiple of those it needs. */
  maxPreemptionRatio: number;
  /** Minimum number of levels by which preempted work must be higher. */
  preemptionLevelGap: number;
  /** Assumed cost of restarting a stopped gang, per accelerator. */
  restartCostSeconds: number;
  /** Starts guaranteed work as lent work on free capacity rather than reclaim its cells. */
  prefersFreeCapacity: boolean;
  /** Reserves cells of work accepted later for gangs that waited `reservationAfterMs`. */
  hasReservation: boolean;
  /** Assumed cost of splitting a larger cell, per accelerator split off. */
  splitCostSeconds: number;
  /** Fills the smallest free cells first (best fit); otherwise the first ones (first fit). */
  hasBestFit: boolean;
  /** Migrates lent work so that scattered free accelerators become adjacent for a waiting gang. */
  hasMigration: boolean;
  /** Assumed gain of a gang for which others are migrated, per accelerator. */
  migrationGainSeconds: number;
  /** Orders wider gangs first within a level and preempts narrower lent work for them. */
  hasWidestFirst: boolean;
}

/** Creates the policy for the configured weights. */
export function createPolicy(weights: PolicyWeights): PlacementPolicy {
  const isFragmentationHeavy = weights.fragmentation > weights.completion;
  return {
    hasServiceLevels: true,
    firstLevelSeconds: 600,
    levelRatio: 2,
    widthExponent: 0,
    ageingMs: 1_800_000,
    usesDeclaredWork: !isFragmentationHeavy,
    hasPreemption: true,
    maxPreemptionRatio: 2,
    preemptionLevelGap: 1,
    restartCostSeconds: 600,
    prefersFreeCapacity: false,
    hasReservation: true,
    splitCostSeconds: 0,
    hasBestFit: true,
    hasMigration: true,
    migrationGainSeconds: 600,
    hasWidestFirst: isFragmentationHeavy,
  };
}
