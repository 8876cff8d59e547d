import { test } from 'node:test';
import { JobState } from '@bergamotreach/ownership';
import { expect } from 'earl';
import { createInvariants } from './invariants.ts';
import { createWorld } from './world.ts';

/** Calls at which the owner crashes: `n` before the effect of call n, `n + 0.5` after it. */
const crashSteps = Array.from({ length: 24 }, (_, n) => n / 2 + 1);

async function startWorld() {
  const world = createWorld({ workers: 3, accelerators: 2 });
  const invariants = createInvariants(world);
  const first = world.startDaemon('d1');
  await world.clock.advance(200);
  world.startDaemon('d2');
  await world.clock.advance(200);
  return { world, invariants, first };
}

// Guards against a job that is lost, runs twice at once or is partly started after a crash during a
// gang start: reading the row, writing `starting`, three holds, writing `running`, three releases.
test('a job ends once after a crash of its owner at any step of the start', async () => {
  const attempts = new Set<number>();
  for (const step of crashSteps) {
    const { world, invariants, first } = await startWorld();
    first.process.crashAtCall = first.process.callCount + step;
    await world.submit('j1', 5, 3_000);
    for (let n = 0; n < 120; n += 1) {
      await world.clock.advance(500);
      invariants.checkNow();
    }
    expect(invariants.violations).toEqual([]);
    expect(first.process.isAlive()).toEqual(false);
    expect([step, world.getJobState('j1')]).toEqual([step, JobState.Done]);
    attempts.add(world.getRecord('j1')?.attempts ?? 0);
  }
  // Both outcomes occur: the first start is continued, or stopped and followed by a second one.
  expect([...attempts].sort()).toEqual([1, 2]);
});

// Guards against commands and writes of an owner that resumes after its lease expired.
test('an owner paused at any step of a start does not act after its lease', async () => {
  for (const step of crashSteps) {
    const { world, invariants, first } = await startWorld();
    first.process.pauseAtCall = first.process.callCount + Math.ceil(step);
    await world.submit('j1', 5, 3_000);
    await world.clock.advance(1_000 + step * 1_000);
    await first.process.resume();
    for (let n = 0; n < 120; n += 1) {
      await world.clock.advance(500);
      invariants.checkNow();
    }
    expect(invariants.violations).toEqual([]);
    expect([step, world.getJobState('j1')]).toEqual([step, JobState.Done]);
  }
});
