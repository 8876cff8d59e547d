import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { GangEnd } from '../src/index.ts';
import { createHistory } from './history.ts';
import { createAccount, createConfig, createJob, createWorkers } from './samples.ts';

const stepMs = 1000;
// Step at which the large gangs arrive; one small job arrives at every step.
const firstIndex = 2;

/** Returns the wait of each large gang, in steps, in a stream of small jobs that overloads the workers. */
function measureWaits(
  gangSizes: readonly number[],
  sizes: readonly number[],
  durations: readonly number[],
  declaredFactor: number,
): number[] {
  const config = createConfig([createAccount('big'), createAccount('small')]);
  const history = createHistory(config, createWorkers(4, 8));
  const ends = new Map<string, number>();
  const waits = new Map<string, number>();
  const stopsDue = new Map<string, number>();
  for (let index = 0; waits.size < gangSizes.length && index < 600; index += 1) {
    for (const [jobId, endMs] of ends) {
      if (endMs > history.getNowMs() || !history.gangs.has(jobId)) continue;
      ends.delete(jobId);
      history.end(jobId, GangEnd.Done);
    }
    const duration = durations[index % durations.length]! * 1000;
    const small = createJob(`s${index}`, 'small', {
      accelerators: sizes[index % sizes.length]!,
      declaredSeconds: (duration / 1000) * declaredFactor,
    });
    history.arrive(small);
    if (index === firstIndex) {
      gangSizes.forEach((members, position) => {
        history.arrive(createJob(`g${position}`, 'big', { members }));
      });
    }
    history.confirmStarts();
    for (const [jobId, gang] of history.gangs) {
      // If a later gang preempted an earlier one, they would preempt each other in turn.
      if (jobId.startsWith('g')) expect(gang.isStopping).toEqual(false);
      if (jobId.startsWith('g') && !waits.has(jobId)) waits.set(jobId, index - firstIndex);
      if (!ends.has(jobId)) ends.set(jobId, history.getNowMs() + duration);
      if (gang.isStopping && !stopsDue.has(jobId)) stopsDue.set(jobId, history.getNowMs());
    }
    // Stops take their full grace period of 10 s.
    const due = [...stopsDue].filter(([, atMs]) => history.getNowMs() - atMs >= 10_000);
    for (const [jobId] of due) {
      stopsDue.delete(jobId);
      ends.delete(jobId);
      if (history.gangs.has(jobId)) history.end(jobId, GangEnd.Stopped);
    }
    history.advance(stepMs);
  }
  return gangSizes.map((_, position) => waits.get(`g${position}`) ?? Infinity);
}

// Guards against large gangs that starve behind small jobs, whatever their declared run times.
test('wait of large gangs is bounded', () => {
  const property = fc.property(
    fc.array(fc.integer({ min: 16, max: 32 }), { minLength: 1, maxLength: 3 }),
    fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 5 }),
    fc.array(fc.integer({ min: 5, max: 60 }), { minLength: 1, maxLength: 5 }),
    fc.constantFrom(0.1, 1, 10),
    (gangSizes, sizes, durations, declaredFactor) => {
      const waits = measureWaits(gangSizes, sizes, durations, declaredFactor);
      // In seconds: reservationAfterMs (60), reclaimMs (10), 3 steps until ends are confirmed, and
      // the runs of the jobs accepted earlier.
      const longest = Math.max(...durations);
      waits.forEach((wait, earlier) => {
        expect(wait).toBeLessThanOrEqual(60 + 10 + 3 + longest + earlier * (longest + 10 + 3));
      });
    },
  );
  fc.assert(property, { seed: 31, numRuns: 40 });
});
