import { test } from 'node:test';
import { expect } from 'earl';
import {
  createRunTimes,
  findRemainingMs,
  getEndChance,
  getRemainingRunMs,
  recordProgress,
} from '../src/index.ts';
import { createSingle } from './samples.ts';

const group = createSingle('j', 1, { estimatedMs: 2000 });

// Guards against an estimate from nothing: until runs have ended, the declared time holds.
test('run times are as declared until runs have ended', () => {
  const times = createRunTimes();
  expect(times.estimate(group.job, group.spec, 0).medianMs).toEqual(2000);
});

// Guards against declared run times that are believed for ever though all runs take half as long again.
test('run times follow what was observed, and the declared time again after long silence', () => {
  const times = createRunTimes();
  for (let index = 0; index < 60; index += 1) times.record(group.job, group.spec, 3000, index);
  const { medianMs, spread } = times.estimate(group.job, group.spec, 60);
  expect(medianMs > 2900 && medianMs <= 3000).toEqual(true);
  expect(spread < 0.2).toEqual(true);
  expect(Math.round(times.estimate(group.job, group.spec, 3_600_000).medianMs)).toEqual(2000);
});

// Guards against three runs in a hundred that take seven times as long and move the estimate of all.
test('a tail of long runs hardly moves the estimate', () => {
  const times = createRunTimes();
  for (let index = 0; index < 200; index += 1) {
    times.record(group.job, group.spec, index % 33 === 0 ? 14_000 : 2000, index);
  }
  expect(times.estimate(group.job, group.spec, 200).medianMs < 2300).toEqual(true);
});

// Guards against memory that grows with the number of images and accounts.
test('only so many kinds of work are remembered', () => {
  const times = createRunTimes();
  for (let index = 0; index < 2000; index += 1) {
    const { job, spec } = createSingle(`j${index}`, 1, { image: `image${index}` });
    times.record(job, spec, 4000, index);
  }
  const first = createSingle('j', 1, { image: 'image0' });
  const last = createSingle('j', 1, { image: 'image1999' });
  const getEstimate = ({ job, spec }: typeof first): number =>
    times.estimate(job, spec, 2000).medianMs;
  expect(getEstimate(first) < getEstimate(last)).toEqual(true);
});

// Guards against a run far past its fellows that is expected to end at any moment.
test('the longer a run is past its time, the longer it is expected to take', () => {
  const time = { medianMs: 2000, spread: 0.3 };
  const left = [0, 4000, 12_000].map((ranMs) => getRemainingRunMs(time, ranMs));
  expect(Math.round(left[0] ?? 0)).toEqual(2000);
  expect((left[2] ?? 0) > (left[1] ?? 0)).toEqual(true);
  expect(getEndChance(time, 0, 2000)).toEqual(0.5);
  expect(getEndChance(time, 12_000, 1000) < getEndChance(time, 1900, 1000)).toEqual(true);
});

// Guards against progress of an earlier run that counts for the next one, and against a run that stands still.
test('remaining time follows the latest rate of the current run', () => {
  const [task] = createSingle('j', 1).tasks;
  if (task === undefined) throw new Error('one task expected');
  task.run = 1;
  recordProgress(task, 0, 0);
  expect(findRemainingMs(task, 0)).toEqual(undefined);
  recordProgress(task, 0.2, 1000);
  expect(findRemainingMs(task, 1500)).toEqual(3500);
  recordProgress(task, 0.5, 2500);
  recordProgress(task, 0.5, 5100);
  recordProgress(task, 0.5, 16_000);
  expect(findRemainingMs(task, 16_000)).toEqual(Infinity);
  task.run = 2;
  expect(findRemainingMs(task, 16_000)).toEqual(undefined);
});
