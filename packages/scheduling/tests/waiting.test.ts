import { test } from 'node:test';
import { expect } from 'earl';
import { Reservation, TaskPhase, WaitReason, findWaitReason } from '../src/index.ts';
import type { TaskGroup, WorkerView } from '../src/index.ts';
import { createSingle, createWorker, runOn } from './samples.ts';

function findReason(group: TaskGroup, workers: WorkerView[], isClearing = false): WaitReason {
  return findWaitReason({ group, ageMs: 1000, ahead: 0, isClearing }, workers);
}

// Guards against an operator who looks for room when no worker has the label.
test('a missing label is told apart from missing room', () => {
  const labelled = createSingle('g', 1, { requiredLabel: 'b' });
  expect(findReason(labelled, [createWorker('w1')])).toEqual(WaitReason.NoWorker);
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 8 }));
  expect(findReason(createSingle('g', 1), [worker])).toEqual(WaitReason.NoRoom);
});

// Guards against a job that waits for ever because it never fits, and does not show.
test('a gang that the fleet could not hold empty is too large', () => {
  const gang = createSingle('g', 1, { isGang: true, taskCount: 9 });
  expect(findReason(gang, [createWorker('w1')])).toEqual(WaitReason.TooLarge);
});

// Guards against free room that looks enough although no single rack has it.
test('room in several racks is a wait for a rack', () => {
  const workers = [createWorker('w1', 'r1'), createWorker('w2', 'r2')];
  for (const worker of workers) runOn(worker, createSingle(`b${worker.id}`, 2, { taskCount: 4 }));
  const gang = createSingle('g', 1, { isGang: true, isRackBound: true, taskCount: 8 });
  expect(findReason(gang, workers)).toEqual(WaitReason.Rack);
});

// Guards against failing workers whose room is taken for usable.
test('room on suspect workers is a matter of trust', () => {
  const worker = { ...createWorker('w1'), isSuspect: true };
  expect(findReason(createSingle('u', 0), [worker])).toEqual(WaitReason.Trust);
  const paused = { ...createWorker('w2'), maxStarts: 0 };
  expect(findReason(createSingle('g', 1), [paused])).toEqual(WaitReason.Trust);
});

// Guards against a reserve that holds work up and is taken for failing workers.
test('room that is set aside is named', () => {
  const kept = { ...createWorker('w1'), reservation: Reservation.Kept };
  expect(findReason(createSingle('g', 1), [kept])).toEqual(WaitReason.Reserved);
});

// Guards against stops under way that look like a fleet without room.
test('stops and former runs are named', () => {
  const worker = createWorker('w1');
  const gang = createSingle('g', 0, { isGang: true, taskCount: 4 });
  expect(findReason(gang, [worker], true)).toEqual(WaitReason.Clearing);
  const [task] = gang.tasks;
  if (task !== undefined) task.phase = TaskPhase.Stopping;
  expect(findReason(gang, [worker])).toEqual(WaitReason.Ending);
});
