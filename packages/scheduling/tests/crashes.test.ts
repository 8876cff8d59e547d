import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  TaskPhase,
  createCrashHistory,
  createGroup,
  decodeCrashes,
  encodeCrashes,
  getCoincidence,
  getCrashRetryMs,
  isCrashSuspect,
  isCulprit,
  isExonerated,
  isPlaceLost,
  isSharedLoss,
  isUncleared,
  recordCrash,
  recordExposure,
} from '../src/index.ts';
import type { Crash, LostWorker, Task } from '../src/index.ts';
import { createJob, createStep } from './samples.ts';

function createTask(changes: Partial<Task> = {}): Task {
  const [task] = createGroup(createJob('j', 1, [createStep()]), 0, 0).tasks;
  if (task === undefined) throw new Error('no task');
  return Object.assign(task, { phase: TaskPhase.Running, run: 1, startedAtMs: 1000 }, changes);
}

function createCrash(run: number, changes: Partial<Crash> = {}): Crash {
  return { run, machine: `m${run}`, ranMs: 10, isSole: true, chance: 1e-3, ...changes };
}

function createLost(id: string, changes: Partial<LostWorker> = {}): LostWorker {
  return {
    id,
    address: id,
    atMs: 20_000,
    jobs: new Set([`job of ${id}`]),
    queues: new Set([`queue of ${id}`]),
    hasUncleared: false,
    isCrash: true,
    latestStartMs: 10_000,
    ...changes,
  };
}

// Guards against giving up a task for crashes that its neighbours may have caused.
test('crashes beside other jobs never make a culprit', () => {
  const task = createTask();
  for (let run = 1; run <= 20; run += 1) recordCrash(task, createCrash(run, { isSole: false }));
  expect([isCulprit(task), task.crashRecord?.crashes]).toEqual([false, 20]);
});

// Guards against giving up a task for a single crash, however unlikely that is by itself.
test('one crash never makes a culprit', () => {
  const task = createTask();
  recordCrash(task, createCrash(1, { chance: 1e-12 }));
  expect(isCulprit(task)).toEqual(false);
  recordCrash(task, createCrash(2));
  expect(isCulprit(task)).toEqual(true);
});

// Guards against giving up a task whose workers crash by themselves all the time.
test('crashes that are likely anyway do not make a culprit', () => {
  const task = createTask();
  for (let run = 1; run <= 8; run += 1) recordCrash(task, createCrash(run, { chance: 0.6 }));
  expect(isCulprit(task)).toEqual(false);
});

// Guards against giving up a task for a machine that crashes again and again.
test('crashes of one machine never make a culprit', () => {
  const task = createTask();
  for (let run = 1; run <= 9; run += 1) recordCrash(task, createCrash(run, { machine: 'm' }));
  expect([isCulprit(task), task.crashRecord?.soleCrashes]).toEqual([false, 1]);
});

// Guards against counting a crash again after a takeover whose predecessor had stored it.
test('a crash is counted once for each run', () => {
  const task = createTask();
  expect(recordCrash(task, createCrash(3))).toEqual(true);
  expect(recordCrash(task, createCrash(3))).toEqual(false);
  expect(recordCrash(task, createCrash(2))).toEqual(false);
  expect(task.crashRecord?.crashes).toEqual(1);
});

// Guards against a suspect that is kept apart for ever, or not for as long as it needs to crash again.
test('a suspect has company again once it outlives the run before the crash', () => {
  const task = createTask();
  expect(isCrashSuspect(task, 1000)).toEqual(false);
  recordCrash(task, createCrash(1, { ranMs: 4000, isSole: false }));
  expect(isCrashSuspect(task, 1000 + 5900)).toEqual(true);
  expect(isCrashSuspect(task, 1000 + 6100)).toEqual(false);
  task.phase = TaskPhase.Waiting;
  expect(isCrashSuspect(task, 60_000)).toEqual(true);
});

// Guards against crashes long ago that add up for a task that lasts.
test('a run of a minute shows that earlier crashes had another cause', () => {
  const task = createTask();
  recordCrash(task, createCrash(1));
  expect(isExonerated(task, 1000 + 59_000)).toEqual(false);
  expect(isExonerated(task, 1000 + 61_000)).toEqual(true);
});

// Guards against restarts in a tight loop, and against a pause that only grows.
test('the pause after a crash grows up to a bound', () => {
  const task = createTask();
  const pauses = [1, 2, 3, 4, 5, 6, 7, 8, 9].map((run) => {
    recordCrash(task, createCrash(run));
    return getCrashRetryMs(task);
  });
  expect(pauses).toEqual([0, 500, 1000, 2000, 4000, 8000, 16_000, 16_000, 16_000]);
});

// Guards against keeping a task apart whose worker only went missing or was lost beside others, and
// against forgetting the suspicion of one that was a suspect before.
test('an exposure makes no suspect and clears none', () => {
  const task = createTask();
  expect(recordExposure(task, { run: 1, ranMs: 3000 })).toEqual(true);
  expect(recordExposure(task, { run: 1, ranMs: 9000 })).toEqual(false);
  expect([isCrashSuspect(task, 1000), isCulprit(task)]).toEqual([false, false]);
  expect([task.crashRecord?.longestMs, task.crashRecord?.crashes]).toEqual([3000, 0]);
  recordCrash(task, createCrash(2));
  expect(isCrashSuspect(task, 1000)).toEqual(true);
  recordExposure(task, { run: 3, ranMs: 10 });
  expect([isCrashSuspect(task, 1000), task.crashRecord?.soleCrashes]).toEqual([true, 1]);
});

// Guards against records that change on their way through the store.
test('crash records survive the store', () => {
  const integer = fc.nat(1_000_000);
  const record = fc.record({
    run: integer,
    crashes: integer,
    soleCrashes: integer,
    logChance: fc.double({ min: -1e6, max: 0, noNaN: true }),
    longestMs: integer,
    machine: fc.string(),
    isExposed: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.option(record), fc.option(record), (first, second) => {
      const job = createJob('j', 1, [createStep({ taskCount: 2 })]);
      const group = createGroup(job, 0, 0);
      const [a, b] = group.tasks;
      if (first !== null && a !== undefined) a.crashRecord = first;
      if (second !== null && b !== undefined) b.crashRecord = second;
      const restored = createGroup(job, 0, 0);
      decodeCrashes(restored, JSON.parse(JSON.stringify(encodeCrashes(group))) as never);
      expect(JSON.stringify(restored.tasks)).toEqual(JSON.stringify(group.tasks));
    }),
    { seed: 20261205 },
  );
});

// Guards against records of tasks that the group does not have, as another writer may leave them.
test('records of unknown tasks are ignored', () => {
  const group = createGroup(createJob('j', 1, [createStep()]), 0, 0);
  decodeCrashes(group, { records: [[7, 1, 1, 1, -3, 5, 'm', 0]] });
  expect(group.tasks.map(({ crashRecord }) => crashRecord)).toEqual([undefined]);
});

// Guards against taking the crashes of a task itself for the background rate, which would hide it.
test('the chance of a crash comes from other jobs and grows with their crashes', () => {
  const history = createCrashHistory(0);
  const lost = createLost('w', { jobs: new Set(['bad']) });
  const getChance = (ranMs: number): number => history.getChance(lost, 'bad', ranMs, 30);
  const quiet = getChance(100);
  for (let index = 0; index < 5; index += 1) history.record(lost);
  expect(getChance(100)).toEqual(quiet);
  for (let index = 0; index < 5; index += 1) history.record(createLost(`o${index}`));
  // Five crashes of 30 workers in 20 s, against the base rate of one in 1,000 s.
  expect(Math.round((10 * getChance(100)) / quiet)).toEqual(83);
  expect(getChance(1e9)).toEqual(1);
  history.record(createLost('cut', { isCrash: false }));
  const withCrashes = getChance(100);
  history.record(createLost('cut again', { isCrash: false }));
  expect(getChance(100)).toEqual(withCrashes);
});

// Guards against blaming whatever ran last on a machine that crashes by itself.
test('a machine that crashed before is likely to crash again', () => {
  const history = createCrashHistory(0);
  const lost = createLost('w2', { address: 'm', jobs: new Set(['j']) });
  const before = history.getChance(lost, 'j', 1000, 1000);
  history.record(createLost('w1', { address: 'm' }));
  expect(history.getChance(lost, 'j', 1000, 1000) > 20 * before).toEqual(true);
});

// Guards against blaming tasks for a rack without power or a cut link.
test('workers lost together without a job in common share a cause', () => {
  const lost = createLost('w');
  const job = { jobId: 'job of w', queue: 'queue of w' };
  const others = [createLost('a'), createLost('b')];
  expect(isSharedLoss(lost, job, others)).toEqual(true);
  expect(isSharedLoss(lost, job, [...others.slice(1), lost])).toEqual(false);
  const late = others.map((one) => ({ ...one, atMs: one.atMs + 5000 }));
  expect(isSharedLoss(lost, job, late)).toEqual(false);
  const sameQueue = ['a', 'b', 'c'].map((id) => createLost(id, { queues: new Set([job.queue]) }));
  expect(isSharedLoss(lost, job, sameQueue.slice(1))).toEqual(false);
  expect(isSharedLoss(lost, job, sameQueue)).toEqual(true);
});

// Guards against several tasks of a queue that crash their workers at once and so excuse each other.
test('workers that crash right after a start or under a suspect are no shared loss', () => {
  const lost = createLost('w');
  const job = { jobId: 'job of w', queue: 'q' };
  const queues = new Set(['q']);
  const ids = ['a', 'b', 'c', 'd'];
  const fresh = ids.map((id) => createLost(id, { queues, latestStartMs: 19_900 }));
  expect(isSharedLoss(lost, job, fresh)).toEqual(false);
  const suspects = ids.map((id) => createLost(id, { hasUncleared: true }));
  expect(isSharedLoss(lost, job, suspects)).toEqual(false);
});

// Guards against tasks of several queues that crash their workers right after their starts and so excuse
// each other.
test('workers that crash right after starts of other queues are no shared loss', () => {
  const fresh = ['a', 'b', 'c', 'd'].map((id) => createLost(id, { latestStartMs: 19_900 }));
  const job = { jobId: 'job of w', queue: 'q' };
  expect(isSharedLoss(createLost('w'), job, fresh)).toEqual(false);
  const answeredLate = fresh.map((one) => ({ ...one, latestStartMs: 20_040 }));
  expect(isSharedLoss(createLost('w'), job, answeredLate)).toEqual(false);
});

// Guards against blaming tasks for a rack or a data centre that loses power right after they started, and
// against excusing them because of a place that was lost only in part, or with workers elsewhere.
test('the loss of all workers of a place is no crash', () => {
  const fleet = ['a', 'b', 'c', 'd'].map((address, index) => ({
    address,
    rack: index < 2 ? 'r1' : 'r2',
    dataCentre: 'd1',
  }));
  const isLost = (...ids: string[]): boolean => {
    const [lost, ...others] = ids.map((id) => createLost(id, { latestStartMs: 19_900 }));
    return lost !== undefined && isPlaceLost(lost, others, fleet);
  };
  expect([isLost('a', 'b'), isLost('a', 'b', 'c', 'd')]).toEqual([true, true]);
  expect([isLost('a'), isLost('a', 'c'), isLost('a', 'b', 'c')]).toEqual([false, false, false]);
  const unnamed = fleet.map((one) => ({ ...one, rack: '', dataCentre: '' }));
  expect(isPlaceLost(createLost('a'), [createLost('b')], unnamed)).toEqual(false);
});

// Guards against calling it a coincidence that the same few workers are hit, or proof that all are.
test('the chance of a coincidence falls with the number of other workers', () => {
  expect(getCoincidence(6, 6, 6)).toEqual(1);
  expect(Math.round(1 / getCoincidence(3, 3, 16))).toEqual(560);
  expect(getCoincidence(3, 2, 16)).toEqual(0);
  // Two workers of a small fleet: each crash of a pair of tasks counted for too little.
  expect([getCoincidence(1, 8, 8), getCoincidence(2, 3, 8)]).toEqual([0, 0]);
  fc.assert(
    fc.property(fc.nat(40), fc.nat(40), fc.nat(40), (extraLost, extraMarked, extraTotal) => {
      const lost = 3 + extraLost;
      const marked = lost + extraMarked;
      const chance = getCoincidence(lost, marked, marked + extraTotal);
      expect(chance > 0 && chance <= 1).toEqual(true);
      expect(getCoincidence(lost, marked, marked + extraTotal + 1) <= chance).toEqual(true);
    }),
    { seed: 20261205 },
  );
});

// Guards against a task that crashes its workers after seconds of work and is cleared by then each time.
test('an exposed task is uncleared until it outlives the lost run', () => {
  const task = createTask();
  recordExposure(task, { run: 1, ranMs: 3000 });
  expect([isUncleared(task, 1000 + 4400), isUncleared(task, 1000 + 4600)]).toEqual([true, false]);
});
