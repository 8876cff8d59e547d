import { test } from 'node:test';
import { Feed } from '@bergamotreach/hosting';
import type { FeedItem, FeedPage } from '@bergamotreach/hosting';
import {
  createManualClock,
  createNullLogger,
  createNullMetrics,
  waitFor,
} from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
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

/** Feed whose pages end after a few rows, since the store bounds their bytes. */
class CutFeed extends Feed<string> {
  constructor(
    private readonly rows: FeedItem<string>[],
    private readonly pageRows: number,
    private readonly receivedBytes: number,
  ) {
    super();
  }

  load(): Promise<Result<FeedPage<string>, Fault>> {
    return Promise.resolve(Ok({ items: [], isSnapshot: true, position: 0 }));
  }

  wait(position: number): Promise<Result<FeedPage<string>, Fault>> {
    const items = this.rows.filter(({ version }) => version > position).slice(0, this.pageRows);
    const reading = { receivedBytes: this.receivedBytes, receiveMs: 0, decodeMs: 0 };
    const next = items.at(-1)?.version ?? position;
    return Promise.resolve(Ok({ items, isSnapshot: false, position: next, reading }));
  }
}

// Guards against a refresh that takes a page of few but large rows for the end of the changes: a takeover then
// missed states that were stored before it.
test('a refresh reads on after a page that was cut by its bytes', async () => {
  const clock = createManualClock();
  const rows = Array.from({ length: 10 }, (_, index) => ({
    key: `r${index}`,
    version: index + 1,
    value: 'x',
  }));
  const replica = createTableReplica<string>({
    feed: new CutFeed(rows, 4, 1_000_000),
    name: 'states',
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    // The replica's own reads are far apart.
    getPauseMs: () => 60_000,
  });
  replica.start();
  await clock.advance(10);
  expect(await replica.refresh()).toEqual(true);
  expect(replica.list().length).toEqual(rows.length);
  replica.stop();
});

/** Feed that counts its reads in progress; each takes the time of a slow store. */
class CountingFeed extends Feed<string> {
  largestConcurrency = 0;
  private reads = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  load(): Promise<Result<FeedPage<string>, Fault>> {
    return Promise.resolve(Ok({ items: [], isSnapshot: true, position: 1 }));
  }

  async wait(position: number, waitMs: number): Promise<Result<FeedPage<string>, Fault>> {
    this.reads += 1;
    this.largestConcurrency = Math.max(this.largestConcurrency, this.reads);
    await waitFor(this.clock, waitMs + 240);
    this.reads -= 1;
    return Ok({ items: [], isSnapshot: false, position });
  }
}

// Guards against as many transfers of a table at once as there are calls that want it confirmed.
test('refreshes send one read at a time beside the long poll', async () => {
  const clock = createManualClock();
  const feed = new CountingFeed(clock);
  const replica = createTableReplica<string>({
    ...{ feed, name: 'configuration', clock },
    ...{ logger: createNullLogger(), metrics: createNullMetrics() },
  });
  replica.start();
  await clock.advance(10);
  const refreshes: Promise<boolean>[] = [];
  for (let call = 0; call < 30; call += 1) {
    refreshes.push(replica.refresh());
    await clock.advance(20);
  }
  await clock.advance(3000);
  replica.stop();
  expect(await Promise.all(refreshes)).toEqual(Array.from({ length: 30 }, () => true));
  expect(feed.largestConcurrency).toEqual(2);
});
