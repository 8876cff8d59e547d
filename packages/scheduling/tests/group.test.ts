import { test } from 'node:test';
import { expect } from 'earl';
import {
  EndEffect,
  RunEnd,
  TaskPhase,
  createGroup,
  createUrgentDemand,
  createWorkerHealth,
  decodeGroup,
  encodeGroup,
  isGroupDone,
  recordEnd,
  parseTaskName,
} from '../src/index.ts';
import type { Task, TaskGroup } from '../src/index.ts';
import { createJob, createSingle, createStep } from './samples.ts';

function getTask(group: TaskGroup, index = 0): Task {
  const task = group.tasks[index];
  if (task === undefined) throw new Error(`no task ${index}`);
  return task;
}

function startRun(group: TaskGroup, run: number): void {
  for (const task of group.tasks)
    Object.assign(task, { phase: TaskPhase.Running, run, workerId: 'w1' });
}

// Guards against a task that reruns because its end was reported twice or an older run ended.
test('an end is idempotent and applies to its own run only', () => {
  const group = createSingle('j', 1);
  startRun(group, 2);
  expect(recordEnd(group, getTask(group), 1, RunEnd.Failed, '')).toEqual(EndEffect.Stale);
  expect(recordEnd(group, getTask(group), 2, RunEnd.Done, '')).toEqual(EndEffect.Done);
  expect(recordEnd(group, getTask(group), 2, RunEnd.Done, '')).toEqual(EndEffect.Stale);
  expect(isGroupDone(group)).toEqual(true);
});

// Guards against a gang that uses up its attempts because each member reports the failure of one run.
test('a failed run of a gang counts as one attempt', () => {
  const group = createSingle('j', 1, { isGang: true, taskCount: 3 });
  startRun(group, 1);
  for (const task of group.tasks) {
    expect(recordEnd(group, task, 1, RunEnd.Failed, '')).toEqual(EndEffect.Retry);
  }
  expect(group.gangFailures).toEqual(1);
});

// Guards against a retry after the last attempt failed.
test('only failures use up attempts', () => {
  const group = createSingle('j', 1);
  const ends = [RunEnd.Stopped, RunEnd.Failed, RunEnd.LeaseExpired, RunEnd.Failed, RunEnd.Failed];
  const effects = ends.map((end, index) => {
    startRun(group, index + 1);
    return recordEnd(group, getTask(group), index + 1, end, '');
  });
  expect(effects.slice(0, 4)).toEqual(Array.from({ length: 4 }, () => EndEffect.Retry));
  expect(effects[4]).toEqual(EndEffect.Exhausted);
});

// Guards against gang members that resume from different checkpoints.
test('the checkpoint of one member applies to the whole gang', () => {
  const group = createSingle('j', 1, { isGang: true, taskCount: 2 });
  startRun(group, 1);
  recordEnd(group, getTask(group), 1, RunEnd.Stopped, 'c1');
  expect(group.tasks.map(({ checkpoint }) => checkpoint)).toEqual(['c1', 'c1']);
});

// Guards against a new owner that loses the worker of a run, or reruns a completed task.
test('runs are restored from the stored state', () => {
  const job = createJob('j', 1, [createStep({ taskCount: 3 })]);
  const group = createGroup(job, 0, 0);
  startRun(group, 4);
  recordEnd(group, getTask(group, 0), 4, RunEnd.Done, '');
  recordEnd(group, getTask(group, 1), 4, RunEnd.Failed, 'c7');
  const restored = decodeGroup(job, 0, 0, encodeGroup(group));
  expect(restored.tasks.map(({ phase }) => phase)).toEqual([
    TaskPhase.Done,
    TaskPhase.Waiting,
    TaskPhase.Starting,
  ]);
  expect(restored.tasks.map(({ run }) => run)).toEqual([4, 4, 4]);
  expect(getTask(restored, 1).checkpoint).toEqual('c7');
  expect(getTask(restored, 1).failures).toEqual(1);
});

// Guards against parsing names that other clients wrote as task names.
test('task names are parsed strictly', () => {
  expect(parseTaskName('ab.0.1.17')).toEqual({ jobId: 'ab', occurrence: 0, step: 1, index: 17 });
  expect(parseTaskName('ab.0.1')).toEqual(undefined);
  expect(parseTaskName('ab.0.x.1')).toEqual(undefined);
});

// Guards against a worker that fails everything at once, is always free and so consumes the queue.
test('a worker that fails two groups is paused, then probed', () => {
  const trust = createWorkerHealth();
  trust.recordFailure('w1', 'g1', 0);
  expect(trust.isSuspect('w1', 10)).toEqual(true);
  expect(trust.countStarts('w1', 0, 10)).toEqual(1);
  trust.recordFailure('w1', 'g2', 20);
  expect(trust.countStarts('w1', 0, 30)).toEqual(0);
  expect(trust.countStarts('w1', 0, 3100)).toEqual(1);
  trust.recordSuccess('w1');
  expect(trust.countStarts('w1', 5, 3200)).toEqual(Infinity);
});

// Guards against a worker that stays excluded because nothing probes it.
test('a single failure expires', () => {
  const trust = createWorkerHealth();
  trust.recordFailure('w1', 'g1', 0);
  expect(trust.isSuspect('w1', 5000)).toEqual(false);
  expect(trust.countStarts('w1', 3, 5000)).toEqual(Infinity);
});

// Guards against a reserve that lags behind a burst, or that vanishes between two bursts.
test('reserve rises fast and falls slowly', () => {
  const demand = createUrgentDemand();
  demand.record(0, 0);
  demand.record(100, 1000);
  const risen = demand.getLevel();
  demand.record(0, 2000);
  expect(risen > 75).toEqual(true);
  expect(demand.getLevel() > risen * 0.8).toEqual(true);
});

// Guards against rerunning a task although an older run of it succeeded and was acknowledged. It
// happens when a restarted worker begins the older run late.
test('success of an older run completes its task', () => {
  const waiting = createSingle('j', 1);
  startRun(waiting, 2);
  const [task, other] = [getTask(waiting), createSingle('k', 1)];
  recordEnd(waiting, task, 2, RunEnd.Stopped, '');
  expect(recordEnd(waiting, task, 2, RunEnd.Failed, '')).toEqual(EndEffect.Stale);
  expect(recordEnd(waiting, task, 1, RunEnd.Done, '')).toEqual(EndEffect.Done);
  expect(isGroupDone(waiting)).toEqual(true);
  startRun(other, 2);
  expect(recordEnd(other, getTask(other), 1, RunEnd.Done, '')).toEqual(EndEffect.Superseded);
  // The current run still holds resources, and a later owner must not start another one.
  expect(getTask(other).phase).toEqual(TaskPhase.Running);
  expect(encodeGroup(other).tasks[0]?.[0]).toEqual(2);
  expect(recordEnd(other, getTask(other), 2, RunEnd.Stopped, '')).toEqual(EndEffect.Done);
});

// Guards against repeating work whose worker was unreachable until its lease expired.
test('an abandoned run that succeeds completes its task', () => {
  const group = createSingle('j', 1);
  startRun(group, 1);
  recordEnd(group, getTask(group), 1, RunEnd.LeaseExpired, '');
  expect(recordEnd(group, getTask(group), 1, RunEnd.Done, '')).toEqual(EndEffect.Done);
});
