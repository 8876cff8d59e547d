import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { defineCommand } from 'citty';
import { comparePairs, runTrials } from './compare.ts';
import type { Difference } from './compare.ts';
import type { Summary } from './outcome.ts';
import type { TrialResult } from './trial.ts';
import { renderPlot } from './plot.ts';
import { listPolicies } from './policies.ts';
import { scenarios } from './scenarios.ts';

const defaultSeeds = '10';
const nameWidth = 14;

interface Metric {
  name: string;
  get: (summary: Summary) => number;
}

const metrics: readonly Metric[] = [
  { name: 'service', get: ({ service }) => service },
  { name: 'worst account', get: ({ worstAccount }) => worstAccount },
  { name: 'lost', get: ({ lostShare }) => lostShare },
  { name: 'overtaken', get: ({ mostOvertaken }) => mostOvertaken },
];

function formatDifference({ mean, halfWidth }: Difference): string {
  return `${mean >= 0 ? '+' : ''}${mean.toFixed(3)} ± ${halfWidth.toFixed(3)}`;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function getQueueShare(summary: Summary, queue: string): number {
  return summary.queues.find((one) => one.queue === queue)?.inTime ?? 0;
}

function printScenario(results: readonly TrialResult[], scenario: number): void {
  const scenarioResults = results.filter((one) => one.scenario === scenario);
  const queues = scenarioResults[0]?.summary.queues.map(({ queue }) => queue) ?? [];
  const names = [...metrics.map(({ name }) => name), ...queues.map((queue) => `${queue} in time`)];
  console.log(`\n${scenarios[scenario]?.name ?? ''}`);
  console.log([''.padEnd(nameWidth), ...names.map((name) => name.padStart(15))].join(''));
  for (const [policy, { name }] of listPolicies().entries()) {
    const summaries = scenarioResults
      .filter((one) => one.policy === policy)
      .map(({ summary }) => summary);
    const values = [
      ...metrics.map(({ get }) => getMean(summaries.map(get))),
      ...queues.map((queue) => getMean(summaries.map((summary) => getQueueShare(summary, queue)))),
    ];
    console.log(
      [name.padEnd(nameWidth), ...values.map((value) => value.toFixed(3).padStart(15))].join(''),
    );
  }
}

/** Paired difference of each policy to the default one, over all scenarios and seeds. */
function compareToDefault(results: readonly TrialResult[], { get }: Metric): Difference[] {
  const listValues = (policy: number): number[] =>
    results.filter((one) => one.policy === policy).map(({ summary }) => get(summary));
  return listPolicies().map((_, policy) => comparePairs(listValues(0), listValues(policy)));
}

/** `bench decisions`: compares scheduling policies on random loads in virtual time. */
export const decisionsCommand = defineCommand({
  meta: { name: 'decisions', description: 'Compare policies on random loads, without a network' },
  args: {
    seeds: {
      type: 'string',
      default: defaultSeeds,
      description: 'Number of random loads per scenario',
    },
    plot: { type: 'string', default: '', description: 'File for a plot as SVG' },
  },
  async run({ args }) {
    const seeds = Number(args.seeds);
    if (!Number.isInteger(seeds) || seeds < 1)
      throw new Error('--seeds must be a positive integer');
    const trials = scenarios.flatMap((_, scenario) =>
      listPolicies().flatMap((__, policy) =>
        Array.from({ length: seeds }, (___, index) => ({ scenario, policy, seed: index + 1 })),
      ),
    );
    const results = await runTrials(trials, Math.max(1, Math.floor(availableParallelism() / 2)));
    for (const scenario of scenarios.keys()) printScenario(results, scenario);
    console.log('\nDifference to the default over all scenarios, with 95 % intervals');
    const rows = metrics.map((metric) => compareToDefault(results, metric));
    console.log([''.padEnd(nameWidth), ...metrics.map(({ name }) => name.padStart(18))].join(''));
    for (const [policy, { name }] of listPolicies().entries()) {
      const cells = rows.map((row) => formatDifference(row[policy] ?? { mean: 0, halfWidth: 0 }));
      console.log([name.padEnd(nameWidth), ...cells.map((cell) => cell.padStart(18))].join(''));
    }
    if (args.plot === '') return;
    const service = rows[0] ?? [];
    const plotted = listPolicies().flatMap(({ name }, policy) => {
      const difference = service[policy];
      return difference === undefined ? [] : [{ label: name, difference }];
    });
    writeFileSync(args.plot, renderPlot('Difference in service to the default', plotted));
  },
});
