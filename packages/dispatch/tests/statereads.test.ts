import { test } from 'node:test';
import { expect } from 'earl';
import { FakeTable } from '../../ownership/tests/faketable.ts';
import { createWorld } from './world.ts';

const jobCount = 400;
/** Connections of an instance to the store; its feeds and its lease need some of them. */
const storeConnections = 16;

// Guards against a plan that reads the state of each of its jobs while the store is slow.
test('slowly stored starts of many jobs leave store connections free', async (context) => {
  const world = createWorld(jobCount / 4);
  world.addCandidate('a');
  const reads = context.mock.method(FakeTable.prototype, 'getRow');
  await world.clock.advance(1000);
  world.store.latencyMs = 300;
  for (let job = 0; job < jobCount; job += 1) world.submit(`j${job}`, [{ taskCount: 1 }]);
  await world.clock.advance(20_000);
  expect(world.listStartedRuns().length).toEqual(jobCount);
  expect(reads.mock.callCount() < storeConnections).toEqual(true);
});
