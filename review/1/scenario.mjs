// A draining worker loses its path to the store while it works. See claim.txt.
import { setTimeout as wait } from 'node:timers/promises';
import { send, startDeployment } from '../standin/deployment.mjs';
import { heartbeatMs } from '../standin/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const workMs = 25_000;
const drainMs = 2500;
const cutMs = 5000;
const host = 'trek.example';
const prefix = '/survey/';
const jobId = '5c0e7a21d94b36fb';
const key = 'd4a3hwrr6x73d3zji9n7';
const taskCount = 6;

const config = {
  version: 1,
  routes: [
    {
      ...{ name: 'survey', host, prefix, kind: 'unsafe', 'timeout-ms': 3000, service: 'planner' },
      ...{ 'target-duration-ms': 1200, priority: 1, 'max-attempts': 3, stretch: 3, public: false },
    },
  ],
  services: [{ name: 'planner', 'admission-check': true, standby: false }],
  limits: {},
  tenants: [{ name: 'farm', 'api-keys': [key], priority: 1, guaranteed: { gpus: 8 } }],
};

const deployment = await startDeployment({
  instanceCount: 3,
  workerCount: 10,
  config,
  workload: { getWorkMs: () => workMs, getGpus: () => 1 },
});
const { store, workers, instances, runs, record } = deployment;

async function run() {
  if (!(await deployment.waitUntilReady())) return 2;
  await wait(4000);
  const step = { count: taskCount, cpu: 2000, 'mem-mb': 1024, gpus: 1, 'estimated-ms': workMs };
  const body = { spec: 'survey', steps: [{ ...step, 'anti-affinity': 1 }] };
  const headers = { 'api-key': key, 'x-deadline-ms': '3000' };
  const answer = await send(instances[0].address, 'POST', prefix + jobId, { host, headers, body });
  record(`client: POST ${jobId} answered ${answer.status}`);
  if (answer.status !== 200) return 2;
  await wait(4000);
  const worker = workers.find((one) => one.listTasks().length > 0);
  if (runs.length !== taskCount || worker === undefined) return 2;
  const owner = await deployment.findOwner();
  record(`${owner?.name ?? 'no instance'} holds the lease; ${worker.id} starts to drain`);
  worker.drain(drainMs);
  if (hasTrouble) {
    await wait(heartbeatMs - 100);
    for (const { proxy } of instances) proxy.silenceOpenConnections();
    record('all open connections between the instances and the store go silent; new ones work');
    // The worker still sends its second heartbeat while it drains.
    await wait(400);
    worker.setCutFromStore(true);
    await wait(cutMs);
    worker.setCutFromStore(false);
    await wait(8000);
  } else await wait(heartbeatMs + 300 + cutMs + 8000);
  return findOverlaps().length > 0 ? 1 : 0;
}

/** Pairs of runs of one task that were active at the same time. All workers are up throughout. */
function findOverlaps() {
  const now = performance.now();
  return runs.flatMap((first, index) =>
    runs
      .slice(index + 1)
      .filter(({ task }) => task === first.task)
      .filter((second) => second.startedAt < (first.endedAt ?? now))
      .map((second) => [first, second]),
  );
}

const code = await run();
for (const [first, second] of findOverlaps()) {
  const untilMs = Math.min(first.endedAt ?? performance.now(), second.endedAt ?? performance.now());
  const overlapMs = Math.round(untilMs - second.startedAt);
  record(
    `TWICE: ${first.task} ran on ${first.worker} (run ${first.run}) and on ${second.worker} ` +
      `(run ${second.run}) at the same time for ${overlapMs} ms`,
  );
}
record(`exit ${code}; trouble ${hasTrouble ? 'on' : 'off'}`);
await deployment.close(new URL('record.txt', import.meta.url).pathname);
process.exit(code);
