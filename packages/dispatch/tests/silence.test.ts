import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createWorld, findDuplicateRun } from './world.ts';
import type { World } from './world.ts';

/** Longer than the longest silence that a lease of 10 s outlives. */
const taskMs = 20_000;
const workerCount = 6;
const stepMs = 100;
/** Silences that no lease, renewed every second, can lapse in. */
const harmlessMs = [300, 1700, 4600, 8800];
/** Silences around the end of the lease, on a clock that may be 2 % slow, and far beyond. */
const lapsingMs = [9900, 10_100, 10_250, 10_400, 14_000];

async function advance(world: World, durationMs: number): Promise<void> {
  for (let leftMs = durationMs; leftMs > 0; leftMs -= stepMs) {
    await world.clock.advance(stepMs);
    const duplicate = findDuplicateRun(world);
    if (duplicate !== undefined) throw new Error(duplicate);
  }
}

/** Runs one job of tasks on all workers while `silent` of them do not answer for `silenceMs`. */
async function runSilence(
  silent: number,
  silenceMs: number,
  fail: (world: World) => () => void = () => () => undefined,
): Promise<World> {
  const world = createWorld(workerCount, taskMs);
  world.addCandidate('one');
  await advance(world, 1500);
  world.submit('a', [{ taskCount: workerCount * 2 }]);
  await advance(world, 2000);
  const workers = [...world.workers.values()].slice(0, silent);
  for (const worker of workers) worker.isUnreachable = true;
  const heal = fail(world);
  await advance(world, silenceMs);
  for (const worker of workers) worker.isUnreachable = false;
  heal();
  await advance(world, 2 * taskMs + 25_000);
  expect(world.getState('a')).toEqual(JobState.Completed);
  return world;
}

function countRestarts(world: World): number {
  return world.listStartedRuns().filter(({ run }) => run > 1).length;
}

// Guards against a worker that is silent for less than its lease and has its work started elsewhere,
// or given up.
test('a silence below the lease restarts nothing', async () => {
  for (const silenceMs of harmlessMs) {
    for (const silent of [1, workerCount]) {
      expect(countRestarts(await runSilence(silent, silenceMs))).toEqual(0);
    }
  }
});

// Guards against a second run while the first one may still be on a worker whose lease is about to end.
test('a silence around the end of the lease doubles nothing', async () => {
  for (const silenceMs of lapsingMs) {
    for (const silent of [1, workerCount]) await runSilence(silent, silenceMs);
  }
});

// Guards against workers that are taken for gone because their entries lapsed with a silence.
test('a silent worker whose entry has lapsed keeps its work', async () => {
  const dropEntry = (world: World) => {
    world.unlistWorker('w0');
    return () => {
      world.listWorker('w0');
    };
  };
  for (const silenceMs of harmlessMs) {
    expect(countRestarts(await runSilence(1, silenceMs, dropEntry))).toEqual(0);
  }
});

// Guards against silent workers being given up when the store is away as well and the owner, without a
// lease, may extend nothing.
test('a silence during an outage of the store restarts nothing', async () => {
  const failStore = (world: World) => {
    world.store.fault = TableFault.Down;
    return () => {
      world.store.fault = TableFault.None;
    };
  };
  for (const silenceMs of harmlessMs.filter((ms) => ms <= 4600)) {
    expect(countRestarts(await runSilence(2, silenceMs, failStore))).toEqual(0);
  }
});
