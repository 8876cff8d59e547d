// Two services. Urgent jobs come at once on one of them, as many as it can hold; an ordinary job of the
// other, whose workers are idle, must start.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  createConfig,
  createRoute,
  findIdleJobs,
  runCase,
  sleep,
} from '../standins-2/scenario.mjs';

const busyService = 'huvo11a';
const idleService = 'mira07b';
const urgent = createRoute('r-0', '/pufi791/', { priority: 0, service: busyService });
const ordinary = createRoute('r-1', '/lohu930/', { priority: 1, service: idleService });
const idleWorkers = 11;
const workerCount = 33;
/** Urgent jobs at once without the burst, and with it: 2.86 times as many. */
const usualJobs = 7;
const burstJobs = 20;
const workMs = 70_000;
const urgentJob = {
  spec: 'urgent',
  steps: [{ count: 1, cpu: 3700, 'mem-mb': 5500, gpus: 8, 'estimated-ms': workMs }],
};
const ordinaryJob = {
  spec: 'ordinary',
  steps: [{ count: 1, cpu: 2800, 'mem-mb': 5700, gpus: 1, 'estimated-ms': 6100 }],
};

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    config: createConfig(1, [urgent, ordinary]),
    workers: workerCount,
    workerOptions: {
      getService: (index) => (index < idleWorkers ? idleService : busyService),
    },
  },
  async (world) => {
    const jobCount = world.hasTrouble ? burstJobs : usualJobs;
    for (let index = 0; index < jobCount; index += 1) {
      await world.submit(urgent.prefix, urgentJob, { workMs });
    }
    await sleep(4000);
    const begun = world.workers.countRunning();
    if (begun !== jobCount) throw new Error(`${begun} of ${jobCount} urgent jobs began`);
    const { id } = await world.submit(ordinary.prefix, ordinaryJob, { workMs: 6100 });
    const members = {
      list: world.workers.list.filter(({ service }) => service === idleService),
    };
    const found = await findIdleJobs(world, ordinary.prefix, [id], members);
    return {
      isBroken: found.idle.length > 0,
      summary: { urgent: jobCount, idle: found.idle.length, ...found },
    };
  },
);
