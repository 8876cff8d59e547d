import { test } from 'node:test';
import { FaultCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createAdmission, createConfigRow } from './admissionworld.ts';

const quickMs = 5;

// Guards against a refused call that waits for the store and is decided by a newer configuration than later calls.
test('a refusal that cannot be confirmed is answered at once while reads fail', async () => {
  const { clock, feed, configs, jobs } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  await clock.advance(500);
  feed.isFailing = true;
  await clock.advance(1200);
  const refused = await jobs.admit('h', '/new/', undefined);
  expect(refused.isErr() && refused.error.code).toEqual(FaultCode.StoreUnavailable);
  expect((await jobs.admit('h', '/old/', undefined)).isOk()).toEqual(true);
  configs.stop();
});
