import { test } from 'node:test';
import fc from 'fast-check';
import { expect } from 'earl';
import { FaultCode } from '@bergamotreach/protocol';
import { checkAdmission } from '../src/admission.ts';
import { defaultAccount } from '../src/config.ts';
import { chooseEndpoint } from '../src/endpointchoice.ts';
import { createFairQueue } from '../src/fairqueue.ts';
import { createEndpointHealth, HealthState } from '../src/health.ts';
import { computeMaxMinSlots, createGrantTable } from '../src/granttable.ts';
import { chooseRegion, createByteCounter } from '../src/regionchoice.ts';
import { createRetryBudget } from '../src/retrybudget.ts';
import { createHeldCredits } from '../src/heldcredits.ts';

const demand = { endpoint: 'e', wanted: 4, inUse: 0, longestDeadlineMs: 0 };

// Guards against slots used after their expiry by a holder that was paused or got a late grant.
test('held credits are valid from the sending of the request', () => {
  const heldCredits = createHeldCredits(0);
  const sequence = heldCredits.startRequest('g', [demand], 500, 1000)!;
  expect(heldCredits.applyGrant('g', sequence, [{ endpoint: 'e', slots: 4 }], 1000)).toEqual(true);
  expect([heldCredits.countSlots('e', 1999), heldCredits.countSlots('e', 2000)]).toEqual([4, 0]);
  expect(heldCredits.applyGrant('g', sequence, [{ endpoint: 'e', slots: 4 }], 1000)).toEqual(false);
});

// Guards against a holder that uses slots that its grantor no longer counts.
test('held credits are given up before an unanswered request is repeated', () => {
  const heldCredits = createHeldCredits(0);
  const first = heldCredits.startRequest('g', [demand], 500, 0)!;
  heldCredits.applyGrant('g', first, [{ endpoint: 'e', slots: 4 }], 1000);
  const second = heldCredits.startRequest('g', [demand], 500, 100)!;
  expect(heldCredits.startRequest('g', [demand], 500, 200)).toEqual(undefined);
  expect(heldCredits.countSlots('e', 200)).toEqual(4);
  heldCredits.startRequest('g', [demand], 500, 650);
  expect(heldCredits.countSlots('e', 650)).toEqual(0);
  expect(heldCredits.applyGrant('g', second, [{ endpoint: 'e', slots: 4 }], 1000)).toEqual(false);
});

// Guards against a grantor that stops counting a grant while its holder still uses it.
test('a grant table counts the last grant until requests dispatched on it must have ended', () => {
  const grantTable = createGrantTable(() => ({ creditMs: 1000, maxRequestMs: 5000 }));
  grantTable.setShare('e', 'g', 4, Infinity);
  const request = (holder: string, sequence: number, wanted: number, nowMs: number): number =>
    grantTable.handleRequest(holder, sequence, [{ ...demand, wanted }], () => 4, nowMs)![0]!.slots;
  expect(request('a', 1, 4, 0)).toEqual(4);
  expect(request('b', 1, 4, 100)).toEqual(0);
  // Holder a requests half of its slots, but may have used more of them before.
  expect(request('a', 2, 2, 200)).toEqual(2);
  expect(request('b', 2, 4, 300)).toEqual(2);
  expect(grantTable.countHeld('e', 6100)).toEqual(4);
  expect(request('b', 3, 4, 6250)).toEqual(4);
  expect(grantTable.handleRequest('b', 3, [demand], () => 4, 6260)).toEqual(undefined);
});

// Guards against an uncounted grant that the holder may still use while its next request is in
// transit.
test('a grant table counts the grant before the last until the next report', () => {
  const grantTable = createGrantTable(() => ({ creditMs: 1000, maxRequestMs: 5000 }));
  grantTable.setShare('e', 'g', 4, Infinity);
  grantTable.handleRequest('a', 1, [demand], () => 4, 0);
  grantTable.handleRequest('b', 1, [demand], () => 4, 50);
  grantTable.handleRequest('a', 2, [demand], () => 4, 100);
  expect(grantTable.handleRequest('b', 2, [demand], () => 4, 200)).toEqual([
    { endpoint: 'e', slots: 0 },
  ]);
  expect(grantTable.countHeld('e', 200)).toEqual(4);
  grantTable.handleRequest('a', 3, [demand], () => 4, 300);
  expect(grantTable.handleRequest('b', 3, [demand], () => 4, 400)![0]!.slots).toEqual(2);
});

// Guards against slots that are lost or duplicated when they are divided.
test('max-min fair allocations use the capacity and no more', () => {
  const demands = fc.array(fc.nat(12), { maxLength: 6 });
  fc.assert(
    fc.property(fc.nat(20), demands, (capacity, wanted) => {
      const list = wanted.map((slots, index) => ({ id: String(index), wanted: slots }));
      const total = [...computeMaxMinSlots(capacity, list).values()].reduce((a, b) => a + b, 0);
      expect(total).toEqual(
        Math.min(
          capacity,
          wanted.reduce((a, b) => a + b, 0),
        ),
      );
    }),
    { seed: 3 },
  );
});

function takeEntries(queue: ReturnType<typeof createFairQueue<string>>, count: number): string[] {
  const served: string[] = [];
  while (served.length < count) {
    const entry = queue.getNext(10);
    if (entry === undefined) break;
    queue.takeEntry(entry);
    queue.releaseSlot(entry.account);
    served.push(entry.account);
  }
  return served;
}

// Guards against one account that delays the others by sending more requests.
test('accounts are served by weight, however many requests each sends', () => {
  const weights: Record<string, number> = { big: 1, small: 2 };
  const queue = createFairQueue<string>((account) => ({
    ...defaultAccount,
    weight: weights[account]!,
  }));
  for (let index = 0; index < 200; index += 1) queue.addEntry('big', 1000, 'x');
  for (let index = 0; index < 20; index += 1) queue.addEntry('small', 1000, 'x');
  const served = takeEntries(queue, 30);
  expect(served.filter((account) => account === 'small').length).toBeGreaterThanOrEqual(19);
});

// Guards against an account that accumulates credit while idle, and against unbounded queues.
test('an idle account accumulates no credit and the queue is bounded', () => {
  const queue = createFairQueue<string>(() => ({ ...defaultAccount, maxQueued: 50 }));
  for (let index = 0; index < 50; index += 1) queue.addEntry('a', 1000, 'x');
  const refused = queue.addEntry('a', 1000, 'x');
  expect(refused.isErr() && refused.error.code).toEqual(FaultCode.QueueFull);
  takeEntries(queue, 30);
  for (let index = 0; index < 20; index += 1) queue.addEntry('late', 1000, 'x');
  const served = takeEntries(queue, 20).filter((account) => account === 'late').length;
  expect([9, 10, 11]).toInclude(served);
});

// Guards against a guaranteed share that waits behind other accounts.
test('an account below its guaranteed share goes first', () => {
  const queue = createFairQueue<string>((account) => ({
    ...defaultAccount,
    guaranteedShare: account === 'sold' ? 0.5 : 0,
  }));
  for (let index = 0; index < 20; index += 1) queue.addEntry('other', 1000, 'x');
  for (let index = 0; index < 20; index += 1) queue.addEntry('sold', 1000, 'x');
  const order = Array.from({ length: 8 }, () => {
    const entry = queue.getNext(10)!;
    queue.takeEntry(entry);
    return entry.account;
  });
  expect(order.slice(0, 5)).toEqual(['sold', 'sold', 'sold', 'sold', 'sold']);
  expect(order.slice(5)).toInclude('other');
});

// Guards against queueing requests that cannot be served in time.
test('a request that cannot meet its deadline is refused with a retry time', () => {
  const input = { remainingMs: 100, waiting: 40, share: 0.5, slots: 8, serviceMs: 20 };
  expect(checkAdmission(input)?.retryAfterMs).toEqual(230);
  expect(checkAdmission({ ...input, waiting: 9 })).toEqual(undefined);
});

// Guards against retries that multiply the load during an outage.
test('retries stay within a tenth of the requests', () => {
  const budget = createRetryBudget(() => ({ getRetryRatio: () => 0.1, maxRetryTokens: 10 }));
  let retries = 0;
  for (let request = 0; request < 1000; request += 1) {
    budget.addRequest('a');
    while (budget.takeRetry('a')) retries += 1;
  }
  expect(retries).toBeLessThanOrEqual(101);
  expect(retries).toBeGreaterThanOrEqual(99);
});

// Guards against a failing endpoint that keeps getting requests, and a burst when it recovers.
test('an endpoint is ejected after three failures and recovers with a slow start', () => {
  const health = createEndpointHealth();
  for (let count = 0; count < 3; count += 1) health.reportFailure(100);
  expect(health.computeUsableSlots(8, 200)).toEqual(0);
  expect([health.getState(1100), health.computeUsableSlots(8, 1100)]).toEqual([
    HealthState.Probing,
    1,
  ]);
  health.reportFailure(1200);
  expect(health.getState(3100)).toEqual(HealthState.Ejected);
  health.reportSuccess(3300);
  expect([3300, 4900, 6300].map((nowMs) => health.computeUsableSlots(10, nowMs))).toEqual([
    2, 5, 10,
  ]);
});

// Guards against a failure local to one daemon that reduces capacity at all the others.
test('an endpoint that only a peer reported is probed and recovers at once', () => {
  const health = createEndpointHealth();
  health.applyHint(100);
  expect(health.computeUsableSlots(8, 100)).toEqual(1);
  health.reportSuccess(150);
  expect(health.computeUsableSlots(8, 150)).toEqual(8);
});

// Guards against a slow endpoint that gets as many requests as the others.
test('the endpoint with the smallest expected load is chosen', () => {
  const slow = { id: 'slow', inUse: 0, slots: 8, serviceMs: 200 };
  const fast = { id: 'fast', inUse: 4, slots: 8, serviceMs: 20 };
  expect(chooseEndpoint([slow, fast], 0)?.id).toEqual('fast');
  expect(chooseEndpoint([slow, { ...fast, inUse: 8 }], 0)?.id).toEqual('slow');
});

// Guards against billed cross-region traffic that saves no time.
test('a request leaves its region only when the wait exceeds the cost of link and bytes', () => {
  const choose = (waitMs: number, bytes: number): string | undefined =>
    chooseRegion(
      'own',
      [
        { region: 'own', waitMs },
        { region: 'far', waitMs: 0 },
      ],
      bytes,
      () => ({ latencyMs: 20, costMsPerKilobyte: 1 }),
    );
  expect([choose(40, 0), choose(45, 0), choose(45, 10_240)]).toEqual(['own', 'far', 'own']);
  expect(choose(Infinity, 1e6)).toEqual('far');
  const counter = createByteCounter();
  counter.addBytes('a', 'far', 5);
  counter.addBytes('a', 'far', 7);
  expect(counter.getDump()).toEqual({ 'a/far': 12 });
});
