import { test } from 'node:test';
import { FaultCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createAdmission, createConfigRow } from './admissionworld.ts';

const quickMs = 5;
const arrivalMs = 800;
const crowdSize = 2000;

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

// Guards against the same while a large configuration arrives.
test('a refused call that is overtaken by a new configuration does not use it before later calls', async () => {
  const { clock, feed, configs, jobs } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  await clock.advance(1500);
  feed.put('config', createConfigRow(2, ['/new/']), arrivalMs);
  await clock.advance(50);
  const waiting = jobs.admit('h', '/new/', undefined);
  await clock.advance(300);
  const later = await jobs.admit('h', '/old/', undefined);
  expect(later.isOk() && later.value.version).toEqual(1);
  await clock.advance(arrivalMs);
  const refused = await waiting;
  expect(refused.isErr() && refused.error.code).toEqual(FaultCode.StoreUnavailable);
  const repeated = await jobs.admit('h', '/new/', undefined);
  expect(repeated.isOk() && repeated.value.version).toEqual(2);
  configs.stop();
});

// Guards against a refusal of a queue that was added just before, where the store answers at once.
test('a call to a queue that was just added is admitted after a quick read', async () => {
  const { clock, feed, configs, jobs } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  await clock.advance(2700);
  feed.put('config', createConfigRow(2, ['/new/']), quickMs);
  const admitting = jobs.admit('h', '/new/', undefined);
  await clock.advance(100);
  const admitted = await admitting;
  expect(admitted.isOk() && admitted.value.version).toEqual(2);
  configs.stop();
});

// Guards against any number of refused calls that wait for a read, with their requests in memory.
test('refused calls beyond a number are answered at once while the others wait for a read', async () => {
  const { clock, feed, configs, jobs } = createAdmission();
  feed.put('config', createConfigRow(1, ['/old/']), quickMs);
  configs.start();
  await clock.advance(1500);
  feed.put('config', createConfigRow(2, ['/old/']), arrivalMs);
  await clock.advance(50);
  const codes: FaultCode[] = [];
  const calls = Array.from({ length: crowdSize }, async () => {
    const refused = await jobs.admit('h', '/new/', undefined);
    if (refused.isErr()) codes.push(refused.error.code);
  });
  await clock.advance(1);
  expect(codes.length).toBeGreaterThan(crowdSize / 2);
  expect(new Set(codes)).toEqual(new Set([FaultCode.StoreUnavailable]));
  expect((await jobs.admit('h', '/old/', undefined)).isOk()).toEqual(true);
  await clock.advance(2 * arrivalMs);
  await Promise.all(calls);
  const later = jobs.admit('h', '/new/', undefined);
  await clock.advance(100);
  const refused = await later;
  expect(refused.isErr() && refused.error.code).toEqual(FaultCode.NotFound);
  configs.stop();
});
