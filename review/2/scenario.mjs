// Tasks of three queues crash the workers that start them, at the same time. See claim.txt.
import { setTimeout as wait } from 'node:timers/promises';
import { send, startDeployment } from '../standin/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const workerCount = 16;
const taskMs = 5000;
const watchMs = 45_000;
/** After this many crashes under a task, ... */
const maxCrashes = 3;
/** ... this many starts more break the rule. */
const startsMore = 3;
const host = 'trek.example';
const key = 'd4a3hwrr6x73d3zji9n7';
const queues = ['survey', 'match', 'quote'];
const jobIds = queues.map((_, index) => (0x5c0e7a21d94b360an + 16n * BigInt(index)).toString(16));
/** Sound jobs of each queue: one job in ten is deadly. */
const soundCount = 9;
const soundIds = queues.flatMap((queue, index) =>
  Array.from({ length: soundCount }, (_, number) => ({
    id: (0x7be1094c2af0500an + 16n * BigInt(index * soundCount + number)).toString(16),
    index,
  })),
);

const config = {
  version: 1,
  routes: queues.map((name) => ({
    ...{ name, host, prefix: `/${name}/`, kind: 'unsafe', 'timeout-ms': 3000, service: 'planner' },
    ...{ 'target-duration-ms': 1200, priority: 1, 'max-attempts': 3, stretch: 3, public: false },
  })),
  services: [{ name: 'planner', 'admission-check': true, standby: false }],
  limits: {},
  tenants: [{ name: 'farm', 'api-keys': [key], priority: 1, guaranteed: { gpus: 8 } }],
};

const isOfJobs = (task, ids) => ids.some((id) => task.startsWith(id));

const deployment = await startDeployment({
  instanceCount: 3,
  workerCount,
  config,
  workload: {
    getWorkMs: () => taskMs,
    getGpus: (task) => (isOfJobs(task, jobIds) ? 8 : 1),
    isDeadly: (task) => hasTrouble && isOfJobs(task, jobIds),
  },
});
const { instances, runs, record } = deployment;
const headers = { 'api-key': key, 'x-deadline-ms': '3000' };

async function submit(id, index, gpus) {
  const step = { count: 1, cpu: 2000, 'mem-mb': 1024, gpus, 'estimated-ms': taskMs };
  const path = `/${queues[index]}/${id}`;
  const body = { spec: 'text', steps: [step] };
  const answer = await send(instances[0].address, 'POST', path, { host, headers, body });
  record(`client: POST ${path} answered ${answer.status}`);
  return answer.status === 200;
}

async function run() {
  if (!(await deployment.waitUntilReady())) return 2;
  await wait(4000);
  const answers = await Promise.all([
    ...jobIds.map((id, index) => submit(id, index, 8)),
    ...soundIds.map(({ id, index }) => submit(id, index, 1)),
  ]);
  if (!answers.every(Boolean)) return 2;
  await wait(watchMs);
  let code = 0;
  for (const [index, id] of jobIds.entries()) {
    const own = runs.filter(({ task }) => task.startsWith(id));
    const crashes = own.filter(({ hasCrashed }) => hasCrashed === true);
    const third = crashes[maxCrashes - 1];
    const more =
      third === undefined ? [] : own.filter(({ startedAt }) => startedAt > third.endedAt);
    const path = `/${queues[index]}/${id}`;
    const answer = await send(instances[0].address, 'GET', path, { host, headers });
    record(`client: GET ${path} answered ${answer.status} ${answer.text}`);
    record(
      `${id}: ${own.length} starts, ${crashes.length} workers crashed, ${more.length} starts after the third`,
    );
    if (more.length >= startsMore) code = 1;
  }
  const done = soundIds.filter(({ id }) =>
    runs.some(({ task, how }) => task.startsWith(id) && how === 'done'),
  );
  record(`${done.length} of ${soundIds.length} sound jobs done`);
  if (code === 1)
    record('BUDGET: tasks are started on and on after three workers have crashed under each');
  return code;
}

const code = await run();
record(`exit ${code}; trouble ${hasTrouble ? 'on' : 'off'}`);
await deployment.close(new URL('record.txt', import.meta.url).pathname);
process.exit(code);
