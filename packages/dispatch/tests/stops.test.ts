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
import { createWorld, findDuplicateRun } from './world.ts';
import type { Candidate, World } from './world.ts';

/** Longer than any test observedRuns, so that tasks end by stops only. */
const taskMs = 60_000;
const startUpMs = 1000;
const stepMs = 20;
/** Steps of the clock and the stop of a worker. */
const stopMs = 400;
/** A stop without an answer, and the pause before its repetition. */
const lostStopMs = 410;
/** A refused stop and the pause before its repetition. */
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
    expect(findDuplicateRun(world)).toEqual(undefined);
  }
}

/** Time until no task runs; a little over `limitMs` when some still do by then. */
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

/** Ends an owner and waits until the next one has begun. */
async function replaceOwner(world: World, former: Candidate): Promise<void> {
  former.process.kill();
  const next = world.addCandidate('b');
  while (next.getOwner() === undefined) await advance(world, stepMs);
}

// Guards against a stop that is never sent because the worker is not listed when the cancel comes.
test('cancel stops the tasks of a worker that is listed later', async () => {
  const world = createWorld(1, taskMs);
  const former = await startJob(world);
  world.unlistWorker('w0');
  await replaceOwner(world, former);
  await advance(world, 300);
  world.cancel('j1');
  await advance(world, 500);
  expect(countRunning(world)).toEqual(4);
  world.listWorker('w0');
  expect(await measureStop(world, 20_000)).toBeLessThanOrEqual(stopMs);
});

// Guards against stray runs whose stop is repeated by their worker's next reports only.
test('lost stops of stray runs are repeated', async () => {
  const world = createWorld(1, taskMs);
  const former = await startJob(world);
  // Four stops of each of the four runs.
  for (const worker of world.workers.values()) worker.lostStops = 16;
  world.cancel('j1');
  await replaceOwner(world, former);
  expect(await measureStop(world, 8000)).toBeLessThanOrEqual(4 * lostStopMs + stopMs);
});

// Guards against a stop that goes on waiting after the lease was not held for a moment.
test('stop follows as soon as the lease is held again', async () => {
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

// Guards against a refused stop that is repeated as late as one that was carried out.
test('refused stops are repeated soon', async () => {
  const world = createWorld(1, taskMs);
  await startJob(world);
  // Three stops of each of the four runs.
  for (const worker of world.workers.values()) worker.refusedStops = 12;
  world.cancel('j1');
  expect(await measureStop(world, 8000)).toBeLessThanOrEqual(3 * refusedStopMs + stopMs);
});

// Guards against a run that is given up, while it is being stopped elsewhere, by the report of a worker
// on which an earlier run of its task was held.
test('run is not given up for the held run before it', () => {
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
  // Its start was given up before it was sent, and the next run is being stopped on another worker.
  Object.assign(task, { phase: TaskPhase.Stopping, run: 2, workerId: 'w1' });
  expect(heldRuns.isHeld(task)).toEqual(false);
  heldRuns.handleReport({ id: 'w0' } as WorkerLink, { clockMs: 1, runs: [], ends: [] });
  heldRuns.releaseExpired();
  expect(dropped).toEqual([]);
});
