import { test } from 'node:test';
import {
  createAdvancingClock,
  createManualClock,
  createNullLogger,
  createNullMetrics,
  settlePromises,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { LeaseState, createRegionLease } from '../src/index.ts';
import { TableFault } from './faketable.ts';
import { createLease, createNode, createState, region } from './setup.ts';

// Guards against two holders and against an epoch that does not grow.
test('a lease is held by one and taken over after silence', async () => {
  const { clock, state } = createState();
  const nodes = [createNode(state, 'd1'), createNode(state, 'd2')];
  const [first, second] = nodes.map((node) => createLease(node));
  first!.start();
  await clock.advance(100);
  second!.start();
  await clock.advance(10_000);
  expect([first!.getState(), second!.getState()]).toEqual([LeaseState.Holding, LeaseState.Waiting]);
  nodes[0]!.process.kill();
  await clock.advance(3_400);
  expect(second!.getState()).toEqual(LeaseState.Waiting);
  await clock.advance(2_000);
  expect([second!.getState(), second!.getEpoch()]).toEqual([LeaseState.Holding, 2]);
  expect(state.rows.get(`epoch/${region}`)?.value).toEqual({ epoch: 2, holder: 'd2' });
});

// Guards against effects of a holder that was paused beyond its lease.
test('a paused holder does not hold after its deadline', async () => {
  const { clock, state } = createState();
  const node = createNode(state, 'd1');
  const lease = createLease(node);
  lease.start();
  await clock.advance(1_000);
  expect(lease.isHolding(1)).toEqual(true);
  node.process.pause();
  await clock.advance(2_600);
  expect(lease.isHolding(1)).toEqual(false);
  await node.process.resume();
  await clock.advance(1_100);
  // Nobody took over, so the same epoch continues.
  expect([lease.isHolding(1), lease.isHolding(2)]).toEqual([true, false]);
});

// Guards against a takeover or a second epoch during a store outage.
test('an outage suspends the holder and ends with the same holder', async () => {
  const { clock, state } = createState();
  const [first, second] = ['d1', 'd2'].map((id) => createLease(createNode(state, id)));
  first!.start();
  await clock.advance(100);
  second!.start();
  await clock.advance(2_000);
  state.fault = TableFault.Down;
  await clock.advance(20_000);
  expect(first!.getState()).toEqual(LeaseState.Suspended);
  expect(second!.getStoreSeenAgoMs() > 15_000).toEqual(true);
  state.fault = TableFault.None;
  await clock.advance(1_100);
  expect([first!.getState(), second!.getState()]).toEqual([LeaseState.Holding, LeaseState.Waiting]);
});

// Guards against a planned restart that costs a whole lease of waiting.
test('a released lease is taken over at the next poll', async () => {
  const { clock, state } = createState();
  const [first, second] = ['d1', 'd2'].map((id) => createLease(createNode(state, id)));
  first!.start();
  await clock.advance(100);
  second!.start();
  await clock.advance(1_000);
  const stopped = first!.stop();
  await settlePromises();
  await clock.advance(1_100);
  await stopped;
  expect([second!.isHolding(2), first!.getState()]).toEqual([true, LeaseState.Waiting]);
});

// Guards against an instance that waits for the lease of its own former process after a restart.
test('a restarted instance takes its own lease over at once', async () => {
  const { clock, state } = createState();
  const before = createNode(state, 'd1/1');
  createLease(before).start();
  await clock.advance(1_000);
  before.process.kill();
  const after = createNode(state, 'd1/2');
  const lease = createRegionLease({
    table: after.table,
    committer: after.committer,
    clock: after.process,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    region,
    holder: 'd1/2',
    address: '127.0.0.1:1',
    isFormerSelf: (holder) => holder === 'd1/1',
  });
  lease.start();
  // Far less than the lease of 3 s, in steps in which the replies arrive.
  for (let step = 0; step < 4; step += 1) await clock.advance(100);
  expect([lease.getState(), lease.getEpoch()]).toEqual([LeaseState.Holding, 2]);
});

// Guards against a holder without effects: one that a worker refused as outdated must come back with
// a higher epoch, or leave the lease to another.
test('a holder that resigns contends with the next epoch', async () => {
  const { clock, state } = createState();
  const lease = createLease(createNode(state, 'd1'));
  lease.start();
  await clock.advance(1_000);
  void lease.resign();
  await clock.advance(100);
  expect(lease.isHolding(1)).toEqual(false);
  await clock.advance(2_000);
  expect(lease.isHolding(2)).toEqual(true);
});

// Guards against a lease that goes to a small machine although a large one is up.
test('a reluctant contender leaves a free lease to others', async () => {
  const { clock, state } = createState();
  const [small, large] = ['small', 'large'].map((id) =>
    createLease(createNode(state, id), { getReluctanceMs: () => (id === 'small' ? 2_000 : 0) }),
  );
  small!.start();
  await clock.advance(1_500);
  expect(small!.getState()).toEqual(LeaseState.Waiting);
  large!.start();
  await clock.advance(5_000);
  expect([small!.getState(), large!.getState()]).toEqual([LeaseState.Waiting, LeaseState.Holding]);
});

// Guards against a lease that nobody holds because all that are left are reluctant.
test('a reluctant contender takes a lease that nobody else takes', async () => {
  const { clock, state } = createState();
  const lease = createLease(createNode(state, 'small'), { getReluctanceMs: () => 2_000 });
  lease.start();
  await clock.advance(4_000);
  expect(lease.getState()).toEqual(LeaseState.Holding);
});

// Guards against a restarted small machine that keeps the lease, and others waiting for its expiry.
test('a reluctant restarted holder frees its former lease', async () => {
  const { clock, state } = createState();
  const before = createNode(state, 'small/1');
  createLease(before).start();
  await clock.advance(1_000);
  const large = createLease(createNode(state, 'large'));
  large.start();
  await clock.advance(500);
  before.process.kill();
  const after = createLease(createNode(state, 'small/2'), {
    isFormerSelf: (holder) => holder === 'small/1',
    getReluctanceMs: () => 2_000,
  });
  after.start();
  // Less than the lease of 3 s that the former process left.
  await clock.advance(1_500);
  expect([after.getState(), large.getState()]).toEqual([LeaseState.Waiting, LeaseState.Holding]);
});

// Guards against a suspended machine whose steady clock stood still while its lease expired.
test('the deadline counts the time of a suspension', () => {
  const steady = createManualClock();
  let wallMs = 0;
  const clock = createAdvancingClock(steady, () => wallMs);
  wallMs += 5_000;
  expect(clock.getNowMs()).toEqual(5_000);
  wallMs -= 2_000;
  steady.skip(1_000);
  expect(clock.getNowMs()).toEqual(6_000);
});

// Guards against reads of the lease that grow with the number of instances: at 1,500 instances they
// alone would take a quarter of the store's rate.
test('calm watchers read seldom and take over soon after the holder is gone', async () => {
  const { clock, state } = createState();
  const holder = createNode(state, 'd0');
  createLease(holder).start();
  await clock.advance(100);
  const watchers = Array.from({ length: 20 }, (_, index) =>
    createLease(createNode(state, `d${index + 1}`), { getWatchMs: () => 4000 }),
  );
  for (const watcher of watchers) watcher.start();
  await clock.advance(10_000);
  const readsBefore = state.reads;
  await clock.advance(20_000);
  // Five looks of each watcher in 20 s, and the holder reads nothing.
  expect(state.reads - readsBefore <= 20 * 6).toEqual(true);
  holder.process.kill();
  // A first look at the last version, up to 4 s later, then lease and margin, 3.5 s, and one look.
  await clock.advance(4000 + 4000 + 3500 + 1100);
  expect(watchers.filter((one) => one.getState() === LeaseState.Holding).length).toEqual(1);
});

// Guards against an epoch that goes back, or a second holder, because a row could not be read.
test('nobody takes over a lease whose rows cannot be read', async () => {
  for (const key of [`owner/${region}`, `epoch/${region}`]) {
    const { clock, state } = createState();
    const writes = [{ key, value: { epoch: 'seven' } }];
    state.apply({ operationId: 'x', conditions: [], writes }, 't', 0);
    const lease = createLease(createNode(state, 'd1'));
    lease.start();
    await clock.advance(20_000);
    expect(lease.getState()).toEqual(LeaseState.Waiting);
  }
});
