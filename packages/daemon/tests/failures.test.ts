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

// Guards against starting a second attempt while a member of the first still runs on an unreachable
// worker (REQUEUE_AT_ONCE in the model).
test('a job is restarted only after its lease on an unreachable worker expires', async () => {
  const world = createWorld({ workers: 4 });
  await startGang(world);
  const unreachable = [...world.fleet.workers.values()].find((worker) => worker.tasks.size > 0);
  if (unreachable === undefined) throw new Error('no worker has a task');
  unreachable.fault = WorkerFault.Unreachable;
  for (let step = 0; step < 120; step += 1) {
    await world.clock.advance(500);
    expect(listAttempts(world).length <= 1).toEqual(true);
  }
  expect(listRunning(world).length).toEqual(4);
  expect(world.getRecord('j1')?.attempts).toEqual(2);
});

// Guards against commands of a paused owner taking effect after a takeover.
test('a paused owner has no effect after a takeover', async () => {
  const world = createWorld();
  await startGang(world);
  const [first] = world.daemons;
  first?.process.pause();
  world.startDaemon('d2');
  await world.clock.advance(8_000);
  const acceptedBefore = world.fleet.accepted.length;
  await first?.process.resume();
  await world.clock.advance(30_000);
  const lateBatches = world.fleet.accepted.slice(acceptedBefore);
  expect(lateBatches.filter((batch) => batch.processId === 'd1')).toEqual([]);
  expect([world.getJobState('j1'), listRunning(world).length]).toEqual([JobState.Running, 4]);
});

// Guards against a caretaker doing anything but renewing task leases, such as starting, stopping or
// fencing tasks.
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
