import { test } from 'node:test';
import { FaultCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createAdmission, createConfigRow } from './admissionworld.ts';

const quickMs = 5;
/** A configuration that takes longer to arrive than its bound allows. */
const tooLargeMs = 6000;

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
