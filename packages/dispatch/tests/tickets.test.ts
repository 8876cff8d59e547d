import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;

function listWorkers(world: World): string[] {
  return [...new Set(world.listStartedRuns().map(({ worker }) => worker))].sort();
}

// Guards against a start on a worker that the queue's policy does not admit, and against one
// without a ticket.
test('a job of a queue with a policy runs on admitted workers only', async () => {
  const world = createWorld(6);
  world.advisor.admitted = new Set(['w2', 'w4']);
  const { runner } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 6 }, { dependsOn: [0] }]);
  await world.clock.advance(6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(listWorkers(world)).toEqual(['w2', 'w4']);
  expect(runner.starts.map(({ ticket }) => ticket?.split(' on ')[0]).slice(0, 6)).toEqual(
    Array.from({ length: 6 }, () => 'j1.0.0'),
  );
});

// Guards against a step that waits forever because one call to the advisor got no answer.
test('tickets are requested again after an unanswered call', async () => {
  const world = createWorld(2);
  world.advisor.admitted = new Set(['w1']);
  world.advisor.lostCalls = 2;
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{}]);
  await world.clock.advance(8000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against requests for workers that the policy has refused before, which does not change.
test('no tickets are requested again for refused workers', async () => {
  const world = createWorld(2);
  world.advisor.admitted = new Set();
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{}]);
  await world.clock.advance(5000);
  expect(world.advisor.calls.map(({ workers }) => workers.length)).toEqual([2]);
  expect(world.listStartedRuns()).toEqual([]);
});

// Guards against expired tickets, with which starts would be refused.
test('expired tickets are renewed before a start', async () => {
  const world = createWorld(1);
  world.advisor.admitted = new Set(['w0']);
  const { runner } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  // Four run at a time, a second each, so that the last ones start after the first ticket has
  // expired.
  world.submit('j1', [{ taskCount: 16 }]);
  await world.clock.advance(9000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.advisor.calls.length >= 2).toEqual(true);
  expect(runner.starts.every(({ ticket }) => ticket !== undefined)).toEqual(true);
});

// Guards against tickets that are never used since the call for them took a part of their validity: the job would
// never start (review/10).
test('tickets of short validity from a slow advisor are used', async () => {
  const world = createWorld(2);
  Object.assign(world.advisor, { admitted: new Set(['w1']), validityMs: 3000, answerMs: 700 });
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(10_000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against calls for so many workers that all tickets have expired when the answer arrives.
test('a call names no more workers than the validity of its tickets allows', async () => {
  const world = createWorld(40);
  Object.assign(world.advisor, {
    ...{ admitted: new Set(['w0']), validityMs: 2000 },
    ...{ answerMs: 100, perWorkerMs: 100 },
  });
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(25_000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});
