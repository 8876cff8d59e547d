import { test } from 'node:test';
import { createManualClock, createNullLogger } from '@bergamotreach/protocol';
import { TaskPhase } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createSingle } from '../../scheduling/tests/samples.ts';
import { createHeldRuns } from '../src/heldruns.ts';
import type { JobLifecycle } from '../src/joblifecycle.ts';
import type { OwnerContext } from '../src/ownercontext.ts';
import type { WorkerLink } from '../src/workerlink.ts';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { Candidate, World } from './world.ts';

/** Longer than any test lasts, so that tasks end only by stops. */
const taskMs = 60_000;
const startUpMs = 1000;
const stepMs = 20;
/** Time for a worker to stop a run, plus the steps of the clock. */
const stopMs = 400;
/** Time for an unanswered stop and the pause before its retry. */
const lostStopMs = 410;
/** Time for a refused stop and the pause before its retry. */
const refusedStopMs = 270;

function countRunning(world: World): number {
  let count = 0;
  for (const worker of world.workers.values()) {
    worker.updateRuns();
    count += worker.active.size;
  }
  return count;
}

async function advance(world: World, durationMs: number): Promise<void> {
  for (let leftMs = durationMs; leftMs > 0; leftMs -= stepMs) {
    await world.clock.advance(stepMs);
    expect(findConcurrentRuns(world)).toEqual(undefined);
  }
}

/** Time until no task runs; slightly more than `limitMs` if some still run by then. */
async function measureStop(world: World, limitMs: number): Promise<number> {
  const startMs = world.clock.getNowMs();
  while (countRunning(world) > 0 && world.clock.getNowMs() - startMs <= limitMs) {
    await advance(world, stepMs);
  }
  return world.clock.getNowMs() - startMs;
}

/** Starts a job of four tasks. */
async function startJob(world: World): Promise<Candidate> {
  const owner = world.addCandidate('a');
  await advance(world, startUpMs);
  world.submit('j1', [{ taskCount: 4 }]);
  await advance(world, 300);
  expect(countRunning(world)).toEqual(4);
  return owner;
}

/** Kills an owner and waits for the next one. */
async function replaceOwner(world: World, previous: Candidate): Promise<void> {
  previous.process.kill();
  const next = world.addCandidate('b');
  while (next.getOwner() === undefined) await advance(world, stepMs);
}

// Guards against a stop that is never sent because the worker is not listed when the job is
// cancelled.
test('a cancellation stops the tasks of a worker that is listed later', async () => {
  const world = createWorld(1, taskMs);
  const previous = await startJob(world);
  world.unlistWorker('w0');
  await replaceOwner(world, previous);
  await advance(world, 300);
  world.cancel('j1');
  await advance(world, 500);
  expect(countRunning(world)).toEqual(4);
  world.listWorker('w0');
  expect(await measureStop(world, 20_000)).toBeLessThanOrEqual(stopMs);
});

// Guards against orphaned runs whose stop is retried only when the worker reports again.
test('lost stops of orphaned runs are retried', async () => {
  const world = createWorld(1, taskMs);
  const previous = await startJob(world);
  // Four stops of each of the four runs.
  for (const worker of world.workers.values()) worker.lostStops = 16;
  world.cancel('j1');
  await replaceOwner(world, previous);
  expect(await measureStop(world, 8000)).toBeLessThanOrEqual(4 * lostStopMs + stopMs);
});

// Guards against a stop that stays paused after the lease was lost for a moment.
test('a stop is sent as soon as the lease is held again', async () => {
  for (let offsetMs = 0; offsetMs < 600; offsetMs += 100) {
    const world = createWorld(1, taskMs);
    const { lease } = await startJob(world);
    await advance(world, offsetMs);
    world.store.fault = TableFault.Down;
    while (lease.isHolding(lease.getEpoch())) await advance(world, stepMs);
    world.cancel('j1');
    world.store.fault = TableFault.None;
    while (!lease.isHolding(lease.getEpoch())) await advance(world, stepMs);
    expect(await measureStop(world, 4000)).toBeLessThanOrEqual(stopMs);
  }
});

// Guards against a refused stop that is retried as late as one that was carried out.
test('refused stops are retried soon', async () => {
  const world = createWorld(1, taskMs);
  await startJob(world);
  // Three stops of each of the four runs.
  for (const worker of world.workers.values()) worker.refusedStops = 12;
  world.cancel('j1');
  expect(await measureStop(world, 8000)).toBeLessThanOrEqual(3 * refusedStopMs + stopMs);
});

// Guards against a report that gives up a run, while it is being stopped on another worker, because
// an earlier run of its task was held for the reporting worker.
test('a run is not given up because of an earlier held run', () => {
  const dropped: number[] = [];
  const lifecycle = {
    dropRun: ({ task }: { task: { run: number } }) => dropped.push(task.run),
  } as unknown as JobLifecycle;
  const context = {
    observedRuns: new Map(),
    unansweredStarts: new WeakMap(),
    options: { clock: createManualClock(), logger: createNullLogger() },
  } as unknown as OwnerContext;
  const heldRuns = createHeldRuns(context, lifecycle);
  const group = createSingle('j', 1);
  const [task] = group.tasks;
  if (task === undefined) throw new Error('no task');
  Object.assign(task, { phase: TaskPhase.Starting, run: 1, workerId: 'w0' });
  heldRuns.holdRun({ group, task });
  // The start of run 1 was given up before it was sent, and run 2 is being stopped on another
  // worker.
  Object.assign(task, { phase: TaskPhase.Stopping, run: 2, workerId: 'w1' });
  expect(heldRuns.isHeld(task)).toEqual(false);
  heldRuns.handleReport({ id: 'w0' } as WorkerLink, { clockMs: 1, runs: [], ends: [] });
  heldRuns.releaseExpired();
  expect(dropped).toEqual([]);
});
