import { createScheduler } from '@bergamotreach/placement';
import { Baseline, createBaseline } from './baseline.ts';
import type { Deployment, RegionSetup } from './deployment.ts';
import { replayWorkload } from './replay.ts';
import type { WatchedPolicy } from './replay.ts';
import { computeSummary } from './summary.ts';
import type { Summary } from './summary.ts';
import { createWorkload } from './workload.ts';

/** Creates a policy for one region. */
export type PolicyFactory = (setup: RegionSetup) => WatchedPolicy;

/** The baselines by name. */
export function listBaselines(): [name: string, create: PolicyFactory][] {
  return Object.values(Baseline).map((kind) => [kind, (setup) => createBaseline(kind, setup)]);
}

/** The core as it is shipped. */
export function createCore(setup: RegionSetup): WatchedPolicy {
  return createScheduler(setup.config, setup.workers);
}

/** Replays every region of a deployment with every seed. */
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
