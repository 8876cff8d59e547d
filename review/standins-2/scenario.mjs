// Runs one case: starts the store, workers and instances, keeps the record and sets the exit code.
import { appendFileSync, writeFileSync } from 'node:fs';
import { randomBytes } from 'node:crypto';
import { basename, join } from 'node:path';
import { bounds, platformLimits, startInstances } from './instances.mjs';
import { portsPerCase, send, sleep } from './net.mjs';
import { startStore } from './store.mjs';
import { startWorkers } from './workers.mjs';

export { bounds, sleep, send };

export const host = 'nony24.example';
export const service = 'huvo11a';
export const key = 'd4a3hwrr6x73d3zji9n7';
const maxRunMs = 115_000;
const firstCasePort = 20_000;

export const createId = () => randomBytes(8).toString('hex');

/** A route of the configuration. */
export function createRoute(name, prefix, fields = {}) {
  const rules = { priority: 1, 'max-attempts': 3, stretch: 3, 'target-duration-ms': 1200 };
  return { name, host, prefix, kind: 'unsafe', 'timeout-ms': 3000, service, ...rules, ...fields };
}

/** The operator's configuration. */
export function createConfig(version, routes, fields = {}) {
  const names = [...new Set(routes.map((route) => route.service))];
  return {
    version,
    routes,
    services: names.map((name) => ({ name, 'admission-check': true, standby: false })),
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 262_144 },
    tenants: [{ name: 'kaje80', 'api-keys': [key], guaranteed: { gpus: 48 } }],
    ...fields,
  };
}

/**
 * Runs a case. `play(world)` resolves with `{ isBroken, summary }`; an error means that the case
 * could not run.
 */
export async function runCase(folder, options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const file = join(folder, 'record.txt');
  const startedMs = performance.now();
  const counts = new Map();
  writeFileSync(file, '');
  /** Notes an event; of each kind, the first `maxLines` are written out and the rest counted. */
  const record = (event, fields = {}, maxLines = 5000) => {
    const count = (counts.get(event) ?? 0) + 1;
    counts.set(event, count);
    if (count > maxLines) return;
    const atMs = Math.round(performance.now() - startedMs);
    // A task's name is written with slashes, so that it is not taken for an address.
    const shown = JSON.stringify(fields).replaceAll(
      /([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)/gu,
      '$1/$2/$3/$4',
    );
    appendFileSync(file, `${atMs} ${event} ${shown}\n`);
  };
  const jobs = new Map();
  const closers = [];
  let exitCode = 2;
  const closeAll = async () => {
    for (const close of closers.reverse()) await close();
  };
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => void closeAll().then(() => process.exit(2)));
  }
  const timer = setTimeout(() => {
    record('error', { reason: 'the case took too long' });
    void closeAll().then(() => process.exit(2));
  }, maxRunMs);
  try {
    const store = await startStore({ ...platformLimits, ...options.platformLimits });
    closers.push(store.close);
    store.put('op', 'config', options.config);
    const workers = await startWorkers({
      ...{ store, service, bounds, jobs, record },
      count: options.workers ?? 33,
      options: options.workerOptions,
    });
    closers.push(workers.close);
    const advisor =
      options.advice === undefined ? undefined : await workers.startAdvisor(options.advice);
    if (advisor !== undefined) closers.push(advisor.close);
    const instances = await startInstances({
      ...{ count: options.instances ?? 6, store, advisor, record },
      zones: options.zones ?? ['drenthe-a', 'veluwe-a', 'limburg-a'],
      platform: { ...platformLimits, ...options.platformLimits },
      logFile: process.env.LOG_FILE,
      firstPort: getFirstPort(folder),
    });
    closers.push(instances.close);
    const world = { store, workers, instances, jobs, record, hasTrouble };
    world.call = async (method, path, fields = {}) => {
      const list = instances.list;
      const instance = fields.instance ?? list[Math.floor(Math.random() * list.length)];
      const headers = { host, 'api-key': key, 'x-deadline-ms': '3000', ...fields.headers };
      const answer = await send(instance.frontend, method, path, { ...fields, headers });
      const status = answer.status;
      const shown = answer.body.slice(0, 200);
      record(`${method} ${status}`, { path, instance: instance.name, answer: shown });
      return answer;
    };
    /** Submits a job, with the retries that PROTOCOL.md describes; resolves with the last status. */
    world.submit = async (
      prefix,
      job,
      { workMs = 1000, how = 'done', attempts = 4, id = createId() } = {},
    ) => {
      jobs.set(id, { id, steps: job.steps, workMs, how, acceptedMs: undefined });
      let status = 0;
      for (let attempt = 0; attempt < attempts; attempt += 1) {
        status = (await world.call('POST', `${prefix}${id}`, { body: job })).status;
        if (status >= 200 && status < 300) jobs.get(id).acceptedMs = performance.now();
        if (![0, 502, 503, 504, 429].includes(status)) break;
        await sleep(1000);
      }
      return { id, status };
    };
    world.getState = async (prefix, id) => {
      const answer = await world.call('GET', `${prefix}${id}`);
      if (answer.status !== 200) return `status ${answer.status}`;
      return JSON.parse(answer.body).state;
    };
    /** Waits until a job is shown in one of `states`; resolves with the last state shown. */
    world.waitForState = async (prefix, id, states, limitMs) => {
      const endMs = performance.now() + limitMs;
      let state = 'unknown';
      while (performance.now() < endMs) {
        state = await world.getState(prefix, id);
        if (states.includes(state)) return state;
        await sleep(500);
      }
      return state;
    };
    await waitUntilReady(instances.list);
    record('ready', { instances: instances.list.length });
    const { isBroken, summary } = await play(world);
    record('result', { isBroken, ...summary });
    exitCode = isBroken ? 1 : 0;
    console.log(`${isBroken ? 'BROKEN' : 'held'} ${JSON.stringify(summary)}`);
  } catch (error) {
    record('error', { reason: String(error?.stack ?? error) });
    console.log(`could not run: ${error}`);
  }
  clearTimeout(timer);
  await closeAll();
  for (const [event, count] of counts) appendFileSync(file, `count ${event} ${count}\n`);
  process.exit(exitCode);
}

/** Ports by the number of the case; a calm run beside the other has its own half. */
function getFirstPort(folder) {
  const number = Number(basename(folder)) || 0;
  const half = process.env.TROUBLE === '0' ? portsPerCase / 2 : 0;
  return firstCasePort + number * portsPerCase + half;
}

async function waitUntilReady(instances) {
  const endMs = performance.now() + 20_000;
  for (;;) {
    const ready = await Promise.all(instances.map((instance) => instance.isReady()));
    if (ready.every(Boolean)) return;
    if (performance.now() > endMs) throw new Error('the instances did not become ready');
    await sleep(100);
  }
}

/** Share of the workers' capacity in use: the largest of cores, memory and accelerators. */
export function getUsedShare(workers, capacity = { cpu: 32_000, 'mem-mb': 65_536, gpus: 8 }) {
  const names = Object.keys(capacity);
  const used = Object.fromEntries(names.map((name) => [name, 0]));
  for (const { running } of workers.list) {
    for (const { step } of running.values()) {
      for (const name of names) used[name] += step[name] ?? 0;
    }
  }
  return Math.max(...names.map((name) => used[name] / (capacity[name] * workers.list.length)));
}

/**
 * The end of rule LOST: `finish_s` after the last submission, lists the accepted jobs of `ids` that
 * have nothing running for 3 s, though they are not done and under half of the capacity of their service's
 * `members` is in use.
 */
export async function findIdleJobs({ workers, record, getState }, prefix, ids, members = workers) {
  await sleep(bounds.finish_s * 1000);
  const idle = new Set(ids);
  let maxUsedShare = 0;
  const endMs = performance.now() + 3500;
  while (performance.now() < endMs) {
    maxUsedShare = Math.max(maxUsedShare, getUsedShare(members));
    for (const { running } of workers.list) {
      for (const task of running.keys()) idle.delete(task.split('.')[0]);
    }
    await sleep(50);
  }
  const states = {};
  for (const id of ids) {
    states[id] = await getState(prefix, id);
    if (['completed', 'cancelled', 'failed'].includes(states[id])) idle.delete(id);
  }
  record('idle-check', { idle: [...idle], maxUsedShare, states });
  return { idle: maxUsedShare < 0.5 ? [...idle] : [], maxUsedShare, states };
}

/**
 * Rule TWICE for tasks without `speculative`: two runs of a task at the same time, or a start after a run
 * has ended `done` if that end is taken note of then or later, without a lapse of the lease between.
 */
export function findDoubleRuns(history) {
  const byTask = new Map();
  for (const run of history) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  const found = [];
  for (const [task, runs] of byTask) {
    for (const run of runs) {
      for (const later of runs) {
        if (later === run || later.startedMs < run.startedMs) continue;
        const isOverlap = later.startedMs < (run.endedMs ?? Infinity);
        const isNoted = run.how === 'done' && run.ackedMs !== undefined && !run.isLapsed;
        if (isOverlap || isNoted) {
          const afterEndMs = Math.round(later.startedMs - (run.endedMs ?? NaN));
          found.push({ task, first: run.run, second: later.run, isOverlap, afterEndMs });
        }
      }
    }
  }
  return found;
}

/** Finds the instance that holds the lease, by its own state dump. */
export async function findOwner(instances) {
  for (const instance of instances.list) {
    if (instance.child === undefined) continue;
    const answer = await send(instance.metrics, 'GET', '/dump', { timeoutMs: 1000 });
    if (answer.status === 200 && JSON.parse(answer.body).lease === 'holding') return instance;
  }
  return undefined;
}
