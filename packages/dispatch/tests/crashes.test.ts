import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import type { GroupRecord } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { ComeBack, createWorld } from './world.ts';
import type { Candidate, World } from './world.ts';

const startUpMs = 1000;
const settleMs = 60_000;
const taskMs = 4000;
/** The rule on crashes: the sixth start of such a task comes after three crashes and three more starts. */
const maxStarts = 5;
const deadly = 'bad.0.0.0';
const rules = { priority: 1, maxAttempts: 2, stretch: 3, targetMs: 1000 };

function countStarts(world: World, task: string): number {
  return world.listStartedRuns().filter((run) => run.task === task).length;
}

function listStates(world: World, ids: readonly string[]): (JobState | undefined)[] {
  return ids.map((id) => world.getState(id));
}

/** Submits jobs that run beside the one whose task crashes its workers. */
function submitNeighbours(world: World, count: number): string[] {
  const ids = Array.from({ length: count }, (_, index) => `good${index}`);
  for (const id of ids) world.submit(id, [{ taskCount: 2 }]);
  return ids;
}

async function killOwner(world: World, candidate: Candidate, next: string): Promise<Candidate> {
  candidate.process.kill();
  const successor = world.addCandidate(next);
  await world.clock.advance(startUpMs);
  return successor;
}

for (const comesBack of Object.values(ComeBack)) {
  // Guards against starting a task without limit that crashes one worker after the other, and against
  // blaming the tasks beside it.
  test(`a task that crashes its workers is given up, workers back as ${comesBack}`, async () => {
    const world = createWorld(6, taskMs);
    world.addCandidate('a');
    await world.clock.advance(startUpMs);
    world.crashOnStart(deadly, 5, comesBack);
    const others = submitNeighbours(world, 4);
    world.submit('bad', [{ taskCount: 1 }]);
    await world.clock.advance(settleMs);
    expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
    expect(world.getState('bad')).toEqual(JobState.Failed);
    expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
  });
}

// Guards against a crash that is not attributed because the task had worked for seconds before it.
test('a task that crashes its worker after seconds of work is given up', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.crashOnStart(deadly, 3000);
  const others = submitNeighbours(world, 4);
  world.submit('bad', [{ taskCount: 1 }]);
  await world.clock.advance(2 * settleMs);
  expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
  expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
});

// Guards against two such tasks that hide behind each other on one worker.
test('two tasks that crash the same worker are both given up', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const others = submitNeighbours(world, 3);
  for (const id of ['bad', 'worse']) {
    world.crashOnStart(`${id}.0.0.0`);
    world.submit(id, [{ taskCount: 1 }]);
  }
  await world.clock.advance(settleMs);
  for (const id of ['bad', 'worse']) {
    expect(countStarts(world, `${id}.0.0.0`) <= maxStarts).toEqual(true);
    expect(world.getState(id)).toEqual(JobState.Failed);
  }
  expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
});

// Guards against a gang that is started again and again because only one of its members is to blame.
test('a gang with a member that crashes its worker is given up', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.crashOnStart('bad.0.0.1', 400);
  const others = submitNeighbours(world, 3);
  world.submit('bad', [{ taskCount: 6, isGang: true }]);
  await world.clock.advance(2 * settleMs);
  expect(countStarts(world, 'bad.0.0.1') <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
  expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
});

// Guards against a task that lasts and crashes its workers for ever, since failures do not count for it.
test('a long-running task that crashes its workers is given up', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.crashOnStart(deadly, 5);
  world.submit('bad', [{ taskCount: 1, isLongRunning: true }]);
  await world.clock.advance(settleMs);
  expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
});

// Guards against a count that ends with its owner.
test('crashes are counted across takeovers', async () => {
  const world = createWorld(6, taskMs);
  let owner = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.crashOnStart(deadly);
  const others = submitNeighbours(world, 4);
  world.submit('bad', [{ taskCount: 1 }]);
  for (let takeover = 0; takeover < 12; takeover += 1) {
    await world.clock.advance(2500);
    owner = await killOwner(world, owner, `b${takeover}`);
  }
  await world.clock.advance(settleMs);
  expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
  expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
});

// Guards against a count that an owner of the previous version drops when it writes the progress of the
// job, as during an upgrade. That version writes tasks of exactly five fields and no other rows.
test('crashes are counted across an owner of the previous version', async () => {
  const world = createWorld(6, taskMs);
  const first = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.crashOnStart(deadly);
  world.submit('bad', [{ taskCount: 1 }]);
  await world.clock.advance(5500);
  first.process.kill();
  const key = 'progress/bad.0.0';
  const row = world.store.rows.get(key)?.value as unknown as GroupRecord;
  for (const task of row.tasks) expect(task.length).toEqual(5);
  const { tasks, gangFailures, lastFailedRun } = row;
  const value = { tasks: tasks.map(([, run]) => [0, run, '', 0, '']), gangFailures, lastFailedRun };
  world.store.apply({ operationId: 'old', conditions: [], writes: [{ key, value }] }, 'old', 0);
  world.addCandidate('b');
  await world.clock.advance(settleMs);
  expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
});

// Guards against three more starts after crashes under an owner of the previous version, which counts none.
test('a task that crashed workers under the previous version is started twice at most', async () => {
  const world = createWorld(6, taskMs);
  world.crashOnStart(deadly);
  world.submit('bad', [{ taskCount: 1 }]);
  const ids = submitNeighbours(world, 4);
  // What that version leaves: an epoch without the version of the rows, and a task that waits for run 5.
  const writes = [
    { key: 'epoch/main', value: { epoch: 7, holder: 'old' } },
    {
      key: 'progress/bad.0.0',
      value: { tasks: [[0, 4, '', 0, '']], gangFailures: 0, lastFailedRun: 0 },
    },
    {
      key: 'state/bad',
      value: { state: 'running', queue: 'q1', account: 'a1', isTimed: false, changedAtMs: 0 },
    },
  ];
  world.store.apply({ operationId: 'old', conditions: [], writes }, 'old', 0);
  world.addCandidate('a');
  await world.clock.advance(settleMs);
  expect(countStarts(world, deadly)).toEqual(2);
  expect(world.getState('bad')).toEqual(JobState.Failed);
  expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Completed));
});

// Guards against a count that is lost because the store is away when the worker crashes.
test('crashes during an outage of the store are counted', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.crashOnStart(deadly, 700);
  world.submit('bad', [{ taskCount: 1 }]);
  for (let outage = 0; outage < 4; outage += 1) {
    await world.clock.advance(600);
    world.store.fault = TableFault.Down;
    await world.clock.advance(4000);
    world.store.fault = TableFault.None;
    await world.clock.advance(1500);
  }
  await world.clock.advance(settleMs);
  expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
});

// Guards against blaming tasks for workers that lose power together, however often that happens.
test('jobs on workers that are lost together are not blamed', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = ['j0', 'j1', 'j2', 'j3', 'j4', 'j5'];
  for (const id of ids) world.submit(id, [{ taskCount: 2 }], { queue: id });
  for (let loss = 0; loss < 5; loss += 1) {
    await world.clock.advance(700);
    for (const id of world.workers.keys()) world.crashWorker(id, 2000);
    await world.clock.advance(3500);
  }
  await world.clock.advance(settleMs);
  expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Completed));
});

// Guards against blaming tasks for workers that crash by themselves, one after the other.
test('jobs on workers that crash by themselves in turn are not blamed', async () => {
  const world = createWorld(8, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = Array.from({ length: 6 }, (_, index) => `j${index}`);
  for (const id of ids) world.submit(id, [{ taskCount: 3 }]);
  for (let turn = 0; turn < 40; turn += 1) {
    const up = [...world.workers.values()].filter(
      ({ isDown, isReplaced }) => !isDown && !isReplaced,
    );
    const worker = up[turn % up.length];
    if (worker !== undefined) world.crashWorker(worker.id, 2000);
    await world.clock.advance(900);
  }
  await world.clock.advance(settleMs);
  expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Completed));
});

// Guards against a loss of power that makes every later crash look likely, so that its cause is not found.
test('a task that crashes its workers is given up after a loss of power', async () => {
  const world = createWorld(6, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const others = submitNeighbours(world, 4);
  for (let loss = 0; loss < 3; loss += 1) {
    await world.clock.advance(500);
    for (const id of world.workers.keys()) world.crashWorker(id, 1000);
    await world.clock.advance(2500);
  }
  world.crashOnStart(deadly, 2500);
  world.submit('bad', [{ taskCount: 1 }]);
  await world.clock.advance(2 * settleMs);
  expect(countStarts(world, deadly) <= maxStarts).toEqual(true);
  expect(world.getState('bad')).toEqual(JobState.Failed);
  expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
});

// Guards against blaming the tasks that run on a machine which crashes by itself whenever it is back.
test('jobs on a machine that crashes again and again are not blamed', async () => {
  const world = createWorld(3, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = ['j0', 'j1', 'j2', 'j3'];
  for (const id of ids) world.submit(id, [{ taskCount: 3 }], { queue: id });
  for (let turn = 0; turn < 20; turn += 1) {
    await world.clock.advance(1200);
    const id = [...world.workers.keys()].filter((name) => name.startsWith('w0')).at(-1) ?? '';
    world.crashWorker(id, 1000);
    await world.clock.advance(1300);
  }
  await world.clock.advance(settleMs);
  expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Completed));
});

// Guards against counting a worker that left after it drained, or that was cut off for longer than its
// lease, as one that crashed.
test('a worker that leaves or is cut off is not counted as crashed', async () => {
  const world = createWorld(3, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 1 }], { rules: { ...rules, maxAttempts: 1 } });
  for (let turn = 0; turn < 4; turn += 1) {
    await world.clock.advance(500);
    const worker = [...world.workers.values()].find(({ active }) => active.size > 0);
    if (worker === undefined) break;
    worker.isUnreachable = true;
    await world.clock.advance(14_000);
    worker.isUnreachable = false;
  }
  await world.clock.advance(settleMs);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.store.rows.has('crash/j1.0.0')).toEqual(false);
});

// Guards against a queue whose tasks crash their workers that takes one worker after the other from the
// jobs of another queue.
test('a queue of tasks that crash their workers leaves workers to the other queues', async () => {
  const world = createWorld(8, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  for (let index = 0; index < 6; index += 1) {
    world.crashOnStart(`bad${index}.0.0.0`);
    world.submit(`bad${index}`, [{ taskCount: 1 }], { queue: 'q2' });
  }
  const ids = submitNeighbours(world, 10);
  await world.clock.advance(20_000);
  expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Completed));
  await world.clock.advance(settleMs);
  for (let index = 0; index < 6; index += 1) {
    expect(countStarts(world, `bad${index}.0.0.0`) <= maxStarts).toEqual(true);
    expect(world.getState(`bad${index}`)).toEqual(JobState.Failed);
  }
});

for (const afterMs of [5, 3000]) {
  // Guards against tasks of several queues that crash their workers at the same time, time and again, and
  // so look like a loss with a common cause.
  test(`tasks that crash their workers together after ${afterMs} ms are given up`, async () => {
    const world = createWorld(16, taskMs);
    world.addCandidate('a');
    await world.clock.advance(startUpMs);
    const ids = ['bad0', 'bad1', 'bad2'];
    for (const [index, id] of ids.entries()) {
      world.crashOnStart(`${id}.0.0.0`, afterMs, ComeBack.SameId);
      const demand = { cpuMillis: 1000, memoryMb: 1000, accelerators: 4 };
      world.submit(id, [{ taskCount: 1, demand }], { queue: `queue${index}` });
    }
    const others = submitNeighbours(world, 4);
    await world.clock.advance(2 * settleMs);
    for (const id of ids) expect(countStarts(world, `${id}.0.0.0`) <= maxStarts).toEqual(true);
    expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Failed));
    expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
  });
}

// Guards against the same beside sound tasks on the same workers.
test('tasks that crash shared workers together are given up, and the others complete', async () => {
  const world = createWorld(16, taskMs);
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const ids = Array.from({ length: 6 }, (_, index) => `bad${index}`);
  const others = Array.from({ length: 18 }, (_, index) => `good${index}`);
  for (const [index, id] of ids.entries()) {
    world.crashOnStart(`${id}.0.0.0`, 20, ComeBack.SameId);
    world.submit(id, [{ taskCount: 1 }], { queue: `queue${index % 3}` });
    for (const other of others.slice(3 * index, 3 * index + 3)) {
      world.submit(other, [{ taskCount: 1 }], { queue: `queue${index % 3}` });
    }
  }
  await world.clock.advance(2 * settleMs);
  for (const id of ids) expect(countStarts(world, `${id}.0.0.0`) <= maxStarts).toEqual(true);
  expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Failed));
  expect(listStates(world, others)).toEqual(others.map(() => JobState.Completed));
});

for (const dataCentres of [1, 2]) {
  // Guards against blaming tasks for a loss of power right after they have started, time and again.
  test(`jobs are not blamed for losses of power at each start, ${dataCentres} data centres`, async () => {
    const world = createWorld(6, taskMs, dataCentres);
    world.addCandidate('a');
    await world.clock.advance(startUpMs);
    const ids = Array.from({ length: 12 }, (_, index) => `j${index}`);
    for (const id of ids) world.submit(id, [{ taskCount: 2 }], { queue: id });
    for (let loss = 0; loss < 5; loss += 1) {
      await world.clock.advance(300);
      // The workers take turns in the data centres; the first one loses power.
      for (const id of [...world.workers.keys()]) {
        const index = Number.parseInt(id.slice(1), 10);
        if (index % dataCentres === 0) world.crashWorker(id, 2000);
      }
      await world.clock.advance(2600);
    }
    await world.clock.advance(2 * settleMs);
    expect(listStates(world, ids)).toEqual(ids.map(() => JobState.Completed));
  });
}
