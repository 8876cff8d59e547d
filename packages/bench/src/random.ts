import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator. */
export interface Random {
  /** Uniform in [0, 1). */
  getUniform: () => number;
  /** Integer from 0 to `limit` - 1, uniformly distributed. */
  getIndex: (limit: number) => number;
  /** Exponentially distributed with the given mean. */
  getExponential: (mean: number) => number;
  /** Log-uniformly distributed between the bounds. */
  getLogUniform: (low: number, high: number) => number;
  /** Bounded Pareto: heavy-tailed between the bounds. */
  getPareto: (shape: number, low: number, high: number) => number;
  /** One of the items, with probability proportional to its weight; throws if there are none. */
  choose: <T>(items: readonly (readonly [item: T, weight: number])[]) => T;
}

/** Creates a generator; the same seed gives the same sequence. */
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
      let remaining = getUniform() * items.reduce((sum, [, weight]) => sum + weight, 0);
      for (const [item, weight] of items) {
        remaining -= weight;
        if (remaining < 0) return item;
      }
      const last = items.at(-1);
      if (last === undefined) throw new Error('cannot choose from an empty list');
      return last[0];
    },
  };
}
