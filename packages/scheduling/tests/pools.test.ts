import { test } from 'node:test';
import { expect } from 'earl';
import { createPlanPolicy, planStarts } from '../src/index.ts';
import type { TaskGroup, WorkerView } from '../src/index.ts';
import {
  createInput,
  createReady,
  createSingle,
  createWorker,
  listWorkers,
  runOn,
} from './samples.ts';

const otherPool = 'p2';
const longWaitMs = 6000;
const gang = {
  isGang: true,
  taskCount: 16,
  demand: { cpuMillis: 1000, memoryMb: 1000, accelerators: 1 },
};

/** Two workers in use, in the pool `p1` by default. */
function createBusy(): WorkerView[] {
  const workers = ['busy-1', 'busy-2'].map((id) => createWorker(id));
  for (const worker of workers) runOn(worker, createSingle(`on-${worker.id}`, 1, { taskCount: 8 }));
  return workers;
}

function setOtherPool(group: TaskGroup): TaskGroup {
  return { ...group, job: { ...group.job, pool: otherPool } };
}

// Guards against a job that waits for its rack without bound on idle workers, since the workers of another
// pool are in use and the fleet as a whole is not idle.
test('a job of an idle pool gives up its rack although another pool is busy', () => {
  const idle = { ...createWorker('idle-1', 'r2'), pool: otherPool };
  const group = setOtherPool(createSingle('bound', 1, { preferredRack: 'r9' }));
  const plan = planStarts(createInput([...createBusy(), idle], [createReady(group, longWaitMs)]));
  expect(listWorkers(plan, 'bound')).toEqual(['idle-1']);
});

// Guards against the reverse: an idle pool must not count for a busy one, where longer runs delay others.
test('a job of a busy pool keeps waiting for its rack although another pool is idle', () => {
  const idle = ['idle-1', 'idle-2', 'idle-3'].map((id) => ({
    ...createWorker(id),
    pool: otherPool,
  }));
  const [first, second] = createBusy();
  const free = createWorker('free', 'r2');
  const workers = [first, second, free].filter((worker) => worker !== undefined);
  const group = createSingle('bound', 1, { preferredRack: 'r9' });
  const plan = planStarts(createInput([...workers, ...idle], [createReady(group, longWaitMs)]));
  expect(listWorkers(plan, 'bound')).toEqual([]);
});

// Guards against gangs of one pool that take all reservations, so that newer work of another pool overtakes
// its gang for ever.
test('gangs of one pool leave reservations to another pool', () => {
  const policy = createPlanPolicy({ maxReservations: 1 });
  const own = [createWorker('own-1'), createWorker('own-2')];
  const other = ['other-1', 'other-2'].map((id) => ({ ...createWorker(id), pool: otherPool }));
  const inUse = [own[0], other[0]].filter((worker) => worker !== undefined);
  for (const worker of inUse) {
    const group = { ...createSingle(`on-${worker.id}`, 1, { taskCount: 8 }) };
    runOn(worker, worker.pool === otherPool ? setOtherPool(group) : group, 9000);
  }
  const first = createSingle('first', 1, gang);
  const second = setOtherPool(createSingle('second', 1, gang));
  // It would still run when the reservation of the other pool's gang is due.
  const long = setOtherPool(createSingle('long', 2, { estimatedMs: 60_000 }));
  const ready = [
    createReady(first, longWaitMs),
    createReady(second, longWaitMs - 1),
    createReady(long),
  ];
  const plan = planStarts(createInput([...own, ...other], ready, { policy }));
  expect(listWorkers(plan, 'long')).toEqual([]);
});
