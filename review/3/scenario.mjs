// The rack with the data of a job is taken away while another service is busy. See claim.txt.
import { setTimeout as wait } from 'node:timers/promises';
import { send, startDeployment } from '../standin/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const gpusPerWorker = 8;
const plannerCount = 6;
const studioCount = 8;
/** Workers of the rack that leaves. */
const rackCount = 2;
const quoteMs = 8000;
const studyMs = 600_000;
const drainMs = 2500;
/** A worker leaves this long after `drainMs`. */
const lingerMs = 500;
const trafficMs = 2000;
const finishMs = 14_000;
const stallMs = 3000;
const sampleMs = 100;
const host = 'trek.example';
const key = 'd4a3hwrr6x73d3zji9n7';
const quoteId = '5c0e7a21d94b36f8';
const studyId = '7be1094c2af05d63';

function createRoute(name, service) {
  return {
    ...{ name, host, prefix: `/${name}/`, kind: 'unsafe', 'timeout-ms': 3000, service },
    ...{ 'target-duration-ms': 3000, priority: 2, 'max-attempts': 2, stretch: 3, public: false },
  };
}

const config = {
  version: 1,
  routes: [createRoute('quote', 'planner'), createRoute('study', 'studio')],
  services: ['planner', 'studio'].map((name) => ({
    name,
    'admission-check': true,
    standby: false,
  })),
  limits: {},
  tenants: [{ name: 'farm', 'api-keys': [key], priority: 1, guaranteed: { gpus: 8 } }],
};

const deployment = await startDeployment({
  instanceCount: 3,
  workerCount: plannerCount + studioCount,
  config,
  placeWorker(index) {
    if (index >= plannerCount) return { service: 'studio', rack: 'r2-1' };
    return { service: 'planner', rack: index < rackCount ? 'r1-1' : 'r1-2' };
  },
  workload: {
    getWorkMs: (task) => (task.startsWith(studyId) ? studyMs : quoteMs),
    getGpus: (task) => (task.startsWith(studyId) ? gpusPerWorker : 1),
  },
});
const { workers, instances, runs, record } = deployment;
const headers = { 'api-key': key, 'x-deadline-ms': '3000' };

async function submit(path, step) {
  const body = { spec: 'text', steps: [{ 'mem-mb': 1024, ...step }] };
  const answer = await send(instances[0].address, 'POST', path, { host, headers, body });
  record(`client: POST ${path} answered ${answer.status}`);
  return answer.status === 200;
}

const listQuoteRuns = () => runs.filter(({ task }) => task.startsWith(quoteId));

/** Whether the job could run and doesn't, with under half of its service in use and room for it twice over. */
function isStalled() {
  const pool = workers.filter((worker) => worker.service === 'planner' && !worker.isGone());
  const used = pool.reduce((sum, worker) => sum + worker.listTasks().length, 0);
  const capacity = pool.length * gpusPerWorker;
  if (used >= capacity / 2 || capacity - used < 2) return false;
  const quoteRuns = listQuoteRuns();
  return quoteRuns.every(({ how, endedAt }) => how !== 'done' && endedAt !== undefined);
}

async function run() {
  if (!(await deployment.waitUntilReady())) return 2;
  await wait(4000);
  const study = { count: studioCount, cpu: 30_000, gpus: gpusPerWorker, 'estimated-ms': studyMs };
  if (!(await submit(`/study/${studyId}`, study))) return 2;
  await wait(1500);
  const quote = { count: 1, cpu: 2000, gpus: 1, 'estimated-ms': quoteMs, affinity: 'r1-1' };
  if (!(await submit(`/quote/${quoteId}`, quote))) return 2;
  await wait(1500);
  const holder = workers.find((worker) =>
    worker.listTasks().some((task) => task.startsWith(quoteId)),
  );
  if (holder?.rack !== 'r1-1' || runs.length !== studioCount + 1) return 2;
  if (hasTrouble) {
    const leaving = workers.filter(({ rack }) => rack === 'r1-1');
    record(`${leaving.map(({ id }) => id).join(', ')} start to drain`);
    for (const worker of leaving) worker.drain(drainMs);
    await wait(drainMs + lingerMs);
    for (const worker of leaving) worker.leave();
  } else await wait(drainMs + lingerMs);
  await wait(trafficMs);
  record('the traffic ends');
  await wait(finishMs);
  let since;
  let stalledMs = 0;
  const endAt = performance.now() + stallMs + 1000;
  while (performance.now() < endAt) {
    since = isStalled() ? (since ?? performance.now()) : undefined;
    if (since !== undefined) stalledMs = Math.max(stalledMs, performance.now() - since);
    await wait(sampleMs);
  }
  const answer = await send(instances[0].address, 'GET', `/quote/${quoteId}`, { host, headers });
  record(`client: GET /quote/${quoteId} answered ${answer.status} ${answer.text}`);
  if (stalledMs < stallMs) return 0;
  record(
    `LOST: from ${finishMs} ms after the end of the traffic on, nothing of job ${quoteId} ran for ` +
      `${Math.round(stalledMs)} ms, with no accelerator of its service in use`,
  );
  return 1;
}

const code = await run();
record(`exit ${code}; trouble ${hasTrouble ? 'on' : 'off'}`);
await deployment.close(new URL('record.txt', import.meta.url).pathname);
process.exit(code);
