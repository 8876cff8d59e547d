import type { PolicyWeights } from './spec.ts';

/**
 * Choices that affect completion time and fragmentation but no guarantee. The benchmark varies
 * them; `createPolicy` gives those in use.
 */
export interface PlacementPolicy {
  /** Orders by attained service; otherwise by age alone. */
  hasLevels: boolean;
  /** Accelerator-seconds of the first level, and how much longer each further level is. */
  firstLevelSeconds: number;
  levelRatio: number;
  /** Power of the gang's width in the attained service: 1 counts accelerators, 0 only time. */
  widthPower: number;
  /** Waiting time that gains one level. */
  ageingMs: number;
  /** Orders jobs of the same level by declared work instead of age; see `queue.ts`. */
  usesDeclared: boolean;
  /** Stops running work of higher levels for waiting work of lower ones. */
  hasPreemption: boolean;
  /** Most accelerators stopped in this way, as a multiple of those needed. */
  maxStopRatio: number;
  /** Levels by which the work to be stopped must be higher. */
  stopLevels: number;
  /** Time per accelerator that the restart of a stopped gang is taken to cost. */
  restartCostSeconds: number;
  /** Starts guaranteed work on free capacity, as lent work, before it reclaims its own. */
  prefersFree: boolean;
  /** Gives gangs that waited long the cells of work accepted later. */
  hasReservation: boolean;
  /** What splitting a larger cell is taken to cost, in seconds for each accelerator split off. */
  splitCostSeconds: number;
  /** Fills the smallest free cells first; otherwise the first ones. */
  hasCellChoice: boolean;
  /** Moves lent work to gather free accelerators for a shape that would fit. */
  hasMigration: boolean;
  /** Time per accelerator that a gang is taken to gain when others are moved for it. */
  migrationGainSeconds: number;
  /** Orders wider gangs first within a level and stops narrower lent work for them. */
  hasWidestFirst: boolean;
}

/** Policy for the given weights. */
export function createPolicy(weights: PolicyWeights): PlacementPolicy {
  const isFragmentationHeavy = weights.fragmentation > weights.completion;
  return {
    hasLevels: true,
    firstLevelSeconds: 600,
    levelRatio: 2,
    widthPower: 0,
    ageingMs: 1_800_000,
    usesDeclared: !isFragmentationHeavy,
    hasPreemption: true,
    maxStopRatio: 2,
    stopLevels: 1,
    restartCostSeconds: 600,
    prefersFree: false,
    hasReservation: true,
    splitCostSeconds: 0,
    hasCellChoice: true,
    hasMigration: true,
    migrationGainSeconds: 600,
    hasWidestFirst: isFragmentationHeavy,
  };
}
