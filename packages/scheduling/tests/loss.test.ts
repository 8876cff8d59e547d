import { test } from 'node:test';
import { expect } from 'earl';
import { CostMeasure, createPlanPolicy, planStarts } from '../src/index.ts';
import type { PlanInput, TaskGroup } from '../src/index.ts';
import {
  createInput,
  createReady,
  createSingle,
  createWorker,
  listWorkers,
  runOn,
} from './samples.ts';

const policy = createPlanPolicy({ measure: CostMeasure.Callers });

/** Plans an urgent task on a worker that a gang of eight has filled since `ranMs`. */
function planUrgent(ranMs: number, changes: Partial<PlanInput> = {}): string[] {
  const worker = createWorker('w1');
  const gang = createSingle('gang', 1, { taskCount: 8, isGang: true, estimatedMs: 9000 });
  const nowMs = 20_000;
  runOn(worker, gang, nowMs - ranMs);
  const urgent = createSingle('urgent', 0, { estimatedMs: 400 });
  const input = createInput([worker], [createReady(urgent)], { policy, nowMs, ...changes });
  return [...new Set(planStarts(input).stops.map(({ group }) => group.job.id))];
}

// Guards against a small urgent job that stops a wide gang right before its end.
test('by caller costs a gang near its end is not stopped for a small urgent job', () => {
  expect(planUrgent(8800)).toEqual([]);
});

// Guards against a guarantee that is weighed against what it costs others.
test('a guarantee is made good whatever it costs', () => {
  expect(planUrgent(8800, { guaranteed: new Set(['urgent']) })).toEqual(['gang']);
});

function rank(groups: [TaskGroup, number][]): string[] {
  const worker = createWorker('w1');
  const ready = groups.map(([group, ageMs]) => createReady(group, ageMs));
  return planStarts(createInput([worker], ready, { policy })).starts.map(
    ({ group }) => group.job.id,
  );
}

// Guards against a job with much time left that goes before one whose objective is near.
test('of two equal jobs the one with less time left goes first', () => {
  const fresh = createSingle('fresh', 1, { taskCount: 8, estimatedMs: 4000 });
  const pressed = createSingle('pressed', 1, { taskCount: 8, estimatedMs: 4000 });
  expect(
    rank([
      [fresh, 0],
      [pressed, 4000],
    ]),
  ).toEqual(['pressed']);
});

// Guards against a stream of dearer jobs behind which a job never has its turn.
test('a job that waited two objectives goes before dearer ones', () => {
  const old = createSingle('old', 2, { taskCount: 8 });
  const dear = createSingle('dear', 1, { taskCount: 8 });
  expect(
    rank([
      [dear, 1000],
      [old, 10_001],
    ]),
  ).toEqual(['old']);
  expect(
    rank([
      [dear, 1000],
      [old, 0],
    ]),
  ).toEqual(['dear']);
});

// Guards against victims that are chosen by work alone: what saves its work loses little.
test('by caller costs work that saves is stopped rather than work that does not', () => {
  const long = { taskCount: 8, estimatedMs: 9000 };
  const [saving, plain] = [createWorker('w1'), createWorker('w2')];
  runOn(saving, createSingle('saving', 1, { ...long, isCheckpointing: true }), 9000);
  runOn(plain, createSingle('plain', 1, long), 6000);
  const urgent = createSingle('urgent', 0);
  const input = createInput([plain, saving], [createReady(urgent)], { policy });
  const plan = planStarts(input);
  expect(plan.stops.map(({ group }) => group.job.id)).toEqual(['saving']);
  expect(listWorkers(plan, 'urgent')).toEqual([]);
});
