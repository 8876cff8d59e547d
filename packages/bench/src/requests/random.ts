import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random draws of a simulation. */
export interface Draws {
  /** Uniform in [0, 1). */
  getUniform(): number;
  /** Exponential with a mean. */
  getExponential(mean: number): number;
  /** Whole number below `limit`. */
  getIndex(limit: number): number;
}

/** Creates draws from a seed. */
export function createDraws(seed: number): Draws {
  const generator = xoroshiro128plus(seed);
  const getUniform = (): number => uniformFloat64(generator);
  return {
    getUniform,
    getExponential: (mean) => -Math.log(1 - getUniform()) * mean,
    getIndex: (limit) => Math.floor(getUniform() * limit),
  };
}

/** Value at a percentile of unsorted values; 0 without values. */
export function computePercentile(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor((sorted.length * percentile) / 100));
  return sorted[index] ?? 0;
}

/** Mean of values; 0 without values. */
export function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
