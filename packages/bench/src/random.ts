import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded source of random numbers. */
export interface Random {
  /** Uniform in [0, 1). */
  getUniform: () => number;
  /** Whole number from 0 to `limit` - 1. */
  getIndex: (limit: number) => number;
  /** Exponential with the given mean. */
  getExponential: (mean: number) => number;
  /** Log-uniform between the bounds. */
  getLogUniform: (low: number, high: number) => number;
  /** Bounded Pareto: heavy-tailed between the bounds. */
  getPareto: (shape: number, low: number, high: number) => number;
  /** One of the items, by weight. */
  choose: <T>(items: readonly (readonly [item: T, weight: number])[]) => T;
}

/** Creates a source that gives the same numbers for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const getUniform = (): number => uniformFloat64(generator);
  return {
    getUniform,
    getIndex: (limit) => Math.floor(getUniform() * limit),
    getExponential: (mean) => -mean * Math.log(1 - getUniform()),
    getLogUniform: (low, high) => low * (high / low) ** getUniform(),
    getPareto: (shape, low, high) => {
      const ratio = (low / high) ** shape;
      return low / (1 - getUniform() * (1 - ratio)) ** (1 / shape);
    },
    choose: (items) => {
      let left = getUniform() * items.reduce((sum, [, weight]) => sum + weight, 0);
      for (const [item, weight] of items) {
        left -= weight;
        if (left < 0) return item;
      }
      const last = items.at(-1);
      if (last === undefined) throw new Error('there is nothing to choose from');
      return last[0];
    },
  };
}
