import { test } from 'node:test';
import { JobState } from '@bergamotreach/ownership';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { WorkerFault } from './fakeworkers.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

function countRunning({ fleet }: World): number {
  return fleet.listTasks().filter(({ task }) => task.state === TaskState.Running).length;
}

// Guards against a start in any order other than hold all, write `running`, release all.
test('a gang is held, written as running, released and ends as done', async () => {
  const world = createWorld();
  world.startDaemon('d1');
  await world.clock.advance(100);
  await world.submit('j1', 4, 10_000);
  await world.clock.advance(200);
  expect([world.getJobState('j1'), countRunning(world)]).toEqual([JobState.Running, 4]);
  const kinds = world.fleet.accepted.flatMap(({ commands }) => commands.map(({ kind }) => kind));
  const holds = kinds.lastIndexOf(CommandKind.Hold);
  expect(holds < kinds.indexOf(CommandKind.Release)).toEqual(true);
  await world.clock.advance(20_000);
  expect([world.getJobState('j1'), countRunning(world)]).toEqual([JobState.Done, 0]);
});

// Guards against tasks of a cancelled job that keep running.
test('all tasks of a cancelled job are stopped', async () => {
  const world = createWorld();
  world.startDaemon('d1');
  await world.submit('j1', 3, 100_000);
  await world.clock.advance(200);
  await world.cancel('j1');
  await world.clock.advance(200);
  expect([world.getJobState('j1'), countRunning(world)]).toEqual([JobState.Cancelled, 0]);
});

// Guards against an owner that polls task lists but does not renew, so that task leases expire.
test('leases of running tasks are renewed', async () => {
  const world = createWorld();
  world.startDaemon('d1');
  await world.submit('j1', 6, 300_000);
  await world.clock.advance(200_000);
  expect([world.getRecord('j1')?.attempts, countRunning(world)]).toEqual([1, 6]);
});

// Guards against part of a gang that keeps running after a member failed.
test('a failed member stops the gang, which restarts on other workers', async () => {
  const world = createWorld({ workers: 3, accelerators: 4 });
  world.fleet.workers.get('w0')!.isFailing = true;
  world.startDaemon('d1');
  await world.submit('j1', 5, 10_000);
  await world.clock.advance(10_000);
  const record = world.getRecord('j1');
  expect([record?.state, record?.attempts]).toEqual([JobState.Running, 2]);
  expect(record?.failedWorkers).toEqual(['w0']);
});

// Guards against a second start while a lost worker may still run a member of the first one.
test('a gang with a lost worker restarts only after the task lease expired', async () => {
  const world = createWorld({ workers: 3, accelerators: 2 });
  world.startDaemon('d1');
  await world.submit('j1', 4, 500_000);
  await world.clock.advance(2_000);
  world.fleet.workers.get('w0')!.fault = WorkerFault.Unreachable;
  await world.clock.advance(25_000);
  expect([world.getRecord('j1')?.attempts, countRunning(world)]).toEqual([1, 2]);
  await world.clock.advance(25_000);
  const record = world.getRecord('j1');
  expect([record?.attempts, record?.state, countRunning(world)]).toEqual([2, JobState.Running, 4]);
});

// Guards against a reclaim that discards progress although a checkpoint was possible.
test('a gang on lent accelerators gets to checkpoint before they are reclaimed', async () => {
  const world = createWorld({ workers: 1, accelerators: 2, guaranteed: 2 });
  world.startDaemon('d1');
  await world.submit('lent', 2, 500_000, 'b');
  await world.clock.advance(10_000);
  expect(countRunning(world)).toEqual(2);
  await world.submit('owed', 2, 1_000);
  await world.clock.advance(2_000);
  const stopped = world.fleet.listTasks().filter(({ task }) => task.state === TaskState.Stopped);
  expect(stopped.map(({ task }) => task.hasCheckpoint)).toEqual([true, true]);
  await world.clock.advance(10_000);
  expect([world.getJobState('owed'), world.getRecord('lent')?.attempts]).toEqual([
    JobState.Done,
    2,
  ]);
});

// Guards against lost progress in a takeover: running gangs continue, and queued jobs are started.
test('a new owner recovers running gangs and starts queued jobs', async () => {
  const world = createWorld({ workers: 3, accelerators: 2 });
  const first = world.startDaemon('d1');
  await world.submit('j1', 4, 60_000);
  await world.clock.advance(2_000);
  first.process.kill();
  await world.submit('j2', 2, 10_000);
  world.startDaemon('d2');
  await world.clock.advance(15_000);
  expect([world.getRecord('j1')?.attempts, world.getJobState('j1')]).toEqual([1, JobState.Running]);
  await world.clock.advance(60_000);
  expect([world.getJobState('j1'), world.getJobState('j2')]).toEqual([
    JobState.Done,
    JobState.Done,
  ]);
});

// Guards against a planned restart that interrupts running gangs.
test('a stopped owner hands over at once', async () => {
  const world = createWorld();
  const first = world.startDaemon('d1');
  await world.submit('j1', 4, 60_000);
  world.startDaemon('d2');
  await world.clock.advance(1_000);
  const stopped = first.owner.stop();
  await world.clock.advance(2_000);
  await stopped;
  expect(world.daemons[1]!.owner.isOwner()).toEqual(true);
  expect([world.getRecord('j1')?.attempts, countRunning(world)]).toEqual([1, 4]);
});

// Guards against tasks that stop because the store is down, whether the owner is alive or not.
test('task leases are renewed through a store outage', async () => {
  const world = createWorld();
  const first = world.startDaemon('d1');
  await world.submit('j1', 4, 500_000);
  world.startDaemon('d2', true);
  await world.clock.advance(2_000);
  world.state.fault = TableFault.Down;
  await world.clock.advance(60_000);
  expect(countRunning(world)).toEqual(4);
  first.process.kill();
  await world.clock.advance(60_000);
  expect(countRunning(world)).toEqual(4);
  world.state.fault = TableFault.None;
  await world.clock.advance(10_000);
  expect([world.getRecord('j1')?.attempts, countRunning(world)]).toEqual([1, 4]);
});

// Guards against lost progress on a worker that the platform is about to remove.
test('a gang checkpoints and moves away from a worker that is no longer listed', async () => {
  const world = createWorld({ workers: 3, accelerators: 2 });
  world.startDaemon('d1');
  await world.submit('j1', 3, 500_000);
  await world.clock.advance(2_000);
  const used = world.getRecord('j1')?.placement?.members[0]?.worker ?? '';
  world.removeInstance(used);
  await world.clock.advance(12_000);
  const record = world.getRecord('j1');
  expect([record?.state, record?.attempts]).toEqual([JobState.Running, 2]);
  expect(record?.placement?.members.some(({ worker }) => worker === used)).toEqual(false);
  const tasks = [...world.fleet.workers.get(used)!.tasks.values()];
  expect(tasks.every((task) => task.hasCheckpoint)).toEqual(true);
});

// Guards against a job that is never started because its notification was lost.
test('a job whose notification was lost is found by a full scan', async () => {
  const world = createWorld();
  const { owner } = world.startDaemon('d1');
  await world.clock.advance(1_000);
  owner.refreshJobs = () => undefined;
  await world.submit('j1', 2, 500_000);
  await world.clock.advance(31_000);
  expect(world.getJobState('j1')).toEqual(JobState.Running);
});

// Guards against a region without an owner because one worker has an epoch from another table.
test('a worker with a later epoch is excluded, and the others are used', async () => {
  const world = createWorld({ workers: 2, accelerators: 2 });
  world.fleet.workers.get('w0')!.epoch = 99;
  world.startDaemon('d1');
  await world.submit('j1', 2, 5_000);
  await world.clock.advance(20_000);
  expect(world.getJobState('j1')).toEqual(JobState.Done);
});

// Guards against part of a gang running through an outage that began between two releases.
test('a partly released gang is not renewed during an outage', async () => {
  const world = createWorld({ workers: 2, accelerators: 2 });
  world.startDaemon('d1');
  await world.clock.advance(1_000);
  const worker = world.fleet.workers.get('w1')!;
  world.state.listeners.push(() => {
    if (world.getJobState('j1') !== JobState.Running) return;
    worker.fault = WorkerFault.Unreachable;
    world.state.fault = TableFault.Down;
  });
  await world.submit('j1', 4, 500_000);
  await world.clock.advance(3_000);
  worker.fault = WorkerFault.None;
  expect(countRunning(world)).toEqual(2);
  await world.clock.advance(35_000);
  expect(countRunning(world)).toEqual(0);
  world.state.listeners.pop();
  world.state.fault = TableFault.None;
  await world.clock.advance(10_000);
  expect([world.getRecord('j1')?.attempts, countRunning(world)]).toEqual([2, 4]);
});

// Guards against a gang that runs in part: its owner crashed between two releases, and a worker
// replies only after the recovery.
test('a held member on a worker that replies late is released', async () => {
  const world = createWorld({ workers: 2, accelerators: 2 });
  const first = world.startDaemon('d1');
  await world.clock.advance(1_000);
  const worker = world.fleet.workers.get('w1')!;
  world.state.listeners.push(() => {
    if (world.getJobState('j1') !== JobState.Running) return;
    worker.fault = WorkerFault.Unreachable;
    world.state.listeners.pop();
  });
  await world.submit('j1', 4, 500_000);
  first.process.kill();
  world.startDaemon('d2');
  await world.clock.advance(8_000);
  expect([world.daemons[1]!.owner.isOwner(), countRunning(world)]).toEqual([true, 2]);
  worker.fault = WorkerFault.None;
  await world.clock.advance(3_000);
  expect([world.getRecord('j1')?.attempts, countRunning(world)]).toEqual([1, 4]);
});

// Guards against a region without placement because one worker does not reply to its new owner.
test('recovery does not wait for a worker that hangs', async () => {
  const world = createWorld({ workers: 3, accelerators: 2 });
  world.fleet.workers.get('w0')!.fault = WorkerFault.Hung;
  world.startDaemon('d1');
  await world.submit('j1', 4, 500_000);
  await world.clock.advance(4_000);
  expect([world.getJobState('j1'), countRunning(world)]).toEqual([JobState.Running, 4]);
});
