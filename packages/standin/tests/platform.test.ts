import { test } from 'node:test';
import {
  CommandKind,
  CommitStatus,
  TaskState,
  createHttpClient,
  createHttpInstanceList,
  createHttpObjectStore,
  createHttpTable,
  createHttpWorkerClient,
} from '@bergamotreach/hosting';
import { FaultCode, createManualClock } from '@bergamotreach/protocol';
import type { ManualClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { ezelpadLayout, startPlatform } from '../src/index.ts';
import type { StandinPlatform, TaskPlan } from '../src/index.ts';

const layout = { ...ezelpadLayout, workersPerDataCentre: 1, endpointsPerDataCentre: 1 };

async function startSmallPlatform(clock: ManualClock): Promise<StandinPlatform> {
  return startPlatform({ layout, clock, host: '127.0.0.1', port: 0, seed: 1 });
}

function createClient(platform: StandinPlatform): ReturnType<typeof createHttpClient> {
  return createHttpClient({
    origin: `http://${platform.address}`,
    connections: 2,
    timeoutMs: 5000,
  });
}

function createHold(taskId: string, plan: TaskPlan, accelerators = 8) {
  const task = {
    taskId,
    jobId: 'j',
    gangSize: 1,
    account: 'a',
    accelerators,
    cores: 1,
    memoryMb: 1,
    payload: JSON.stringify(plan),
  };
  return { kind: CommandKind.Hold as const, task, leaseMs: 10_000 };
}

// Guards against a client that reports a committed write as failed because its reply was lost.
test('lost reply is ambiguous and the row names the operation', async () => {
  const platform = await startSmallPlatform(createManualClock());
  const client = createClient(platform);
  const table = createHttpTable(client);
  platform.faults.lostReplyShare = 1;
  const commit = {
    operationId: 'op1',
    conditions: [{ key: 'k', version: 0 }],
    writes: [{ key: 'k', value: 5 }],
  };
  expect((await table.commit(commit)).status).toEqual(CommitStatus.Ambiguous);
  platform.faults.lostReplyShare = 0;
  expect((await table.getRow('k')).unwrap()?.operationId).toEqual('op1');
  const second = await table.commit({ ...commit, operationId: 'op2' });
  expect(second).toEqual({ status: CommitStatus.Conflict, conflicts: ['k'] });
  await client.close();
  await platform.close();
});

// Guards against a store outage that a client reports as an absent row.
test('store outage is a fault, not an empty answer', async () => {
  const platform = await startSmallPlatform(createManualClock());
  const client = createClient(platform);
  platform.faults.isStoreDown = true;
  const row = await createHttpTable(client).getRow('k');
  expect(row.isErr() && row.error.code).toEqual(FaultCode.StoreUnavailable);
  const commit = { operationId: 'o', conditions: [], writes: [{ key: 'k', value: 1 }] };
  const reply = await createHttpTable(client).commit(commit);
  expect(reply.status).toEqual(CommitStatus.Unavailable);
  expect((await createHttpObjectStore(client).putObject('x')).isErr()).toEqual(true);
  await client.close();
  await platform.close();
});

// Guards against a client that returns content which does not match its hash.
test('object is read back by its hash', async () => {
  const platform = await startSmallPlatform(createManualClock());
  const client = createClient(platform);
  const objects = createHttpObjectStore(client);
  const hash = (await objects.putObject('content')).unwrap();
  expect((await objects.getObject(hash)).unwrap()).toEqual('content');
  platform.objects.set(hash, 'damaged');
  expect((await objects.getObject(hash)).isErr()).toEqual(true);
  await client.close();
  await platform.close();
});

// Guards against an instance list without lag, which would hide faults from other tests.
test('instance list shows a change only after its lag', async () => {
  const clock = createManualClock();
  const platform = await startSmallPlatform(clock);
  const client = createClient(platform);
  const list = createHttpInstanceList(client);
  platform.registry.removeInstance('noord-1-e0');
  const countListed = async (): Promise<number> =>
    (await list.listInstances()).unwrap().filter((entry) => entry.id === 'noord-1-e0').length;
  expect(await countListed()).toEqual(1);
  await clock.advance(platform.faults.listLagMs);
  expect(await countListed()).toEqual(0);
  await client.close();
  await platform.close();
});

// Guards against a worker that executes commands of a deposed owner or exceeds its capacity.
test('worker refuses stale epochs and more than its accelerators', async () => {
  const platform = await startSmallPlatform(createManualClock());
  const workers = createHttpWorkerClient(5000);
  const send = async (epoch: number, taskId: string) =>
    workers.sendCommands(platform.address, 'noord-1-w0', {
      epoch,
      commands: [createHold(taskId, { runMs: 50 })],
    });
  expect((await send(2, 't1')).unwrap()[0]?.isOk).toEqual(true);
  expect((await send(2, 't2')).unwrap()[0]?.reason).toEqual('no_capacity');
  const stale = await send(1, 't3');
  expect(stale.isErr() && stale.error.code).toEqual(FaultCode.StaleEpoch);
  await platform.close();
});

// Guards against tasks that execute before their release or after their lease has expired.
test('held task waits for release and stops with its lease', async () => {
  const clock = createManualClock();
  const platform = await startSmallPlatform(clock);
  const workers = createHttpWorkerClient(5000);
  const getState = async (taskId: string): Promise<TaskState | undefined> => {
    const listed = (await workers.listTasks(platform.address, 'noord-1-w0')).unwrap();
    return listed.tasks.find((task) => task.taskId === taskId)?.state;
  };
  await workers.sendCommands(platform.address, 'noord-1-w0', {
    epoch: 1,
    commands: [createHold('t1', { runMs: 50 }, 4), createHold('t2', { runMs: 60_000 }, 4)],
  });
  await clock.advance(1000);
  expect(await getState('t1')).toEqual(TaskState.Held);
  await workers.sendCommands(platform.address, 'noord-1-w0', {
    epoch: 1,
    commands: [
      { kind: CommandKind.Release, taskId: 't1' },
      { kind: CommandKind.Release, taskId: 't2' },
    ],
  });
  await clock.advance(100);
  expect(await getState('t1')).toEqual(TaskState.Done);
  await clock.advance(10_000);
  expect(await getState('t2')).toEqual(TaskState.Stopped);
  await platform.close();
});
