// One accepted job with a step of 3,000 small tasks; then ordinary jobs, of which none may be lost.
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
const small = {
  spec: 'small',
  steps: [{ count: 4, cpu: 500, 'mem-mb': 256, 'estimated-ms': 900 }],
};
const large = {
  spec: 'large',
  steps: [{ count: 3000, cpu: 100, 'mem-mb': 16, 'estimated-ms': 900 }],
};

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { config: createConfig(1, [createRoute('r-1', prefix)]) },
  async (world) => {
    const first = await world.submit(prefix, small);
    const firstState = await world.waitForState(prefix, first.id, ['completed'], 10_000);
    if (firstState !== 'completed') throw new Error(`the first job is ${firstState}`);
    const accepted = [];
    if (world.hasTrouble) {
      const { id, status } = await world.submit(prefix, large);
      if (status === 200) accepted.push(id);
    }
    for (let index = 0; index < 6; index += 1) {
      const { id, status } = await world.submit(prefix, small);
      if (status === 200) accepted.push(id);
      await sleep(1000);
    }
    const { idle, maxUsedShare, states } = await findIdleJobs(world, prefix, accepted);
    return {
      isBroken: idle.length > 0,
      summary: { accepted: accepted.length, idle: idle.length, maxUsedShare, states },
    };
  },
);
