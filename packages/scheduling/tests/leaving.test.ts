import { test } from 'node:test';
import { expect } from 'earl';
import {
  LeavingAction,
  TaskPhase,
  computeStanding,
  createRunTimes,
  decideLeaving,
  defaultLatePolicy,
  defaultValuePolicy,
} from '../src/index.ts';
import type { StepSpec } from '../src/index.ts';
import { createSingle } from './samples.ts';

const nowMs = 10_000;
const runTimes = createRunTimes();

/** Decides about a run that began 1 s ago and has done `share` of its work, on a worker that leaves in `leftMs`. */
function decide(
  changes: Partial<StepSpec>,
  share: number,
  leftMs: number,
  ageMs = 1000,
): LeavingAction {
  const group = createSingle('j', 1, changes);
  for (const task of group.tasks) {
    Object.assign(task, { phase: TaskPhase.Running, run: 1, startedAtMs: nowMs - 1000 });
    task.progress = {
      ...{ run: 1, share, atMs: nowMs, fromShare: 0, fromMs: nowMs - 1000 },
    };
  }
  const standing = computeStanding(
    { group, ageMs, meanWork: 100, nowMs, runTimes },
    defaultValuePolicy,
  );
  const time = runTimes.estimate(group.job, group.spec, nowMs);
  const departure = { leftMs, stopMs: 400, uncertainMs: 10_000 };
  return decideLeaving(
    { group, tasks: group.tasks, time, standing },
    departure,
    defaultLatePolicy,
    nowMs,
  );
}

// Guards against runs that are lost with their worker and start again only when its lease has expired.
test('a run that cannot end in time is stopped at the notice', () => {
  expect(decide({ estimatedMs: 8000 }, 0.12, 2000)).toEqual(LeavingAction.Stop);
});

// Guards against work that is thrown away right before its end.
test('a run that ends in time goes on', () => {
  expect(decide({ estimatedMs: 2000 }, 0.5, 2000)).toEqual(LeavingAction.Keep);
});

// Guards against time that a run which saves its work loses by an early stop.
test('a run that saves goes on until the last moment for a stop', () => {
  const saving = { estimatedMs: 20_000, isCheckpointing: true };
  expect(decide(saving, 0.05, 5000)).toEqual(LeavingAction.Keep);
  expect(decide(saving, 0.05, 1400)).toEqual(LeavingAction.Stop);
});

// Guards against tasks that last being taken for runs that may end.
test('a task that lasts moves at the notice', () => {
  expect(decide({ estimatedMs: 1000, isLongRunning: true }, 0.9, 2000)).toEqual(LeavingAction.Stop);
});

// Guards against a job that is late in any case and holds its room until the lease expires.
test('a run of a job that is late in any case is stopped, which frees the room sooner', () => {
  expect(decide({ estimatedMs: 8000 }, 0.12, 2000, 500_000)).toEqual(LeavingAction.Stop);
});
