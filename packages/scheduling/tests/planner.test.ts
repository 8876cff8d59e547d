import { test } from 'node:test';
import { expect } from 'earl';
import {
  UrgentReserve,
  TaskPhase,
  createPlanPolicy,
  createRunTimes,
  markUrgentReserve,
  planReservation,
  planStarts,
} from '../src/index.ts';
import {
  createInput,
  createReady,
  createSingle,
  createWorker,
  listWorkers,
  runOn,
} from './samples.ts';

const gang = {
  isGang: true,
  taskCount: 3,
  demand: { cpuMillis: 1000, memoryMb: 1000, accelerators: 8 },
};

// Guards against starting only some members of a gang.
test('a gang waits until all members fit', () => {
  const group = createSingle('g', 1, gang);
  const plan = planStarts(
    createInput([createWorker('w1'), createWorker('w2')], [createReady(group)]),
  );
  expect(plan.starts).toEqual([]);
});

// Guards against spreading a rack-bound gang, which makes it run three times as long.
test('a rack-bound gang is placed in one rack', () => {
  const workers = ['w1', 'w2', 'w3'].map((id) => createWorker(id, 'r1'));
  const others = ['v1', 'v2'].map((id) => createWorker(id, 'r2'));
  const group = createSingle('g', 1, { ...gang, isRackBound: true });
  const plan = planStarts(createInput([...others, ...workers], [createReady(group)]));
  expect(listWorkers(plan, 'g').sort()).toEqual(['w1', 'w2', 'w3']);
});

// Guards against spreading a gang on a busy fleet, where its longer run delays others.
test('a rack-bound gang is not spread on a busy fleet', () => {
  const workers = [createWorker('w1', 'r1'), createWorker('w2', 'r1'), createWorker('v1', 'r2')];
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 6 }));
  const group = createSingle('g', 1, { isGang: true, isRackBound: true, taskCount: 5 });
  // Five members do not fit into the four free accelerators of rack r1.
  const plan = planStarts(createInput(workers, [createReady(group, 60_000)]));
  expect(plan.starts).toEqual([]);
});

// Guards against a guarantee that is not met while work of lower priority runs.
test('an urgent gang preempts work of lower priority', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('low', 2, { taskCount: 8 }), 9000);
  const group = createSingle('urgent', 0, {
    demand: { cpuMillis: 1000, memoryMb: 1000, accelerators: 4 },
    isGang: true,
  });
  const plan = planStarts(createInput([worker], [createReady(group)]));
  expect(plan.stops.length).toEqual(4);
  expect(plan.starts).toEqual([]);
});

// Guards against preempting more work for the same job while earlier stops are in progress.
test('stops in progress count as available', () => {
  const worker = createWorker('w1');
  const low = createSingle('low', 2, { taskCount: 8 });
  runOn(worker, low, 9000);
  for (const task of low.tasks.slice(0, 4)) task.phase = TaskPhase.Stopping;
  worker.releasing = { cpuMillis: 4000, memoryMb: 4000, accelerators: 4 };
  const group = createSingle('urgent', 0, { taskCount: 4, isGang: true });
  const plan = planStarts(createInput([worker], [createReady(group)]));
  expect(plan.stops).toEqual([]);
});

// Guards against work of lower priority that takes the room preempted for an urgent job.
test('preempted room is reserved for the urgent job', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('low', 2, { taskCount: 6 }), 9000);
  const urgent = createSingle('urgent', 0, { isGang: true, taskCount: 4 });
  const late = createSingle('late', 2, { taskCount: 2 });
  const plan = planStarts(createInput([worker], [createReady(late), createReady(urgent)]));
  expect(plan.stops.length).toEqual(2);
  expect(listWorkers(plan, 'late')).toEqual([]);
});

// Guards against losing long runs when stopping short ones frees the same resources.
test('the victims with the least loss are preempted', () => {
  const [old, young] = [createWorker('w1'), createWorker('w2')];
  runOn(old, createSingle('old', 2, { taskCount: 8 }), 1000);
  runOn(young, createSingle('young', 2, { taskCount: 8 }), 9500);
  const group = createSingle('urgent', 0, { isGang: true, taskCount: 8 });
  const plan = planStarts(createInput([old, young], [createReady(group)]));
  expect(new Set(plan.stops.map(({ task }) => task.workerId))).toEqual(new Set(['w2']));
});

// Guards against preempting work without checkpoints at each burst of urgent jobs on a full fleet.
test('reserved workers take urgent and checkpointing work only', () => {
  const workers = Array.from({ length: 5 }, (_, index) => createWorker(`w${index}`));
  markUrgentReserve(workers, 16);
  const [first, second] = workers.map(({ urgentReserve }) => urgentReserve);
  expect([first, second]).toEqual([UrgentReserve.UrgentOnly, UrgentReserve.UrgentOnly]);
  const plain = createSingle('plain', 2, { taskCount: 40 });
  const changes = {
    urgentDemand: new Map([['p1', 16]]),
    policy: createPlanPolicy({ urgentReserveShare: 1 }),
  };
  // No worker is reserved while the fleet is idle, so keep it busy.
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 5 }));
  const plan = planStarts(createInput(workers, [createReady(plain)], changes));
  expect(listWorkers(plan, 'plain').length).toEqual(9);
});

// Guards against urgent jobs that lose one of their few attempts on a worker that fails everything.
test('a suspect worker takes no urgent work', () => {
  const worker = { ...createWorker('w1'), isSuspect: true };
  const urgent = createSingle('urgent', 0);
  const probe = createSingle('probe', 2);
  const plan = planStarts(createInput([worker], [createReady(urgent), createReady(probe)]));
  expect(listWorkers(plan, 'urgent')).toEqual([]);
  expect(listWorkers(plan, 'probe')).toEqual(['w1']);
});

// Guards against more tasks of a step on one worker than its limit.
test('the limit of tasks per worker is respected', () => {
  const group = createSingle('g', 1, { taskCount: 4, maxPerWorker: 1 });
  const plan = planStarts(
    createInput([createWorker('w1'), createWorker('w2')], [createReady(group)]),
  );
  expect(listWorkers(plan, 'g').sort()).toEqual(['w1', 'w2']);
});

// Guards against placing tasks on workers without the required label.
test('the required label is respected', () => {
  const group = createSingle('g', 1, { requiredLabel: 'b' });
  const plan = planStarts(createInput([createWorker('w1')], [createReady(group)]));
  expect(plan.starts).toEqual([]);
});

// Guards against a wide gang that starves because smaller work takes each accelerator as it is freed.
test('a waiting gang gets a reservation', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 4 }));
  const wide = createSingle('wide', 1, { isGang: true, taskCount: 8 });
  const small = createSingle('small', 2, { taskCount: 4 });
  const input = createInput([worker], [createReady(wide, 2800), createReady(small)]);
  expect(planStarts(input).starts).toEqual([]);
});

// Guards against younger urgent jobs that repeatedly take the room preempted for an older one.
test('an older urgent job keeps the room preempted for it', () => {
  const worker = createWorker('w1');
  const older = createSingle('older', 0, { isGang: true, taskCount: 8 });
  const younger = createSingle('younger', 0, { isGang: true, taskCount: 4 });
  const ready = [createReady(younger, 100), createReady(older, 900)];
  const plan = planStarts(createInput([worker], ready, { guaranteed: new Set(['younger']) }));
  expect(listWorkers(plan, 'older').length).toEqual(8);
});

// Guards against a gang that waits long for a rack while most of the fleet is idle.
test('no job waits long for a rack on an idle fleet', () => {
  const workers = ['r1', 'r2'].map((rack) => createWorker(`w${rack}`, rack));
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 3 }));
  const gang = createSingle('g', 1, { isGang: true, isRackBound: true, taskCount: 8 });
  const planAt = (ageMs: number) =>
    planStarts(createInput(structuredClone(workers), [createReady(gang, ageMs)]));
  expect(planAt(1000).starts).toEqual([]);
  expect(listWorkers(planAt(5000), 'g').length).toEqual(8);
});

// Guards against a burst of small urgent jobs that preempts one wide gang after another, which loses
// far more work than the jobs do: 14 % of the work in a replayed load.
test('a job beyond its guarantee does not preempt far more work than its own', () => {
  const worker = createWorker('w1');
  const wide = createSingle('wide', 1, { isGang: true, taskCount: 8, estimatedMs: 60_000 });
  runOn(worker, wide, 1);
  const urgent = createSingle('urgent', 0, { estimatedMs: 500 });
  const planFor = (guaranteed: Set<string>) =>
    planStarts(createInput([worker], [createReady(urgent)], { nowMs: 30_000, guaranteed }));
  expect(planFor(new Set()).stops).toEqual([]);
  expect(planFor(new Set(['urgent'])).stops.length).toEqual(8);
});

// Guards against reserving slots under the youngest work, which ends last.
test('a reservation takes the slots that are free soonest', () => {
  const [young, old] = [createWorker('w1'), createWorker('w2')];
  runOn(young, createSingle('young', 2, { taskCount: 8, estimatedMs: 9000 }), 9800);
  runOn(old, createSingle('old', 2, { taskCount: 8, estimatedMs: 9000 }), 2000);
  const gang = createSingle('g', 1, { isGang: true, taskCount: 8 });
  const reservation = planReservation(gang, [young, old], 10_000);
  expect(reservation?.slots.map(({ worker }) => worker.id)).toEqual(['w2']);
  // 1 s of the declared 9 s is left, but a run is expected to last for at least a fifth of it.
  expect(reservation?.readyInMs).toEqual(1800);
});

// Guards against reserved slots that stay idle although short work would end before they are needed.
test('only work that ends in time is backfilled into a reservation', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 4, estimatedMs: 20_000 }), 9000);
  const gang = createSingle('g', 1, { isGang: true, taskCount: 6, estimatedMs: 5000 });
  const short = createSingle('short', 2, { estimatedMs: 2000 });
  const long = createSingle('long', 2, { estimatedMs: 60_000 });
  const ready = [createReady(gang, 2600), createReady(short), createReady(long)];
  const plan = planStarts(createInput([worker], ready));
  expect([listWorkers(plan, 'short'), listWorkers(plan, 'long')]).toEqual([['w1'], []]);
});

// Guards against configured priority weights that have no effect on the order.
test('configured weights decide between priorities', () => {
  const order = (weights?: number[]) => {
    const policy = createPlanPolicy(
      weights === undefined ? {} : { value: { priorityWeights: weights } },
    );
    const low = createSingle('low', 2, { taskCount: 8 });
    const high = createSingle('high', 1, { taskCount: 9 });
    const ready = [createReady(low), createReady(high)];
    return policy.order
      .rank(ready, { guaranteed: new Set(), nowMs: 0, runTimes: createRunTimes() })
      .map(({ group }) => group.job.id);
  };
  expect([order([1]), order()]).toEqual([
    ['low', 'high'],
    ['high', 'low'],
  ]);
});

// Guards against urgent jobs that repeatedly preempt each other in a burst: a replayed day started
// 1,474 urgent runs in 12 s, of which 169 succeeded.
test('a guaranteed job waits before it preempts other urgent work', () => {
  const worker = createWorker('w1');
  const other = createSingle('other', 0, { taskCount: 8 });
  other.job.account = 'a2';
  runOn(worker, other, 9000);
  const group = createSingle('urgent', 0, { isGang: true, taskCount: 2 });
  const guaranteed = new Set(['urgent']);
  const planAt = (ageMs: number) =>
    planStarts(createInput([worker], [createReady(group, ageMs)], { guaranteed }));
  expect(planAt(0).stops).toEqual([]);
  expect(planAt(1500).stops.length).toEqual(2);
});

// Guards against preempting urgent work although work of lower priority holds enough resources.
test('urgent work is preempted only when no lower priority can be', () => {
  const urgentWorker = createWorker('w1');
  const other = createSingle('other', 0, { taskCount: 8 });
  other.job.account = 'a2';
  // It has only just started, so preempting it would lose the least.
  runOn(urgentWorker, other, 9990);
  const lowWorker = createWorker('w2');
  runOn(lowWorker, createSingle('low', 2, { taskCount: 8 }), 0);
  const group = createSingle('urgent', 0, { isGang: true, taskCount: 2 });
  const changes = { guaranteed: new Set(['urgent']) };
  const plan = planStarts(
    createInput([urgentWorker, lowWorker], [createReady(group, 2000)], changes),
  );
  expect(plan.stops.map((stop) => stop.group.job.id)).toEqual(['low', 'low']);
});
