import { spawnSync } from 'node:child_process';
import { defineCommand } from 'citty';
import { closeClient } from '../cluster/index.ts';
import { runRestarts } from './restarts.ts';
import type { RestartsResult } from './restarts.ts';

const defaultRestarts = '100';
const defaultRate = '40';
// Leaves time to start the cluster if the whole run must end within 5 minutes.
const maxRunMs = 200_000;

function formatTable(result: RestartsResult): string {
  const { drainMs, startMs, latencyMs } = result;
  const rows: [string, string][] = [
    ['restarts', String(result.restarts)],
    ['requests sent', String(result.sent)],
    ['requests answered', String(result.answered)],
    ['refused', JSON.stringify(result.refused)],
    ['cut off', JSON.stringify(result.cutOff)],
    ['without daemon', String(result.withoutDaemon)],
    ['wrong answers', String(result.wrong)],
    ['failed (target 0)', String(result.failed)],
    ['bad exits', String(result.badExits.length)],
    ['SIGTERM to exit, p50 / max', `${drainMs.p50} / ${drainMs.max} ms`],
    ['start to ready, p50 / max', `${startMs.p50} / ${startMs.max} ms`],
    ['latency, p50 / p99 / max', `${latencyMs.p50} / ${latencyMs.p99} / ${latencyMs.max} ms`],
    ['run time', `${result.runMs} ms`],
  ];
  return rows.map(([name, value]) => `${name.padEnd(28)} ${value}`).join('\n');
}

/**
 * `bench restarts`: planned restarts under an open-loop load; exits with 1 if a request failed or a
 * daemon exited with an error.
 */
export const restartsCommand = defineCommand({
  meta: { name: 'restarts', description: 'Restart daemons one by one under an open-loop load' },
  args: {
    restarts: { type: 'string', default: defaultRestarts, description: 'Number of restarts' },
    daemons: { type: 'string', default: '2', description: 'Daemons per region' },
    slots: { type: 'string', default: '8', description: 'Slots of each endpoint' },
    'request-ms': {
      type: 'string',
      default: '0',
      description: 'Longest request; 0 keeps the value of the example',
    },
    rate: { type: 'string', default: defaultRate, description: 'Requests per second' },
  },
  async run({ args }) {
    const build = spawnSync(process.execPath, ['scripts/build.mjs', '--bundle-only']);
    if (build.status !== 0) throw new Error(`build failed: ${build.stderr.toString()}`);
    const result = await runRestarts({
      restarts: Number(args.restarts),
      requestsPerSecond: Number(args.rate),
      daemonsPerRegion: Number(args.daemons),
      slots: Number(args.slots),
      maxRequestMs: Number(args['request-ms']),
      maxRunMs,
    });
    await closeClient();
    console.log(JSON.stringify(result));
    console.log(formatTable(result));
    process.exit(result.failed === 0 && result.badExits.length === 0 ? 0 : 1);
  },
});
