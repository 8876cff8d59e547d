// The instance that gives the orders is killed while many small tasks end on one worker. A worker lists
// 500 ends at a time.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  createConfig,
  createRoute,
  findDoubleRuns,
  findOwner,
  runCase,
  sleep,
} from '../standins-2/scenario.mjs';

const prefix = '/lohu930/';
const jobCount = 16;
const taskCount = 72;
const workMs = 14_000;
const job = {
  spec: 'job',
  steps: [{ count: taskCount, cpu: 100, 'mem-mb': 128, 'estimated-ms': workMs }],
};

/** The lease of a killed holder cannot be taken over sooner. */
const takeoverMs = 1300;

/** Start of the span of `spanMs` that holds the most of `times`. */
function findBusiestSpan(times, spanMs) {
  const sorted = [...times].sort((a, b) => a - b);
  const countFrom = (fromMs) => sorted.filter((ms) => ms >= fromMs && ms < fromMs + spanMs).length;
  return sorted.reduce((best, ms) => (countFrom(ms) > countFrom(best) ? ms : best), sorted[0]);
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    config: createConfig(1, [createRoute('r-1', prefix)]),
    instances: 9,
    zones: ['catania-porto', 'palermo-zisa', 'trapani-saline'],
    platformLimits: { 'writes-per-s': 800 },
    workerOptions: { capacity: { cpu: 128_000, 'mem-mb': 262_144, gpus: 8 } },
  },
  async (world) => {
    const accepted = [];
    const firstMs = performance.now();
    for (let index = 0; index < jobCount; index += 1) {
      const { id, status } = await world.submit(prefix, job, { workMs });
      if (status === 200) accepted.push(id);
      await sleep(50);
    }
    while (world.workers.countRunning() < accepted.length * taskCount) {
      if (performance.now() - firstMs > workMs - 1000)
        throw new Error('not all tasks began in time');
      await sleep(50);
    }
    const perWorker = world.workers.list.map(({ running }) => running.size);
    const startTimes = world.workers.history.map(({ startedMs }) => startedMs);
    const killMs = findBusiestSpan(startTimes, takeoverMs) + workMs;
    const owner = await findOwner(world.instances);
    await sleep(killMs - performance.now());
    if (world.hasTrouble) owner.kill(3500);
    await sleep(15_000);
    const states = {};
    for (const id of accepted) {
      const state = await world.waitForState(prefix, id, ['completed'], 5000);
      states[state] = (states[state] ?? 0) + 1;
    }
    const double = findDoubleRuns(world.workers.history);
    for (const one of double) world.record('double', one);
    return {
      isBroken: double.length > 0,
      summary: {
        ...{ jobs: accepted.length, perWorker: perWorker.filter(Boolean), states },
        ...{ runs: world.workers.history.length, double: double.length },
      },
    };
  },
);
