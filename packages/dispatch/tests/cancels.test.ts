import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
/** The strictest deployments allow no start later than this after an acknowledged cancellation. */
const cancelMs = 3000;
/** Longest time that a stop may take. */
const stopMs = 900;

/** Runs of a job that began after a given time. */
function listStartedAfter(world: World, jobId: string, afterMs: number): string[] {
  return world
    .listStartedRuns()
    .filter(({ task, atMs }) => task.startsWith(`${jobId}.`) && atMs > afterMs)
    .map(({ task, atMs }) => `${task} at ${String(atMs)}`);
}

/** Tasks of a job that run on any worker now. */
function listRunning(world: World, jobId: string): string[] {
  return [...world.workers.values()].flatMap((worker) => {
    worker.updateRuns();
    return [...worker.active.keys()].filter((task) => task.startsWith(`${jobId}.`));
  });
}

async function cancelAndCheck(world: World, jobId: string): Promise<void> {
  const cancelledMs = world.clock.getNowMs();
  world.cancel(jobId);
  await world.clock.advance(cancelMs + stopMs);
  expect(listRunning(world, jobId)).toEqual([]);
  await world.clock.advance(20_000);
  expect(listStartedAfter(world, jobId, cancelledMs + cancelMs)).toEqual([]);
  expect(world.getState(jobId)).toEqual(JobState.Cancelled);
}

// Guards against an owner that reads a cancellation after a write conflict and then overwrites it.
test('a cancellation that conflicts with an owner write stops the job', async () => {
  const world = createWorld(1);
  world.addCandidate('a', 2500);
  await world.clock.advance(startUpMs);
  world.store.latencyMs = 100;
  world.submit('j1', [{ taskCount: 6 }]);
  await world.clock.advance(60);
  world.store.latencyMs = 0;
  await cancelAndCheck(world, 'j1');
});

// Guards against the first start of a job whose cancellation the replica does not show yet.
test('a cancelled queued job is not started from a stale replica', async () => {
  const world = createWorld(1, 6000);
  world.addCandidate('a', 60_000);
  await world.clock.advance(startUpMs);
  world.submit('j0', [{ taskCount: 4 }]);
  await world.clock.advance(500);
  world.submit('j1', [{ taskCount: 4 }]);
  await world.clock.advance(500);
  await cancelAndCheck(world, 'j1');
});

// Guards against the start of a later step, which does not write the state of the job.
test('the next step of a cancelled job is not started from a stale replica', async () => {
  const world = createWorld(1, 3500);
  world.addCandidate('a', 60_000);
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 4 }, { taskCount: 2, dependsOn: [0] }]);
  await world.clock.advance(300);
  await cancelAndCheck(world, 'j1');
});
