import { test } from 'node:test';
import { expect } from 'earl';
import { createAdaptiveTimeout } from '../src/index.ts';

const limits = { minMs: 300, maxMs: 1200 };

// Guards against abandoning calls before the response time of the service is known.
test('the first timeout is the upper bound', () => {
  expect(createAdaptiveTimeout(limits).getTimeoutMs()).toEqual(1200);
});

// Guards against detecting a lost response only after the longest timeout although the service is fast.
test('fast responses shorten the timeout to the lower bound', () => {
  const timeout = createAdaptiveTimeout(limits);
  for (let call = 0; call < 30; call += 1) timeout.recordResponse(20);
  expect(timeout.getTimeoutMs()).toEqual(300);
});

// Guards against abandoning and retrying calls to a slow service, which adds to its load.
test('consecutive timeouts back off, and a slow response raises the estimate', () => {
  const timeout = createAdaptiveTimeout(limits);
  for (let call = 0; call < 30; call += 1) timeout.recordResponse(20);
  timeout.recordTimeout();
  expect(timeout.getTimeoutMs()).toEqual(600);
  timeout.recordResponse(550);
  expect(timeout.getTimeoutMs() >= 600).toEqual(true);
  for (let call = 0; call < 10; call += 1) timeout.recordTimeout();
  expect(timeout.getTimeoutMs()).toEqual(1200);
});

// Guards against timeouts that stay long after the service has become fast again.
test('the timeout returns to the lower bound', () => {
  const timeout = createAdaptiveTimeout(limits);
  for (let call = 0; call < 5; call += 1) timeout.recordResponse(600);
  for (let call = 0; call < 60; call += 1) timeout.recordResponse(20);
  expect(timeout.getTimeoutMs()).toEqual(300);
});

// Guards against callers who are held until their deadline because a store that is away counts as slow.
test('a service without answers is not expected to be slow', () => {
  const timeout = createAdaptiveTimeout({ minMs: 300, maxMs: 1200 });
  expect(timeout.getExpectedMs()).toEqual(300);
  for (let index = 0; index < 20; index += 1) timeout.recordResponse(5);
  for (let index = 0; index < 5; index += 1) timeout.recordTimeout();
  expect([timeout.getTimeoutMs(), timeout.getExpectedMs()]).toEqual([1200, 300]);
  for (let index = 0; index < 20; index += 1) timeout.recordResponse(700);
  expect(timeout.getExpectedMs() >= 700).toEqual(true);
});
