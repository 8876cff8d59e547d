import { test } from 'node:test';
import { getJsonBytes } from '@bergamotreach/hosting';
import type { RowValue } from '@bergamotreach/hosting';
import {
  JobState,
  TaskPhase,
  createGroup,
  decodeGroup,
  encodeGroup,
} from '@bergamotreach/scheduling';
import type { TaskGroup } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import * as fc from 'fast-check';
import { createJob, createStep } from '../../scheduling/tests/samples.ts';
import { createProgressRows, encodeProgress } from '../src/progressrows.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

/** What is left of 65,536 bytes of base64 for a value. */
const rowBytes = 48_752;
const commitBytes = 900_000;
const slots = 400;
const wideTasks = 4000;
const startUpMs = 1000;
const demand = { cpuMillis: 10, memoryMb: 1, accelerators: 1 };
const workerCount = 8;

/** World whose store has the limits of the platform's, and workers with room for a wide job. */
async function createWideWorld(taskMs: number): Promise<World> {
  const world = createWorld(workerCount, taskMs);
  world.store.limits = { rowBytes, commitBytes };
  for (const id of world.workers.keys()) world.resizeWorker(id, slots);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  return world;
}

function countRuns(world: World): { tasks: number; runs: number } {
  const started = world.listStartedRuns();
  return { tasks: new Set(started.map(({ task }) => task)).size, runs: started.length };
}

// Guards against a step whose progress does not fit into a row: the store refused it, and nothing of any job
// was stored or started any more (review/7).
test('a job wider than a row runs and holds up no other job', async () => {
  const world = await createWideWorld(500);
  world.submit('wide', [{ taskCount: wideTasks, demand }]);
  await world.clock.advance(100);
  world.submit('small', [{ taskCount: 4, demand }]);
  await world.clock.advance(3000);
  expect([world.getState('small'), world.getState('wide')]).toEqual([
    JobState.Completed,
    JobState.Completed,
  ]);
  expect(countRuns(world).runs).toEqual(wideTasks + 4);
  expect(world.store.rejections).toEqual(0);
});

// Guards against tasks of a wide step that run again, or are lost, since the rows of the step were stored in part.
test('a new owner goes on with a wide job', async () => {
  for (const killMs of [20, 150, 400]) {
    const world = await createWideWorld(1000);
    world.store.getPartition = () => 'p';
    world.store.partitionCommitMs = 5;
    world.submit('wide', [{ taskCount: wideTasks, demand }]);
    await world.clock.advance(killMs);
    world.candidates[0]?.process.kill();
    world.addCandidate('b');
    await world.clock.advance(20_000);
    expect(world.getState('wide')).toEqual(JobState.Completed);
    expect(countRuns(world)).toEqual({ tasks: wideTasks, runs: wideTasks });
  }
});

// Guards against a gang of which some members start because only their rows were stored when its owner was killed.
test('a wide gang starts as a whole', async () => {
  for (const killMs of [20, 40, 80]) {
    const world = await createWideWorld(1000);
    world.store.getPartition = () => 'p';
    world.store.partitionCommitMs = 20;
    const members = 1000;
    world.submit('gang', [{ taskCount: members, isGang: true, demand }]);
    await world.clock.advance(killMs);
    world.candidates[0]?.process.kill();
    world.addCandidate('b');
    await world.clock.advance(30_000);
    expect(world.getState('gang')).toEqual(JobState.Completed);
    expect(countRuns(world).tasks).toEqual(members);
    const byRun = new Map<number, number>();
    for (const { run } of world.listStartedRuns()) byRun.set(run, (byRun.get(run) ?? 0) + 1);
    expect([...byRun.values()]).toEqual([members]);
  }
});

// Guards against thousands of orders at once: they timed out in the queue of the process, renewals of leases waited
// behind them, and workers counted as silent.
test('the tasks of a wide job start a bounded number at a time', async () => {
  const world = await createWideWorld(5000);
  world.submit('wide', [{ taskCount: 1000, demand }]);
  await world.clock.advance(3000);
  expect(countRuns(world).runs).toEqual(1000);
  expect((world.candidates[0]?.runner.mostOpenStarts ?? Infinity) <= 128).toEqual(true);
});

/** Group of a wide step, some tasks of which have run. */
function createProgressed(taskCount: number): TaskGroup {
  const group = createGroup(createJob('old', 1, [createStep({ taskCount, demand })]), 0, 0);
  for (const task of group.tasks.slice(0, 100)) {
    Object.assign(task, { phase: TaskPhase.Done, run: 1, workerId: 'w0' });
  }
  return group;
}

// Guards against tasks that run again after a step was written as one row by an earlier version.
test('a wide step that an earlier version stored in one row goes on', async () => {
  const world = createWorld(workerCount, 500);
  world.store.limits = { rowBytes, commitBytes };
  for (const id of world.workers.keys()) world.resizeWorker(id, slots);
  world.submit('old', [{ taskCount: 600, demand }]);
  const value = encodeGroup(createProgressed(600)) as unknown as RowValue;
  world.store.apply(
    { operationId: 'old', conditions: [], writes: [{ key: 'progress/old.0.0', value }] },
    't',
    0,
  );
  world.addCandidate('a');
  await world.clock.advance(startUpMs + 200);
  world.candidates[0]?.process.kill();
  world.addCandidate('b');
  await world.clock.advance(10_000);
  expect(world.getState('old')).toEqual(JobState.Completed);
  expect(countRuns(world)).toEqual({ tasks: 500, runs: 500 });
});

// Guards against one refused row that holds up the rows of all other jobs for ever.
test('a job whose row the store refuses is held alone', async () => {
  const world = await createWideWorld(500);
  world.store.isRejected = (key) => key.startsWith('progress/bad.');
  world.submit('bad', [{ taskCount: 3, demand }]);
  for (let index = 0; index < 20; index += 1) world.submit(`good${index}`, [{ demand }]);
  await world.clock.advance(3000);
  const states = Array.from({ length: 20 }, (_, index) => world.getState(`good${index}`));
  expect(new Set(states)).toEqual(new Set([JobState.Completed]));
  expect(world.candidates[0]?.getOwner()?.getDump().heldJobs).toEqual(['bad']);
  expect(world.listStartedRuns().filter(({ task }) => task.startsWith('bad.'))).toEqual([]);
  const { rejections } = world.store;
  await world.clock.advance(5000);
  expect(world.store.rejections).toEqual(rejections);
  world.cancel('bad');
  await world.clock.advance(1000);
  expect(world.candidates[0]?.getOwner()?.getDump().heldJobs).toEqual([]);
});

// Guards against rows beyond the bound for any accepted width, worker id and checkpoint, and against progress
// that is not the same after a takeover.
test('every row of progress fits, and is read back', () => {
  const taskArbitrary = fc.record({
    phase: fc.constantFrom(TaskPhase.Waiting, TaskPhase.Starting, TaskPhase.Done),
    run: fc.integer({ min: 1, max: 1_000_000 }),
    workerId: fc.string({ maxLength: 200 }),
    failures: fc.nat(100),
    checkpointChars: fc.nat(16_384),
  });
  const property = fc.property(
    fc.integer({ min: 1, max: 4096 }),
    fc.array(taskArbitrary, { minLength: 1, maxLength: 8 }),
    fc.boolean(),
    (taskCount, patterns, isGang) => {
      const job = createJob('j', 1, [createStep({ taskCount, isGang })]);
      const group = createGroup(job, 0, 0);
      const gangPhase = patterns[0]?.phase ?? TaskPhase.Waiting;
      for (const task of group.tasks) {
        const { checkpointChars = 0, ...pattern } = patterns[task.index % patterns.length] ?? {};
        const checkpoint = 'c'.repeat(isGang ? 16 : checkpointChars);
        Object.assign(task, pattern, { checkpoint }, isGang ? { phase: gangPhase } : {});
      }
      const rows = createProgressRows();
      for (const { key, value } of encodeProgress(group, group.tasks, rowBytes).rows) {
        expect(getJsonBytes(value) <= rowBytes).toEqual(true);
        rows.addGroup(key, value);
      }
      const stored = rows.take('j').findGroup('j.0.0');
      if (stored === undefined) throw new Error('the group is not stored');
      const restored = decodeGroup(job, 0, 0, stored.record);
      const listTasks = ({ tasks }: TaskGroup): unknown[] =>
        tasks.map(({ phase, run, workerId, failures }) => [phase, run, workerId, failures]);
      expect(listTasks(restored)).toEqual(listTasks(group));
      if (isGang) expect(restored.tasks[0]?.checkpoint).toEqual(group.tasks[0]?.checkpoint ?? '');
    },
  );
  fc.assert(property, { numRuns: 60, seed: 53 });
});
