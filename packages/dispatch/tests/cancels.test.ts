import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
/** Bound on starts after an acknowledged cancel: that of the users' small deployments, the strictest. */
const cancelMs = 3000;
/** Bound on the time that a stop may take. */
const stopMs = 900;

/** Runs of a job that began later than a time. */
function listStartedAfter(world: World, jobId: string, afterMs: number): string[] {
  return world
    .listStartedRuns()
    .filter(({ task, atMs }) => task.startsWith(`${jobId}.`) && atMs > afterMs)
    .map(({ task, atMs }) => `${task} at ${String(atMs)}`);
}

/** Tasks of a job that are on any worker now. */
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

// Guards against a cancel that the owner meets in the store, forgets and then overwrites.
test('cancel that overrules a write stops the job', async () => {
  const world = createWorld(1);
  world.addCandidate('a', 2500);
  await world.clock.advance(startUpMs);
  world.store.latencyMs = 100;
  world.submit('j1', [{ taskCount: 6 }]);
  await world.clock.advance(60);
  world.store.latencyMs = 0;
  await cancelAndCheck(world, 'j1');
});

// Guards against the first start of a job whose cancel the copy of the states does not show yet.
test('waiting job that was cancelled is not started from an old copy', async () => {
  const world = createWorld(1, 6000);
  world.addCandidate('a', 60_000);
  await world.clock.advance(startUpMs);
  world.submit('j0', [{ taskCount: 4 }]);
  await world.clock.advance(500);
  world.submit('j1', [{ taskCount: 4 }]);
  await world.clock.advance(500);
  await cancelAndCheck(world, 'j1');
});

// Guards against the start of a later step, which writes no state of the job.
test('next step of a cancelled job is not started from an old copy', async () => {
  const world = createWorld(1, 3500);
  world.addCandidate('a', 60_000);
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 4 }, { taskCount: 2, dependsOn: [0] }]);
  await world.clock.advance(300);
  await cancelAndCheck(world, 'j1');
});
