import { createScheduler } from '@bergamotreach/placement';
import { Baseline, createBaseline } from './baseline.ts';
import type { Deployment, RegionSetup } from './deployment.ts';
import { replayWorkload } from './replay.ts';
import type { ReplayPolicy } from './replay.ts';
import { computeSummary } from './summary.ts';
import type { Summary } from './summary.ts';
import { createWorkload } from './workload.ts';

/** Creates a policy for one region. */
export type PolicyFactory = (setup: RegionSetup) => ReplayPolicy;

/** Factories of the baselines, with their names. */
export function listBaselines(): [name: string, create: PolicyFactory][] {
  return Object.values(Baseline).map((kind) => [kind, (setup) => createBaseline(kind, setup)]);
}

/** Creates the placement scheduler with its shipped policy. */
export function createShippedPolicy(setup: RegionSetup): ReplayPolicy {
  return createScheduler(setup.config, setup.workers);
}

/** Replays every region of a deployment with every seed and summarises the results. */
export function runPolicy(
  deployment: Deployment,
  seeds: readonly number[],
  create: PolicyFactory,
): Summary {
  const results = seeds.flatMap((seed) =>
    deployment.regions.map((setup, index) => {
      const jobs = createWorkload(setup, seed * 100 + index);
      return replayWorkload(setup, jobs, create(setup));
    }),
  );
  return computeSummary(results);
}
