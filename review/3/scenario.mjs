// Workers leave as planned while the process that schedules is killed. See claim.txt.
import { setTimeout as wait } from 'node:timers/promises';
import { send, startDeployment } from '../standin/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const workerCount = 14;
const leavingCount = 2;
const gpusPerWorker = 8;
const workMs = 8500;
const drainMs = 2500;
/** A worker leaves this long after `drainMs`. */
const lingerMs = 1000;
const killBeforeMs = 300;
const restartMs = 1000;
/** Clients ask for states until this long after the workers have left; then the traffic ends. */
const trafficMs = 8000;
const finishMs = 14_000;
const stallMs = 3000;
const sampleMs = 100;
const host = 'trek.example';
const prefix = '/survey/';
const key = 'd4a3hwrr6x73d3zji9n7';
const jobIds = Array.from({ length: leavingCount * gpusPerWorker }, (_, index) =>
  (0x5c0e7a21d94b360an + 16n * BigInt(index)).toString(16),
);

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
  workerCount,
  config,
  workload: { getWorkMs: () => workMs, getGpus: () => 1 },
});
const { workers, instances, runs, record } = deployment;
const headers = { 'api-key': key, 'x-deadline-ms': '3000' };

async function submit(id, address) {
  const step = { count: 1, cpu: 2000, 'mem-mb': 1024, gpus: 1, 'estimated-ms': workMs };
  const answer = await send(address, 'POST', prefix + id, {
    ...{ host, headers },
    body: { spec: 'survey', steps: [step] },
  });
  record(`client: POST ${id} answered ${answer.status}`);
  return answer.status === 200;
}

async function getState(id) {
  for (const { address } of instances) {
    const answer = await send(address, 'GET', prefix + id, { host, headers });
    if (answer.status === 200) return answer.body?.state;
  }
  return 'no answer';
}

function listRuns(id) {
  return runs.filter(({ task }) => task.startsWith(`${id}.`));
}

const hasEnded = (id) => listRuns(id).some(({ how }) => how === 'done');
const isRunning = (id) => listRuns(id).some(({ endedAt }) => endedAt === undefined);

/** Jobs that could run and don't, with under half of the capacity in use and room for each twice over. */
function listStalled() {
  const capacity = workers.filter((worker) => !worker.isGone()).length * gpusPerWorker;
  const used = runs.filter(({ endedAt }) => endedAt === undefined).length;
  if (used >= capacity / 2 || capacity - used < 2) return [];
  return jobIds.filter((id) => !hasEnded(id) && !isRunning(id));
}

async function run() {
  if (!(await deployment.waitUntilReady())) return 2;
  await wait(4000);
  const answers = await Promise.all(
    jobIds.map((id, index) => submit(id, instances[index % instances.length].address)),
  );
  if (!answers.every(Boolean)) return 2;
  await wait(1500);
  const leaving = workers
    .filter((worker) => worker.listTasks().length > 0)
    .sort((a, b) => b.listTasks().length - a.listTasks().length)
    .slice(0, leavingCount);
  const owner = await deployment.findOwner();
  if (owner === undefined || leaving.length < leavingCount) return 2;
  record(`${owner.name} holds the lease; ${leaving.map(({ id }) => id).join(', ')} start to drain`);
  for (const worker of leaving) worker.drain(drainMs);
  await wait(drainMs + lingerMs - killBeforeMs);
  if (hasTrouble) {
    record(`${owner.name} is killed; it starts again after ${restartMs} ms`);
    void owner.killAndRestart(restartMs);
  }
  await wait(killBeforeMs);
  for (const worker of leaving) worker.leave();
  await wait(trafficMs);
  record('the traffic ends');
  await wait(finishMs);
  const since = new Map();
  const stalled = new Set();
  const endAt = performance.now() + stallMs + 1000;
  while (performance.now() < endAt) {
    const now = performance.now();
    const idle = listStalled();
    for (const id of [...since.keys()]) if (!idle.includes(id)) since.delete(id);
    for (const id of idle) {
      if (!since.has(id)) since.set(id, now);
      if (now - since.get(id) >= stallMs) stalled.add(id);
    }
    await wait(sampleMs);
  }
  for (const id of stalled) {
    const used = runs.filter(({ endedAt }) => endedAt === undefined).length;
    record(
      `LOST: for ${stallMs} ms, from ${finishMs} ms after the end of the traffic on, nothing of job ${id} ` +
        `runs; its state is ${await getState(id)}; accelerators in use now: ${used} of ` +
        `${(workerCount - leavingCount) * gpusPerWorker}`,
    );
  }
  for (const id of jobIds) record(`client: GET ${id}: ${await getState(id)}`);
  return stalled.size > 0 ? 1 : 0;
}

const code = await run();
record(`exit ${code}; trouble ${hasTrouble ? 'on' : 'off'}`);
await deployment.close(new URL('record.txt', import.meta.url).pathname);
process.exit(code);
