import { test } from 'node:test';
import type { RowValue } from '@bergamotreach/hosting';
import { JobState, TaskPhase, createGroup, encodeGroup } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createJob, createStep } from '../../scheduling/tests/samples.ts';
import { checkWork } from '../src/jobrequest.ts';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const hourMs = 3_600_000;
const hoursPerYear = 8760;
const workerCount = 4;
const taskMs = 100;
/** As many overdue occurrences wait for a place at most. */
const maxWaitingOccurrences = 16;

async function createStartedWorld(): Promise<World> {
  const world = createWorld(workerCount, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  return world;
}

function getWaitingTasks(world: World): number {
  return world.candidates.at(-1)?.getOwner()?.getDump().waitingTasks ?? 0;
}

function listOccurrences(world: World, job: string): number[] {
  return world
    .listStartedRuns()
    .filter(({ task }) => task.startsWith(`${job}.`))
    .map(({ task }) => Number(task.split('.')[1]));
}

function countProgressRows(world: World): number {
  return world.store.listKeys('progress/').length;
}

// Guards against an owner that holds every task of every occurrence that was promised: 22 jobs of a year took
// each owner over its memory (review/8).
test('an owner holds no tasks of occurrences that are not due', async () => {
  const world = await createStartedWorld();
  const recurrence = { count: hoursPerYear, firstAtMs: hourMs, intervalMs: hourMs };
  for (let index = 0; index < 3; index += 1) {
    world.submit(`hourly${index}`, [{ taskCount: 10 }], { recurrence });
  }
  world.submit('ordinary', [{}]);
  await world.clock.advance(1000);
  expect(world.getState('ordinary')).toEqual(JobState.Completed);
  expect(getWaitingTasks(world)).toEqual(0);
});

// Guards against ordinary work that is refused for its long schedule, since all its occurrences were counted.
test('a wide job each hour for a year is accepted', () => {
  const steps = [createStep({ taskCount: 3000 })];
  const recurrence = { count: hoursPerYear, firstAtMs: 0, intervalMs: hourMs };
  const work = { payload: '', steps, recurrence };
  expect(checkWork(work).isOk()).toEqual(true);
});

// Guards against many overdue occurrences that fill the memory at once, run out of order, or delay other jobs.
test('overdue occurrences run in order, a bounded number at a time', async () => {
  const world = await createStartedWorld();
  const count = 300;
  world.submit('late', [{ taskCount: 2 }], { recurrence: { count, firstAtMs: 1, intervalMs: 1 } });
  let mostWaiting = 0;
  for (let step = 0; step < 50; step += 1) {
    await world.clock.advance(20);
    mostWaiting = Math.max(mostWaiting, getWaitingTasks(world));
  }
  expect(mostWaiting <= 2 * maxWaitingOccurrences).toEqual(true);
  await world.clock.advance(60_000);
  expect(world.getState('late')).toEqual(JobState.Completed);
  const occurrences = listOccurrences(world, 'late');
  expect(occurrences.length).toEqual(2 * count);
  expect(occurrences).toEqual([...occurrences].sort((a, b) => a - b));
});

// Guards against occurrences that run again, or never, after a takeover, and against rows of done occurrences that
// every takeover reads.
test('a new owner goes on with a long schedule', async () => {
  const world = await createStartedWorld();
  const count = 100;
  const recurrence = { count, firstAtMs: startUpMs, intervalMs: 200 };
  world.submit('long', [{ taskCount: 2 }, { dependsOn: [0] }], { recurrence });
  for (const id of ['b', 'c']) {
    await world.clock.advance(7040);
    world.candidates.at(-1)?.process.kill();
    world.addCandidate(id);
    expect(countProgressRows(world) < 20).toEqual(true);
  }
  await world.clock.advance(40_000);
  expect(findConcurrentRuns(world)).toEqual(undefined);
  expect(world.getState('long')).toEqual(JobState.Completed);
  const started = world.listStartedRuns().map(({ task }) => task);
  expect([started.length, new Set(started).size]).toEqual([3 * count, 3 * count]);
});

// Guards against occurrences that an earlier version has run and stored without a head.
test('occurrences that an earlier version stored as done do not run again', async () => {
  const world = createWorld(workerCount, taskMs);
  const recurrence = { count: 80, firstAtMs: 1, intervalMs: 1 };
  const job = { ...createJob('old', 1, [createStep()]), recurrence };
  world.submit('old', [{}], { recurrence });
  for (let occurrence = 0; occurrence < 10; occurrence += 1) {
    const group = createGroup(job, occurrence, 0);
    for (const task of group.tasks) Object.assign(task, { phase: TaskPhase.Done, run: 1 });
    const value = encodeGroup(group) as unknown as RowValue;
    const writes = [{ key: `progress/old.${occurrence}.0`, value }];
    world.store.apply({ operationId: `o${occurrence}`, conditions: [], writes }, 't', 0);
  }
  world.addCandidate('a');
  await world.clock.advance(20_000);
  expect(world.getState('old')).toEqual(JobState.Completed);
  const occurrences = listOccurrences(world, 'old');
  expect([occurrences.length, Math.min(...occurrences)]).toEqual([70, 10]);
});

// Guards against a schedule that stops since earlier occurrences last: they may overlap.
test('occurrences overlap while earlier ones run', async () => {
  const world = createWorld(workerCount, 4000);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const recurrence = { count: 70, firstAtMs: startUpMs, intervalMs: 500 };
  world.submit('overlapping', [{}], { recurrence });
  await world.clock.advance(3000);
  expect(listOccurrences(world, 'overlapping').length >= 5).toEqual(true);
  await world.clock.advance(60_000);
  expect(world.getState('overlapping')).toEqual(JobState.Completed);
});

// Guards against a complete job whose next owner waits for occurrences that were not opened.
test('a job is not complete before its last occurrence', async () => {
  const world = await createStartedWorld();
  const recurrence = { count: 2, firstAtMs: startUpMs, intervalMs: 5000 };
  world.submit('twice', [{}], { recurrence });
  await world.clock.advance(3000);
  expect(world.getState('twice')).toEqual(JobState.Running);
  world.candidates[0]?.process.kill();
  world.addCandidate('b');
  await world.clock.advance(10_000);
  expect(world.getState('twice')).toEqual(JobState.Completed);
  expect(listOccurrences(world, 'twice')).toEqual([0, 1]);
});
