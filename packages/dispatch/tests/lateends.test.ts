import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createWorld, runMs } from './world.ts';

const startUpMs = 1000;
const takeoverMs = 4000;
const settleMs = 20_000;
const slowReadMs = 1200;
const listMs = 400;

// Guards against a second run of a task whose end was acknowledged before its job was adopted: a new
// owner's feed of the jobs lagged, and one worker held an end that was not acknowledged yet.
for (const jobDelayMs of [500, 1000, 2000, 4500]) {
  test(`an end of a job that shows ${jobDelayMs} ms late is not lost`, async () => {
    const world = createWorld(2);
    const first = world.addCandidate('a');
    await world.clock.advance(startUpMs);
    first.process.pause();
    world.submit('j1', [{ taskCount: 1 }]);
    await first.process.resume();
    await world.clock.advance(100);
    expect(world.listStartedRuns().length).toEqual(1);
    first.process.kill();
    world.addCandidate('b', 0, takeoverMs + jobDelayMs);
    await world.clock.advance(runMs + takeoverMs + settleMs);
    expect(world.getState('j1')).toEqual(JobState.Completed);
    expect(world.listStartedRuns().length).toEqual(1);
  });
}

// Guards against dropping the ends of a worker that reported them to a new owner and left before that
// owner had loaded the jobs.
test('an end that was reported before the jobs were loaded outlives its worker', async () => {
  const world = createWorld(2);
  const first = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 1 }]);
  await world.clock.advance(100);
  const [{ worker: id } = { worker: '' }] = world.listStartedRuns();
  const worker = world.workers.get(id)!;
  first.process.kill();
  const report = worker.report.bind(worker);
  worker.report = (request) => {
    const answer = report(request);
    if (answer.isOk() && answer.value.ends.length > 0 && !worker.isUnreachable) {
      worker.isUnreachable = true;
      world.drainWorker(id);
      world.clock.setTimer(listMs, () => {
        world.unlistWorker(id);
      });
    }
    return answer;
  };
  // The new owner reads the jobs slowly.
  world.store.listeners.push(({ processId }) => {
    if (processId === 'b') world.store.latencyMs = slowReadMs;
  });
  const second = world.addCandidate('b');
  await world.clock.advance(settleMs);
  expect(second.getOwner()).not.toEqual(undefined);
  expect(worker.isUnreachable).toEqual(true);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().length).toEqual(1);
});
