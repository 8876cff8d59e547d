// Some services fail again and again by their own fault; gangs of others must still start on the fleet,
// which is almost empty.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  createConfig,
  createRoute,
  findIdleJobs,
  runCase,
  sleep,
} from '../standins-2/scenario.mjs';

const normal = createRoute('r-1', '/lohu930/');
const urgent = createRoute('r-0', '/pufi791/', { priority: 0 });
const failingJobs = 4;
/** One task on each worker. */
const failing = {
  spec: 'failing',
  steps: [{ count: 33, cpu: 500, 'mem-mb': 256, 'long-running': true, 'anti-affinity': 1 }],
};
const ordinaryJobs = 80;
const ordinary = {
  spec: 'ordinary',
  steps: [{ count: 3, cpu: 3700, 'mem-mb': 5500, gpus: 1, 'estimated-ms': 2500 }],
};
const drawFailureMs = () => 200 + Math.random() * 10_000;
const gang = {
  spec: 'gang',
  steps: [{ count: 10, cpu: 13_000, 'mem-mb': 34_000, gpus: 8, 'estimated-ms': 8500, gang: true }],
};

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { config: createConfig(1, [normal, urgent]) },
  async (world) => {
    for (let index = 0; index < failingJobs && world.hasTrouble; index += 1) {
      await world.submit(normal.prefix, failing, { workMs: drawFailureMs, how: 'failed' });
      await sleep(1500);
    }
    // The failing jobs are a twentieth of what is handed in.
    for (let index = 0; index < ordinaryJobs; index += 1) {
      await world.submit(normal.prefix, ordinary, { workMs: 2500 });
      await sleep(25_000 / ordinaryJobs);
    }
    const accepted = [];
    for (const { prefix } of [normal, urgent]) {
      const { id, status } = await world.submit(prefix, gang, { workMs: 8500 });
      if (status === 200) accepted.push(id);
    }
    const { idle, maxUsedShare, states } = await findIdleJobs(world, normal.prefix, accepted);
    await sleep(15_000);
    const later = await Promise.all(accepted.map((id) => world.getState(normal.prefix, id)));
    return {
      isBroken: idle.length > 0,
      summary: { accepted: accepted.length, idle: idle.length, maxUsedShare, states, later },
    };
  },
);
