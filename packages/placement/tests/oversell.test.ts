import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { Adjacency, checkConfig, findOversold } from '../src/index.ts';
import type { GuaranteeSpec, PlacementConfig, WorkerSpec } from '../src/index.ts';
import { canPlaceAll } from './bruteforce.ts';
import { createAccount, createConfig, createWorkers } from './samples.ts';

function createSoldConfig(
  sold: [string, Adjacency, number, number][],
  reserve = 0,
): PlacementConfig {
  const accounts = ['x', 'y'].map((id) => ({
    ...createAccount(id),
    guarantees: sold
      .filter(([account]) => account === id)
      .map(([, within, accelerators, count]): GuaranteeSpec => ({
        dataCentre: 'a',
        accelerators,
        within,
        count,
      })),
  }));
  return { ...createConfig(accounts), lossReserve: { a: reserve } };
}

function listShapes(config: PlacementConfig) {
  return config.accounts.flatMap((account) =>
    account.guarantees.flatMap((spec) => Array.from({ length: spec.count }, () => spec)),
  );
}

const adjacency = fc.constantFrom(Adjacency.Worker, Adjacency.Rack);
const sale = fc.tuple(
  fc.constantFrom('x', 'y'),
  adjacency,
  fc.integer({ min: 1, max: 16 }),
  fc.integer({ min: 1, max: 4 }),
);
const workerSale = fc.tuple(
  fc.constantFrom('x', 'y'),
  fc.constant(Adjacency.Worker),
  fc.integer({ min: 1, max: 8 }),
  fc.integer({ min: 1, max: 3 }),
);

// Guards against accepting an infeasible configuration and against rejecting a feasible one.
test('oversell check agrees with brute force on equal workers', () => {
  let accepted = 0;
  const property = fc.property(
    fc.constantFrom(1, 2, 4),
    fc.integer({ min: 1, max: 6 }),
    fc.integer({ min: 1, max: 4 }),
    fc.array(sale, { maxLength: 4 }),
    (accelerators, count, perRack, sold) => {
      const workers = createWorkers(count, accelerators, perRack);
      const config = createSoldConfig(sold);
      const isPossible = canPlaceAll(workers, listShapes(config), () => true);
      if (isPossible) accepted += 1;
      expect(checkConfig(config, workers).isOk()).toEqual(isPossible);
    },
  );
  fc.assert(property, { seed: 11, numRuns: 800 });
  expect(accepted).toBeGreaterThan(100);
});

// Guards against errors with worker sizes that are not powers of two and with mixed racks.
test('oversell check agrees with brute force on mixed workers', () => {
  const property = fc.property(
    fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 1, maxLength: 4 }),
    fc.array(workerSale, { maxLength: 4 }),
    (sizes, sold) => {
      const workers = sizes.map((accelerators, index): WorkerSpec => ({
        ...createWorkers(index + 1, accelerators)[index]!,
      }));
      const config = createSoldConfig(sold);
      const isPossible = canPlaceAll(workers, listShapes(config), () => true);
      expect(checkConfig(config, workers).isOk()).toEqual(isPossible);
    },
  );
  fc.assert(property, { seed: 12, numRuns: 800 });
});

// Guards against a loss reserve that does not cover some set of lost workers.
test('loss reserve covers the loss of any workers', () => {
  let accepted = 0;
  const property = fc.property(
    fc.constantFrom(1, 2, 4),
    fc.integer({ min: 3, max: 7 }),
    fc.constantFrom(2, 4, 8),
    fc.integer({ min: 1, max: 2 }),
    fc.array(sale, { minLength: 1, maxLength: 3 }),
    fc.array(fc.nat(), { minLength: 2, maxLength: 2 }),
    (accelerators, count, perRack, reserve, sold, picks) => {
      const workers = createWorkers(count, accelerators, perRack);
      const config = createSoldConfig(sold, reserve);
      if (checkConfig(config, workers).isErr()) return;
      accepted += 1;
      const lost = picks.slice(0, reserve).map((pick) => workers[pick % count]!.id);
      const isFree = (slot: string): boolean => !lost.some((id) => slot.startsWith(`${id}/`));
      expect(canPlaceAll(workers, listShapes(config), isFree)).toEqual(true);
    },
  );
  fc.assert(property, { seed: 13, numRuns: 3000 });
  expect(accepted).toBeGreaterThan(100);
});

// Guards against reserving one small cell for the loss of a worker that holds several.
test('loss reserve covers whole workers when only small shapes are sold', () => {
  const workers = createWorkers(3, 4);
  expect(checkConfig(createSoldConfig([['x', Adjacency.Worker, 1, 8]], 1), workers).isOk()).toEqual(
    true,
  );
  expect(checkConfig(createSoldConfig([['x', Adjacency.Worker, 1, 9]], 1), workers).isOk()).toEqual(
    false,
  );
});

// Guards against an error message that does not say what to change.
test('oversell error names account, shape and level', () => {
  const workers = createWorkers(2, 8);
  const config = createSoldConfig([
    ['x', Adjacency.Worker, 8, 2],
    ['y', Adjacency.Worker, 3, 1],
  ]);
  expect(findOversold(config, workers)).toEqual([
    {
      account: 'y',
      dataCentre: 'a',
      accelerators: 3,
      within: Adjacency.Worker,
      level: 2,
      missing: 1,
      missingReserve: 0,
    },
  ]);
  const fault = checkConfig(config, workers).unwrapErr();
  expect(fault.message).toEqual(
    'account "y" cannot be guaranteed 3 accelerators within worker (level 2) in data centre "a": ' +
      '1 of the shapes are missing',
  );
});
