import { test } from 'node:test';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { FakeProcess } from '../../ownership/tests/fakeprocess.ts';
import { TableState } from '../../ownership/tests/faketable.ts';
import { createTableReplica } from '../src/index.ts';
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
