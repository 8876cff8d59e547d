import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { LeaseState } from '../src/index.ts';
import type { LeaseRecord, RegionLease } from '../src/index.ts';
import { TableFault } from './faketable.ts';
import { createLease, createNode, createState, region } from './setup.ts';
import type { Node } from './setup.ts';

const seed = 20261204;
const terms = { leaseMs: 2_000, marginMs: 300, renewMs: 450, shortestLeaseMs: 1_100 };
/** So wide a range that a renewal can make the lease end earlier than the previous one would. */
const wideTerms = { leaseMs: 3_000, marginMs: 100, renewMs: 450, shortestLeaseMs: 800 };
const stepMs = 50;

interface Contender {
  node: Node;
  lease: RegionLease;
}

async function startContenders(
  world: ReturnType<typeof createState>,
  options = terms,
): Promise<Contender[]> {
  const contenders = ['d1', 'd2', 'd3'].map((id) => {
    const node = createNode(world.state, id);
    return { node, lease: createLease(node, options) };
  });
  for (const { lease } of contenders) {
    lease.start();
    await world.clock.advance(100);
  }
  return contenders;
}

function countHolders(contenders: readonly Contender[]): number {
  return contenders.filter(({ lease }) => lease.isHolding(lease.getEpoch())).length;
}

// Guards against urgent jobs that start late because a takeover waits for a whole long lease.
test('a fast store shortens the lease', async () => {
  const world = createState();
  const [first, second] = await startContenders(world);
  await world.clock.advance(5_000);
  const row = world.state.rows.get(`owner/${region}`)?.value as unknown as LeaseRecord;
  expect(row.leaseMs).toEqual(terms.shortestLeaseMs);
  first!.node.process.kill();
  // The shortest lease and its margin after the last renewal, and the poll that finds it expired.
  for (let passedMs = 0; passedMs < 1_700; passedMs += stepMs) await world.clock.advance(stepMs);
  const states = [second!.lease.getState()];
  expect(states).toEqual([LeaseState.Holding]);
});

// Guards against a holder that loses its lease because the store has become slow.
test('a slow store lengthens the lease again', async () => {
  const world = createState();
  const [first] = await startContenders(world);
  await world.clock.advance(5_000);
  for (const latencyMs of [300, 600, 600]) {
    world.state.latencyMs = latencyMs;
    for (let passedMs = 0; passedMs < 10_000; passedMs += stepMs) {
      await world.clock.advance(stepMs);
      expect(first!.lease.isHolding(1)).toEqual(true);
    }
  }
});

// Guards against a second holder after an ambiguous renewal: the renewal shortened the lease, its
// reply was lost, and another process takes over before the previous, longer lease would end.
test('a renewal with a lost reply leaves no second holder', async () => {
  const world = createState();
  const contenders = await startContenders(world, wideTerms);
  const [first] = contenders;
  // Four renewals have been recorded, and the fifth, at 2,250 ms, shortens the lease.
  while (world.clock.getNowMs() < 2_200) await world.clock.advance(stepMs);
  const { process } = first!.node;
  process.pauseAtCall = process.callCount + 1;
  let passedMs = 0;
  while (passedMs < 4_000) {
    await world.clock.advance(stepMs);
    passedMs += stepMs;
    expect(countHolders(contenders) <= 1).toEqual(true);
  }
  expect(contenders.slice(1).some(({ lease }) => lease.isHolding(2))).toEqual(true);
});

const action = fc.oneof(
  { weight: 4, arbitrary: fc.record({ do: fc.constant('wait' as const), ms: fc.nat(2_500) }) },
  fc.record({
    do: fc.constant('fault' as const),
    fault: fc.constantFrom(TableFault.None, ...Object.values(TableFault)),
  }),
  fc.record({ do: fc.constant('latency' as const), ms: fc.constantFrom(0, 0, 40, 400, 900) }),
  fc.record({ do: fc.constant('pause' as const), node: fc.nat(2) }),
  fc.record({ do: fc.constant('resume' as const), node: fc.nat(2) }),
);

// Guards against two holders at once while the lease duration changes.
test('at most one process holds the lease at a time under faults', async () => {
  const actions = fc.array(action, { minLength: 10, maxLength: 40 });
  await fc.assert(
    fc.asyncProperty(actions, async (steps) => {
      const world = createState();
      const contenders = await startContenders(world, wideTerms);
      for (const step of steps) {
        if (step.do === 'fault') world.state.fault = step.fault;
        else if (step.do === 'latency') world.state.latencyMs = step.ms;
        else if (step.do === 'pause') contenders[step.node]!.node.process.pause();
        else if (step.do === 'resume') await contenders[step.node]!.node.process.resume();
        else {
          for (let passedMs = 0; passedMs <= step.ms; passedMs += stepMs) {
            await world.clock.advance(stepMs);
            expect(countHolders(contenders) <= 1).toEqual(true);
          }
        }
      }
    }),
    { seed, numRuns: 150 },
  );
});

// Guards against a holder that cannot act although the store answers each of its calls, however slowly.
test('a lease outlasts the renewals of a slow store', async () => {
  const world = createState();
  const slowTerms = { ...terms, longestLeaseMs: 4_000 };
  const [first] = await startContenders(world, slowTerms);
  await world.clock.advance(3_000);
  world.state.latencyMs = 1_300;
  // The first slow renewal shows how slow the store is.
  await world.clock.advance(4_000);
  for (let passedMs = 0; passedMs < 10_000; passedMs += stepMs) {
    await world.clock.advance(stepMs);
    expect(first!.lease.getState()).toEqual(LeaseState.Holding);
  }
});
