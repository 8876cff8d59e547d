import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import type { FakeWorker } from './fakeworkers.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const taskMs = 2000;
const settleMs = 40_000;
const urgent = { priority: 0, maxAttempts: 2, stretch: 3, targetMs: 1000 };

/** A world whose workers start whatever they are told to start. */
function createUnguarded(workerCount: number): World {
  const world = createWorld(workerCount, taskMs);
  for (const worker of world.workers.values()) worker.isGuarded = false;
  return world;
}

function getWorker(world: World, id: string): FakeWorker {
  const worker = world.workers.get(id);
  if (worker === undefined) throw new Error(`no worker ${id}`);
  return worker;
}

function countOverloads(world: World): number {
  return [...world.workers.values()].reduce((sum, { overloads }) => sum + overloads, 0);
}

// Guards against starts that rely on the room that a worker had before it shrank.
test('nothing starts beyond a capacity that has shrunk', async () => {
  const world = createUnguarded(2);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(500);
  world.resizeWorker('w0', 1);
  world.submit('j2', [{ taskCount: 12 }]);
  world.submit('j3', [{ taskCount: 4, isGang: true }], { rules: urgent });
  await world.clock.advance(settleMs);
  expect(countOverloads(world)).toEqual(0);
  expect(['j1', 'j2', 'j3'].map((id) => world.getState(id))).toEqual([
    JobState.Completed,
    JobState.Completed,
    JobState.Completed,
  ]);
});

// Guards against a start that was planned before its worker shrank and is sent after its commit.
test('a start that is being stored is not sent to a worker that shrank meanwhile', async () => {
  const world = createUnguarded(1);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.store.latencyMs = 1200;
  world.submit('j1', [{ taskCount: 4 }]);
  await world.clock.advance(700);
  world.resizeWorker('w0', 1);
  await world.clock.advance(1500);
  world.store.latencyMs = 0;
  await world.clock.advance(settleMs);
  expect(countOverloads(world)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a list of workers that lags behind what the worker itself reports.
test('a capacity that only the report of the worker shows is kept', async () => {
  const world = createUnguarded(1);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const worker = getWorker(world, 'w0');
  worker.slots = 1;
  worker.reportedCapacity = { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 1 };
  await world.clock.advance(1500);
  world.submit('j1', [{ taskCount: 3 }]);
  await world.clock.advance(settleMs);
  expect(countOverloads(world)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a new owner that relies on an older capacity.
test('a new owner keeps the capacity that has shrunk', async () => {
  const world = createUnguarded(2);
  const first = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(300);
  world.resizeWorker('w0', 2);
  first.process.kill();
  world.addCandidate('b');
  world.submit('j2', [{ taskCount: 8 }]);
  await world.clock.advance(settleMs);
  expect(countOverloads(world)).toEqual(0);
  expect(world.getState('j2')).toEqual(JobState.Completed);
});

// Guards against a job that is given up or forgotten while no worker can hold it, and against a capacity
// that is not used again.
test('a gang that no longer fits starts once the workers have grown again', async () => {
  const world = createUnguarded(2);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  for (const id of ['w0', 'w1']) world.resizeWorker(id, 1);
  world.submit('j1', [{ taskCount: 6, isGang: true }]);
  await world.clock.advance(8000);
  expect([countOverloads(world), world.getState('j1')]).toEqual([0, JobState.Queued]);
  for (const id of ['w0', 'w1']) world.resizeWorker(id, 4);
  await world.clock.advance(settleMs);
  expect([countOverloads(world), world.getState('j1')]).toEqual([0, JobState.Completed]);
});

// Guards against counting the room of runs that are being stopped on a worker that is over its capacity.
test('a worker over its capacity takes nothing until enough has ended', async () => {
  const world = createUnguarded(1);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('low', [{ taskCount: 4 }], { rules: { ...urgent, priority: 2 } });
  await world.clock.advance(300);
  world.resizeWorker('w0', 2);
  await world.clock.advance(300);
  world.submit('high', [{ taskCount: 2 }], { rules: urgent });
  await world.clock.advance(settleMs);
  expect(countOverloads(world)).toEqual(0);
  expect(world.getState('high')).toEqual(JobState.Completed);
});
