import { test } from 'node:test';
import type { RowValue } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { createWorld } from './world.ts';

const startUpMs = 1000;
const settleMs = 10_000;
const slowReportMs = 300;

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
