// Stand-in for a worker: runs tasks under a lease, reports its runs and their ends, and sends heartbeats
// to the store. It does what the pages say of a sound worker and nothing else.
import { createServer } from 'node:http';
import { json } from 'node:stream/consumers';
import { setTimeout as wait } from 'node:timers/promises';
import { heartbeatMs } from './store.mjs';

const tickMs = 5;
const stopMs = 200;
/** A deadly task crashes its worker this long after its start, and the worker is back after `downMs`, which varies. */
const deadlyMs = 20;
const downMs = { least: 2300, spread: 400 };
const gpus = 8;

/**
 * Starts a worker. `runs` collects a record of each run, `getWorkMs` gives the work of a task, and
 * `findDemand` its accelerators.
 */
export async function startWorker(options) {
  const { id, service, rack, zone, store, runs, maxHoldMs, getWorkMs, getGpus, onEvent } = options;
  const { kind = 'a', getFailAfterMs = () => Infinity, isDeadly = () => false } = options;
  let born = Date.now();
  let startedAt = performance.now();
  let active = new Map();
  let latestRuns = new Map();
  let ends = [];
  let sequence = 0;
  let beats = 0;
  let highestToken = 0;
  let leaseUntil = 0;
  let state = 'ready';
  let leavesAt = Infinity;
  let isCutFromStore = false;
  let isGone = false;
  let isDown = false;

  const getClock = () => Math.floor(performance.now() - startedAt) + 1000;

  function endRun(task, how) {
    const run = active.get(task);
    active.delete(task);
    run.record.endedAt = performance.now();
    run.record.how = how;
    sequence += 1;
    ends.push([sequence, task, run.record.run, how, '']);
    onEvent(`${id}: run ${run.record.run} of ${task} ended ${how}`);
  }

  function renewLease(deadline) {
    if (typeof deadline !== 'number') return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, getClock() + maxHoldMs));
  }

  /** Whether the worker does nothing for the token of this call. */
  function isFenced(body) {
    const token = body['fencing-token'] ?? 0;
    if (token < highestToken) return true;
    highestToken = token;
    return false;
  }

  function start(body) {
    const { task, run } = body;
    if (isFenced(body)) return [409, { reason: 'fence' }];
    if (body['deadline-ms'] <= getClock()) return [409, { reason: 'late' }];
    if (active.get(task)?.record.run === run) return [200, {}];
    renewLease(body['deadline-ms']);
    if (run <= (latestRuns.get(task) ?? 0)) return [409, { reason: 'old' }];
    const used = [...active.keys()].reduce((sum, name) => sum + getGpus(name), 0);
    if (used + getGpus(task) > gpus) return [409, { reason: 'room' }];
    latestRuns.set(task, run);
    const now = performance.now();
    const record = { task, run, worker: id, startedAt: now, spec: body.spec };
    record.token = body['fencing-token'];
    runs.push(record);
    active.set(task, {
      record,
      doneAt: now + getWorkMs(task),
      failsAt: now + getFailAfterMs(task, run),
      stopAt: Infinity,
    });
    onEvent(`${id}: run ${run} of ${task} started, fencing token ${record.token}`);
    if (isDeadly(task)) setTimeout(() => crash(task, record), deadlyMs);
    return [200, {}];
  }

  /** Ends everything that runs, without a list of it, and starts again under the same id. */
  function crash(task, cause) {
    if (isGone || isDown || active.get(task)?.record !== cause) return;
    onEvent(`${id}: crashed under ${task}`);
    cause.hasCrashed = true;
    for (const { record } of active.values()) {
      record.endedAt = performance.now();
      record.how ??= 'worker crashed';
    }
    isDown = true;
    server.closeAllConnections();
    setTimeout(
      () => {
        active = new Map();
        latestRuns = new Map();
        ends = [];
        [sequence, beats, highestToken, leaseUntil] = [0, 0, 0, 0];
        [born, startedAt] = [Date.now(), performance.now()];
        isDown = false;
        onEvent(`${id}: back after the crash`);
        beat();
      },
      downMs.least + Math.random() * downMs.spread,
    );
  }

  function stop(body) {
    const { task, run } = body;
    if (isFenced(body)) return [409, { reason: 'fence' }];
    latestRuns.set(task, Math.max(run, latestRuns.get(task) ?? 0));
    const found = active.get(task);
    if (found?.record.run === run)
      found.stopAt = Math.min(found.stopAt, performance.now() + stopMs);
    return [200, {}];
  }

  async function hold(body) {
    if (isFenced(body)) return [409, { reason: 'fence' }];
    const cursor = body['ack-cursor'] ?? 0;
    for (const [number, task, run] of ends) {
      if (number > cursor) continue;
      const record = runs.find((one) => one.worker === id && one.task === task && one.run === run);
      record.notedAt ??= performance.now();
    }
    ends = ends.filter(([number]) => number > cursor);
    renewLease(body['deadline-ms']);
    const endAt = performance.now() + Math.min(2000, body['wait-ms'] ?? 0);
    while (ends.length === 0 && performance.now() < endAt) await wait(tickMs);
    const running = [...active].map(([task, { record }]) => [task, record.run, '', 50, 0]);
    return [200, { running, ended: ends.slice(0, 500), ...describe() }];
  }

  function describe() {
    const capacity = { cpu: 32_000, 'mem-mb': 65_536, gpus };
    return { born, capacity, labels: [kind, rack] };
  }

  async function handle(request, response) {
    const body = await json(request);
    const reply = (code, content) => {
      response.writeHead(code, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ 'clock-ms': getClock(), ...content }));
    };
    if (isGone || isDown) return response.destroy();
    if (![undefined, id].includes(request.headers['x-expect-instance'])) return reply(421, {});
    if (request.url === '/run-start') return reply(...start(body));
    if (request.url === '/run-stop') return reply(...stop(body));
    if (request.url === '/hold') return reply(...(await hold(body)));
    return reply(404, {});
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  function beat() {
    if (isGone || isDown || isCutFromStore) return;
    beats += 1;
    const address = `127.0.0.1:${server.address().port}`;
    const entry = { service, address, zone, version: 'v1', slots: 8, state };
    const drain =
      state === 'draining'
        ? { 'drain-remaining-ms': Math.max(0, Math.round(leavesAt - performance.now())) }
        : {};
    store.acceptHeartbeat(id, { ...entry, 'cold-remaining-ms': 0, ...describe(), ...drain }, beats);
  }

  const ticker = setInterval(() => {
    if (isGone || isDown) return;
    const now = performance.now();
    for (const [task, run] of [...active]) {
      if (getClock() >= leaseUntil) endRun(task, 'lapsed');
      else if (run.stopAt <= now) endRun(task, 'stopped');
      else if (run.failsAt <= now) endRun(task, 'failed');
      else if (run.doneAt <= now) endRun(task, 'done');
    }
  }, tickMs);
  beat();
  const heart = setInterval(beat, heartbeatMs);
  let drainHeart;

  return {
    id,
    service,
    rack,
    kind,
    listTasks: () => [...active.keys()],
    /** Reports `draining` at once and then with each heartbeat; `minimumMs` is the time that is left at least. */
    drain(minimumMs) {
      state = 'draining';
      leavesAt = performance.now() + minimumMs;
      clearInterval(heart);
      beat();
      drainHeart = setInterval(beat, heartbeatMs);
    },
    /** Leaves: everything that runs ends, the entry is removed and nothing answers any more. */
    leave() {
      for (const task of [...active.keys()]) endRun(task, 'worker left');
      onEvent(`${id}: left`);
      isGone = true;
      clearInterval(drainHeart);
      store.removeEntry(id);
      server.closeAllConnections();
      server.close();
    },
    isGone: () => isGone,
    /** Whether the path between the worker and the store is cut; instances still reach the worker. */
    setCutFromStore(isCut) {
      isCutFromStore = isCut;
      onEvent(`${id}: path to the store ${isCut ? 'cut' : 'restored'}`);
    },
    close() {
      isGone = true;
      for (const timer of [ticker, heart, drainHeart]) clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
