import { test } from 'node:test';
import { JobState, createGroup, decodeCrashes, encodeCrashes } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { checkCrashRow } from '../src/jobrows.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';
import { createJob, createStep } from '../../scheduling/tests/samples.ts';

const startUpMs = 1000;
const taskMs = 8000;
/** Time for a takeover, a whole lease at 98 % of its rate, and the margin beyond it. */
const leaseWaitMs = 14_500;
/** Several takeovers in turn end within this time. */
const maxTakeoversMs = 60_000;
/** A job with room for it may wait this long. */
const maxWaitMs = 3000;

function listBusyWorkers(world: World): string[] {
  return [...world.workers.values()].filter(({ active }) => active.size > 0).map(({ id }) => id);
}

/** Lets draining workers leave right after their owner was killed; another process takes over. */
async function replaceOwnerWhileLeaving(world: World, ids: readonly string[]): Promise<void> {
  world.candidates[0]?.process.kill();
  for (const id of ids) {
    world.workers.get(id)?.crash();
    world.unlistWorker(id);
  }
  world.addCandidate('b');
  await world.clock.advance(leaseWaitMs);
}

function countRunning(world: World): number {
  return [...world.workers.values()].reduce((sum, { active }) => sum + active.size, 0);
}

// Guards against taking the tasks of workers that left while nobody owned the jobs for tasks that crash
// their workers: they waited for workers of their own on an idle fleet.
test('tasks of workers that left without an owner start again together', async () => {
  const world = createWorld(14, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = Array.from({ length: 8 }, (_, index) => `j${index}`);
  for (const id of ids) world.submit(id, [{ taskCount: 1 }]);
  await world.clock.advance(1000);
  const busy = listBusyWorkers(world);
  for (const id of busy) world.drainWorker(id);
  await world.clock.advance(2000);
  await replaceOwnerWhileLeaving(world, busy);
  await world.clock.advance(maxWaitMs);
  expect(countRunning(world)).toEqual(ids.length);
  await world.clock.advance(2 * taskMs);
  expect(ids.map((id) => world.getState(id))).toEqual(ids.map(() => JobState.Completed));
});

// Guards against a gang that waits for workers of its own because one of its workers left unowned.
test('a gang with members on a worker that left without an owner starts again at once', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('filler', [{ taskCount: 7 }]);
  world.submit('gang', [{ taskCount: 10, isGang: true }]);
  await world.clock.advance(1000);
  const [first = ''] = listBusyWorkers(world);
  world.drainWorker(first);
  await world.clock.advance(1000);
  await replaceOwnerWhileLeaving(world, [first]);
  await world.clock.advance(maxWaitMs + 3 * taskMs);
  expect(['filler', 'gang'].map((id) => world.getState(id))).toEqual([
    JobState.Completed,
    JobState.Completed,
  ]);
});

// Guards against sound neighbours of a crash that wait in turn for a few workers on an idle fleet.
test('the neighbours of crashed workers start again at once while the fleet is idle', async () => {
  const world = createWorld(14, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = Array.from({ length: 8 }, (_, index) => `j${index}`);
  for (const id of ids) world.submit(id, [{ taskCount: 1 }]);
  await world.clock.advance(4000);
  for (const id of listBusyWorkers(world)) {
    world.crashWorker(id, 1000);
    await world.clock.advance(1500);
  }
  await world.clock.advance(maxWaitMs);
  expect(countRunning(world)).toEqual(ids.length);
  await world.clock.advance(2 * taskMs);
  expect(ids.map((id) => world.getState(id))).toEqual(ids.map(() => JobState.Completed));
});

// Guards against a crash row that one version writes and the version before or after it cannot read.
test('crash rows with and without the mark of an exposure are readable', () => {
  const group = createGroup(createJob('j', 1, [createStep()]), 0, 0);
  const counts = [0, 4, 0, 0, 0, 5, ''];
  for (const [record, isExposed] of [
    [counts, false],
    [[...counts, 1], true],
    [[0, 4, 2, 1, -3, 5, 'm', 1], false],
    [[...counts, 'later', {}], false],
  ] as const) {
    decodeCrashes(group, checkCrashRow({ records: [record] }).unwrap());
    expect(group.tasks[0]?.crashRecord?.isExposed).toEqual(isExposed);
  }
  // The version before reads the first seven fields and ignores the others.
  const [stored] = encodeCrashes(group).records;
  expect(stored?.slice(0, 7)).toEqual(counts);
});

/** Runs four tasks that end while nobody owns the jobs, on a worker that lists one end at a time. */
async function endUnowned(tellsMoreEnds: boolean, owners = 1): Promise<World> {
  const world = createWorld(1, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const [worker] = world.workers.values();
  if (worker === undefined) throw new Error('one worker expected');
  Object.assign(worker, { maxListedEnds: 1, tellsMoreEnds });
  world.submit('j', [{ taskCount: 4 }]);
  await world.clock.advance(taskMs - 500);
  expect(worker.active.size).toEqual(4);
  world.candidates[0]?.process.kill();
  for (let count = 1; count <= owners; count += 1) {
    const { process } = world.addCandidate(`b${count}`);
    if (count === owners) break;
    while (worker.ackedSequence < count && world.clock.getNowMs() < maxTakeoversMs) {
      await world.clock.advance(1);
    }
    expect(worker.ackedSequence).toEqual(count);
    process.kill();
  }
  await world.clock.advance(leaseWaitMs);
  return world;
}

function listRuns(world: World): number[] {
  return world.listStartedRuns().map(({ run }) => run);
}

// Guards against tasks that run a second time though they ended as done while nobody owned them: a worker
// lists only so many ends at a time.
test('runs that ended beyond what a worker lists at once do not run again', async () => {
  const world = await endUnowned(true);
  expect(listRuns(world)).toEqual([1, 1, 1, 1]);
  expect(world.getState('j')).toEqual(JobState.Completed);
});

// Guards against the same where the list is cut by its size, so that its length does not tell.
test('runs that ended beyond a list that is cut by its size do not run again', async () => {
  const world = await endUnowned(false);
  expect(listRuns(world)).toEqual([1, 1, 1, 1]);
  expect(world.getState('j')).toEqual(JobState.Completed);
});

// Guards against the same after an owner that was killed between the acknowledgement of one page of ends
// and the next page.
test('runs that ended beyond a page that an earlier owner acknowledged do not run again', async () => {
  const world = await endUnowned(false, 3);
  expect(listRuns(world)).toEqual([1, 1, 1, 1]);
  expect(world.getState('j')).toEqual(JobState.Completed);
});
