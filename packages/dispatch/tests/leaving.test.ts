import { test } from 'node:test';
import type { RowValue } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { Candidate, World } from './world.ts';

const startUpMs = 1000;
const settleMs = 10_000;
const slowReportMs = 300;
const heartbeatMs = 1500;
/** An entry expires this long after the last heartbeat. */
const entryExpiryMs = 4500;
const longTaskMs = 60_000;
const maxLeaseMs = 10_000;

/** Starts a long task and returns the owner and the worker that runs it, which drains from now on. */
async function startOnDrainingWorker(world: World): Promise<{ owner: Candidate; id: string }> {
  const owner = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 1 }]);
  await world.clock.advance(300);
  const [{ worker: id } = { worker: '' }] = world.listStartedRuns();
  world.drainWorker(id);
  return { owner, id };
}

/** Lets the last entry of a draining worker reach its owner late, and the entry then expire. */
async function removeExpiredEntry(world: World, owner: Candidate, id: string): Promise<void> {
  await world.clock.advance(heartbeatMs - 100);
  owner.workerFeed.isCut = true;
  await world.clock.advance(100);
  world.drainWorker(id);
  await world.clock.advance(1300);
  owner.workerFeed.isCut = false;
  await world.clock.advance(entryExpiryMs - 1300);
  world.unlistWorker(id);
}

for (const isUnreachable of [false, true]) {
  // Guards against taking an entry that has expired for one that its worker has removed, because the
  // owner read the last heartbeat late: the task then ran twice.
  test(`a task keeps its draining worker when the entry expires, unreachable ${isUnreachable}`, async () => {
    const world = createWorld(3, longTaskMs);
    const { owner, id } = await startOnDrainingWorker(world);
    const worker = world.workers.get(id)!;
    worker.isUnreachable = isUnreachable;
    await removeExpiredEntry(world, owner, id);
    for (let step = 0; step < 200; step += 1) {
      await world.clock.advance(100);
      expect(findConcurrentRuns(world)).toEqual(undefined);
    }
    expect(world.listStartedRuns().length).toEqual(isUnreachable ? 2 : 1);
  });
}

// Guards against giving up the runs of a worker whose entry is gone, whatever the reason, while the
// worker answers and lists them.
test('a worker that answers has not left, even if its entry is removed early', async () => {
  const world = createWorld(3, longTaskMs);
  const { id } = await startOnDrainingWorker(world);
  await world.clock.advance(heartbeatMs);
  world.unlistWorker(id);
  for (let step = 0; step < 200; step += 1) {
    await world.clock.advance(100);
    expect(findConcurrentRuns(world)).toEqual(undefined);
  }
  expect(world.listStartedRuns().length).toEqual(1);
});

// Guards against waiting for the lease of a worker that has removed its entry and answers no more.
test('a task of a worker that has left starts again before the lease expires', async () => {
  const world = createWorld(3, longTaskMs);
  const { id } = await startOnDrainingWorker(world);
  await world.clock.advance(heartbeatMs);
  world.drainWorker(id);
  await world.clock.advance(heartbeatMs);
  world.workers.get(id)!.crash();
  world.unlistWorker(id);
  await world.clock.advance(maxLeaseMs / 10);
  const starts = world.listStartedRuns();
  expect(starts.map(({ run }) => run)).toEqual([1, 2]);
  expect(starts[1]?.worker === id).toEqual(false);
});

// Guards against running a task again because its worker left the list while the report of the
// task's end was in flight.
test('a run whose end is in flight when its worker leaves is not repeated', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 1 }]);
  await world.clock.advance(300);
  const [{ worker: id } = { worker: '' }] = world.listStartedRuns();
  const worker = world.workers.get(id)!;
  const key = `servers/${id}`;
  const entry = world.store.rows.get(key)?.value as Record<string, RowValue>;
  const value = { ...entry, isDraining: true, drainRemainingMs: settleMs };
  world.store.apply({ operationId: 'drain', conditions: [], writes: [{ key, value }] }, id, 0);
  worker.reportMs = slowReportMs;
  const report = worker.report.bind(worker);
  worker.report = (request) => {
    const answer = report(request);
    if (answer.isOk() && answer.value.ends.length > 0 && !worker.isUnreachable) {
      worker.isUnreachable = true;
      world.unlistWorker(id);
    }
    return answer;
  };
  await world.clock.advance(settleMs);
  expect(worker.isUnreachable).toEqual(true);
  expect(world.listStartedRuns().length).toEqual(1);
});
