import { test } from 'node:test';
import { expect } from 'earl';
import { Adjacency } from '@bergamotreach/placement';
import { Baseline, createBaseline } from '../src/placement/baseline.ts';
import { createShippedPolicy } from '../src/placement/compare.ts';
import { createEzelpad } from '../src/placement/deployment.ts';
import { countUsable, createGroups } from '../src/placement/fit.ts';
import { replayWorkload } from '../src/placement/replay.ts';
import { computeSummary } from '../src/placement/summary.ts';
import { createWorkload } from '../src/placement/workload.ts';

function createSmallRegion() {
  const [region] = createEzelpad(0.9).regions;
  return { ...region!, jobs: 60, bursts: region!.bursts.map((burst) => ({ ...burst, count: 1 })) };
}

// Guards against results that are not reproducible, and against reclaims that fail unnoticed.
test('replay is repeatable and finishes all jobs', () => {
  const setup = createSmallRegion();
  const run = () => {
    const result = replayWorkload(setup, createWorkload(setup, 5), createShippedPolicy(setup));
    const { decisionMedianMs, decisionP99Ms, ...summary } = computeSummary([result]);
    expect(decisionP99Ms).toBeGreaterThanOrEqual(decisionMedianMs);
    return summary;
  };
  const summary = run();
  expect(run()).toEqual(summary);
  expect(summary.unfinished).toEqual(0);
  expect(summary.failedReclaims).toEqual(0);
});

// Guards against a baseline that loses jobs, which would make its completion time look better.
test('baselines finish all jobs', () => {
  const setup = createSmallRegion();
  for (const kind of Object.values(Baseline)) {
    const result = replayWorkload(setup, createWorkload(setup, 5), createBaseline(kind, setup));
    expect(computeSummary([result]).unfinished).toEqual(0);
  }
});

// Guards against a fragmentation metric that ignores adjacency.
test('usable accelerators depend on adjacency', () => {
  const workers = createSmallRegion().workers.slice(0, 2);
  const groups = createGroups(workers);
  const free = [5, 3];
  const count = (members: number, accelerators: number, within: Adjacency) =>
    countUsable(free, groups, { members, accelerators, within });
  expect(count(1, 4, Adjacency.Worker)).toEqual(4);
  expect(count(2, 3, Adjacency.Rack)).toEqual(6);
  expect(count(2, 4, Adjacency.Rack)).toEqual(0);
});
