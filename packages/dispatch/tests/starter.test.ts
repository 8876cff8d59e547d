import { test } from 'node:test';
import {
  createManualClock,
  createNullLogger,
  createNullMetrics,
  settlePromises,
} from '@bergamotreach/protocol';
import { JobState, TaskPhase } from '@bergamotreach/scheduling';
import type { PlannedStart } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createSingle } from '../../scheduling/tests/samples.ts';
import type { JobLife } from '../src/joblife.ts';
import { StartFate } from '../src/orders.ts';
import type { RunName } from '../src/orders.ts';
import type { OwnerContext } from '../src/ownercontext.ts';
import { createStarter } from '../src/starter.ts';
import { RefusalReason } from '../src/taskrunner.ts';

// Guards against a start that was given up while the store was away, and goes on afterwards with the
// run that was planned in its place: the second of the two gave that run up while it worked.
test('a start that was planned anew is sent once', async () => {
  const flushes: ((sentMs: number) => void)[] = [];
  const sent: number[] = [];
  let drops = 0;
  const clock = createManualClock();
  const link = { id: 'w1', hurry: () => undefined, getEntry: () => ({ isDraining: false }) };
  const result = {
    fate: StartFate.Started,
    reason: RefusalReason.None,
    clockMs: 1,
    windowUntilMs: 0,
    hasLostCopy: false,
  };
  const context = {
    journal: { flushRow: () => new Promise((resolve) => flushes.push(resolve)) },
    orders: {
      start(_link: unknown, name: RunName) {
        sent.push(name.run);
        return Promise.resolve(result);
      },
    },
    watches: new Map(),
    lateCopies: new WeakMap(),
    paused: new Map(),
    tickets: { findTicket: () => undefined },
    fleet: { find: () => link },
    isStopped: () => false,
    options: {
      clock,
      logger: createNullLogger(),
      metrics: createNullMetrics(),
      states: { getAgeMs: () => 0 },
    },
  } as unknown as OwnerContext;
  const life = {
    findJob: () => ({ state: JobState.Running }),
    writeStarts: () => undefined,
    noteRunning: () => undefined,
    dropRun() {
      drops += 1;
    },
  } as unknown as JobLife;
  const group = createSingle('j', 1);
  const [task] = group.tasks;
  if (task === undefined) throw new Error('no task');
  const starts: PlannedStart[] = [{ group, placements: [{ task, workerId: 'w1' }] }];
  const starter = createStarter(context, life);
  void starter.startAll(starts);
  Object.assign(task, { phase: TaskPhase.Waiting });
  void starter.startAll(starts);
  for (const resolve of flushes) resolve(0);
  await settlePromises();
  expect(sent).toEqual([2]);
  expect(drops).toEqual(0);
  expect(task.phase).toEqual(TaskPhase.Running);
});
