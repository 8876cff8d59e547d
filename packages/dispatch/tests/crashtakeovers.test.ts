import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { ComeBack, createWorld } from './world.ts';

const startUpMs = 1000;
const settleMs = 60_000;
const taskMs = 4000;
/** The rule on crashes: the sixth start of such a task comes after three crashes and three more starts. */
const maxStarts = 5;

// Guards against crashes that no owner counts, because the worker restarted under its id while nobody
// owned the jobs.
test('tasks that crash their workers together are given up across takeovers', async () => {
  const world = createWorld(16, taskMs);
  let owner = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = ['bad0', 'bad1', 'bad2'];
  for (const [index, id] of ids.entries()) {
    world.crashOnStart(`${id}.0.0.0`, 3000, ComeBack.SameId);
    const demand = { cpuMillis: 1000, memoryMb: 1000, accelerators: 4 };
    world.submit(id, [{ taskCount: 1, demand }], { queue: `queue${index}` });
  }
  const others = Array.from({ length: 4 }, (_, index) => `good${index}`);
  for (const id of others) world.submit(id, [{ taskCount: 2 }]);
  for (let takeover = 0; takeover < 6; takeover += 1) {
    await world.clock.advance(7000);
    owner.process.kill();
    owner = world.addCandidate(`b${takeover}`);
    await world.clock.advance(startUpMs);
  }
  await world.clock.advance(2 * settleMs);
  expect(ids.map((id) => world.getState(id))).toEqual(ids.map(() => JobState.Failed));
  expect(others.map((id) => world.getState(id))).toEqual(others.map(() => JobState.Completed));
  for (const id of ids) {
    const starts = world.listStartedRuns().filter(({ task }) => task.startsWith(id));
    expect(starts.length <= maxStarts).toEqual(true);
  }
});
