import { test } from 'node:test';
import { expect } from 'earl';
import { UrgentReserve, TaskPhase, WaitReason, findWaitReason } from '../src/index.ts';
import type { TaskGroup, WorkerView } from '../src/index.ts';
import { createSingle, createWorker, runOn } from './samples.ts';

function findReason(group: TaskGroup, workers: WorkerView[], isPreempting = false): WaitReason {
  return findWaitReason({ group, ageMs: 1000, ahead: 0, isPreempting }, workers);
}

// Guards against an operator who looks for free resources when no worker has the label.
test('a missing label is distinguished from missing room', () => {
  const labelled = createSingle('g', 1, { requiredLabel: 'b' });
  expect(findReason(labelled, [createWorker('w1')])).toEqual(WaitReason.NoWorker);
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 8 }));
  expect(findReason(createSingle('g', 1), [worker])).toEqual(WaitReason.NoRoom);
});

// Guards against a job that silently waits for ever because it never fits.
test('a gang that does not fit into an empty fleet is too large', () => {
  const gang = createSingle('g', 1, { isGang: true, taskCount: 9 });
  expect(findReason(gang, [createWorker('w1')])).toEqual(WaitReason.TooLarge);
});

// Guards against reporting enough free resources although no single rack has them.
test('a rack-bound gang waits for a rack when only several racks have room', () => {
  const workers = [createWorker('w1', 'r1'), createWorker('w2', 'r2')];
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 4 }));
  const gang = createSingle('g', 1, { isGang: true, isRackBound: true, taskCount: 8 });
  expect(findReason(gang, workers)).toEqual(WaitReason.Rack);
});

// Guards against counting failing workers as usable.
test('room on suspect or paused workers only is reported as unhealthy', () => {
  const worker = { ...createWorker('w1'), isSuspect: true };
  expect(findReason(createSingle('u', 0), [worker])).toEqual(WaitReason.Unhealthy);
  const paused = { ...createWorker('w2'), maxStarts: 0 };
  expect(findReason(createSingle('g', 1), [paused])).toEqual(WaitReason.Unhealthy);
});

// Guards against mistaking the urgent reserve for failing workers.
test('room in the urgent reserve only is reported as reserved', () => {
  const reserved = { ...createWorker('w1'), urgentReserve: UrgentReserve.UrgentOnly };
  expect(findReason(createSingle('g', 1), [reserved])).toEqual(WaitReason.Reserved);
});

// Guards against reporting a full fleet while stops are in progress.
test('preemption in progress and previous runs are reported', () => {
  const worker = createWorker('w1');
  const gang = createSingle('g', 0, { isGang: true, taskCount: 4 });
  expect(findReason(gang, [worker], true)).toEqual(WaitReason.Preempting);
  const [task] = gang.tasks;
  if (task !== undefined) task.phase = TaskPhase.Stopping;
  expect(findReason(gang, [worker])).toEqual(WaitReason.PreviousRun);
});
