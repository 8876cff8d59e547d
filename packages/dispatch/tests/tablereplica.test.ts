import { test } from 'node:test';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { FakeProcess } from '../../ownership/tests/fakeprocess.ts';
import { TableState } from '../../ownership/tests/faketable.ts';
import { createTableReplica } from '../src/index.ts';
import { SlowFeed } from './slowfeed.ts';
import { FakeFeed } from './world.ts';

const longPauseMs = 1000;
const shortPauseMs = 60;

// Guards against a new owner that sees cancellations up to a second late because it finishes the
// long pause of a non-owner.
test('a refresh ends the pause between reads', async () => {
  const clock = createManualClock();
  const state = new TableState(clock);
  const process = new FakeProcess('a', clock);
  let pauseMs = longPauseMs;
  const replica = createTableReplica<string>({
    feed: new FakeFeed<string>(state, process, 'state/'),
    name: 'states',
    clock: process,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    getPauseMs: () => pauseMs,
  });
  replica.start();
  await clock.advance(20);
  pauseMs = shortPauseMs;
  expect(await replica.refresh()).toEqual(true);
  state.apply(
    { operationId: 'x', conditions: [], writes: [{ key: 'state/j', value: 'cancelled' }] },
    't',
    0,
  );
  await clock.advance(2 * shortPauseMs);
  expect(replica.find('j')).toEqual('cancelled');
  replica.stop();
});

// Guards against taking the time at which a change was read for the time at which it was stored: a
// worker's entry then looked too young to have expired.
test('a change that is read late is dated by the read before', async () => {
  const clock = createManualClock();
  const state = new TableState(clock);
  const process = new FakeProcess('a', clock);
  const feed = new FakeFeed<string>(state, process, 'servers/');
  const notBefore: number[] = [];
  const replica = createTableReplica<string>({
    feed,
    name: 'workers',
    clock: process,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    onChange: (_key, _value, _version, notBeforeMs) => notBefore.push(notBeforeMs),
  });
  const putEntry = (operationId: string): void => {
    const writes = [{ key: 'servers/w', value: operationId }];
    state.apply({ operationId, conditions: [], writes }, 't', 0);
  };
  putEntry('first');
  replica.start();
  await clock.advance(100);
  feed.isCut = true;
  const storedMs = clock.getNowMs();
  putEntry('second');
  await clock.advance(5000);
  feed.isCut = false;
  await clock.advance(2000);
  replica.stop();
  expect(notBefore.length).toEqual(2);
  expect(notBefore[0]).toEqual(-Infinity);
  expect((notBefore[1] ?? Infinity) <= storedMs).toEqual(true);
});

// Guards against one more transfer of a large page for each caller that asks for a refresh meanwhile.
test('refreshes share the reads of a large page', async () => {
  const clock = createManualClock();
  const feed = new SlowFeed<string>(clock);
  const replica = createTableReplica<string>({
    feed,
    name: 'configuration',
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
  });
  feed.put('config', 'small', 10);
  replica.start();
  await clock.advance(1500);
  feed.put('config', 'large', 2000);
  await clock.advance(100);
  const readsBefore = feed.reads;
  const seen: (string | undefined)[] = [];
  for (let caller = 0; caller < 20; caller += 1) {
    if (caller === 10) feed.put('config', 'next', 10);
    void replica.refresh().then(() => seen.push(replica.find('config')));
    await clock.advance(50);
  }
  await clock.advance(3000);
  replica.stop();
  expect(seen).toEqual(Array.from({ length: 20 }, () => 'next'));
  expect([feed.largestConcurrency, feed.reads - readsBefore < 8]).toEqual([1, true]);
});

// Guards against a refresh that returns the result of an earlier one.
test('each refresh reads the changes before it', async () => {
  const clock = createManualClock();
  const feed = new SlowFeed<string>(clock);
  const replica = createTableReplica<string>({
    feed,
    name: 'configuration',
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
  });
  replica.start();
  await clock.advance(100);
  for (const value of ['first', 'second', 'third']) {
    feed.put('config', value, 0);
    const refreshed = replica.refresh();
    await clock.advance(10);
    expect([await refreshed, replica.find('config')]).toEqual([true, value]);
  }
  replica.stop();
});
