import { test } from 'node:test';
import type { RowValue } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const settleMs = 20_000;
/** The service allows no start later than this after a worker has announced that it drains. */
const drainMs = 2500;

/** Runs that began on a worker after a given time. */
function listStartedAfter(world: World, id: string, afterMs: number): string[] {
  return world
    .listStartedRuns()
    .filter(({ worker, atMs }) => worker === id && atMs > afterMs)
    .map(({ task, atMs }) => `${task} at ${String(atMs)}`);
}

/** Marks a worker as draining in the list, as the worker itself does. */
function setDraining(world: World, id: string): void {
  const key = `servers/${id}`;
  const entry = world.store.rows.get(key)?.value as Record<string, RowValue>;
  const value = { ...entry, isDraining: true, drainRemainingMs: settleMs };
  world.store.apply({ operationId: 'drain', conditions: [], writes: [{ key, value }] }, id, 0);
}

// Guards against a start on a worker that began to drain while the starts of the plan were stored.
test('a start is not sent to a worker that began to drain', async () => {
  const world = createWorld(30);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  for (let job = 0; job < 110; job += 1) world.submit(`j${job}`, [{ taskCount: 1 }]);
  world.store.latencyMs = 1400;
  await world.clock.advance(100);
  const drainedMs = world.clock.getNowMs();
  setDraining(world, 'w0');
  await world.clock.advance(settleMs);
  expect(world.listStartedRuns().length > 0).toEqual(true);
  expect(listStartedAfter(world, 'w0', drainedMs + drainMs)).toEqual([]);
});

// Guards against retrying an unanswered start after its worker began to drain.
test('a start is not retried on a worker that began to drain', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const worker = world.workers.get('w0')!;
  worker.isUnreachable = true;
  world.submit('j1', [{ taskCount: 2 }]);
  await world.clock.advance(100);
  setDraining(world, 'w0');
  await world.clock.advance(1500);
  worker.isUnreachable = false;
  await world.clock.advance(settleMs);
  expect(listStartedAfter(world, 'w0', startUpMs)).toEqual([]);
});

// Guards against a second run of a task whose worker seems to have left, because a new owner
// counted the age of the worker's entry from its own first read of the list.
test('a new owner does not assume that a silent draining worker has left', async () => {
  const world = createWorld(2, 60_000);
  const previous = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 1 }]);
  await world.clock.advance(300);
  const [{ worker: id } = { worker: '' }] = world.listStartedRuns();
  setDraining(world, id);
  await world.clock.advance(500);
  world.workers.get(id)!.isUnreachable = true;
  previous.process.kill();
  const next = world.addCandidate('b');
  while (next.getOwner() === undefined) await world.clock.advance(100);
  await world.clock.advance(1000);
  world.unlistWorker(id);
  for (let step = 0; step < 200; step += 1) {
    await world.clock.advance(100);
    expect(findConcurrentRuns(world)).toEqual(undefined);
  }
});
