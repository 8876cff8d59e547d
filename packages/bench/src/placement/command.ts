import { createScheduler } from '@bergamotreach/placement';
import { defineCommand } from 'citty';
import { createShippedPolicy, listBaselines, runPolicy } from './compare.ts';
import type { PolicyFactory } from './compare.ts';
import { costScales, measureCost } from './cost.ts';
import { createDesignSize, createEzelpad, createTrinacria } from './deployment.ts';
import type { Deployment } from './deployment.ts';
import { formatSummaries, formatTable } from './report.ts';
import type { Summary } from './summary.ts';
import { policyVariants } from './variants.ts';

const deployments: Record<string, (load: number) => Deployment> = {
  ezelpad: createEzelpad,
  trinacria: createTrinacria,
  design: createDesignSize,
};

function listPolicies(hasVariants: boolean): [name: string, create: PolicyFactory][] {
  const variants = policyVariants.map(([name, change]): [string, PolicyFactory] => [
    `core: ${name}`,
    (setup) => createScheduler(setup.config, setup.workers, change),
  ]);
  return [['core', createShippedPolicy], ...(hasVariants ? variants : []), ...listBaselines()];
}

function compareDeployment(
  name: string,
  load: number,
  seeds: readonly number[],
  hasVariants: boolean,
): [string, Summary][] {
  const deployment = deployments[name]?.(load);
  if (deployment === undefined) throw new Error(`deployment "${name}" does not exist`);
  return listPolicies(hasVariants).map(([policy, create]) => {
    return [policy, runPolicy(deployment, seeds, create)];
  });
}

function runComparisons(
  names: readonly string[],
  load: number,
  seeds: readonly number[],
  hasVariants: boolean,
) {
  for (const deployment of names) {
    const summaries = compareDeployment(deployment, load, seeds, hasVariants);
    console.log(`\n${deployment}, load ${load}, seeds ${seeds.join(' ')}`);
    console.log(formatSummaries(summaries));
    console.log(JSON.stringify({ deployment, load, seeds, policies: summaries }));
  }
}

function runCost(): void {
  const points = costScales.map(measureCost);
  const header = [
    'workers',
    'tasks',
    'queue',
    'decisions',
    'p50 ms',
    'p99 ms',
    'max ms',
    'heap MB',
  ];
  const rows = points.map((point) => [
    ...[point.workers, point.tasks, point.queue, point.decisions].map(String),
    ...[point.medianMs, point.p99Ms, point.maxMs, point.heapMb].map((value) => value.toFixed(3)),
  ]);
  console.log('\ndecision cost of one region');
  console.log(formatTable([header, ...rows]));
  console.log(JSON.stringify({ cost: points }));
}

/** `bench placement`: compares the placement scheduler with baselines and measures its cost. */
export const placementCommand = defineCommand({
  meta: { name: 'placement', description: 'Placement core against baselines, and its cost' },
  args: {
    deployment: { type: 'string', default: 'ezelpad,trinacria', description: 'comma-separated' },
    load: { type: 'string', default: '0.9', description: 'offered load' },
    seeds: { type: 'string', default: '10', description: 'number of seeds, from 1' },
    variants: { type: 'boolean', default: false, description: 'leave out policy choices in turn' },
    cost: { type: 'boolean', default: true, description: 'measure decision cost and memory' },
  },
  run: ({ args }) => {
    const seeds = Array.from({ length: Number(args.seeds) }, (_, index) => index + 1);
    const names = args.deployment.split(',').filter((name) => name !== '');
    runComparisons(names, Number(args.load), seeds, args.variants);
    if (args.cost) runCost();
  },
});
