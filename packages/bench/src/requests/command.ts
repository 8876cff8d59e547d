import { defineCommand } from 'citty';
import { closeClient } from '../cluster/index.ts';
import { comparePolicies } from './compare.ts';
import { runLive } from './live.ts';
import type { LiveRow } from './live.ts';
import { formatTable } from './report.ts';

const liveColumns: (keyof LiveRow)[] = [
  'phase',
  'load',
  'sentPerSecond',
  'goodPerSecond',
  'goodput',
  'p50',
  'p99',
  'p999',
  'cpuMsPerRequest',
  'residentMb',
  'slowestRefusalMs',
];

function printComparison(): void {
  const { policies, retries, limits, seeds } = comparePolicies();
  const write = (text: string): void => void process.stdout.write(text);
  write(`means of seeds ${seeds.join(', ')}, virtual time\n`);
  const columns = [
    'policy',
    'load',
    'slowFactor',
    'meanMs',
    'p99Ms',
    'good',
    'utilisation',
  ] as const;
  write(formatTable(policies, [...columns]));
  write(formatTable(retries, ['hasBudget', 'outageLoad', 'answeredAtFewLosses']));
  write(formatTable(limits, ['isAdaptive', 'trueSlots', 'goodput', 'p99Ms', 'meanLimit']));
  write(`${JSON.stringify({ policies, retries, limits })}\n`);
}

async function printLive(filter: string): Promise<void> {
  const rows = await runLive(filter, (row) => {
    process.stderr.write(`${JSON.stringify(row)}\n`);
  });
  process.stdout.write(formatTable(rows, liveColumns));
  process.stdout.write(`${JSON.stringify({ live: rows })}\n`);
  await closeClient();
}

/**
 * `bench requests`: compares routing policies in virtual time, then measures load on real
 * processes.
 */
export const requestsCommand = defineCommand({
  meta: { name: 'requests', description: 'Request routing: policies and load on real processes' },
  args: {
    part: { type: 'enum', options: ['all', 'policies', 'live'], default: 'all' },
    phase: { type: 'string', default: '', description: 'Only live phases with this in their name' },
  },
  run: async ({ args }) => {
    if (args.part !== 'live') printComparison();
    if (args.part !== 'policies') await printLive(args.phase);
  },
});
