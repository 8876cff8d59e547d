import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { Adjacency, CapacityClass, EventKind, GangEnd, checkConfig } from '../src/index.ts';
import type { AccountSpec, GuaranteeSpec, JobSpec, PlacementConfig } from '../src/index.ts';
import { createHistory } from './history.ts';
import type { History } from './history.ts';
import { createAccount, createConfig, createJob, createWorkers } from './samples.ts';

const workers = [...createWorkers(6, 4, 3, 'a'), ...createWorkers(2, 2, 2, 'b')];

type Sale = [account: number, accelerators: number, count: number];

type Step =
  | { kind: 'arrive'; account: string; changes: Partial<JobSpec> }
  | { kind: 'end' | 'fail' | 'cancel' | 'usage'; pick: number }
  | { kind: 'lose' | 'return'; first: number; count: number }
  | { kind: 'config'; sales: Sale[]; quota: number }
  | { kind: 'stops' | 'starts' | 'restart' }
  | { kind: 'time'; durationMs: number };

function createGuarantee([, accelerators, count]: Sale): GuaranteeSpec {
  const within = accelerators > 4 ? Adjacency.Rack : Adjacency.Worker;
  return { dataCentre: 'a', accelerators, within, count };
}

/** Guarantees as many of the shapes as are feasible; account `z` has a quota and no guarantee. */
function createSoldConfig(sales: readonly Sale[], quota: number): PlacementConfig {
  const sold: Sale[] = [];
  const build = (): PlacementConfig =>
    createConfig([
      ...['x', 'y'].map((id, index): AccountSpec => ({
        ...createAccount(id),
        guarantees: sold.filter(([account]) => account === index).map(createGuarantee),
      })),
      { ...createAccount('z'), quotaAccelerators: quota },
    ]);
  for (const sale of sales) {
    sold.push(sale);
    if (checkConfig(build(), workers).isErr()) sold.pop();
  }
  return build();
}

const saleArbitrary = fc.tuple(
  fc.integer({ min: 0, max: 1 }),
  fc.constantFrom(1, 2, 3, 4, 8),
  fc.integer({ min: 1, max: 3 }),
);
const salesArbitrary = fc.array(saleArbitrary, { minLength: 1, maxLength: 5 });
const jobArbitrary = fc.record({
  members: fc.integer({ min: 1, max: 6 }),
  accelerators: fc.integer({ min: 0, max: 4 }),
  within: fc.constantFrom(Adjacency.Worker, Adjacency.Rack, Adjacency.DataCentre),
  urgent: fc.boolean(),
  cores: fc.constantFrom(0, 1, 9),
  dataCentre: fc.constantFrom('', 'a', 'b'),
  // The default of 60 s, and 10 times less and more.
  declaredSeconds: fc.constantFrom(6, 60, 600),
});
const stepArbitrary = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('arrive' as const),
      account: fc.constantFrom('x', 'y', 'z'),
      changes: jobArbitrary,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom('end', 'end', 'fail', 'cancel', 'usage'),
      pick: fc.nat(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('lose', 'return', 'return'),
      first: fc.nat(7),
      count: fc.constantFrom(1, 1, 3),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('config' as const),
      sales: salesArbitrary,
      quota: fc.integer({ min: 0, max: 8 }),
    }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constantFrom('stops', 'starts') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart') }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('time' as const),
      durationMs: fc.integer({ min: 1, max: 120_000 }),
    }),
  },
) as fc.Arbitrary<Step>;

function runArrival(history: History, step: Extract<Step, { kind: 'arrive' }>, index: number) {
  const job = createJob(`j${index}`, step.account, step.changes);
  if (history.getScheduler().checkJob(job).isOk()) history.arrive(job);
}

function runJobStep(history: History, kind: string, pick: number): void {
  const queued = kind === 'cancel' ? [...history.queued.keys()] : [];
  const candidates = [...queued, ...history.gangs.keys()];
  const jobId = candidates[pick % Math.max(1, candidates.length)];
  if (jobId === undefined) return;
  const gang = history.gangs.get(jobId);
  const worker = gang?.placement.members[pick % gang.placement.members.length]?.worker;
  if (kind === 'cancel') history.send({ kind: EventKind.JobsCancelled, jobIds: [jobId] });
  else if (kind === 'usage') {
    history.send({ kind: EventKind.UsageReported, jobId, attainedSeconds: pick % 100_000 });
  } else if (kind === 'end') history.end(jobId, GangEnd.Done);
  else history.end(jobId, GangEnd.MemberFailed, worker);
}

function runWorkerStep(history: History, step: Extract<Step, { first: number }>): void {
  const chosen = workers.slice(step.first, step.first + step.count);
  if (step.kind === 'return') {
    for (const { id } of chosen) history.lost.delete(id);
    history.send({ kind: EventKind.WorkersAdded, workers: chosen });
    return;
  }
  const workerIds = chosen.map(({ id }) => id);
  for (const id of workerIds) history.lost.add(id);
  history.send({ kind: EventKind.WorkersLost, workerIds });
  for (const [jobId, { placement }] of [...history.gangs]) {
    const lostMember = placement.members.find(({ worker }) => workerIds.includes(worker));
    if (lostMember !== undefined) history.end(jobId, GangEnd.WorkerLost, lostMember.worker);
  }
}

function runStep(history: History, step: Step, index: number): void {
  if (step.kind === 'arrive') runArrival(history, step, index);
  else if (step.kind === 'lose' || step.kind === 'return') runWorkerStep(history, step);
  else if (step.kind === 'config') {
    history.setConfig(createSoldConfig(step.sales, step.quota));
  } else if (step.kind === 'stops') history.confirmStops();
  else if (step.kind === 'starts') history.confirmStarts();
  else if (step.kind === 'restart') history.restart();
  else if (step.kind === 'time') history.advance(step.durationMs);
  else if ('pick' in step) runJobStep(history, step.kind, step.pick);
}

/** Submits jobs for all unused shapes; all must start under guarantee after one round of stops. */
function startAllUnused(history: History): void {
  const wanted: string[] = [];
  for (const status of history.getScheduler().listGuarantees()) {
    const { account, accelerators, dataCentre, reclaimable } = status;
    for (let count = 0; count < reclaimable; count += 1) {
      const jobId = `claim-${account}-${accelerators}-${count}-${wanted.length}`;
      const within = accelerators > 4 ? Adjacency.Rack : Adjacency.Worker;
      const shape =
        accelerators > 4 ? { members: 2, accelerators: 4 } : { members: 1, accelerators };
      const job = createJob(jobId, account, {
        ...shape,
        cores: 0,
        memoryMb: 0,
        within,
        dataCentre,
      });
      history.arrive({ ...job, urgent: true });
      wanted.push(jobId);
    }
  }
  history.confirmStops();
  const started = wanted.filter((jobId) => {
    const placement = history.gangs.get(jobId)?.placement;
    return placement?.capacityClass === CapacityClass.Guaranteed;
  });
  expect(started).toEqual(wanted);
}

// Guards against broken guarantees, accelerators assigned twice, and wrong reports of lost hardware.
test('guarantees hold over random histories', () => {
  const property = fc.property(
    salesArbitrary,
    fc.array(stepArbitrary, { minLength: 20, maxLength: 60 }),
    fc.constantFrom(1, 4),
    (sales, steps, fragmentation) => {
      const weights = { completion: 1, fragmentation };
      const history = createHistory({ ...createSoldConfig(sales, 6), weights }, workers);
      steps.forEach((step, index) => {
        runStep(history, step, index);
      });
    },
  );
  fc.assert(property, { seed: 21, numRuns: 300 });
});

// Guards against guarantees that are reported as available although guaranteed jobs cannot start.
test('all unused shapes can be used at the same time', () => {
  const property = fc.property(
    salesArbitrary,
    fc.array(stepArbitrary, { minLength: 10, maxLength: 50 }),
    (sales, steps) => {
      const history = createHistory(createSoldConfig(sales, 6), workers);
      steps.forEach((step, index) => {
        runStep(history, step, index);
      });
      history.send({ kind: EventKind.JobsCancelled, jobIds: [...history.queued.keys()] });
      startAllUnused(history);
    },
  );
  fc.assert(property, { seed: 22, numRuns: 300 });
});
