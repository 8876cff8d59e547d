import { test } from 'node:test';
import { JobState, createPlanPolicy } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const taskMs = 8000;
const noticeMs = 2000;
/** Well below the longest lease, on which a task would have to wait otherwise. */
const nextStartMs = 3000;
const policy = createPlanPolicy({ observesRuns: true, shortNoticeMs: 4000 });

/** Lets a worker leave without a trace `noticeMs` after it said so. */
async function crashAfterNotice(world: World, workerId: string): Promise<number> {
  const saidAtMs = world.clock.getNowMs();
  world.drainWorker(workerId, noticeMs);
  await world.clock.advance(noticeMs);
  world.workers.get(workerId)?.crash();
  await world.clock.advance(4500);
  world.unlistWorker(workerId);
  return saidAtMs;
}

async function startJob(world: World, isGang: boolean): Promise<string> {
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 2, isGang, maxPerWorker: 1, estimatedMs: taskMs }]);
  await world.clock.advance(1000);
  return world.listStartedRuns()[0]?.worker ?? '';
}

function listNextStarts(world: World, workerId: string): number[] {
  return world
    .listStartedRuns()
    .filter(({ run, worker }) => run === 2 && worker !== workerId)
    .map(({ atMs }) => atMs);
}

// Guards against a job that waits for the lease of a worker that left at short notice: its run could not end
// in time, and nothing showed that it was gone.
test('a task on a worker that leaves at short notice starts elsewhere at once', async () => {
  const world = createWorld(3, taskMs, 1, policy);
  const worker = await startJob(world, false);
  const saidAtMs = await crashAfterNotice(world, worker);
  const [nextMs = Infinity, ...others] = listNextStarts(world, worker);
  expect([nextMs - saidAtMs <= nextStartMs, others.length]).toEqual([true, 0]);
  await world.clock.advance(2 * taskMs);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a gang whose other members run on for nothing and then wait for the lost one.
test('a gang with a member on such a worker starts again as a whole at once', async () => {
  const world = createWorld(3, taskMs, 1, policy);
  const worker = await startJob(world, true);
  const saidAtMs = await crashAfterNotice(world, worker);
  const starts = listNextStarts(world, worker);
  expect([starts.length, Math.max(...starts) - saidAtMs <= nextStartMs]).toEqual([2, true]);
  await world.clock.advance(2 * taskMs);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against work that is thrown away though it ends before its worker leaves.
test('a task that ends before its worker leaves is left to end', async () => {
  const world = createWorld(3, 2500, 1, policy);
  const worker = await startJob(world, false);
  await crashAfterNotice(world, worker);
  expect(listNextStarts(world, worker)).toEqual([]);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a change where the deployment has not asked for it: without the setting only work that saves
// moves away.
test('without the setting a task that does not save stays', async () => {
  const world = createWorld(3, taskMs);
  const worker = await startJob(world, false);
  const saidAtMs = await crashAfterNotice(world, worker);
  expect(listNextStarts(world, worker).filter((atMs) => atMs - saidAtMs <= nextStartMs)).toEqual(
    [],
  );
});

// Guards against the notice being lost with the owner that heard it: the next one decides anew.
test('a new owner decides about the runs on a worker that leaves', async () => {
  const world = createWorld(3, taskMs, 1, createPlanPolicy({ shortNoticeMs: 20_000 }));
  const worker = await startJob(world, false);
  const [first] = world.candidates;
  first?.process.kill();
  world.addCandidate('b');
  const saidAtMs = world.clock.getNowMs();
  world.drainWorker(worker, 9000);
  await world.clock.advance(7000);
  const starts = listNextStarts(world, worker);
  expect([starts.length, Math.max(...starts) - saidAtMs <= 7000]).toEqual([1, true]);
});
