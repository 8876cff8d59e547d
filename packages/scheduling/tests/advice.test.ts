import { test } from 'node:test';
import { expect } from 'earl';
import {
  AdvicePurpose,
  WaitReason,
  findWaitReason,
  listSpareWorkers,
  planStarts,
} from '../src/index.ts';
import type { TaskGroup, WorkerView } from '../src/index.ts';
import {
  createInput,
  createReady,
  createSingle,
  createWorker,
  listWorkers,
  runOn,
} from './samples.ts';

const whole = { cpuMillis: 1000, memoryMb: 1000, accelerators: 8 };

/** Gives a group tickets for some workers, and decisions on others. */
function setPolicy(
  group: TaskGroup,
  tickets: readonly string[],
  admitted: readonly string[],
  refused: readonly string[] = [],
): TaskGroup {
  group.allowedWorkers = new Set(tickets);
  group.decisions = { admitted: new Set([...tickets, ...admitted]), refused: new Set(refused) };
  return group;
}

// Guards against a gang that never gets a reservation on a busy fleet since its tickets have run out.
test('a gang whose tickets have run out gets a reservation', () => {
  const workers = [createWorker('w0'), createWorker('w1')];
  const [first, second] = workers;
  if (first === undefined || second === undefined) throw new Error('two workers are needed');
  runOn(first, createSingle('long', 1, { demand: whole, estimatedMs: 9000 }), 9000);
  const gang = createSingle('gang', 1, { taskCount: 2, isGang: true, demand: whole });
  setPolicy(gang, [], ['w0', 'w1']);
  const filler = createSingle('filler', 2, { demand: whole, estimatedMs: 30_000 });
  const plan = planStarts(createInput(workers, [createReady(gang, 3000), createReady(filler)]));
  expect(listWorkers(plan, 'filler')).toEqual([]);
});

// Guards against urgent work that preempts nothing while its tickets have run out.
test('urgent work without tickets preempts on workers that the policy admits', () => {
  const workers = [createWorker('w0'), createWorker('w1')];
  for (const worker of workers) {
    runOn(worker, createSingle(`low-${worker.id}`, 1, { demand: whole, estimatedMs: 9000 }), 9900);
  }
  const urgent = setPolicy(createSingle('urgent', 0, { demand: whole }), [], ['w1']);
  const input = createInput(workers, [createReady(urgent, 500)], {
    guaranteed: new Set(['urgent']),
  });
  const plan = planStarts(input);
  expect(plan.stops.map(({ task }) => task.workerId)).toEqual(['w1']);
});

// Guards against a rack-bound gang that is spread over racks since it has tickets for only a part of one rack.
test('whether a rack can hold a gang depends on decisions, not on tickets', () => {
  const workers = ['w0', 'w1'].map((id) => createWorker(id, 'r1'));
  workers.push(...['w2', 'w3'].map((id) => createWorker(id, 'r2')));
  const shape = { taskCount: 2, isGang: true, isRackBound: true, demand: whole };
  const gang = setPolicy(createSingle('gang', 1, shape), ['w0', 'w2'], []);
  const undecided = planStarts(createInput(workers, [createReady(gang, 100)]));
  expect(listWorkers(undecided, 'gang')).toEqual([]);
  setPolicy(gang, ['w0', 'w2'], [], ['w1', 'w3']);
  const refused = planStarts(createInput(workers, [createReady(gang, 100)]));
  expect(listWorkers(refused, 'gang').sort()).toEqual(['w0', 'w2']);
});

// Guards against a suspect that waits for a ticket of a worker which is kept for it only once it has the ticket.
test('a worker is kept for a suspect without tickets', () => {
  const workers = [createWorker('w0'), createWorker('w1'), createWorker('w2')];
  const suspect = setPolicy(createSingle('suspect', 1), [], ['w0', 'w1', 'w2']);
  const [task] = suspect.tasks;
  if (task === undefined) throw new Error('a task is needed');
  task.crashRecord = {
    ...{ run: 1, crashes: 2, soleCrashes: 2, logChance: -20, longestMs: 100, machine: 'w9' },
    ...{ isExposed: false },
  };
  planStarts(createInput(workers, [createReady(suspect, 3000)]));
  expect(workers.filter(({ isolatedFor }) => isolatedFor === 'suspect').length).toEqual(1);
});

// Guards against logs that call a step too large, or its workers missing, while it waits for the advisor.
test('a wait for tickets is told from a wait for workers', () => {
  const workers = [createWorker('w0'), createWorker('w1')];
  const getReason = (group: TaskGroup): string =>
    findWaitReason({ group, ageMs: 1000, isPreempting: false, ahead: 0 }, workers);
  const gang = createSingle('gang', 1, { taskCount: 2, isGang: true, demand: whole });
  expect(getReason(setPolicy(gang, ['w0'], []))).toEqual(WaitReason.Ticket);
  expect(getReason(setPolicy(gang, ['w0'], [], ['w1']))).toEqual(WaitReason.TooLarge);
  expect(getReason(setPolicy(gang, [], [], ['w0', 'w1']))).toEqual(WaitReason.NoWorker);
});

/** Requests for advice of a plan in the order of its groups, as `job: workers`. */
function listRequests(workers: WorkerView[], groups: readonly TaskGroup[]): string[] {
  const ready = groups.map((group, index) => createReady(group, 1000 - index));
  const plan = planStarts(createInput(workers, ready, { listsAdviceRequests: true }));
  return plan.adviceRequests.map(
    ({ group, workerIds }) => `${group.job.id}: ${workerIds.join(' ')}`,
  );
}

// Guards against a call for a step that could not start even if all workers were admitted.
test('a group asks for advice only if that lets it start', () => {
  const workers = [createWorker('w0'), createWorker('w1')];
  const huge = createSingle('huge', 1, { taskCount: 3, isGang: true, demand: whole });
  const single = createSingle('single', 1);
  const groups = [huge, single].map((group) => setPolicy(group, [], []));
  expect(listRequests(workers, groups)).toEqual(['single: w0']);
  for (const worker of workers)
    runOn(worker, createSingle(`on-${worker.id}`, 1, { demand: whole }));
  expect(listRequests(workers, groups)).toEqual([]);
});

// Guards against a step that never asks since work behind it, which needs no tickets, takes all room in each plan.
test('a group asks for advice at its rank', () => {
  const workers = [createWorker('w0')];
  const first = setPolicy(createSingle('first', 1, { demand: whole }), [], []);
  const second = createSingle('second', 1, { demand: whole });
  expect(listRequests(workers, [first, second])).toEqual(['first: w0']);
});

// Guards against preempted room that stays empty until a call for it is sent and answered.
test('a group asks for the workers on which room is made for it', () => {
  const workers = [createWorker('w0'), createWorker('w1')];
  for (const worker of workers)
    runOn(worker, createSingle(`on-${worker.id}`, 1, { demand: whole }));
  const urgent = setPolicy(createSingle('urgent', 0, { demand: whole }), [], ['w1']);
  const input = createInput(workers, [createReady(urgent, 500)], {
    ...{ guaranteed: new Set(['urgent']), listsAdviceRequests: true },
  });
  expect(planStarts(input).adviceRequests.map(({ workerIds }) => workerIds)).toEqual([['w1']]);
});

// Guards against preemption and reservations that never begin, since no worker is known to be admitted.
test('urgent work without room asks for decisions', () => {
  const workers = [createWorker('w0'), createWorker('w1')];
  for (const worker of workers)
    runOn(worker, createSingle(`on-${worker.id}`, 1, { demand: whole }));
  const urgent = setPolicy(createSingle('urgent', 0, { demand: whole }), [], []);
  const input = createInput(workers, [createReady(urgent, 500)], { listsAdviceRequests: true });
  const [request] = planStarts(input).adviceRequests;
  expect(request?.purpose).toEqual(AdvicePurpose.Decision);
  expect(request === undefined ? [] : listSpareWorkers(request, workers)).toEqual(['w0', 'w1']);
});
