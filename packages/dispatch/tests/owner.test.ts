import { test } from 'node:test';
import { JobState, RunEnd } from '@bergamotreach/scheduling';
import type { GroupRecord } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { OrderStatus } from '../src/index.ts';
import type { FakeWorker } from './fakeworkers.ts';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;

function getWorker(world: World, id: string): FakeWorker {
  const worker = world.workers.get(id);
  if (worker === undefined) throw new Error(`no worker ${id}`);
  return worker;
}

/** Advances in small steps and fails if a task runs twice at once. */
async function advance(world: World, durationMs: number): Promise<void> {
  const endMs = world.clock.getNowMs() + durationMs;
  while (world.clock.getNowMs() < endMs) {
    await world.clock.advance(100);
    expect(findConcurrentRuns(world)).toEqual(undefined);
  }
}

// Guards against a job that gets stuck between acceptance and completion.
test('a job with dependent steps completes', async () => {
  const world = createWorld();
  world.addCandidate('a');
  world.submit('j1', [{ taskCount: 3 }, { taskCount: 2, dependsOn: [0] }]);
  await advance(world, startUpMs + 3000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  const startedRuns = world.listStartedRuns();
  expect(startedRuns.length).toEqual(5);
  const firstOfSecond = startedRuns.find(({ task }) => task.startsWith('j1.0.1'));
  const lastOfFirst = startedRuns.filter(({ task }) => task.startsWith('j1.0.0')).at(-1);
  expect((firstOfSecond?.atMs ?? 0) >= (lastOfFirst?.atMs ?? 0) + 1000).toEqual(true);
});

// Guards against a worker that forgets an ended run before the owner has stored it.
test('ended runs are acknowledged only once stored', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  world.submit('j1', [{}]);
  await advance(world, startUpMs);
  world.store.fault = TableFault.Down;
  await advance(world, 1500);
  expect(getWorker(world, 'w0').ackedSequence).toEqual(0);
  world.store.fault = TableFault.None;
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(getWorker(world, 'w0').ackedSequence).toEqual(1);
});

// Guards against a new owner that starts again what is already running or has ended.
test('a new owner takes over running tasks', async () => {
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

// Guards against two owners that send orders at once after the first one was suspended.
test('an owner that was suspended sends no orders after it resumes', async () => {
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

// Guards against a second run of a task while the first still runs on an unreachable worker.
test('tasks of an unreachable worker wait until its lease has expired', async () => {
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

// Guards against an unanswered start that runs beside the next run of its task.
test('a start that takes effect late runs once', async () => {
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

// Guards against an order of the previous owner that a worker carries out after the takeover.
test('a late order of a previous owner is refused', async () => {
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

// Guards against tasks that continue, or begin, after their job was cancelled.
test('a cancelled job is stopped and starts nothing', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  world.submit('j1', [{ taskCount: 6 }]);
  await advance(world, 700);
  world.cancel('j1');
  await advance(world, 700);
  const startedCount = world.listStartedRuns().length;
  expect(getWorker(world, 'w0').active.size).toEqual(0);
  await advance(world, 3000);
  expect(world.listStartedRuns().length).toEqual(startedCount);
  expect(world.getState('j1')).toEqual(JobState.Cancelled);
});

// Guards against more starts than a task has attempts, and against a job that never ends.
test('a job fails when it has no attempts left', async () => {
  const world = createWorld(3);
  for (const worker of world.workers.values()) worker.end = RunEnd.Failed;
  world.addCandidate('a');
  world.submit('j1', [{}]);
  await advance(world, 15_000);
  expect(world.getState('j1')).toEqual(JobState.Failed);
  expect(world.listStartedRuns().length).toEqual(2);
});

// Guards against work that is done twice because replies of the store were lost.
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

// Guards against a cancellation that the owner's own write of the job state overwrites.
test('a cancellation wins over a state that the owner is about to write', async () => {
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

// Guards against a gang that continues in part after one member was lost.
test('a gang restarts as a whole', async () => {
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

// Guards against an unanswered start that takes effect in the next incarnation of its worker, which
// knows neither the stop nor the clock of the previous one.
test('a late start on a restarted worker does not duplicate the task', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  await advance(world, startUpMs);
  for (const worker of world.workers.values()) worker.orderDelayMs = 3000;
  world.submit('j1', [{}]);
  await advance(world, 300);
  const row = world.store.rows.get('progress/j1.0.0')?.value as unknown as GroupRecord | undefined;
  const workerId = row?.tasks[0]?.[2] ?? '';
  for (const worker of world.workers.values()) worker.orderDelayMs = 0;
  // The next run has to use the other worker, so that only the stop can refuse the late attempt.
  world.restartWorker(workerId, { isDraining: true });
  await advance(world, 20_000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([2]);
});

// Guards against an unanswered start that takes effect in the next incarnation of its worker after
// the task has completed: a restarted worker remembers neither the run nor its end.
test('a restarted worker refuses a late start attempt', async () => {
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

// Guards against a second run of a task whose start was accepted by a restarted worker before the
// owner learned of the restart.
test('a start that a restarted worker accepted is not repeated', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  await advance(world, startUpMs);
  getWorker(world, 'w0').restartsAtStart = true;
  world.submit('j1', [{}]);
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([1]);
});

// Guards against giving up a run with its unlisted worker although the next incarnation of the
// worker accepted the start before it was listed.
test('a start that an unlisted restarted worker accepted is not repeated', async () => {
  const world = createWorld(2);
  world.addCandidate('a');
  // Longer than the longest lease, after which the runs of unlisted workers are given up.
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

// Guards against giving up a run with its unlisted worker while a start attempt is still in flight
// to the next incarnation of that worker.
test('a late start on an unlisted worker does not duplicate the task', async () => {
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

// Guards against overloading a worker on which runs of a job that ended before the takeover still
// occupy resources.
test('resources of orphaned runs are not given to other tasks', async () => {
  const world = createWorld(1);
  const first = world.addCandidate('a');
  await advance(world, startUpMs);
  world.submit('j1', [{ taskCount: 4 }]);
  await advance(world, 300);
  first.process.kill();
  const worker = getWorker(world, 'w0');
  // The runs continue until they are stopped.
  for (const run of worker.active.values()) run.endsAtMs = Infinity;
  world.cancel('j1');
  world.submit('j2', [{ taskCount: 2 }]);
  world.addCandidate('b');
  await advance(world, 9000);
  expect(world.getState('j2')).toEqual(JobState.Completed);
  expect(worker.overloads).toEqual(0);
});

// Guards against tasks that are lost when their worker restarts.
test('tasks of a restarted worker run again', async () => {
  const world = createWorld(1);
  world.addCandidate('a');
  world.submit('j1', [{ taskCount: 2 }]);
  await advance(world, 800);
  world.restartWorker('w0');
  await advance(world, 6000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a start beyond the attempts of a job when the previous owner stored its last
// failure but not its final state.
test('a new owner ends a job that has no attempts left', async () => {
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
