import { runLimit } from './limitsim.ts';
import type { LimitResult } from './limitsim.ts';
import { Policy, runPolicy } from './policysim.ts';
import type { PolicyResult, SimSize } from './policysim.ts';
import { computeMean } from './statistics.ts';
import { runRetries } from './retrysim.ts';
import type { RetryResult } from './retrysim.ts';

/** Results of the comparisons in virtual time. */
export interface Comparison {
  seeds: number[];
  policies: PolicyResult[];
  retries: RetryResult[];
  limits: LimitResult[];
}

const seeds = [1, 2, 3, 4, 5];
const size: SimSize = {
  routers: 3,
  endpoints: 10,
  slots: 8,
  serviceMs: 20,
  durationMs: 20_000,
  deadlineMs: 500,
  slowFactor: 1,
};
const cases = [
  { load: 0.5, slowFactor: 1 },
  { load: 0.9, slowFactor: 1 },
  { load: 0.97, slowFactor: 1 },
  { load: 0.8, slowFactor: 4 },
];

/** Averages the numeric fields of several results; other fields are taken from the first result. */
function computeMeans<T extends object>(results: readonly T[]): T {
  const [first] = results;
  if (first === undefined) throw new Error('no results');
  const entries = Object.entries(first).map(([name, value]) => {
    const values = results.map((one) => (one as Record<string, unknown>)[name]);
    return [name, typeof value === 'number' ? computeMean(values as number[]) : (value as unknown)];
  });
  return Object.fromEntries(entries) as T;
}

/** Runs all comparisons with every seed; returns means over the seeds. */
export function comparePolicies(): Comparison {
  const policies = cases.flatMap(({ load, slowFactor }) =>
    Object.values(Policy).map((policy) =>
      computeMeans(seeds.map((seed) => runPolicy(policy, load, { ...size, slowFactor }, seed))),
    ),
  );
  const retries = [false, true].map((hasBudget) =>
    computeMeans(seeds.map((seed) => runRetries(hasBudget, seed))),
  );
  const limits = [8, 4].flatMap((trueSlots) =>
    [false, true].map((isAdaptive) =>
      computeMeans(seeds.map((seed) => runLimit(isAdaptive, trueSlots, seed))),
    ),
  );
  return { seeds, policies, retries, limits };
}
