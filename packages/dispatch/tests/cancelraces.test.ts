import { test } from 'node:test';
import { JobState, isFinal } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import fc from 'fast-check';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createWorld, runMs } from './world.ts';
import type { Candidate, World } from './world.ts';

enum Step {
  SubmitJob = 'submit_job',
  SubmitGang = 'submit_gang',
  CancelJob = 'cancel_job',
  StoreDown = 'store_down',
  SlowStore = 'slow_store',
  LostReplies = 'lost_replies',
  LateWrites = 'late_writes',
  CutWorker = 'cut_worker',
  PauseOwner = 'pause_owner',
  KillOwner = 'kill_owner',
}

interface Action {
  step: Step;
  /** Selects a job, a worker or a candidate. */
  target: number;
  /** How long the fault lasts. */
  forMs: number;
  /** Pause before the next action. */
  gapMs: number;
}

interface Scenario {
  /** Delay of the job states in the owner's replica. */
  stateDelayMs: number;
  actions: readonly Action[];
}

const seed = 20261204;
const numRuns = 30;
const startUpMs = 1000;
const settleMs = 12_000;
/** The service allows no start later than this after an acknowledged cancellation. */
const cancelMs = 3000;
const staleReplicaMs = 60_000;

const scenarios = fc.record({
  stateDelayMs: fc.constantFrom(0, 400, 2500, staleReplicaMs),
  actions: fc.array(
    fc.record({
      step: fc.constantFrom(
        ...Object.values(Step),
        Step.SubmitJob,
        Step.CancelJob,
        Step.CancelJob,
        Step.CancelJob,
      ),
      target: fc.nat(5),
      forMs: fc.integer({ min: 100, max: 3500 }),
      gapMs: fc.integer({ min: 0, max: 700 }),
    }),
    { minLength: 6, maxLength: 24 },
  ),
});

/** Records when the store committed each cancellation, by job; throws if one is replaced later. */
function watchCancels(world: World): Map<string, number> {
  const cancelled = new Map<string, number>();
  world.store.listeners.push(({ writes, atMs }) => {
    for (const { key, value } of writes) {
      const [table, jobId = ''] = key.split('/');
      if (table !== 'state') continue;
      const { state } = value as unknown as { state: JobState };
      if (state === JobState.Cancelled) cancelled.set(jobId, atMs);
      else if (cancelled.has(jobId)) throw new Error(`cancel of ${jobId} replaced by ${state}`);
    }
  });
  return cancelled;
}

/** Runs that began too long after the cancellation of their job was stored. */
function listLate(world: World, cancelled: ReadonlyMap<string, number>): string[] {
  return world.listStartedRuns().flatMap(({ task, run, atMs }) => {
    const cancelledMs = cancelled.get(task.split('.')[0] ?? '') ?? Infinity;
    const lateMs = atMs - cancelledMs;
    return lateMs > cancelMs ? [`run ${run} of ${task} began ${lateMs} ms after the cancel`] : [];
  });
}

/** Cancels a job as a caller does: a job that has ended keeps its state. */
function cancelJob(world: World, jobId: string): void {
  const state = world.getState(jobId);
  if (state !== undefined && !isFinal(state)) world.cancel(jobId);
}

function setFault(world: World, fault: TableFault, forMs: number): void {
  world.store.fault = fault;
  world.clock.setTimer(forMs, () => {
    world.store.fault = TableFault.None;
  });
}

async function runScenario({ stateDelayMs, actions }: Scenario): Promise<void> {
  const world = createWorld(3, 2 * runMs);
  const cancelled = watchCancels(world);
  const workers = [...world.workers.values()];
  let candidates: Candidate[] = ['a', 'b'].map((id) => world.addCandidate(id, stateDelayMs));
  let added = 0;
  const jobs: string[] = [];
  await world.clock.advance(startUpMs);

  function submitJob(isGang: boolean): void {
    const id = `j${jobs.length}`;
    jobs.push(id);
    const rules = { priority: 1, maxAttempts: 50, stretch: 3, targetMs: 1000 };
    const steps = [{ taskCount: 4, isGang }, { taskCount: 3, dependsOn: [0] }, { taskCount: 2 }];
    world.submit(id, steps, { rules });
  }

  function apply({ step, target, forMs }: Action): void {
    const worker = workers[target % workers.length];
    const candidate = candidates[target % candidates.length];
    const jobId = jobs[jobs.length - 1 - (target % Math.max(1, jobs.length))];
    if (worker === undefined || candidate === undefined) return;
    switch (step) {
      case Step.SubmitJob:
      case Step.SubmitGang:
        submitJob(step === Step.SubmitGang);
        break;
      case Step.CancelJob:
        if (jobId !== undefined) cancelJob(world, jobId);
        break;
      case Step.StoreDown:
        setFault(world, TableFault.Down, forMs);
        break;
      case Step.LostReplies:
        setFault(world, TableFault.LostReply, forMs);
        break;
      case Step.LateWrites:
        world.store.lateMs = forMs;
        setFault(world, TableFault.LateEffect, forMs);
        break;
      case Step.SlowStore:
        world.store.latencyMs = forMs / 5;
        world.clock.setTimer(forMs, () => {
          world.store.latencyMs = 0;
        });
        break;
      case Step.CutWorker:
        worker.isUnreachable = true;
        world.clock.setTimer(forMs, () => {
          worker.isUnreachable = false;
        });
        break;
      case Step.PauseOwner:
        candidate.process.pause();
        world.clock.setTimer(forMs, () => void candidate.process.resume());
        break;
      case Step.KillOwner:
        candidate.process.kill();
        candidates = candidates.filter((one) => one !== candidate);
        candidates.push(world.addCandidate(`c${(added += 1)}`, stateDelayMs));
    }
  }

  for (const action of actions) {
    apply(action);
    await world.clock.advance(action.gapMs);
  }
  await world.clock.advance(settleMs);
  expect(listLate(world, cancelled)).toEqual([]);
  const states = [...cancelled.keys()].map((id) => world.getState(id));
  expect(states).toEqual(states.map(() => JobState.Cancelled));
}

/** Calls `act` once, when the store commits a write of the row. */
function watchWrite(world: World, rowKey: string, act: () => void): void {
  let isSeen = false;
  world.store.listeners.push(({ writes }) => {
    if (isSeen || !writes.some(({ key }) => key === rowKey)) return;
    isSeen = true;
    act();
  });
}

// Guards against a start whose commit took effect before a cancellation but is known to be stored
// only seconds later, while the replica of the job states does not show the cancellation.
test('a start whose commit is confirmed late is not sent after a cancellation', async () => {
  const world = createWorld(1);
  world.addCandidate('a', staleReplicaMs);
  const cancelled = watchCancels(world);
  await world.clock.advance(startUpMs);
  const worker = world.workers.get('w0')!;
  watchWrite(world, 'progress/j1.0.1', () => {
    setFault(world, TableFault.Down, 1700);
    worker.isUnreachable = true;
    world.clock.setTimer(0, () => {
      cancelJob(world, 'j1');
    });
  });
  world.store.fault = TableFault.LostReply;
  world.submit('j1', [{ taskCount: 2 }, { taskCount: 2, dependsOn: [0] }]);
  await world.clock.advance(runMs + 3500);
  worker.isUnreachable = false;
  await world.clock.advance(settleMs);
  expect(cancelled.size).toEqual(1);
  expect(listLate(world, cancelled)).toEqual([]);
});

// Guards against a start that waits for the other commits of its plan while its job is cancelled.
test('a start stored by the first of many slow commits is not sent after a cancellation', async () => {
  const world = createWorld(30);
  world.addCandidate('a', staleReplicaMs);
  const cancelled = watchCancels(world);
  await world.clock.advance(startUpMs);
  for (let job = 0; job < 110; job += 1) world.submit(`j${job}`, [{ taskCount: 1 }]);
  world.store.latencyMs = 1400;
  watchWrite(world, 'progress/j0.0.0', () => {
    world.clock.setTimer(0, () => {
      cancelJob(world, 'j0');
    });
  });
  await world.clock.advance(settleMs);
  expect(cancelled.size).toEqual(1);
  expect(listLate(world, cancelled)).toEqual([]);
});

// Guards against a cancellation that is overwritten or noticed too late under some sequence of
// writes, lost replies, takeovers and suspensions, however stale the replica of the job states is.
test('a stored cancellation is never replaced and no run begins after it', async () => {
  await fc.assert(
    fc.asyncProperty(scenarios, (day) => runScenario(day)),
    { seed, numRuns, endOnFailure: true },
  );
});
