import { test } from 'node:test';
import { expect } from 'earl';
import { getCriticalPathMs, getObjectiveMs } from '../src/index.ts';
import { createJob, createStep } from './samples.ts';

// Guards against a job of few steps, each after all earlier ones, whose paths take for ever to walk.
test('the critical path of a dense job is found at once', () => {
  const steps = Array.from({ length: 60 }, (_, index) =>
    createStep({
      estimatedMs: 10,
      dependsOn: Array.from({ length: index }, (_unused, step) => step),
    }),
  );
  const job = createJob('j', 1, steps);
  expect([getCriticalPathMs(job), getCriticalPathMs(job, 50)]).toEqual([600, 100]);
  expect(getObjectiveMs(job)).toEqual(2 * 600 + 1000);
});

// Guards against a chain of steps that overflows the stack.
test('the critical path of a long chain is found', () => {
  const steps = Array.from({ length: 1000 }, (_, index) =>
    createStep({ estimatedMs: 1, dependsOn: index === 0 ? [] : [index - 1] }),
  );
  expect(getCriticalPathMs(createJob('j', 1, steps))).toEqual(1000);
});
