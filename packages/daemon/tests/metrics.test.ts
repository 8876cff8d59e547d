import { FaultCode, createFault, createManualClock } from '@bergamotreach/protocol';
import { CommitStatus } from '@bergamotreach/hosting';
import type { Table } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { test } from 'node:test';
import { Err } from 'ts-results-es';
import { createMeasuredTable } from '../src/measuredstores.ts';
import { listDocumentedEntries, listSourceEntries } from './telemetry.ts';
import { createRecorder } from './recorder.ts';
import { runWithHarness, sendRequest } from './harness.ts';

// Guards against undocumented metrics and log events, and against rows for removed ones.
test('docs/metrics.md lists exactly the metrics and log events of the sources', () => {
  expect(listDocumentedEntries()).toEqual(listSourceEntries());
});

// Guards against metrics that do not tell store outages from slow calls, and against wrappers that
// change results.
test('store calls are counted and timed with their results', async () => {
  const { metrics, records: records } = createRecorder();
  const fault = createFault(FaultCode.StoreUnavailable, 'down');
  const inner = {
    getRow: async () => Promise.resolve(Err(fault)),
    commit: async () => Promise.resolve({ status: CommitStatus.Ambiguous, message: 'lost' }),
  } as unknown as Table;
  const table = createMeasuredTable(inner, { clock: createManualClock(), metrics });
  expect((await table.getRow('a')).unwrapErr()).toEqual(fault);
  const reply = await table.commit({ operationId: 'o', conditions: [], writes: [] });
  expect(reply).toEqual({ status: CommitStatus.Ambiguous, message: 'lost' });
  expect(records.filter((name) => name.startsWith('store.calls'))).toEqual([
    'store.calls call=get_row result=store_unavailable',
    'store.calls call=commit result=ambiguous',
  ]);
});

// Guards against refusals without a metric, and against tags taken from paths of callers.
test('responses are counted by route, error code and outcome', async () => {
  const { metrics, records: records } = createRecorder();
  await runWithHarness({ metrics }, async (harness) => {
    await sendRequest(harness);
    await sendRequest(harness, { token: 'wrong' });
    await harness.call('GET', '/v1/anything', { token: 'wrong' });
  });
  for (const expected of [
    'http.answers code=none outcome=answered route=services',
    'http.answers code=unauthorized outcome=not_run route=services',
    'http.answers code=unauthorized outcome=not_run route=other',
  ]) {
    expect([expected, records.includes(expected)]).toEqual([expected, true]);
  }
});
