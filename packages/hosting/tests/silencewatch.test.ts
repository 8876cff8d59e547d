import { test } from 'node:test';
import { expect } from 'earl';
import { ExchangeLimit, createLaneTimeouts, createSilenceWatch } from '../src/index.ts';

const never = -Infinity;
const limits = { waitMs: 0, requestBytes: 0, responseMs: 300, gapMs: 300, busyMs: 1200 };

// Guards against a silent connection that is found later than before responses were watched by their bytes.
test('an idle link allows one response limit after the long poll', () => {
  const watch = createSilenceWatch({ ...limits, waitMs: 1000 }, 50);
  expect([watch.getDueMs(never), watch.getLimit()]).toEqual([1350, ExchangeLimit.Response]);
});

// Guards against ending a response that takes longer than the limit while its bytes arrive.
test('each part of a response extends the limit', () => {
  const watch = createSilenceWatch(limits, 0);
  for (let nowMs = 100; nowMs <= 4000; nowMs += 100) {
    expect(watch.getDueMs(never) > nowMs).toEqual(true);
    watch.recordBytes(80_000, nowMs);
  }
  expect([watch.getDueMs(never), watch.getLimit()]).toEqual([4300, ExchangeLimit.Gap]);
});

// Guards against a failure behind another's large response, and a dead connection that is never found there.
test('a large response beside it extends the limit up to a bound', () => {
  const watch = createSilenceWatch(limits, 0);
  expect(watch.getDueMs(200)).toEqual(500);
  expect(watch.getDueMs(5000)).toEqual(1200);
});

// Guards against a response that holds its exchange forever by a byte now and then.
test('a response that arrives too slowly is given up', () => {
  const watch = createSilenceWatch(limits, 0);
  let nowMs = 0;
  while (watch.getDueMs(never) > nowMs && nowMs < 60_000) {
    nowMs += 100;
    watch.recordBytes(1, nowMs);
  }
  expect([nowMs < 6000, watch.getLimit()]).toEqual([true, ExchangeLimit.Rate]);
});

// Guards against a large request that is given up while it is being sent.
test('the size of the request extends the limit', () => {
  const watch = createSilenceWatch({ ...limits, requestBytes: 125_000 }, 0);
  expect(watch.getDueMs(never)).toEqual(800);
});

// Guards against a backoff that answers to other kinds of exchange end.
test('responses of another lane do not end the backoff', () => {
  const timeouts = createLaneTimeouts({ minMs: 300, maxMs: 1200 });
  timeouts.recordResponse('row', 5);
  timeouts.recordTimeout('feed');
  timeouts.recordTimeout('feed');
  timeouts.recordResponse('row', 5);
  expect([timeouts.getTimeoutMs('feed'), timeouts.getTimeoutMs('row')]).toEqual([1200, 300]);
  timeouts.recordResponse('feed', 5);
  expect(timeouts.getTimeoutMs('feed')).toEqual(300);
});

// Guards against a lane that learns a slow service only from its own failures.
test('a lane without responses uses the estimate of all lanes', () => {
  const timeouts = createLaneTimeouts({ minMs: 300, maxMs: 1200 });
  expect(timeouts.getTimeoutMs('list')).toEqual(1200);
  for (let call = 0; call < 40; call += 1) timeouts.recordResponse('row', 700);
  expect(timeouts.getTimeoutMs('list') >= 700).toEqual(true);
});

// Guards against a dead connection that is found late because a feed that always answers early stays backed off.
test('a response without a measured time ends the backoff of its lane', () => {
  const timeouts = createLaneTimeouts({ minMs: 300, maxMs: 1200 });
  timeouts.recordResponse('feed', 5);
  timeouts.recordTimeout('feed');
  expect(timeouts.getTimeoutMs('feed')).toEqual(600);
  timeouts.resetBackoff('feed');
  expect(timeouts.getTimeoutMs('feed')).toEqual(300);
});
