// Stand-ins for the workers of one service and for the service at `recommendation`, as PROTOCOL.md
// describes them.
import { createServer } from 'node:http';
import { listen, readJson, sendJson, sleep } from './net.mjs';

/** Ends that one answer lists. */
const maxListedEnds = 500;

const drawnId = (index) => `i-${(0x7f3a0000 + index * 0x9137).toString(16)}`;

/**
 * Starts the workers. `jobs` (by id) tells what each submitted task needs and how long it works:
 * `{ id, steps, workMs, queue }`. `record(event, fields)` notes what is run.
 */
export async function startWorkers({ store, count, service, bounds, jobs, record, options = {} }) {
  const capacity = options.capacity ?? { cpu: 32_000, 'mem-mb': 65_536, gpus: 8 };
  const heartbeatMs = 1500;
  const workers = [];
  /** All runs that began: what a check may know of them. */
  const history = [];
  /** Tickets by step, then by worker id: `{ ticket, untilMs }`. */
  const tickets = new Map();

  /** Time that a run works; it may be drawn anew for each run. */
  function getWorkMs(job) {
    const workMs = job?.workMs ?? 1000;
    return typeof workMs === 'function' ? workMs() : workMs;
  }

  function findStep(task) {
    const [jobId, , step] = task.split('.');
    const job = jobs.get(jobId);
    return { job, step: job?.steps[Number(step)] };
  }

  async function startWorker(index) {
    const id = drawnId(index);
    const rack = `r1-${Math.floor(index / 8)}`;
    const ownService = options.getService?.(index) ?? service;
    const zone = options.zones?.[index % options.zones.length] ?? 'z1';
    const bornAtMs = Date.now();
    const bornMs = performance.now();
    let token = 0;
    let leaseUntilMs = Infinity;
    let sequence = 0;
    let beat = 0;
    let ends = [];
    const running = new Map();
    const highest = new Map();
    let waiters = new Set();
    const getClockMs = () => Math.floor(performance.now() - bornMs) + 1000;

    function endRun(task, how) {
      const run = running.get(task);
      if (run === undefined) return;
      clearTimeout(run.timer);
      running.delete(task);
      sequence += 1;
      const saved = how === 'done' ? '' : run.checkpoint;
      ends.push([sequence, task, run.run, how, saved, run.entry]);
      Object.assign(run.entry, { endedMs: performance.now(), how });
      record('end', { task, run: run.run, worker: id, how });
      for (const release of waiters) release();
      waiters = new Set();
    }

    function renew(deadline) {
      if (typeof deadline !== 'number') return;
      const bounded = Math.min(deadline, getClockMs() + bounds['max-hold-ms']);
      leaseUntilMs = leaseUntilMs === Infinity ? bounded : Math.max(leaseUntilMs, bounded);
    }

    function isFenced(body) {
      const given = body['fencing-token'] ?? 0;
      if (given < token) return true;
      token = given;
      return false;
    }

    const refuse = (reason) => [409, { 'clock-ms': getClockMs(), reason }];

    function start(body) {
      const { task, run } = body;
      if (isFenced(body)) return refuse('fence');
      if (running.get(task)?.run === run) return [200, { 'clock-ms': getClockMs() }];
      if (body['deadline-ms'] <= getClockMs()) return refuse('late');
      renew(body['deadline-ms']);
      if (run <= (highest.get(task) ?? 0)) return refuse('old');
      const { job, step } = findStep(task);
      if (options.needsTicket?.(job) === true) {
        const known = tickets.get(task.split('.').slice(0, 3).join('.'))?.get(id);
        const isValid = known?.ticket === body.ticket && known?.untilMs > performance.now();
        if (!isValid) {
          record('rejected', { task, run, worker: id, reason: 'ticket' });
          return refuse('ticket');
        }
      }
      const used = { cpu: 0, 'mem-mb': 0, gpus: 0 };
      for (const other of running.values()) {
        for (const name of Object.keys(used)) used[name] += other.step[name] ?? 0;
      }
      const isFull = Object.keys(used).some(
        (name) => used[name] + (step?.[name] ?? 0) > capacity[name],
      );
      if (isFull) return refuse('room');
      highest.set(task, run);
      const timer = setTimeout(() => endRun(task, job?.how ?? 'done'), getWorkMs(job));
      const entry = { task, run, worker: id, token, startedMs: performance.now(), isLapsed: false };
      history.push(entry);
      running.set(task, { run, timer, entry, step: step ?? {}, checkpoint: body.checkpoint ?? '' });
      record('start', { task, run, worker: id, token });
      return [200, { 'clock-ms': getClockMs() }];
    }

    function stop(body) {
      const { task, run } = body;
      if (isFenced(body)) return refuse('fence');
      highest.set(task, Math.max(highest.get(task) ?? 0, run));
      if (running.get(task)?.run === run) setTimeout(() => endRun(task, 'stopped'), 100);
      return [200, { 'clock-ms': getClockMs() }];
    }

    async function hold(body) {
      if (isFenced(body)) return refuse('fence');
      const cursor = body['ack-cursor'] ?? 0;
      for (const [number, , , , , entry] of ends) {
        if (number <= cursor) entry.ackedMs = performance.now();
      }
      ends = ends.filter(([number]) => number > cursor);
      renew(body['deadline-ms']);
      const waitMs = Math.min(2000, body['wait-ms'] ?? 0);
      if (ends.length === 0 && waitMs > 0) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          waiters.add(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      const lists = {
        running: [...running].map(([task, run]) => [task, run.run, run.checkpoint, 50, 0]),
        ended: ends.slice(0, maxListedEnds).map((end) => end.slice(0, 5)),
      };
      return [200, { 'clock-ms': getClockMs(), born: bornAtMs, capacity, ...lists }];
    }

    const handlers = { '/run-start': start, '/run-stop': stop, '/hold': hold };
    const server = createServer((request, response) => {
      const handle = async () => {
        if (request.url === '/health') return sendJson(response, 200, {});
        const body = await readJson(request);
        await sleep(options.answerMs ?? 1);
        if (request.headers['x-expect-instance'] !== id) return sendJson(response, 421, {});
        const handler = handlers[request.url];
        if (handler === undefined) return sendJson(response, 404, {});
        const [status, answer] = await handler(body);
        sendJson(response, status, answer);
      };
      handle().catch(() => response.destroy());
    });
    const address = await listen(server);

    function announce() {
      beat += 1;
      const state = { service: ownService, address, zone, version: '1', slots: 8, state: 'ready' };
      const place = { capacity, labels: ['a', rack], born: bornAtMs };
      store.put('servers', id, { ...state, sequence: beat, ...place, 'cold-remaining-ms': 0 });
    }

    const expiry = setInterval(() => {
      if (getClockMs() < leaseUntilMs) return;
      // The end of a run counts as noted only if the lease held until then.
      for (const [, , , , , entry] of ends) entry.isLapsed = true;
      for (const task of [...running.keys()]) endRun(task, 'lapsed');
    }, 20);
    announce();
    const beats = setInterval(announce, heartbeatMs);
    return {
      id,
      address,
      service: ownService,
      running,
      /** Ends a run by its own fault. */
      failRun: (task) => endRun(task, 'failed'),
      close: () => {
        clearInterval(expiry);
        clearInterval(beats);
        for (const { timer } of running.values()) clearTimeout(timer);
        server.closeAllConnections();
        server.close();
      },
    };
  }

  for (let index = 0; index < count; index += 1) workers.push(await startWorker(index));

  /** Starts the service at `recommendation`; it handles one call at a time. */
  async function startAdvisor({ getRules, isGood = () => true, validityMs = 3000 }) {
    let last = Promise.resolve();
    let waiting = 0;
    const server = createServer((request, response) => {
      const handle = async () => {
        const body = await readJson(request);
        if (waiting >= 32) return sendJson(response, 429, {});
        waiting += 1;
        const before = last;
        let release;
        last = new Promise((resolve) => (release = resolve));
        await before;
        const rules = getRules(body.step);
        await sleep(rules['decision-ms'] + rules['period-ms'] * body.workers.length);
        const byWorker = tickets.get(body.step) ?? new Map();
        tickets.set(body.step, byWorker);
        const good = body.workers.filter((worker) => isGood(body.step, worker));
        for (const worker of good) {
          const ticket = Math.random().toString(16).slice(2, 14);
          byWorker.set(worker, { ticket, untilMs: performance.now() + validityMs });
        }
        const answer = good.map((worker) => [worker, byWorker.get(worker).ticket]);
        record('advice', { step: body.step, workers: body.workers.length, good: good.length });
        sendJson(response, 200, { good: answer, 'validity-ms': validityMs });
        waiting -= 1;
        release();
      };
      handle().catch(() => response.destroy());
    });
    const address = await listen(server);
    return { address, close: () => (server.closeAllConnections(), server.close()) };
  }

  return {
    list: workers,
    history,
    startAdvisor,
    countRunning: () => workers.reduce((sum, worker) => sum + worker.running.size, 0),
    close: () => workers.forEach((worker) => worker.close()),
  };
}
