import { test } from 'node:test';
import { expect } from 'earl';
import { createWorkerSpeeds, planStarts } from '../src/index.ts';
import type { WorkerView } from '../src/index.ts';
import { createInput, createReady, createSingle, createWorker, listWorkers } from './samples.ts';

function createFleet(speedClasses: readonly number[]): WorkerView[] {
  return speedClasses.map((speedClass, index) => ({ ...createWorker(`w${index}`), speedClass }));
}

/** Speed classes of the workers on which `tasks` tasks that fill a worker each are started. */
function listClasses(speedClasses: readonly number[], tasks: number, isGang = true): number[] {
  const workers = createFleet(speedClasses);
  const { capacity } = createWorker('w');
  const group = createSingle('j', 1, { taskCount: tasks, isGang, demand: { ...capacity } });
  const plan = planStarts(createInput(workers, [createReady(group)]));
  return listWorkers(plan, 'j')
    .map((id) => workers.find((worker) => worker.id === id)?.speedClass ?? NaN)
    .sort((a, b) => a - b);
}

// Guards against speeds that are never learned, or that follow single runs.
test('a machine is classed by its runs against those of its fellows', () => {
  const speeds = createWorkerSpeeds();
  const machines = ['slow', 'usual', 'usual2', 'fast', 'once'];
  const factors = [0.8, 1, 1, 1.25, 0.2];
  for (let round = 0; round < 12; round += 1) {
    const group = createSingle(`j${round}`, 1);
    for (const [index, machine] of machines.entries()) {
      if (machine !== 'once' || round === 0)
        speeds.record(group, machine, 2000 / (factors[index] ?? 1));
    }
    speeds.learn(group, round);
  }
  expect(machines.map((machine) => speeds.getClass(machine, 12))).toEqual([-1, 0, 0, 1, 0]);
  expect(speeds.getClass('unknown', 12)).toEqual(0);
  expect(speeds.getClass('fast', 3_600_000)).toEqual(0);
});

// Guards against groups on fast machines alone, whose runs would make these machines look usual.
test('a group on fast machines alone does not change their class', () => {
  const speeds = createWorkerSpeeds();
  const fast = ['f1', 'f2', 'f3', 'f4', 'f5'];
  for (let round = 0; round < 20; round += 1) {
    const mixed = createSingle(`m${round}`, 1);
    for (const machine of fast) speeds.record(mixed, machine, 1600);
    for (let index = 0; index < 6; index += 1) speeds.record(mixed, `u${index}`, 2000);
    speeds.learn(mixed, round);
  }
  for (let round = 20; round < 60; round += 1) {
    const alone = createSingle(`a${round}`, 1);
    for (const machine of fast) speeds.record(alone, machine, 3200);
    speeds.learn(alone, round);
  }
  expect(fast.map((machine) => speeds.getClass(machine, 60))).toEqual([1, 1, 1, 1, 1]);
});

// Guards against a gang that takes a slow worker beside fast ones and ends with the slow one.
test('a gang takes the fastest class at which it fits as a whole', () => {
  expect(listClasses([-1, 1, 0, 1, -1, 1], 3)).toEqual([1, 1, 1]);
  expect(listClasses([-1, 1, 0, 1, 0, 0], 4)).toEqual([0, 0, 0, 1]);
});

// Guards against fast workers that a gang takes though it waits for slow ones anyway.
test('a gang that needs slow workers leaves faster ones to others', () => {
  expect(listClasses([-1, 1, -1, 1, 1, -1], 4)).toEqual([-1, -1, -1, 1]);
});

// Guards against a load of single tasks, more than there is room for, that starts on slow workers only.
test('tasks that do not all fit use every worker', () => {
  expect(listClasses([-1, 1, 0], 5, false)).toEqual([-1, 0, 1]);
});

// Guards against a gang of one rack that takes the slow one of two racks that fit equally well.
test('a gang of one rack takes the faster of racks that fit equally', () => {
  const workers = createFleet([-1, -1, 1, 1]).map((worker, index) => ({
    ...worker,
    rack: index < 2 ? 'r1' : 'r2',
  }));
  const { capacity } = createWorker('w');
  const step = { taskCount: 2, isGang: true, isRackBound: true, demand: { ...capacity } };
  const group = createSingle('j', 1, step);
  const plan = planStarts(createInput(workers, [createReady(group)]));
  expect(listWorkers(plan, 'j')).toEqual(['w2', 'w3']);
});

// Guards against tasks that are scattered over fast workers, so that nothing is left for a wide gang.
test('a fit that leaves less goes before speed', () => {
  const workers = createFleet([1, 0]);
  const [, used] = workers;
  if (used === undefined) throw new Error('two workers expected');
  used.free = { cpuMillis: 16_000, memoryMb: 32_000, accelerators: 4 };
  const plan = planStarts(createInput(workers, [createReady(createSingle('j', 1))]));
  expect(listWorkers(plan, 'j')).toEqual(['w1']);
});

// Guards against a change for deployments that do not place by speed.
test('without speeds the best fit decides', () => {
  const workers = createFleet([0, 0]);
  const [, second] = workers;
  if (second === undefined) throw new Error('two workers expected');
  second.free = { cpuMillis: 16_000, memoryMb: 32_000, accelerators: 4 };
  const group = createSingle('j', 1);
  const plan = planStarts(createInput(workers, [createReady(group)]));
  expect(listWorkers(plan, 'j')).toEqual(['w1']);
});
