import { test } from 'node:test';
import { expect } from 'earl';
import { TaskPhase, planStarts, recordCrash, splitSuspects } from '../src/index.ts';
import type { TaskGroup } from '../src/index.ts';
import {
  createInput,
  createReady,
  createSingle,
  createWorker,
  listWorkers,
  runOn,
} from './samples.ts';

const nowMs = 10_000;

/** Creates a group of tasks under which a worker has crashed beside other jobs. */
function createSuspect(
  id: string,
  priority = 1,
  changes: Parameters<typeof createSingle>[2] = {},
): TaskGroup {
  const group = createSingle(id, priority, changes);
  for (const task of group.tasks) {
    task.run = 1;
    recordCrash(task, { run: 1, machine: 'gone', ranMs: 10, isSole: false, chance: 1 });
  }
  return group;
}

// Guards against a suspect that takes the runs of other jobs with it.
test('a suspect starts on a worker without other jobs', () => {
  const [busy, idle] = [createWorker('busy'), createWorker('idle')];
  runOn(busy, createSingle('other', 1));
  const plan = planStarts(createInput([busy, idle], [createReady(createSuspect('s'))]));
  expect(listWorkers(plan, 's')).toEqual(['idle']);
});

// Guards against work that starts beside a suspect in the same plan or in a later one.
test('nothing starts beside a suspect', () => {
  const workers = [createWorker('a'), createWorker('b')];
  const suspect = createSuspect('s');
  const other = createSingle('other', 1, { taskCount: 16 });
  const plan = planStarts(createInput(workers, [createReady(suspect), createReady(other)]));
  const [own] = listWorkers(plan, 's');
  expect(listWorkers(plan, 'other').includes(own ?? '')).toEqual(false);
  const later = [createWorker('a'), createWorker('b')];
  const [first] = later;
  if (first === undefined) throw new Error('no worker');
  runOn(first, suspect, nowMs - 1000);
  const next = planStarts(
    createInput(later, [createReady(createSingle('next', 0, { taskCount: 16 }))]),
  );
  expect(new Set(listWorkers(next, 'next'))).toEqual(new Set(['b']));
});

// Guards against keeping a worker for a task that has shown that it does not crash it.
test('a suspect that has run for long enough has company again', () => {
  const worker = createWorker('a');
  runOn(worker, createSuspect('s'), nowMs - 2100);
  const plan = planStarts(createInput([worker], [createReady(createSingle('next', 1))]));
  expect(listWorkers(plan, 'next')).toEqual(['a']);
});

// Guards against a suspect that never finds an empty worker on a busy fleet.
test('a busy worker is kept for a suspect until it is empty', () => {
  const workers = [createWorker('a'), createWorker('b')];
  for (const [index, worker] of workers.entries()) {
    runOn(
      worker,
      createSingle(`old${index}`, 1, { estimatedMs: 4000 }),
      nowMs - 2000 - 1000 * index,
    );
  }
  const ready = [
    createReady(createSuspect('s')),
    createReady(createSingle('new', 0, { taskCount: 14 })),
  ];
  const plan = planStarts(createInput(workers, ready));
  expect(listWorkers(plan, 's')).toEqual([]);
  expect(new Set(listWorkers(plan, 'new'))).toEqual(new Set(['a']));
  expect(plan.waits.some(({ group }) => group.job.id === 's')).toEqual(true);
});

function createFleet(count: number): ReturnType<typeof createWorker>[] {
  return Array.from({ length: count }, (_, index) => createWorker(`w${index}`));
}

function listSuspects(count: number, soleCrashes: number): ReturnType<typeof createReady>[] {
  return Array.from({ length: count }, (_, index) => {
    const group = createSuspect(`s${index}`, 0);
    for (const { crashRecord } of group.tasks) Object.assign(crashRecord ?? {}, { soleCrashes });
    return createReady(group);
  });
}

function countStarts(plan: ReturnType<typeof planStarts>, prefix: string): number {
  return plan.starts.filter(({ group }) => group.job.id.startsWith(prefix)).length;
}

// Guards against a queue of suspects that takes all workers from the others: suspects that have crashed
// a worker alone get a bounded share however idle the fleet is, those down under them included.
test('suspects with evidence take a bounded share of the workers', () => {
  const suspects = listSuspects(20, 1);
  const plan = planStarts(createInput(createFleet(32), suspects));
  expect(plan.starts.length).toEqual(4);
  const suspectsDown = new Map([['p1', 3]]);
  const next = planStarts(createInput(createFleet(32), suspects, { suspectsDown }));
  expect(next.starts.length).toEqual(2);
});

// Guards against suspects without evidence that take workers which other work waits for.
test('suspects take a bounded share of the workers while others need them', () => {
  const others = createReady(createSingle('other', 1, { taskCount: 8 * 28 }));
  const plan = planStarts(createInput(createFleet(32), [...listSuspects(20, 0), others]));
  expect(countStarts(plan, 's')).toEqual(4);
  const suspectsDown = new Map([['p1', 3]]);
  const input = createInput(createFleet(32), [...listSuspects(20, 0), others], { suspectsDown });
  expect(countStarts(planStarts(input), 's')).toEqual(2);
  expect(listWorkers(planStarts(createInput(createFleet(32), [others])), 'other').length).toEqual(
    224,
  );
});

// Guards against innocent neighbours of a crash that wait for two workers on an idle fleet, and against
// suspects that leave no worker for work to come.
test('suspects without evidence take the empty workers that nothing needs', () => {
  const plan = planStarts(createInput(createFleet(32), listSuspects(20, 0)));
  expect(plan.starts.length).toEqual(20);
  const crowd = planStarts(createInput(createFleet(32), listSuspects(40, 0)));
  expect(crowd.starts.length).toEqual(28);
  expect(new Set(crowd.starts.map(({ placements }) => placements[0]?.workerId)).size).toEqual(28);
  const busy = createFleet(32);
  for (const [index, worker] of busy.slice(0, 20).entries()) {
    runOn(worker, createSingle(`busy${index}`, 1), nowMs - 100);
  }
  expect(planStarts(createInput(busy, listSuspects(20, 0))).starts.length).toEqual(8);
});

// Guards against suspects that wait in turn on an idle fleet because of a gang that can never start.
test('a gang that is wider than the pool needs no workers', () => {
  const wide = createReady(createSingle('wide', 1, { taskCount: 8 * 33, isGang: true }));
  const plan = planStarts(createInput(createFleet(32), [...listSuspects(20, 0), wide]));
  expect(countStarts(plan, 's')).toEqual(20);
});

// Guards against a suspect with evidence that waits on an idle fleet for all suspects without.
test('suspects without evidence leave suspects with evidence their share', () => {
  const evident = createSuspect('e', 0);
  for (const { crashRecord } of evident.tasks) Object.assign(crashRecord ?? {}, { soleCrashes: 1 });
  const ready = [...listSuspects(20, 0), createReady(evident)];
  const plan = planStarts(createInput(createFleet(32), ready));
  expect([countStarts(plan, 's'), countStarts(plan, 'e')]).toEqual([20, 1]);
});

// Guards against a neighbour of the culprit that waits behind tasks with more crashes of their own.
test('the least suspected tasks are tried first', () => {
  const worse = createSuspect('worse', 0);
  for (const task of worse.tasks)
    recordCrash(task, { run: 2, machine: 'gone too', ranMs: 5, isSole: true, chance: 0.1 });
  const ready = [createReady(worse, 5000), createReady(createSuspect('s'))];
  const plan = planStarts(createInput([createWorker('a'), createWorker('b')], ready));
  expect([listWorkers(plan, 's').length, listWorkers(plan, 'worse').length]).toEqual([1, 0]);
});

// Guards against holding back the tasks of a job that no worker has crashed under.
test('only the suspects of a group are kept apart', () => {
  const group = createSingle('j', 1, { taskCount: 4 });
  const [first] = group.tasks;
  if (first === undefined) throw new Error('no task');
  recordCrash(first, { run: 1, machine: 'gone', ranMs: 10, isSole: false, chance: 1 });
  const busy = createWorker('busy');
  runOn(busy, createSingle('other', 1));
  const plan = planStarts(createInput([busy, createWorker('idle')], [createReady(group)]));
  const byTask = new Map(
    plan.starts.flatMap(({ placements }) =>
      placements.map(({ task, workerId }) => [task.index, workerId] as const),
    ),
  );
  expect([byTask.size, byTask.get(0)]).toEqual([4, 'idle']);
  expect([1, 2, 3].every((index) => byTask.get(index) === 'busy')).toEqual(true);
  expect(plan.starts.every((start) => start.group === group)).toEqual(true);
});

// Guards against a suspect that goes back to a faulty machine because that is always empty.
test('a suspect avoids the machine that crashed under it', () => {
  const group = createSuspect('s');
  const [busy, back] = [createWorker('busy'), createWorker('gone')];
  runOn(busy, createSingle('other', 1));
  const plan = planStarts(createInput([busy, back], [createReady(group)]));
  expect([listWorkers(plan, 's'), busy.isolatedFor]).toEqual([[], 's']);
  const alone = planStarts(createInput([createWorker('gone')], [createReady(group)]));
  expect(listWorkers(alone, 's')).toEqual(['gone']);
});

// Guards against a gang that is split, or whose other members share a worker with another job.
test('a gang with a suspect is kept apart as a whole', () => {
  const gang = createSingle('g', 1, { taskCount: 12, isGang: true });
  const [first] = gang.tasks;
  if (first === undefined) throw new Error('no task');
  recordCrash(first, { run: 1, machine: 'gone', ranMs: 10, isSole: false, chance: 1 });
  const workers = [createWorker('a'), createWorker('b'), createWorker('busy')];
  const [, , busy] = workers;
  if (busy !== undefined) runOn(busy, createSingle('other', 1));
  const plan = planStarts(createInput(workers, [createReady(gang)]));
  expect(new Set(listWorkers(plan, 'g'))).toEqual(new Set(['a', 'b']));
});

// Guards against a task that starts during its pause after a crash.
test('a task that pauses after a crash is in no part of its group', () => {
  const group = createSuspect('s', 1, { taskCount: 2 });
  const [first] = group.tasks;
  if (first === undefined) throw new Error('no task');
  first.retryAtMs = nowMs + 500;
  const waiting = splitSuspects(group, nowMs).flatMap(({ tasks }) =>
    tasks.filter(({ phase }) => phase === TaskPhase.Waiting).map(({ index }) => index),
  );
  expect(waiting).toEqual([1]);
  expect(splitSuspects(group, nowMs + 500).flatMap(({ tasks }) => tasks).length).toEqual(2);
});
