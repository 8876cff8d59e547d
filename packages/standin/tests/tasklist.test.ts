import { test } from 'node:test';
import { CommandKind, createTaskListCache } from '@bergamotreach/hosting';
import type { TaskStatus, WorkerCommand } from '@bergamotreach/hosting';
import { createManualClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import fc from 'fast-check';
import { createWorkerAgent } from '../src/index.ts';

const seed = 20261204;
const epoch = 1;

interface Step {
  kind: 'hold' | 'release' | 'stop' | 'advance' | 'restart' | 'read' | 'loseReply';
  task: number;
}

const steps = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom('hold', 'release', 'stop', 'advance', 'restart', 'read', 'loseReply'),
    task: fc.nat({ max: 5 }),
  }),
  { maxLength: 60 },
);

function createCommand(kind: Step['kind'], taskId: string): WorkerCommand {
  if (kind === 'release') return { kind: CommandKind.Release, taskId };
  if (kind === 'stop') return { kind: CommandKind.Stop, taskId };
  const sizes = { gangSize: 1, accelerators: 1, cores: 1, memoryMb: 1 };
  const task = { taskId, jobId: 'j', account: 'a', payload: '{"runMs":50000}', ...sizes };
  return { kind: CommandKind.Hold, task, leaseMs: 40_000 };
}

/** The fields that must be equal in both lists; lease time and usage date from the last change. */
function listStates(tasks: readonly TaskStatus[]): string[] {
  return tasks.map(({ taskId, state, reason }) => `${taskId} ${state} ${reason}`).sort();
}

// Guards against a cached task list that diverges from the worker's when only changes are read.
test('changes add up to the whole list after any history', async () => {
  await fc.assert(
    fc.asyncProperty(steps, async (history) => {
      const clock = createManualClock();
      const agent = createWorkerAgent({ accelerators: 4, cores: 9, memoryMb: 9 }, clock);
      const cache = createTaskListCache();
      for (const { kind, task } of history) {
        if (kind === 'advance') await clock.advance(task * 9000);
        else if (kind === 'restart') agent.restart();
        else if (kind === 'loseReply') agent.listTasks(cache.getCursor());
        else if (kind !== 'read') {
          agent.handleBatch({ epoch, commands: [createCommand(kind, `t${task}`)] });
        } else {
          const cursor = cache.getCursor();
          const seen = cache.applyChanges(cursor, agent.listTasks(cursor));
          expect(listStates(seen?.tasks ?? [])).toEqual(listStates(agent.listTasks().tasks));
        }
      }
      agent.stop();
    }),
    { seed, numRuns: 150 },
  );
});

// Guards against a delayed reply that is applied after a newer one.
test('changes that do not fit the cursor are refused', () => {
  const agent = createWorkerAgent({ accelerators: 4, cores: 9, memoryMb: 9 }, createManualClock());
  const cache = createTaskListCache();
  cache.applyChanges(undefined, agent.listTasks());
  const cursor = cache.getCursor();
  agent.handleBatch({ epoch, commands: [createCommand('hold', 't1')] });
  const late = agent.listTasks(cursor);
  agent.handleBatch({ epoch, commands: [createCommand('hold', 't2')] });
  cache.applyChanges(cursor, agent.listTasks(cursor));
  expect(cache.applyChanges(cursor, late)).toEqual(undefined);
  expect(cache.getCursor()).toEqual(undefined);
  agent.stop();
});
