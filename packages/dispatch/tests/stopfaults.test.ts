import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import fc from 'fast-check';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createWorld, findConcurrentRuns } from './world.ts';
import type { Candidate, World } from './world.ts';

enum Step {
  Cancel = 'cancel',
  KillOwner = 'kill_owner',
  PauseOwner = 'pause_owner',
  UnlistWorker = 'unlist_worker',
  RestartWorker = 'restart_worker',
  CutWorker = 'cut_worker',
  LateOrders = 'late_orders',
  LostStops = 'lost_stops',
  StoreDown = 'store_down',
  LostReplies = 'lost_replies',
  LateWrites = 'late_writes',
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

const seed = 20261205;
const numRuns = 20;
const stepMs = 50;
/** Longer than a scenario, so that tasks end only by stops. */
const taskMs = 60_000;
const lateOrdersMs = 600;
/** Service rule: a cancelled job has no running task after this long without a disruption. */
const cancelMs = 4000;
const stopTimeoutMs = 400;

const actions = fc.array(
  fc.record({
    step: fc.constantFrom(...Object.values(Step), Step.Cancel, Step.UnlistWorker, Step.KillOwner),
    target: fc.nat(3),
    forMs: fc.integer({ min: 100, max: 5000 }),
    gapMs: fc.integer({ min: 0, max: 900 }),
  }),
  { minLength: 5, maxLength: 14 },
);

/**
 * One job is cancelled before a takeover during which its worker is not listed, another one after
 * it.
 */
const takeoverWithoutList: Action[] = [
  { step: Step.KillOwner, target: 2, forMs: 0, gapMs: 772 },
  { step: Step.Cancel, target: 0, forMs: 0, gapMs: 709 },
  { step: Step.UnlistWorker, target: 1, forMs: 4876, gapMs: 853 },
  { step: Step.KillOwner, target: 0, forMs: 0, gapMs: 1453 },
  { step: Step.UnlistWorker, target: 0, forMs: 3897, gapMs: 780 },
  { step: Step.Cancel, target: 1, forMs: 0, gapMs: 405 },
];

async function advance(world: World, durationMs: number): Promise<void> {
  const endMs = world.clock.getNowMs() + durationMs;
  while (world.clock.getNowMs() < endMs) {
    await world.clock.advance(Math.min(stepMs, endMs - world.clock.getNowMs()));
    const conflict = findConcurrentRuns(world);
    if (conflict !== undefined) throw new Error(conflict);
  }
}

function listRunning(world: World, jobs: ReadonlySet<string>): string[] {
  return [...world.workers.values()]
    .flatMap(({ active }) => [...active.keys()])
    .filter((task) => jobs.has(task.split('.')[0] ?? ''));
}

async function runScenario(list: readonly Action[]): Promise<void> {
  const world = createWorld(3, taskMs);
  const workers = [...world.workers.values()];
  let candidates: Candidate[] = [world.addCandidate('a'), world.addCandidate('b')];
  let started = 2;
  let faultsEndMs = 0;
  const cancelled = new Set<string>();

  function endAfter(durationMs: number, action: () => void = () => undefined): void {
    faultsEndMs = Math.max(faultsEndMs, world.clock.getNowMs() + durationMs);
    world.clock.setTimer(durationMs, action);
  }

  function setFault(fault: TableFault, forMs: number): void {
    world.store.fault = fault;
    endAfter(forMs, () => {
      world.store.fault = TableFault.None;
    });
  }

  function apply({ step, target, forMs }: Action): void {
    const worker = workers[target % workers.length];
    const candidate = candidates[target % candidates.length];
    if (worker === undefined || candidate === undefined) return;
    switch (step) {
      case Step.Cancel:
        if (!cancelled.has(`j${target}`)) world.cancel(`j${target}`);
        cancelled.add(`j${target}`);
        return;
      case Step.KillOwner:
        candidate.process.kill();
        candidates = candidates.filter((one) => one !== candidate);
        candidates.push(world.addCandidate(`c${(started += 1)}`));
        endAfter(0);
        return;
      case Step.PauseOwner:
        candidate.process.pause();
        endAfter(forMs, () => void candidate.process.resume());
        return;
      case Step.UnlistWorker:
        world.unlistWorker(worker.id);
        endAfter(forMs, () => {
          world.listWorker(worker.id);
        });
        return;
      case Step.RestartWorker:
        // The list shows the new incarnation only later.
        worker.restart();
        endAfter(forMs, () => {
          world.listWorker(worker.id);
        });
        return;
      case Step.CutWorker:
        worker.isUnreachable = true;
        endAfter(forMs, () => {
          worker.isUnreachable = false;
        });
        return;
      case Step.LateOrders:
        worker.orderDelayMs = forMs;
        endAfter(lateOrdersMs, () => {
          worker.orderDelayMs = 0;
        });
        endAfter(lateOrdersMs + forMs);
        return;
      case Step.LostStops:
        worker.lostStops = 3;
        endAfter(forMs, () => {
          worker.lostStops = 0;
        });
        return;
      case Step.StoreDown:
        setFault(TableFault.Down, forMs);
        return;
      case Step.LostReplies:
        setFault(TableFault.LostReply, forMs);
        return;
      case Step.LateWrites:
        setFault(TableFault.LateEffect, forMs);
        endAfter(forMs + world.store.lateMs);
    }
  }

  for (const id of ['j0', 'j1', 'j2', 'j3']) {
    const rules = { priority: 1, maxAttempts: 50, stretch: 3, targetMs: 1000 };
    world.submit(id, [{ taskCount: 3, isGang: id === 'j1' }], { rules });
  }
  await advance(world, 1100);
  for (const action of list) {
    apply(action);
    await advance(world, action.gapMs);
  }
  const leftMs = Math.max(0, faultsEndMs - world.clock.getNowMs());
  await advance(world, leftMs + cancelMs + stopTimeoutMs);
  expect(listRunning(world, cancelled)).toEqual([]);
  for (const id of cancelled) expect(world.getState(id)).toEqual(JobState.Cancelled);
}

// Guards against tasks of cancelled jobs that no stop reaches after faults.
test('random faults leave no task of a cancelled job', async () => {
  await fc.assert(
    fc.asyncProperty(actions, (list) => runScenario(list)),
    { seed, numRuns, examples: [[takeoverWithoutList]] },
  );
});
