import { test } from 'node:test';
import { FaultCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createAdmission, createConfigRow } from './admissionworld.ts';

const quickMs = 5;
/** Interval at which the store serves other calls. */
const answerMs = 1000;

// Guards against an old configuration that decides for as long as its reads fail.
test('a configuration that alone cannot be read is not trusted beyond its bound', async () => {
  const { clock, feed, configs, contact, callQueue } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  await clock.advance(500);
  feed.isFailing = true;
  for (let round = 0; round < 8; round += 1) {
    contact.recordAnswer();
    await clock.advance(answerMs);
  }
  expect(await callQueue('/old/')).toEqual(FaultCode.StoreUnavailable);
  feed.isFailing = false;
  await clock.advance(500);
  expect(await callQueue('/old/')).toEqual(1);
  configs.stop();
});

// Guards against an outage of the store that stops the service.
test('a configuration is trusted while the store is away and while it returns', async () => {
  const { clock, feed, configs, contact, callQueue } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  for (let round = 0; round < 8; round += 1) {
    contact.recordAnswer();
    await clock.advance(answerMs);
  }
  feed.isFailing = true;
  await clock.advance(600);
  expect(await callQueue('/old/')).toEqual(1);
  await clock.advance(120_000);
  expect(await callQueue('/old/')).toEqual(1);
  contact.recordAnswer();
  expect(await callQueue('/old/')).toEqual(1);
  configs.stop();
});
