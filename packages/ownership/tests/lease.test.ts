import { test } from 'node:test';
import {
  createSuspendAwareClock,
  createManualClock,
  createNullLogger,
  createNullMetrics,
  waitForPromises,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { LeaseState, createRegionLease } from '../src/index.ts';
import { TableFault } from './faketable.ts';
import { createLease, createNode, createState, region } from './setup.ts';

// Guards against two holders and against an epoch that does not increase.
test('one process holds the lease, and another takes over after it expires', async () => {
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

// Guards against a holder that acts after a pause that outlasted its lease.
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
  // No other process took over, so the same epoch continues.
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
  expect(second!.getStoreSilenceMs() > 15_000).toEqual(true);
  state.fault = TableFault.None;
  await clock.advance(1_100);
  expect([first!.getState(), second!.getState()]).toEqual([LeaseState.Holding, LeaseState.Waiting]);
});

// Guards against a planned restart after which others wait for the lease to expire.
test('a released lease is taken over at the next poll', async () => {
  const { clock, state } = createState();
  const [first, second] = ['d1', 'd2'].map((id) => createLease(createNode(state, id)));
  first!.start();
  await clock.advance(100);
  second!.start();
  await clock.advance(1_000);
  const stopped = first!.stop();
  await waitForPromises();
  await clock.advance(1_100);
  await stopped;
  expect([second!.isHolding(2), first!.getState()]).toEqual([true, LeaseState.Waiting]);
});

// Guards against a restarted instance that waits for the lease of its own previous process.
test('a restarted instance takes over its own lease at once', async () => {
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
    isPreviousProcess: (holder) => holder === 'd1/1',
  });
  lease.start();
  // Far less than the lease of 3 s; in steps, so that replies arrive in between.
  for (let step = 0; step < 4; step += 1) await clock.advance(100);
  expect([lease.getState(), lease.getEpoch()]).toEqual([LeaseState.Holding, 2]);
});

// Guards against a holder that keeps the lease although a worker refuses its epoch: it must
// come back with a higher epoch or leave the lease to another process.
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

// Guards against a small machine taking the lease although a large one is running.
test('a contender with a takeover delay leaves a free lease to others', async () => {
  const { clock, state } = createState();
  const [small, large] = ['small', 'large'].map((id) =>
    createLease(createNode(state, id), { getTakeoverDelayMs: () => (id === 'small' ? 2_000 : 0) }),
  );
  small!.start();
  await clock.advance(1_500);
  expect(small!.getState()).toEqual(LeaseState.Waiting);
  large!.start();
  await clock.advance(5_000);
  expect([small!.getState(), large!.getState()]).toEqual([LeaseState.Waiting, LeaseState.Holding]);
});

// Guards against a lease without a holder because all remaining contenders have a takeover delay.
test('a contender with a takeover delay takes a lease that no other takes', async () => {
  const { clock, state } = createState();
  const lease = createLease(createNode(state, 'small'), { getTakeoverDelayMs: () => 2_000 });
  lease.start();
  await clock.advance(4_000);
  expect(lease.getState()).toEqual(LeaseState.Holding);
});

// Guards against a restarted small machine that keeps the lease or lets others wait for its expiry.
test('a restarted holder with a takeover delay releases its previous lease', async () => {
  const { clock, state } = createState();
  const before = createNode(state, 'small/1');
  createLease(before).start();
  await clock.advance(1_000);
  const large = createLease(createNode(state, 'large'));
  large.start();
  await clock.advance(500);
  before.process.kill();
  const after = createLease(createNode(state, 'small/2'), {
    isPreviousProcess: (holder) => holder === 'small/1',
    getTakeoverDelayMs: () => 2_000,
  });
  after.start();
  // Less than the lease of 3 s that the previous process left behind.
  await clock.advance(1_500);
  expect([after.getState(), large.getState()]).toEqual([LeaseState.Waiting, LeaseState.Holding]);
});

// Guards against a suspended machine whose steady clock stopped while its lease expired.
test('the deadline clock includes the time of a suspension', () => {
  const steady = createManualClock();
  let wallMs = 0;
  const clock = createSuspendAwareClock(steady, () => wallMs);
  wallMs += 5_000;
  expect(clock.getNowMs()).toEqual(5_000);
  wallMs -= 2_000;
  steady.skip(1_000);
  expect(clock.getNowMs()).toEqual(6_000);
});

// Guards against lease reads that grow with the number of instances: at 1,500 instances they alone
// would use a quarter of the store's rate.
test('contenders poll rarely and take over soon after the holder fails', async () => {
  const { clock, state } = createState();
  const holder = createNode(state, 'd0');
  createLease(holder).start();
  await clock.advance(100);
  const contenders = Array.from({ length: 20 }, (_, index) =>
    createLease(createNode(state, `d${index + 1}`), { getPollMs: () => 4000 }),
  );
  for (const contender of contenders) contender.start();
  await clock.advance(10_000);
  const readsBefore = state.reads;
  await clock.advance(20_000);
  // Each contender polls five times in 20 s, and the holder reads nothing.
  expect(state.reads - readsBefore <= 20 * 6).toEqual(true);
  holder.process.kill();
  // The last version is first read up to 4 s later; the lease and its margin, 3.5 s, follow,
  // and then one poll.
  await clock.advance(4000 + 4000 + 3500 + 1100);
  expect(contenders.filter((one) => one.getState() === LeaseState.Holding).length).toEqual(1);
});

// Guards against a decreasing epoch or a second holder because a row is malformed.
test('a lease with malformed rows is not taken over', async () => {
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
