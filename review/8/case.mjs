// Teams hand in jobs that repeat every hour for a year; the platform kills a process that exceeds
// its memory. Ordinary jobs must go on.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  createConfig,
  createRoute,
  findIdleJobs,
  runCase,
  sleep,
} from '../standins-2/scenario.mjs';

const prefix = '/lohu930/';
const hourMs = 3_600_000;
const hoursPerYear = 8760;
const scheduledJobs = 22;
const ordinary = {
  spec: 'ordinary',
  steps: [{ count: 4, cpu: 500, 'mem-mb': 256, 'estimated-ms': 900 }],
};
const hourly = {
  spec: 'hourly',
  steps: [{ count: 10, cpu: 500, 'mem-mb': 256, 'estimated-ms': 900 }],
  'repeat-count': hoursPerYear,
  'start-at-ms': Date.now() + hourMs,
  'interval-ms': hourMs,
};

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { config: createConfig(1, [createRoute('r-1', prefix)]) },
  async (world) => {
    const stopGuard = world.instances.guardMemory();
    const first = await world.submit(prefix, ordinary);
    const firstState = await world.waitForState(prefix, first.id, ['completed'], 10_000);
    if (firstState !== 'completed') throw new Error(`the first job is ${firstState}`);
    const peaks = new Map();
    const timer = setInterval(() => {
      for (const one of world.instances.list) {
        peaks.set(one.name, Math.max(peaks.get(one.name) ?? 0, Math.round(one.getMemoryMb())));
      }
    }, 200);
    let scheduled = 0;
    for (let index = 0; index < scheduledJobs && world.hasTrouble; index += 1) {
      const { status } = await world.submit(prefix, hourly);
      if (status === 200) scheduled += 1;
      await sleep(500);
    }
    await sleep(10_000);
    const accepted = [];
    for (let index = 0; index < 4; index += 1) {
      const { id, status } = await world.submit(prefix, ordinary);
      if (status === 200) accepted.push(id);
      await sleep(1000);
    }
    const { idle, maxUsedShare, states } = await findIdleJobs(world, prefix, accepted);
    clearInterval(timer);
    stopGuard();
    const kills = world.instances.list.reduce((sum, one) => sum + one.kills, 0);
    const ends = world.instances.list.reduce((sum, one) => sum + one.ends, 0);
    return {
      isBroken: idle.length > 0,
      summary: {
        ...{ scheduled, kills, ends, idle: idle.length, accepted: accepted.length },
        ...{ maxUsedShare, states, peakMb: Object.fromEntries(peaks) },
      },
    };
  },
);
