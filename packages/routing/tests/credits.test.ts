import { test } from 'node:test';
import fc from 'fast-check';
import { expect } from 'earl';
import { createCreditSim } from './creditsim.ts';
import type { CreditSim } from './creditsim.ts';

const slots = 8;

interface Step {
  kind: string;
  left: number;
  right: number;
  isOneSided: boolean;
  durationMs: number;
}

const stepKinds = ['cut', 'join', 'pause', 'demand', 'crash', 'drain', 'faults', 'wait'];

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(...stepKinds),
    left: fc.nat(2),
    right: fc.nat(2),
    isOneSided: fc.boolean(),
    durationMs: fc.integer({ min: 50, max: 6000 }),
  }),
  { minLength: 4, maxLength: 14 },
);

function applyStep(sim: CreditSim, step: Step): void {
  const { kind, left, right, isOneSided, durationMs } = step;
  const node = sim.nodes[left];
  if (kind === 'cut') sim.setTwoWay(left, right, false, isOneSided);
  else if (kind === 'join') sim.setTwoWay(left, right, true, isOneSided);
  else if (kind === 'pause') sim.pause(left, durationMs);
  else if (kind === 'crash') sim.crash(left);
  else if (kind === 'drain') sim.setDraining(left);
  else if (kind === 'demand' && node !== undefined) node.demand = durationMs % (slots + 1);
  else if (kind === 'faults') {
    sim.faults.lossRate = (right * 0.3) / 2;
    sim.faults.duplicateRate = 0.2;
    sim.faults.maxDelayMs = isOneSided ? durationMs : 20;
  }
  sim.run(durationMs % 1500);
}

// Guards against more requests in flight at an endpoint than it has slots, when grantors disagree,
// holders pause or crash, and messages (requests, grants, returns) are lost, delayed, reordered or
// duplicated.
test('slots are never exceeded', () => {
  fc.assert(
    fc.property(fc.integer(), steps, (seed, list) => {
      const sim = createCreditSim(seed, 3, slots, 0.5);
      for (const step of list) applyStep(sim, step);
      sim.run(1000);
      expect(sim.getMaxExcess()).toBeLessThanOrEqual(0);
    }),
    { seed: 20_261, numRuns: 150 },
  );
});

// Guards against slots that stay idle although a daemon wants them.
test('all slots are used when one daemon wants them', () => {
  const sim = createCreditSim(7, 3, slots, 0);
  sim.run(8000);
  for (const node of sim.nodes.slice(1)) node.demand = 0;
  sim.run(6000);
  const holder = sim.nodes[0]!;
  const held = holder.endpoints.listEndpoints().map((endpoint) => endpoint.running.size);
  expect(Math.min(...held)).toBeGreaterThanOrEqual(slots - 2);
});

// Guards against slots that stay unavailable after their grantor crashed and does not return.
test('slots return after a grantor crashed', () => {
  const sim = createCreditSim(11, 3, slots, 0);
  sim.run(8000);
  sim.crash(0);
  sim.run(3500);
  // Two of three daemons use their shares until the third one's delegations must have expired.
  expect(sim.countHeld(1) + sim.countHeld(2)).toBeGreaterThanOrEqual(2 * 5);
  sim.run(12_500);
  expect(sim.countRunning()).toBeGreaterThanOrEqual(2 * (slots - 2));
  expect(sim.getMaxExcess()).toBeLessThanOrEqual(0);
});

// Guards against a last daemon that waits for the delegations of dead daemons to expire.
test('the only remaining daemon uses all slots at once', () => {
  const sim = createCreditSim(17, 3, slots, 0);
  sim.run(8000);
  sim.crash(0);
  sim.crash(2);
  sim.run(3500);
  expect(sim.countHeld(1)).toEqual(2 * slots);
  expect(sim.getMaxExcess()).toBeLessThanOrEqual(0);
});

// Guards against a planned stop that makes slots unavailable until a delegation expires.
test('a draining grantor returns its shares within two seconds', () => {
  const sim = createCreditSim(13, 3, slots, 0);
  sim.run(8000);
  sim.setDraining(0);
  sim.setDraining(1);
  sim.run(3500);
  const [, , taker] = sim.nodes;
  const capacities = taker!.endpoints
    .listEndpoints()
    .map((endpoint) => taker!.credits.countSlots(endpoint, 0));
  expect(capacities.length).toEqual(2);
  expect(sim.countRunning()).toBeGreaterThanOrEqual(2 * (slots - 3));
  expect(sim.getMaxExcess()).toBeLessThanOrEqual(0);
});
