import { test } from 'node:test';
import { JobState, RunEnd } from '@bergamotreach/scheduling';
import type { GroupRecord } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { OrderStatus } from '../src/index.ts';
import type { FakeWorker } from './fakeworkers.ts';
import { createWorld, findDuplicateRun } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;

function getWorker(world: World, id: string): FakeWorker {
  const worker = world.workers.get(id);
  if (worker === undefined) throw new Error(`no worker ${id}`);
  return worker;
}

/** Advances in small steps and fails on a task that runs twice at once. */
async function advance(world: World, durationMs: number): Promise<void> {
  const endMs = world.clock.getNowMs() + durationMs;
  while (world.clock.getNowMs() < endMs) {
    await world.clock.advance(100);
    expect(findDuplicateRun(world)).toEqual(undefined);
  }
}

// Guards against a path that loses a step of its way from acceptance to completion.
test('job with dependent steps completes', async () => {
  const world = createWorld();
  world.addCandidate('a');
  world.submit('j1', [{ taskCount: 3 }, { taskCount: 2, dependsOn: [0] }]);
  await advance(world, startUpMs + 3000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  const begun = world.listStartedRuns();
  expect(begun.length).toEqual(5);
  const firstOfSecond = begun.find(({ task }) => task.startsWith('j1.0.1'));
  const lastOfFirst = begun.filter(({ task }) => task.startsWith('j1.0.0')).at(-1);
  expect((firstOfSecond?.atMs ?? 0) >= (lastOfFirst?.atMs ?? 0) + 1000).toEqual(true);
});

// Guards against an end that the worker forgets before it is stored.
test('ends are acknowledged only when stored', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  world.submit('j1', [{}]);
  await advance(world, startUpMs);
  world.store.fault = TableFault.Down;
  await advance(world, 1500);
  expect(getWorker(world, 'w0').ackedEnd).toEqual(0);
  world.store.fault = TableFault.None;
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(getWorker(world, 'w0').ackedEnd).toEqual(1);
});

// Guards against a new owner that starts again what already runs or has ended.
test('new owner takes over running tasks', async () => {
  const world = createWorld();
  const first = world.addCandidate('a');
  await advance(world, startUpMs);
  world.addCandidate('b');
  world.submit('j1', [{ taskCount: 4 }]);
  await advance(world, 300);
  first.process.kill();
  await advance(world, 8000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().length).toEqual(4);
});

// Guards against two owners that give orders at once after the first was suspended.
test('suspended owner gives no order after its return', async () => {
  const world = createWorld();
  const first = world.addCandidate('a');
  await advance(world, startUpMs);
  world.addCandidate('b');
  first.process.pause();
  world.submit('j1', [{ taskCount: 4 }]);
  await advance(world, 6000);
  await first.process.resume();
  await advance(world, 4000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().length).toEqual(4);
});

// Guards against a second run beside the first on a worker that is cut off and runs on.
test('tasks of an unreachable worker wait for its lease', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  world.submit('j1', [{}]);
  await advance(world, 700);
  const worker = [...world.workers.values()].find(({ active }) => active.size > 0);
  if (worker === undefined) throw new Error('nothing was started');
  for (const run of worker.active.values()) run.endsAtMs = Infinity;
  worker.isUnreachable = true;
  await advance(world, 9000);
  expect(world.listStartedRuns().length).toEqual(1);
  await advance(world, 6000);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([1, 2]);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a start without an answer that runs beside the next run of its task.
test('start that is carried out late runs once', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  await advance(world, startUpMs);
  for (const worker of world.workers.values()) worker.orderDelayMs = 1500;
  world.submit('j1', [{ taskCount: 2 }]);
  await advance(world, 400);
  for (const worker of world.workers.values()) worker.orderDelayMs = 0;
  await advance(world, 8000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against an order of an earlier owner that a worker carries out after the takeover.
test('late order of a former owner is refused', async () => {
  const world = createWorld(1);
  const first = world.addCandidate('a');
  await advance(world, startUpMs);
  world.addCandidate('b');
  getWorker(world, 'w0').orderDelayMs = 8000;
  world.submit('j1', [{}]);
  await advance(world, 300);
  first.process.kill();
  getWorker(world, 'w0').orderDelayMs = 0;
  await advance(world, 12_000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().length).toEqual(1);
});

// Guards against tasks that run on, or begin, after their job was cancelled.
test('cancelled job stops and starts nothing', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  world.submit('j1', [{ taskCount: 6 }]);
  await advance(world, 700);
  world.cancel('j1');
  await advance(world, 700);
  const begun = world.listStartedRuns().length;
  expect(getWorker(world, 'w0').active.size).toEqual(0);
  await advance(world, 3000);
  expect(world.listStartedRuns().length).toEqual(begun);
  expect(world.getState('j1')).toEqual(JobState.Cancelled);
});

// Guards against starts beyond the attempts of a task, and against a job that stays open for ever.
test('job fails when its attempts are used up', async () => {
  const world = createWorld(3);
  for (const worker of world.workers.values()) worker.end = RunEnd.Failed;
  world.addCandidate('a');
  world.submit('j1', [{}]);
  await advance(world, 15_000);
  expect(world.getState('j1')).toEqual(JobState.Failed);
  expect(world.listStartedRuns().length).toEqual(2);
});

// Guards against work that is done twice because the store's replies were lost.
test('lost replies of the store change nothing', async () => {
  const world = createWorld();
  world.addCandidate('a');
  await advance(world, startUpMs);
  world.submit('j1', [{ taskCount: 3 }]);
  world.store.fault = TableFault.LostReply;
  await advance(world, 1200);
  world.store.fault = TableFault.None;
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().length).toEqual(3);
});

// Guards against a cancel that is overwritten by the owner's own write of the state.
test('cancel wins over a state that the owner is about to write', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  await advance(world, startUpMs);
  world.store.latencyMs = 400;
  world.submit('j1', [{}]);
  await advance(world, 200);
  world.cancel('j1');
  world.store.latencyMs = 0;
  await advance(world, 5000);
  expect(world.getState('j1')).toEqual(JobState.Cancelled);
});

// Guards against a gang of which a part goes on when one member was lost.
test('gang restarts whole', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  await advance(world, startUpMs);
  world.submit('j1', [{ taskCount: 6, isGang: true }]);
  await advance(world, 300);
  expect(world.listStartedRuns().length).toEqual(6);
  const worker = getWorker(world, 'w0');
  for (const run of worker.active.values()) run.endsAtMs = Infinity;
  worker.leaseUntilMs = world.clock.getNowMs();
  await advance(world, 9000);
  const runs = new Set(world.listStartedRuns().map(({ run }) => run));
  expect(runs.size >= 2).toEqual(true);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a start without an answer that the next life of its worker carries out, which knows
// neither the stop nor the clock of the one before.
test('late start on a restarted worker does not double the task', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  await advance(world, startUpMs);
  for (const worker of world.workers.values()) worker.orderDelayMs = 3000;
  world.submit('j1', [{}]);
  await advance(world, 300);
  const row = world.store.rows.get('progress/j1.0.0')?.value as unknown as GroupRecord | undefined;
  const workerId = row?.tasks[0]?.[2] ?? '';
  for (const worker of world.workers.values()) worker.orderDelayMs = 0;
  // The next run has to go elsewhere, so that nothing but the stop refuses the late copy.
  world.restartWorker(workerId, { isDraining: true });
  await advance(world, 20_000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([2]);
});

// Guards against a lost copy of a start that the next life of its worker carries out after the task
// was done: a new life knows neither the run nor its end.
test('late copy of a start is refused by a restarted worker', async () => {
  const world = createWorld(1);
  const { runner } = world.addCandidate('a');
  const worker = world.workers.get('w0');
  await advance(world, startUpMs);
  world.submit('j1', [{}]);
  await advance(world, 300);
  const order = runner.starts[0];
  await advance(world, 2500);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  world.restartWorker('w0');
  await advance(world, 1000);
  if (worker === undefined || order === undefined) throw new Error('nothing was started');
  expect(worker.start(order).status).toEqual(OrderStatus.Fenced);
});

// Guards against a second run of a task whose start was taken by a new life of the worker before the
// owner knew of it.
test('start that a new life took is not repeated', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  await advance(world, startUpMs);
  getWorker(world, 'w0').restartsAtStart = true;
  world.submit('j1', [{}]);
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([1]);
});

// Guards against a run that is given up as that of a gone worker, although a new life of it has
// taken the start before its list entry comes.
test('start that an unlisted new life took is not repeated', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  // Longer than the longest lease, after which runs on unlisted workers lapse.
  await advance(world, 12_000);
  for (const worker of world.workers.values()) worker.isUnreachable = true;
  world.submit('j1', [{}]);
  await advance(world, 200);
  for (const { id } of world.workers.values()) world.unlistWorker(id);
  for (const one of world.workers.values()) {
    one.restart();
    one.isUnreachable = false;
  }
  await advance(world, 5000);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([1]);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a run that is given up with its unlisted worker while a copy of its start is still on
// its way to the worker's next life.
test('late start on an unlisted worker does not double the task', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  await advance(world, 12_000);
  for (const worker of world.workers.values()) worker.orderDelayMs = 11_000;
  world.submit('j1', [{}]);
  await advance(world, 300);
  for (const worker of world.workers.values()) worker.orderDelayMs = 0;
  const row = world.store.rows.get('progress/j1.0.0')?.value as unknown as GroupRecord | undefined;
  const worker = getWorker(world, row?.tasks[0]?.[2] ?? '');
  worker.isUnreachable = true;
  world.unlistWorker(worker.id);
  await advance(world, 10_500);
  worker.restart();
  await advance(world, 16_000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a worker that is overloaded because the runs of a job that ended before the takeover
// still take room there.
test('room of runs that no job wants is not given away', async () => {
  const world = createWorld(1);
  const first = world.addCandidate('a');
  await advance(world, startUpMs);
  world.submit('j1', [{ taskCount: 4 }]);
  await advance(world, 300);
  first.process.kill();
  const worker = getWorker(world, 'w0');
  // They go on until they are stopped.
  for (const run of worker.active.values()) run.endsAtMs = Infinity;
  world.cancel('j1');
  world.submit('j2', [{ taskCount: 2 }]);
  world.addCandidate('b');
  await advance(world, 9000);
  expect(world.getState('j2')).toEqual(JobState.Completed);
  expect(worker.overloads).toEqual(0);
});

// Guards against tasks that are lost with a life of their worker.
test('tasks of a restarted worker run again', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  world.submit('j1', [{ taskCount: 2 }]);
  await advance(world, 800);
  world.restartWorker('w0');
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a start beyond the attempts when the former owner stored the last failure of a job
// and not its end.
test('new owner ends a job whose attempts are used up', async () => {
  const world = createWorld(1);
  world.submit('j1', [{}]);
  const value = { tasks: [[0, 2, 'w0', 2, '']], gangFailures: 0, lastFailedRun: 0 };
  const writes = [{ key: 'progress/j1.0.0', value }];
  world.store.apply({ operationId: 'former', conditions: [], writes }, 'former', 0);
  world.addCandidate('a');
  await advance(world, 3000);
  expect(world.getState('j1')).toEqual(JobState.Failed);
  expect(world.listStartedRuns()).toEqual([]);
});
