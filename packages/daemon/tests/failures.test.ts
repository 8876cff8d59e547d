import { test } from 'node:test';
import { JobState } from '@bergamotreach/ownership';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { WorkerFault } from '../../execution/tests/fakeworkers.ts';
import { createWorld } from '../../execution/tests/world.ts';
import type { World } from '../../execution/tests/world.ts';
import { TableFault } from '../../ownership/tests/faketable.ts';

const runMs = 600_000;

function listRunning({ fleet }: World): string[] {
  return fleet
    .listTasks()
    .filter(({ task }) => task.state === TaskState.Running)
    .map(({ task }) => task.taskId);
}

function listAttempts(world: World): string[] {
  return [...new Set(listRunning(world).map((taskId) => taskId.split('/').at(-2) ?? ''))];
}

async function startGang(world: World): Promise<void> {
  world.startDaemon('d1');
  await world.clock.advance(100);
  await world.submit('j1', 4, runMs);
  await world.clock.advance(200);
  expect(world.getJobState('j1')).toEqual(JobState.Running);
}

// Guards against a second attempt that starts while a member of the first still runs on a worker
// that is cut off (REQUEUE_AT_ONCE of the model).
test('a job starts again only after the lease on a cut-off worker', async () => {
  const world = createWorld({ workers: 4 });
  await startGang(world);
  const cut = [...world.fleet.workers.values()].find((worker) => worker.tasks.size > 0);
  if (cut === undefined) throw new Error('no worker has a task');
  cut.fault = WorkerFault.Unreachable;
  for (let step = 0; step < 120; step += 1) {
    await world.clock.advance(500);
    expect(listAttempts(world).length <= 1).toEqual(true);
  }
  expect(listRunning(world).length).toEqual(4);
  expect(world.getRecord('j1')?.attempts).toEqual(2);
});

// Guards against a paused owner that acts after another daemon took over.
test('a paused owner has no effect after a takeover', async () => {
  const world = createWorld();
  await startGang(world);
  const [first] = world.daemons;
  first?.process.pause();
  world.startDaemon('d2');
  await world.clock.advance(8_000);
  const before = world.fleet.accepted.length;
  await first?.process.resume();
  await world.clock.advance(30_000);
  const late = world.fleet.accepted.slice(before);
  expect(late.filter((batch) => batch.processId === 'd1')).toEqual([]);
  expect([world.getJobState('j1'), listRunning(world).length]).toEqual([JobState.Running, 4]);
});

// Guards against a caretaker that starts, stops or fences tasks.
test('a caretaker only renews while the store is down and the owner is dead', async () => {
  const world = createWorld();
  await startGang(world);
  world.startDaemon('d2', true);
  await world.clock.advance(2_000);
  world.state.fault = TableFault.Down;
  world.daemons[0]?.process.kill();
  await world.clock.advance(120_000);
  expect(listRunning(world).length).toEqual(4);
  const batches = world.fleet.accepted.filter((batch) => batch.processId === 'd2');
  const kinds = new Set(batches.flatMap(({ commands }) => commands.map(({ kind }) => kind)));
  expect([...kinds]).toEqual([CommandKind.Renew]);
});
