import { test } from 'node:test';
import { getJsonBytes } from '@bergamotreach/hosting';
import { FaultCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createStep } from '../../scheduling/tests/samples.ts';
import { checkJobRow } from '../src/index.ts';
import { computeJobBytes } from '../src/heldwork.ts';
import { addService, admission, queue } from './services.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const rowBytes = 48_752;
const startUpMs = 1000;
const deadlineMs = 3000;
const id = 'a'.repeat(16);

/** Runs a call while time passes. */
async function waitFor<T>(world: World, call: Promise<T>): Promise<T> {
  await world.clock.advance(deadlineMs);
  return call;
}

// Guards against a job of many steps that is refused, or retried for ever, since its row is too large as it is.
test('a job of many steps is stored compressed', async () => {
  const world = createWorld(1);
  world.store.limits = { rowBytes, commitBytes: 900_000 };
  const { jobs } = addService(world, 'a');
  await world.clock.advance(startUpMs);
  const steps = Array.from({ length: 600 }, (_, step) =>
    createStep({ dependsOn: step === 0 ? [] : [step - 1] }),
  );
  const submitted = await waitFor(
    world,
    jobs.submit(admission, { id, payload: 'x', steps }, deadlineMs),
  );
  expect(submitted.isOk()).toEqual(true);
  const stored = world.store.rows.get(`job/${id}`)?.value;
  expect(getJsonBytes(stored) <= rowBytes).toEqual(true);
  expect(checkJobRow(stored).unwrap().submission.steps).toEqual(steps);
});

// Guards against a job that the store can never hold and that callers repeat for ever, since it is refused as
// an outage.
test('a job that the store cannot hold is refused at once as too large', async () => {
  const world = createWorld(1);
  world.store.limits = { rowBytes: 2000, commitBytes: 900_000 };
  const { jobs } = addService(world, 'a');
  await world.clock.advance(startUpMs);
  const payload = Array.from({ length: 3000 }, (_, index) =>
    String.fromCharCode(33 + ((index * index * 7919) % 90)),
  ).join('');
  const steps = Array.from({ length: 200 }, (_, step) =>
    createStep({ estimatedMs: (step * 7919) % 10_007, image: `i${(step * 104_729) % 99_991}` }),
  );
  const refused = await waitFor(world, jobs.submit(admission, { id, payload, steps }, deadlineMs));
  expect(refused.isErr() ? refused.error.code : 'accepted').toEqual(FaultCode.TooLarge);
});

// Guards against scheduled jobs that are refused for memory they never take: the budget counted over a hundred
// occurrences of each, though an owner opens 16 at most while they wait.
test('four hundred hourly jobs of a year fit into the memory of a small instance', () => {
  const hourMs = 3_600_000;
  const bytes = computeJobBytes({
    ...{ id, account: 'a1', queue: 'q1', pool: 'p1', rules: queue.rules, payload: 'x' },
    steps: [createStep({ taskCount: 10 })],
    recurrence: { count: 8760, firstAtMs: hourMs, intervalMs: hourMs },
  });
  const quarterOfMemory = (350 * 1024 * 1024) / 4;
  expect(400 * bytes <= quarterOfMemory).toEqual(true);
});

// Guards against accepted jobs that together exceed the memory of an owner, and against refusing a repeat.
test('jobs beyond the memory are refused with a time, and repeats are not', async () => {
  const world = createWorld(1);
  world.addCandidate('o');
  const { jobs } = addService(world, 'a', 300, 3_000_000);
  await world.clock.advance(startUpMs);
  const steps = [createStep({ taskCount: 3000 })];
  const submit = (last: string) =>
    waitFor(world, jobs.submit(admission, { id: `${id}${last}`, payload: 'x', steps }, deadlineMs));
  const first = await submit('1');
  const second = await submit('2');
  const third = await submit('3');
  expect([first.isOk(), second.isOk(), third.isOk()]).toEqual([true, true, false]);
  const fault = third.isErr() ? third.error : undefined;
  expect([fault?.code, (fault?.retryAfterMs ?? 0) > 0]).toEqual([FaultCode.QuotaExceeded, true]);
  expect((await submit('2')).isOk()).toEqual(true);
});

// Guards against jobs that are each within the memory that is left, and exceed it together as they are stored at
// the same time, and against refusing a repeat whose first attempt may still be stored.
test('jobs that are submitted at once count before they are stored', async () => {
  const world = createWorld(1);
  const { jobs } = addService(world, 'a', 300, 3_000_000);
  await world.clock.advance(startUpMs);
  const steps = [createStep({ taskCount: 3000 })];
  const submitted = await waitFor(
    world,
    Promise.all(
      ['1', '2', '3', '2'].map((last) =>
        jobs.submit(admission, { id: `${id}${last}`, payload: 'x', steps }, deadlineMs),
      ),
    ),
  );
  expect(submitted.map((result) => result.isOk())).toEqual([true, true, false, true]);
});
