import { FaultCode, createFault, createManualClock } from '@bergamotreach/protocol';
import { CommitStatus } from '@bergamotreach/hosting';
import type { Table } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { test } from 'node:test';
import { Err } from 'ts-results-es';
import { createMeasuredTable } from '../src/measuredstores.ts';
import { listDocumented, listObserved } from './observed.ts';
import { createRecorder } from './recorder.ts';
import { runInWorld, sendPlan } from './world.ts';

// Guards against a metric or log event that operators cannot look up, and against rows for ones that
// no longer exist.
test('docs/metrics.md lists exactly the metrics and log events of the sources', () => {
  expect(listDocumented()).toEqual(listObserved());
});

// Guards against store outages that cannot be told apart from slowness, and against changed results.
test('store calls are counted and timed with their results', async () => {
  const { metrics, names } = createRecorder();
  const fault = createFault(FaultCode.StoreUnavailable, 'down');
  const inner = {
    getRow: async () => Promise.resolve(Err(fault)),
    commit: async () => Promise.resolve({ status: CommitStatus.Ambiguous, message: 'lost' }),
  } as unknown as Table;
  const table = createMeasuredTable(inner, { clock: createManualClock(), metrics });
  expect((await table.getRow('a')).unwrapErr()).toEqual(fault);
  const reply = await table.commit({ operationId: 'o', conditions: [], writes: [] });
  expect(reply).toEqual({ status: CommitStatus.Ambiguous, message: 'lost' });
  expect(names.filter((name) => name.startsWith('store.calls'))).toEqual([
    'store.calls call=get_row result=store_unavailable',
    'store.calls call=commit result=ambiguous',
  ]);
});

// Guards against refusals that show in no metric, and against tags made of callers' paths.
test('answers are counted by route, error kind and outcome', async () => {
  const { metrics, names } = createRecorder();
  await runInWorld({ metrics }, async (world) => {
    await sendPlan(world);
    await sendPlan(world, { token: 'wrong' });
    await world.call('GET', '/v1/anything', { token: 'wrong' });
  });
  for (const expected of [
    'http.answers code=none outcome=answered route=services',
    'http.answers code=unauthorized outcome=not_run route=services',
    'http.answers code=unauthorized outcome=not_run route=other',
  ]) {
    expect([expected, names.includes(expected)]).toEqual([expected, true]);
  }
});
