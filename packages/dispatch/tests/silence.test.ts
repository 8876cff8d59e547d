import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { World } from './world.ts';

/** Longer than the longest silence that a lease of 10 s survives. */
const taskMs = 20_000;
const workerCount = 6;
const stepMs = 100;
/** Silences too short for a lease that is renewed every second to expire. */
const shortSilencesMs = [300, 1700, 4600, 8800];
/** Silences around the end of the lease on a clock that may be 2 % slow, and a much longer one. */
const longSilencesMs = [9900, 10_100, 10_250, 10_400, 14_000];

async function advance(world: World, durationMs: number): Promise<void> {
  for (let leftMs = durationMs; leftMs > 0; leftMs -= stepMs) {
    await world.clock.advance(stepMs);
    const conflict = findConcurrentRuns(world);
    if (conflict !== undefined) throw new Error(conflict);
  }
}

/** Runs one job on all workers while `silent` of them do not answer for `silenceMs`. */
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
  const repair = fail(world);
  await advance(world, silenceMs);
  for (const worker of workers) worker.isUnreachable = false;
  repair();
  await advance(world, 2 * taskMs + 25_000);
  expect(world.getState('a')).toEqual(JobState.Completed);
  return world;
}

function countRestarts(world: World): number {
  return world.listStartedRuns().filter(({ run }) => run > 1).length;
}

// Guards against moving or dropping the runs of a worker that is silent for less than its lease.
test('a silence shorter than the lease restarts nothing', async () => {
  for (const silenceMs of shortSilencesMs) {
    for (const silent of [1, workerCount]) {
      expect(countRestarts(await runSilence(silent, silenceMs))).toEqual(0);
    }
  }
});

// Guards against a second run while the first may still run on a worker whose lease is about to
// end.
test('a silence around the end of the lease duplicates nothing', async () => {
  for (const silenceMs of longSilencesMs) {
    for (const silent of [1, workerCount]) await runSilence(silent, silenceMs);
  }
});

// Guards against treating silent workers as gone because their list entries expired meanwhile.
test('a silent worker whose entry has expired keeps its runs', async () => {
  const dropEntry = (world: World) => {
    world.unlistWorker('w0');
    return () => {
      world.listWorker('w0');
    };
  };
  for (const silenceMs of shortSilencesMs) {
    expect(countRestarts(await runSilence(1, silenceMs, dropEntry))).toEqual(0);
  }
});

// Guards against giving up silent workers while the store is down too, so that the owner has no
// lease and must not renew theirs.
test('a silence during an outage of the store restarts nothing', async () => {
  const failStore = (world: World) => {
    world.store.fault = TableFault.Down;
    return () => {
      world.store.fault = TableFault.None;
    };
  };
  for (const silenceMs of shortSilencesMs.filter((ms) => ms <= 4600)) {
    expect(countRestarts(await runSilence(2, silenceMs, failStore))).toEqual(0);
  }
});
