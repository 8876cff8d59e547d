import { test } from 'node:test';
import {
  createManualClock,
  createNullLogger,
  createNullMetrics,
  waitForPromises,
} from '@bergamotreach/protocol';
import { JobState, TaskPhase } from '@bergamotreach/scheduling';
import type { PlannedStart } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createSingle } from '../../scheduling/tests/samples.ts';
import type { JobLifecycle } from '../src/joblifecycle.ts';
import { StartOutcome } from '../src/orders.ts';
import type { RunName } from '../src/orders.ts';
import type { OwnerContext } from '../src/ownercontext.ts';
import { createStarter } from '../src/starter.ts';
import { RefusalReason } from '../src/taskrunner.ts';

// Guards against a start that was given up while the store was down and later continues with the
// run that was planned in its place. The second of the two starts then gave up that run while it
// was active.
test('a start that was planned again is sent once', async () => {
  const flushes: ((sentMs: number) => void)[] = [];
  const sent: number[] = [];
  let drops = 0;
  const clock = createManualClock();
  const link = {
    id: 'w1',
    requestReport: () => undefined,
    getEntry: () => ({ isDraining: false }),
  };
  const result = {
    outcome: StartOutcome.Started,
    reason: RefusalReason.None,
    clockMs: 1,
    windowEndMs: 0,
    hasUnansweredAttempt: false,
  };
  const context = {
    journal: { flushRow: () => new Promise((resolve) => flushes.push(resolve)) },
    orders: {
      start(_link: unknown, name: RunName) {
        sent.push(name.run);
        return Promise.resolve(result);
      },
    },
    observedRuns: new Map(),
    unansweredStarts: new WeakMap(),
    startBackoffs: new Map(),
    tickets: { findTicket: () => undefined, recordStart: () => undefined },
    fleet: { find: () => link },
    isStopped: () => false,
    options: {
      clock,
      logger: createNullLogger(),
      metrics: createNullMetrics(),
      states: { getAgeMs: () => 0 },
      operatorRows: { getEvacuations: () => ({ dataCentres: new Set(), ageMs: 0 }) },
    },
  } as unknown as OwnerContext;
  const lifecycle = {
    findJob: () => ({ state: JobState.Running }),
    writeStarts: () => undefined,
    recordRunning: () => undefined,
    dropRun() {
      drops += 1;
    },
  } as unknown as JobLifecycle;
  const group = createSingle('j', 1);
  const [task] = group.tasks;
  if (task === undefined) throw new Error('no task');
  const starts: PlannedStart[] = [{ group, placements: [{ task, workerId: 'w1' }] }];
  const starter = createStarter(context, lifecycle);
  void starter.startAll(starts);
  Object.assign(task, { phase: TaskPhase.Waiting });
  void starter.startAll(starts);
  for (const resolve of flushes) resolve(0);
  await waitForPromises();
  expect(sent).toEqual([2]);
  expect(drops).toEqual(0);
  expect(task.phase).toEqual(TaskPhase.Running);
});
