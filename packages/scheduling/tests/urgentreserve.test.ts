import { test } from 'node:test';
import { expect } from 'earl';
import { createUrgentDemands, planStarts } from '../src/index.ts';
import type { TaskGroup, WorkerView } from '../src/index.ts';
import {
  createInput,
  createReady,
  createSingle,
  createWorker,
  listWorkers,
  runOn,
} from './samples.ts';

/** Two workers of a pool, one of which is in use, so that the pool does not count as idle. */
function createPool(pool: string): WorkerView[] {
  const workers = [`${pool}-1`, `${pool}-2`].map((id) => ({ ...createWorker(id), pool }));
  const busy = createSingle(`busy-${pool}`, 0, { taskCount: 8 });
  if (workers[0] !== undefined) runOn(workers[0], busy);
  return workers;
}

function setPool(group: TaskGroup, pool: string): TaskGroup {
  return { ...group, job: { ...group.job, pool } };
}

const demand = new Map([['p1', 16]]);

// Guards against a reserve for the urgent work of one pool that takes the idle workers of another (review/9).
test('urgent demand of one pool reserves no worker of another', () => {
  const workers = [...createPool('p1'), ...createPool('p2')];
  // More than half of each pool is in use.
  for (const free of [workers[1], workers[3]]) {
    if (free !== undefined) runOn(free, setPool(createSingle(`more-${free.id}`, 0), free.pool));
  }
  const own = setPool(createSingle('own', 1), 'p1');
  const other = setPool(createSingle('other', 1), 'p2');
  const input = createInput(workers, [createReady(own), createReady(other)], {
    urgentDemand: demand,
  });
  const plan = planStarts(input);
  expect([listWorkers(plan, 'own'), listWorkers(plan, 'other')]).toEqual([[], ['p2-2']]);
});

function planAt(group: TaskGroup, ageMs: number): string[] {
  const workers = createPool('p1');
  const [, free] = workers;
  // More than half of the pool is in use.
  if (free !== undefined) runOn(free, createSingle('more', 0, { taskCount: 1 }));
  const input = createInput(workers, [createReady(group, ageMs)], { urgentDemand: demand });
  return listWorkers(planStarts(input), group.job.id);
}

// Guards against a task that lasts and waits beside free workers for urgent work that may never come.
test('a task that lasts may use reserved workers after 2 s', () => {
  const lasting = createSingle('lasting', 2, { isLongRunning: true });
  expect([planAt(lasting, 1000), planAt(lasting, 2500)]).toEqual([[], ['p1-2']]);
});

// Guards against other work that waits for the reserve without bound.
test('a job that waited two objectives may use reserved workers', () => {
  const group = createSingle('low', 2);
  const objectiveMs = 2 * 2000 + 1000;
  expect([planAt(group, objectiveMs), planAt(group, 2 * objectiveMs + 1)]).toEqual([[], ['p1-2']]);
});

// Guards against estimates of pools that are mixed, or kept at their level after the work has gone.
test('the urgent demand of each pool is estimated by itself', () => {
  const demands = createUrgentDemands();
  demands.record(new Map([['p1', 10]]), 0);
  for (let atMs = 1000; atMs <= 5000; atMs += 1000) demands.record(new Map([['p1', 10]]), atMs);
  const level = demands.getLevels().get('p1') ?? 0;
  demands.record(new Map([['p2', 10]]), 30_000);
  expect(level > 9).toEqual(true);
  expect((demands.getLevels().get('p1') ?? 0) < 1).toEqual(true);
});
