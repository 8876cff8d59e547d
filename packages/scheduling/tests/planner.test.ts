import { test } from 'node:test';
import { expect } from 'earl';
import {
  Reservation,
  TaskPhase,
  createPlanPolicy,
  markReserved,
  planGathering,
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

// Guards against a gang of which only a part is started.
test('gang waits for room for all members', () => {
  const group = createSingle('g', 1, gang);
  const plan = planStarts(
    createInput([createWorker('w1'), createWorker('w2')], [createReady(group)]),
  );
  expect(plan.starts).toEqual([]);
});

// Guards against a rack-bound gang that runs three times as long because it was spread.
test('rack-bound gang stays in one rack', () => {
  const workers = ['w1', 'w2', 'w3'].map((id) => createWorker(id, 'r1'));
  const others = ['v1', 'v2'].map((id) => createWorker(id, 'r2'));
  const group = createSingle('g', 1, { ...gang, isRackBound: true });
  const plan = planStarts(createInput([...others, ...workers], [createReady(group)]));
  expect(listWorkers(plan, 'g').sort()).toEqual(['w1', 'w2', 'w3']);
});

// Guards against spreading a gang on a busy fleet, where the longer run costs others their room.
test('busy fleet does not spread a rack-bound gang', () => {
  const workers = [createWorker('w1', 'r1'), createWorker('w2', 'r1'), createWorker('v1', 'r2')];
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 6 }));
  const group = createSingle('g', 1, { isGang: true, isRackBound: true, taskCount: 5 });
  // Five members do not fit into the four free accelerators of rack r1.
  const plan = planStarts(createInput(workers, [createReady(group, 60_000)]));
  expect(plan.starts).toEqual([]);
});

// Guards against a guarantee that is not made good while others use the room.
test('urgent gang stops work of lower priority', () => {
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

// Guards against stopping more work for the same job in the next plan, while the first stops end.
test('stops under way are counted on', () => {
  const worker = createWorker('w1');
  const low = createSingle('low', 2, { taskCount: 8 });
  runOn(worker, low, 9000);
  for (const task of low.tasks.slice(0, 4)) task.phase = TaskPhase.Stopping;
  worker.releasing = { cpuMillis: 4000, memoryMb: 4000, accelerators: 4 };
  const group = createSingle('urgent', 0, { taskCount: 4, isGang: true });
  const plan = planStarts(createInput([worker], [createReady(group)]));
  expect(plan.stops).toEqual([]);
});

// Guards against work of lower rank that takes the room which is being cleared for an urgent job.
test('cleared room is kept for the urgent job', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('low', 2, { taskCount: 6 }), 9000);
  const urgent = createSingle('urgent', 0, { isGang: true, taskCount: 4 });
  const late = createSingle('late', 2, { taskCount: 2 });
  const plan = planStarts(createInput([worker], [createReady(late), createReady(urgent)]));
  expect(plan.stops.length).toEqual(2);
  expect(listWorkers(plan, 'late')).toEqual([]);
});

// Guards against losing long runs when short ones could make room just as well.
test('the victim that loses least is stopped', () => {
  const [old, young] = [createWorker('w1'), createWorker('w2')];
  runOn(old, createSingle('old', 2, { taskCount: 8 }), 1000);
  runOn(young, createSingle('young', 2, { taskCount: 8 }), 9500);
  const group = createSingle('urgent', 0, { isGang: true, taskCount: 8 });
  const plan = planStarts(createInput([old, young], [createReady(group)]));
  expect(new Set(plan.stops.map(({ task }) => task.workerId))).toEqual(new Set(['w2']));
});

// Guards against stops of work that does not save, at each burst of urgent jobs on a full fleet.
test('reserved workers take urgent and saving work only', () => {
  const workers = Array.from({ length: 5 }, (_, index) => createWorker(`w${index}`));
  markReserved(workers, 16);
  const [kept, lent] = workers.map(({ reservation }) => reservation);
  expect([kept, lent]).toEqual([Reservation.Kept, Reservation.Kept]);
  const plain = createSingle('plain', 2, { taskCount: 40 });
  const changes = { urgentDemand: 16, policy: createPlanPolicy({ urgentReserveShare: 1 }) };
  // Five workers that are idle set nothing aside.
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 5 }));
  const plan = planStarts(createInput(workers, [createReady(plain)], changes));
  expect(listWorkers(plan, 'plain').length).toEqual(9);
});

// Guards against urgent jobs that lose one of their few attempts on a worker that fails all it starts.
test('suspect worker takes no urgent work', () => {
  const worker = { ...createWorker('w1'), isSuspect: true };
  const urgent = createSingle('urgent', 0);
  const probe = createSingle('probe', 2);
  const plan = planStarts(createInput([worker], [createReady(urgent), createReady(probe)]));
  expect(listWorkers(plan, 'urgent')).toEqual([]);
  expect(listWorkers(plan, 'probe')).toEqual(['w1']);
});

// Guards against tasks of one step that pile up on one worker beyond their limit.
test('limit of tasks per worker holds', () => {
  const group = createSingle('g', 1, { taskCount: 4, maxPerWorker: 1 });
  const plan = planStarts(
    createInput([createWorker('w1'), createWorker('w2')], [createReady(group)]),
  );
  expect(listWorkers(plan, 'g').sort()).toEqual(['w1', 'w2']);
});

// Guards against tasks on workers without the label that they need.
test('required label is respected', () => {
  const group = createSingle('g', 1, { requiredLabel: 'b' });
  const plan = planStarts(createInput([createWorker('w1')], [createReady(group)]));
  expect(plan.starts).toEqual([]);
});

// Guards against a wide gang that starves behind small work which takes each free accelerator.
test('waiting gang gets room reserved', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 4 }));
  const wide = createSingle('wide', 1, { isGang: true, taskCount: 8 });
  const small = createSingle('small', 2, { taskCount: 4 });
  const input = createInput([worker], [createReady(wide, 2800), createReady(small)]);
  expect(planStarts(input).starts).toEqual([]);
});

// Guards against urgent jobs that take the room which an older one has cleared, time and again.
test('older urgent job keeps the room that it cleared', () => {
  const worker = createWorker('w1');
  const older = createSingle('older', 0, { isGang: true, taskCount: 8 });
  const younger = createSingle('younger', 0, { isGang: true, taskCount: 4 });
  const ready = [createReady(younger, 100), createReady(older, 900)];
  const plan = planStarts(createInput([worker], ready, { guaranteed: new Set(['younger']) }));
  expect(listWorkers(plan, 'older').length).toEqual(8);
});

// Guards against a gang that waits for its rack for long while most of the fleet stands idle.
test('idle fleet makes no job wait long for its rack', () => {
  const workers = ['r1', 'r2'].map((rack) => createWorker(`w${rack}`, rack));
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 3 }));
  const gang = createSingle('g', 1, { isGang: true, isRackBound: true, taskCount: 8 });
  const planAt = (ageMs: number) =>
    planStarts(createInput(structuredClone(workers), [createReady(gang, ageMs)]));
  expect(planAt(1000).starts).toEqual([]);
  expect(listWorkers(planAt(5000), 'g').length).toEqual(8);
});

// Guards against a burst of small urgent jobs that stops one wide gang after the other for room that is
// worth far less: a played load lost 14 % of its work so.
test('a job beyond its guarantee does not stop far more work than its own', () => {
  const worker = createWorker('w1');
  const wide = createSingle('wide', 1, { isGang: true, taskCount: 8, estimatedMs: 60_000 });
  runOn(worker, wide, 1);
  const urgent = createSingle('urgent', 0, { estimatedMs: 500 });
  const planFor = (guaranteed: Set<string>) =>
    planStarts(createInput([worker], [createReady(urgent)], { nowMs: 30_000, guaranteed }));
  expect(planFor(new Set()).stops).toEqual([]);
  expect(planFor(new Set(['urgent'])).stops.length).toEqual(8);
});

// Guards against room that is gathered where the youngest work runs, which is free last.
test('room is gathered where it is free soonest', () => {
  const [young, old] = [createWorker('w1'), createWorker('w2')];
  runOn(young, createSingle('young', 2, { taskCount: 8, estimatedMs: 9000 }), 9800);
  runOn(old, createSingle('old', 2, { taskCount: 8, estimatedMs: 9000 }), 2000);
  const gang = createSingle('g', 1, { isGang: true, taskCount: 8 });
  const gathering = planGathering(gang, [young, old], 10_000);
  expect(gathering?.slots.map(({ worker }) => worker.id)).toEqual(['w2']);
  // The declared time ends in 1 s; overdue runs are expected to go on for a fifth of it.
  expect(gathering?.readyInMs).toEqual(1800);
});

// Guards against gathered room that stands empty although short work would end before it is needed.
test('short work uses gathered room, long work does not', () => {
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 4, estimatedMs: 20_000 }), 9000);
  const gang = createSingle('g', 1, { isGang: true, taskCount: 6, estimatedMs: 5000 });
  const short = createSingle('short', 2, { estimatedMs: 2000 });
  const long = createSingle('long', 2, { estimatedMs: 60_000 });
  const ready = [createReady(gang, 2600), createReady(short), createReady(long)];
  const plan = planStarts(createInput([worker], ready));
  expect([listWorkers(plan, 'short'), listWorkers(plan, 'long')]).toEqual([['w1'], []]);
});

// Guards against a declared worth that has no effect on the order.
test('declared weights decide between priorities', () => {
  const order = (weights?: number[]) => {
    const policy = createPlanPolicy(
      weights === undefined ? {} : { worth: { priorityWeights: weights } },
    );
    const low = createSingle('low', 2, { taskCount: 8 });
    const high = createSingle('high', 1, { taskCount: 9 });
    const ready = [createReady(low), createReady(high)];
    return policy.order.rank(ready, { guaranteed: new Set() }).map(({ group }) => group.job.id);
  };
  expect([order([1]), order()]).toEqual([
    ['low', 'high'],
    ['high', 'low'],
  ]);
});

// Guards against urgent work that is started and stopped over and over under a burst: a replayed day
// started 1,474 urgent runs in 12 s, of which 169 ended done.
test('a guaranteed job waits for other urgent work before it stops any', () => {
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

// Guards against urgent work that is stopped although work of lower priority has the room.
test('urgent work is stopped only where nothing lower can be', () => {
  const urgentWorker = createWorker('w1');
  const other = createSingle('other', 0, { taskCount: 8 });
  other.job.account = 'a2';
  // It has run for a moment only, so that stopping it would lose least.
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
