import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  computeStanding,
  createRunTimes,
  defaultLatePolicy,
  defaultValuePolicy,
  getDelayCost,
  getRefusalCost,
  getStopCost,
  getWorth,
} from '../src/index.ts';
import type { JobStanding } from '../src/index.ts';
import { createSingle } from './samples.ts';

const tolerance = 1e-9;
const late = defaultLatePolicy;

const standings = fc.record({
  worth: fc.double({ min: 0.1, max: 20, noNaN: true }),
  ageMs: fc.integer({ min: 0, max: 60_000 }),
  objectiveMs: fc.integer({ min: 500, max: 60_000 }),
  remaining: fc.record({
    medianMs: fc.integer({ min: 50, max: 60_000 }),
    spread: fc.double({ min: 0.1, max: 0.8, noNaN: true }),
  }),
  remainingWork: fc.double({ min: 1, max: 10_000, noNaN: true }),
  stops: fc.integer({ min: 0, max: 5 }),
});
const delays = fc.integer({ min: 0, max: 60_000 });

// Guards against a longer wait that counts as cheaper, which would let a plan prefer it.
test('a longer delay never costs less, and never more than a refusal', () => {
  fc.assert(
    fc.property(standings, delays, delays, (standing, first, second) => {
      const [shorter, longer] = [Math.min(first, second), Math.max(first, second)];
      const cost = getDelayCost(standing, longer, late);
      expect(getDelayCost(standing, shorter, late) <= cost + tolerance).toEqual(true);
      expect(cost <= getRefusalCost(standing, late) + tolerance).toEqual(true);
    }),
    { seed: 4711 },
  );
});

// Guards against a job that loses its turn by waiting: whoever ranks by cost would starve it. Only the part
// of the worth that depends on being in time is compared, as what is left of a late job keeps growing dearer.
test('the cost of a delay does not fall while the job waits and can still be in time', () => {
  const inTimeOnly = { lateShare: 0, lateFactor: 3 };
  fc.assert(
    fc.property(standings, delays, delays, (standing, delayMs, waitMs) => {
      const later: JobStanding = { ...standing, ageMs: standing.ageMs + waitMs };
      const slackMs = later.objectiveMs - later.ageMs - delayMs;
      fc.pre(slackMs >= later.remaining.medianMs);
      const before = getDelayCost(standing, delayMs, inTimeOnly);
      expect(before <= getDelayCost(later, delayMs, inTimeOnly) + tolerance).toEqual(true);
    }),
    { seed: 4711 },
  );
});

// Guards against the same job being stopped again and again, and against work that is lost for nothing.
test('a stop costs more the more work it loses and the more often the job was stopped', () => {
  fc.assert(
    fc.property(standings, delays, fc.integer({ min: 0, max: 9000 }), (standing, delayMs, work) => {
      const cost = getStopCost(standing, { delayMs, lostWork: work }, late);
      const lossier = getStopCost(standing, { delayMs, lostWork: work + 100 }, late);
      const repeated = { ...standing, stops: standing.stops + 1 };
      expect(cost <= lossier + tolerance).toEqual(true);
      expect(cost <= getStopCost(repeated, { delayMs, lostWork: work }, late)).toEqual(true);
    }),
    { seed: 4711 },
  );
});

// Guards against configured weights and sizes that have no effect on what a job is worth.
test('worth follows the weight of the priority and the size of the job', () => {
  const group = createSingle('j', 0, { taskCount: 4 });
  const work = 4 * 9 * 2;
  expect(getWorth(group.job, work, defaultValuePolicy)).toEqual(4);
  expect(getWorth(group.job, work / 2, defaultValuePolicy)).toBeCloseTo(4 * (1 / 3 + 4 / 3), 0.001);
});

// Guards against a standing that counts work that is done, or takes declared run times where progress shows others.
test('a standing counts the work left by reported progress', () => {
  const group = createSingle('j', 1, { taskCount: 2, estimatedMs: 10_000 });
  const [done, running] = group.tasks;
  if (done === undefined || running === undefined) throw new Error('two tasks expected');
  Object.assign(done, { phase: 'done', run: 1 });
  Object.assign(running, { phase: 'running', run: 1, startedAtMs: 1000 });
  running.progress = {
    ...{ run: 1, share: 0.75, atMs: 4000, fromShare: 0.5, fromMs: 3000 },
  };
  const standing = computeStanding(
    { group, ageMs: 4000, meanWork: 180, nowMs: 4000, runTimes: createRunTimes() },
    defaultValuePolicy,
  );
  expect(standing.remaining.medianMs).toEqual(1000);
  expect(standing.remainingWork).toBeCloseTo(9, 0.001);
});
