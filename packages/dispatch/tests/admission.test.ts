import { test } from 'node:test';
import {
  FaultCode,
  createManualClock,
  createNullLogger,
  createNullMetrics,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { OperatorRowKind, createJobService, createOperatorRows } from '../src/index.ts';
import type { JobServiceOptions, OperatorRow } from '../src/index.ts';
import { queue } from './services.ts';
import { SlowFeed } from './slowfeed.ts';

const quickMs = 5;
/** A configuration that takes longer to arrive than its bound allows. */
const tooLargeMs = 6000;

function createConfigRow(version: number, paths: string[]): OperatorRow {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const queues = paths.map((prefix) => ({ ...queue, name: prefix, prefix }));
  const config = { version, queues, accounts: [], limits };
  return { kind: OperatorRowKind.Configuration, config };
}

function createAdmission() {
  const clock = createManualClock();
  const logger = createNullLogger();
  const metrics = createNullMetrics();
  const feed = new SlowFeed<OperatorRow>(clock);
  const configs = createOperatorRows({ feed, clock, logger, metrics });
  const jobs = createJobService({
    ...{ configs, clock, logger, metrics },
  } as unknown as JobServiceOptions);
  const callQueue = async (path: string): Promise<FaultCode | number> => {
    const admitting = jobs.admit('h', path, undefined);
    await clock.advance(1100);
    const admitted = await admitting;
    return admitted.isOk() ? admitted.value.version : admitted.error.code;
  };
  return { clock, feed, configs, callQueue };
}

// Guards against decisions by a configuration that is older than its bound while the next one arrives.
test('a call is told to come back while a newer configuration is late', async () => {
  const { clock, feed, configs, callQueue } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  await clock.advance(500);
  expect(await callQueue('/old/')).toEqual(1);
  expect(await callQueue('/new/')).toEqual(FaultCode.NotFound);
  feed.put('config', createConfigRow(2, ['/new/']), tooLargeMs);
  await clock.advance(100);
  expect(await callQueue('/new/')).toEqual(FaultCode.StoreUnavailable);
  await clock.advance(2000);
  expect(await callQueue('/old/')).toEqual(FaultCode.StoreUnavailable);
  await clock.advance(tooLargeMs);
  expect([await callQueue('/old/'), await callQueue('/new/')]).toEqual([FaultCode.NotFound, 2]);
  configs.stop();
});
