import { test } from 'node:test';
import { LeaseState } from '@bergamotreach/ownership';
import type { RegionLease } from '@bergamotreach/ownership';
import { CommandKind, TaskState, WorkerClient } from '@bergamotreach/hosting';
import type { CommandBatch, CommandResult, Instance, WorkerTasks } from '@bergamotreach/hosting';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { Ok } from 'ts-results-es';
import { createCaretaker } from '../src/caretaker.ts';
import { defaultOwnerSettings } from '../src/index.ts';

const epoch = 4;

/** Worker client that lists given task states, of gangs of two members, and records renewals. */
class ListedWorkerClient extends WorkerClient {
  readonly renewed: string[] = [];

  constructor(private readonly states: Record<string, Record<string, TaskState>>) {
    super();
  }

  async listTasks(_address: string, workerId: string) {
    const tasks = Object.entries(this.states[workerId] ?? {}).map(([taskId, state]) => ({
      taskId,
      jobId: taskId.slice(0, 1),
      gangSize: 2,
      account: 'a',
      accelerators: 1,
      state,
      leaseLeftMs: 10_000,
      usedSeconds: 0,
      hasCheckpoint: false,
      reason: '',
    }));
    return Promise.resolve(Ok<WorkerTasks>({ epoch, tasks }));
  }

  async sendCommands(_address: string, _workerId: string, batch: CommandBatch) {
    expect(batch.epoch).toEqual(epoch);
    for (const command of batch.commands) {
      if (command.kind === CommandKind.Renew) this.renewed.push(...command.taskIds);
      else throw new Error(`caretaker sent ${command.kind}`);
    }
    return Promise.resolve(Ok<CommandResult[]>([]));
  }
}

async function runRound(states: Record<string, Record<string, TaskState>>): Promise<string[]> {
  const clock = createManualClock();
  const workerClient = new ListedWorkerClient(states);
  const caretaker = createCaretaker({
    lease: {
      getStoreSilenceMs: () => 60_000,
      getState: () => LeaseState.Waiting,
    } as unknown as RegionLease,
    workerClient,
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    settings: defaultOwnerSettings,
    isCaretaker: () => true,
    listWorkers: () => Object.keys(states).map((id) => ({ id, address: id }) as Instance),
  });
  caretaker.start();
  await clock.advance(defaultOwnerSettings.taskRenewMs);
  caretaker.stop();
  return workerClient.renewed.sort();
}

// Guards against running jobs that stop because their owner crashed while the store was down.
test('caretaker renews a gang whose members are all running', async () => {
  const renewed = await runRound({
    w0: { 'j/1/0': TaskState.Running },
    w1: { 'j/1/1': TaskState.Running },
  });
  expect(renewed).toEqual(['j/1/0', 'j/1/1']);
});

// Guards against part of a gang running alone for the whole outage (model/caretaker.pml).
test('caretaker lets the leases of an incomplete gang expire', async () => {
  const renewed = await runRound({
    w0: { 'j/1/0': TaskState.Running, 'k/1/0': TaskState.Running },
    w1: { 'j/1/1': TaskState.Held, 'k/2/1': TaskState.Running },
  });
  expect(renewed).toEqual([]);
});

// Guards against stopping the rest of a gang because one member is already done.
test('caretaker renews a gang of which a member is already done', async () => {
  const renewed = await runRound({
    w0: { 'j/1/0': TaskState.Done },
    w1: { 'j/1/1': TaskState.Running },
  });
  expect(renewed).toEqual(['j/1/1']);
});
