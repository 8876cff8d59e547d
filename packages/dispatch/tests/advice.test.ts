import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { workerSlots } from './fakeworkers.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const validityMs = 3000;
const quick = { decisionMs: 100, perWorkerMs: 5, validityMs };
const slow = { decisionMs: 1600, perWorkerMs: 10, validityMs };
/** Demand that takes a whole worker. */
const whole = { cpuMillis: 1000, memoryMb: 100, accelerators: workerSlots };

/** Creates a world with an owner, whose workers all are admitted and refuse starts without a ticket. */
async function createAdvisedWorld(workerCount: number): Promise<World> {
  const world = createWorld(workerCount);
  world.advisor.admitted = new Set(world.workers.keys());
  world.advisor.validityMs = validityMs;
  world.queues.set('quick', quick).set('slow', slow);
  world.guardedQueues.add('quick').add('slow');
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  return world;
}

/** Workers that the first call for a step names. */
function countNamed(world: World, step: string): number {
  return world.advisor.calls.find((call) => call.step === step)?.workers.length ?? 0;
}

// Guards against calls that name fewer workers each time, since the time of the decision was divided by the workers:
// a gang that needs many tickets at once then never starts.
test('calls to an advisor with long decisions keep their width', async () => {
  const world = await createAdvisedWorld(33);
  for (let index = 0; index < 5; index += 1) {
    world.submit(`j${index}`, [{ taskCount: 4 }], { queue: 'slow' });
    await world.clock.advance(4000);
  }
  world.submit('gang', [{ taskCount: 20, isGang: true, demand: whole }], { queue: 'slow' });
  await world.clock.advance(12_000);
  expect(world.getState('gang')).toEqual(JobState.Completed);
});

// Guards against one queue's slow advisor that narrows the calls for all other queues.
test('a slow advisor of one queue does not narrow the calls for another', async () => {
  const world = await createAdvisedWorld(33);
  for (let index = 0; index < 5; index += 1) {
    world.submit(`j${index}`, [{ taskCount: 4 }], { queue: 'slow' });
    await world.clock.advance(4000);
  }
  world.submit('gang', [{ taskCount: 20, isGang: true, demand: whole }], { queue: 'quick' });
  await world.clock.advance(3000);
  expect(world.getState('gang')).toEqual(JobState.Completed);
  expect(countNamed(world, 'gang.0.0')).toBeGreaterThanOrEqual(20);
});

// Guards against one call that was slow for another reason, after which all later calls named one worker.
test('one late answer does not narrow later calls', async () => {
  const world = await createAdvisedWorld(33);
  world.advisor.delayNextMs = 2700;
  world.submit('j1', [{ taskCount: 4 }], { queue: 'quick' });
  await world.clock.advance(4000);
  world.submit('gang', [{ taskCount: 20, isGang: true, demand: whole }], { queue: 'quick' });
  await world.clock.advance(2500);
  expect(world.getState('gang')).toEqual(JobState.Completed);
  expect(countNamed(world, 'gang.0.0')).toBeGreaterThanOrEqual(20);
});
