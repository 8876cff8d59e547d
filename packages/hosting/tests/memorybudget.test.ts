import { test } from 'node:test';
import { createManualClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { HoldCause, createMemoryBudget } from '../src/index.ts';
import type { MemoryBudget, MemoryHold } from '../src/index.ts';

function openHold(budget: MemoryBudget, name: string, evicted: string[]): MemoryHold {
  return budget.open(HoldCause.Body, () => evicted.push(name));
}

// Guards against an ordinary caller that is given up while a client without progress holds memory.
test('clients without progress are given up first, then the largest, then the newest', async () => {
  const clock = createManualClock();
  const budget = createMemoryBudget({ clock, maxBytes: 100 });
  const evicted: string[] = [];
  openHold(budget, 'stalled', evicted).add(10);
  await clock.advance(1500);
  const large = openHold(budget, 'large', evicted);
  large.add(50);
  openHold(budget, 'old', evicted).add(20);
  openHold(budget, 'new', evicted).add(20);
  expect([large.add(1), evicted]).toEqual([true, ['stalled']]);
  expect(openHold(budget, 'ordinary', evicted).add(15)).toEqual(true);
  expect(evicted).toEqual(['stalled', 'large']);
  openHold(budget, 'next', evicted).add(60);
  expect(evicted).toEqual(['stalled', 'large', 'next']);
});

// Guards against an ordinary caller that waits for a slow store and is given up before a client that sends its
// body byte by byte.
test('a client that waits for the process does not count as one without progress', async () => {
  const clock = createManualClock();
  const budget = createMemoryBudget({ clock, maxBytes: 100 });
  const evicted: string[] = [];
  const waiting = openHold(budget, 'waiting', evicted);
  waiting.add(10);
  waiting.setWaiting(true);
  await clock.advance(1500);
  openHold(budget, 'slow sender', evicted).add(80);
  openHold(budget, 'next', evicted).add(20);
  expect(evicted).toEqual(['slow sender']);
  waiting.setWaiting(false);
  openHold(budget, 'another', evicted).add(75);
  expect(evicted).toEqual(['slow sender', 'waiting']);
});

// Guards against a request under way that is given up, and against bytes that are never returned.
test('a settled hold stays until it is released', () => {
  const budget = createMemoryBudget({ clock: createManualClock(), maxBytes: 100 });
  const evicted: string[] = [];
  const settled = openHold(budget, 'settled', evicted);
  settled.add(90);
  settled.settle();
  const refused = openHold(budget, 'refused', evicted);
  expect([refused.add(20), refused.add(1), evicted]).toEqual([false, false, ['refused']]);
  settled.release();
  settled.release();
  expect(budget.getUsedBytes(HoldCause.Body)).toEqual(0);
});

// Guards against connections that are closed because bodies exceed the bound of bodies.
test('a bound of bodies gives up bodies only', () => {
  const budget = createMemoryBudget({
    ...{ clock: createManualClock(), maxBytes: 1000 },
    maxBodyBytes: 100,
  });
  const evicted: string[] = [];
  budget.open(HoldCause.Connection, () => evicted.push('connection')).add(500);
  openHold(budget, 'body', evicted).add(80);
  openHold(budget, 'larger', evicted).add(90);
  expect(evicted).toEqual(['larger']);
});
