import { test } from 'node:test';
import { JobState, RunEnd } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import fc from 'fast-check';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createWorld, findConcurrentRuns, runMs } from './world.ts';
import type { Candidate, World } from './world.ts';

enum Step {
  KillOwner = 'kill_owner',
  PauseOwner = 'pause_owner',
  CutWorker = 'cut_worker',
  LateOrders = 'late_orders',
  StoreDown = 'store_down',
  LostReplies = 'lost_replies',
  LateWrites = 'late_writes',
  FailingWorker = 'failing_worker',
  SubmitJob = 'submit_job',
  SubmitGang = 'submit_gang',
  Evacuate = 'evacuate',
  CrashWorker = 'crash_worker',
  PowerLoss = 'power_loss',
  SubmitDeadly = 'submit_deadly',
}

interface Action {
  step: Step;
  /** Selects a worker or a candidate. */
  target: number;
  /** How long the fault lasts. */
  forMs: number;
  /** Pause before the next action. */
  gapMs: number;
}

const crashSteps = [Step.CrashWorker, Step.PowerLoss, Step.SubmitDeadly];
const faultSteps = Object.values(Step).filter(
  (step) => step !== Step.Evacuate && !crashSteps.includes(step),
);
/** Runs of the crash property; each takes longer than those of the others. */
const crashRuns = 12;
/** A deadly task may pause for 16 s after a crash, and each crash takes a worker for 3 s. */
const crashSettleMs = 90_000;
const seed = 20261204;
const numRuns = 40;
const stepMs = 100;
/**
 * By then faults have ended, leases of unreachable workers have expired, a killed owner is
 * replaced, and all jobs are done.
 */
const settleMs = 45_000;

/** The rule on evacuations: no start is sent later than this after an evacuation was stored. */
const evacuateMs = 5000;
/** An evacuation lasts this many times as long as another fault. */
const evacuationFactor = 4;
const dataCentreCount = 3;

function buildActions(steps: readonly Step[]): fc.Arbitrary<Action[]> {
  return fc.array(
    fc.record({
      step: fc.constantFrom(...steps),
      target: fc.nat(3),
      forMs: fc.integer({ min: 300, max: 6000 }),
      gapMs: fc.integer({ min: 100, max: 2500 }),
    }),
    { minLength: 4, maxLength: 14 },
  );
}

interface Evacuation {
  worker: string;
  beganAtMs: number;
  endedAtMs: number;
}

/** Finds a start that was sent to a worker whose data centre was evacuated for longer than allowed. */
function findEvacuatedStart(
  candidates: readonly Candidate[],
  evacuations: readonly Evacuation[],
): string | undefined {
  for (const { task, worker, sentAtMs } of candidates.flatMap(({ runner }) => runner.starts)) {
    const broken = evacuations.find(
      (one) =>
        one.worker === worker && sentAtMs > one.beganAtMs + evacuateMs && sentAtMs < one.endedAtMs,
    );
    if (broken !== undefined)
      return `${task} at ${sentAtMs} on ${worker}, evacuated at ${broken.beganAtMs}`;
  }
  return undefined;
}

async function advance(world: World, durationMs: number): Promise<void> {
  const endMs = world.clock.getNowMs() + durationMs;
  while (world.clock.getNowMs() < endMs) {
    await world.clock.advance(stepMs);
    const conflict = findConcurrentRuns(world);
    if (conflict !== undefined) throw new Error(conflict);
  }
}

/** Finds a run that began after an earlier run of its task had completed and been acknowledged. */
function findRerun(world: World): string | undefined {
  for (const worker of world.workers.values()) {
    for (const ended of worker.ended) {
      if (ended.end !== RunEnd.Done || ended.sequence > worker.ackedSequence) continue;
      const later = world
        .listStartedRuns()
        .find(({ task, run }) => task === ended.task && run > ended.run);
      if (later !== undefined)
        return `${later.task} ran as ${later.run} after ${ended.run} was done`;
    }
  }
  return undefined;
}

async function runScenario(
  list: readonly Action[],
  workerCount = 3,
  endMs = settleMs,
): Promise<void> {
  const world = createWorld(workerCount, runMs, dataCentreCount);
  const deadly: string[] = [];
  let candidates: Candidate[] = [world.addCandidate('a'), world.addCandidate('b')];
  const allCandidates = [...candidates];
  const evacuations: Evacuation[] = [];
  let started = 2;
  const jobs: string[] = [];
  await advance(world, 800);

  function evacuate(worker: string, forMs: number): void {
    const nowMs = world.clock.getNowMs();
    if (evacuations.some((one) => one.worker === worker && one.endedAtMs > nowMs)) return;
    const dataCentre = `d${(Number.parseInt(worker.slice(1), 10) % dataCentreCount) + 1}`;
    world.evacuate(dataCentre);
    evacuations.push({ worker, beganAtMs: nowMs, endedAtMs: nowMs + forMs });
    world.clock.setTimer(forMs, () => {
      world.endEvacuation(dataCentre);
    });
  }

  function apply({ step, target, forMs }: Action): void {
    const workers = [...world.workers.values()].filter(({ isReplaced }) => !isReplaced);
    const worker = workers[target % workers.length];
    const candidate = candidates[target % candidates.length];
    if (worker === undefined || candidate === undefined) return;
    const endLater = (action: () => void): void => {
      world.clock.setTimer(forMs, action);
    };
    const setFault = (fault: TableFault): void => {
      world.store.fault = fault;
      endLater(() => {
        world.store.fault = TableFault.None;
      });
    };
    switch (step) {
      case Step.KillOwner:
        candidate.process.kill();
        candidates = candidates.filter((one) => one !== candidate);
        candidates.push(world.addCandidate(`c${(started += 1)}`));
        allCandidates.push(...candidates.slice(-1));
        break;
      case Step.Evacuate:
        evacuate(worker.id, forMs * evacuationFactor);
        break;
      case Step.PauseOwner:
        candidate.process.pause();
        endLater(() => void candidate.process.resume());
        break;
      case Step.CutWorker:
        worker.isUnreachable = true;
        endLater(() => {
          worker.isUnreachable = false;
        });
        break;
      case Step.LateOrders:
        worker.orderDelayMs = forMs;
        world.clock.setTimer(500, () => {
          worker.orderDelayMs = 0;
        });
        break;
      case Step.StoreDown:
        setFault(TableFault.Down);
        break;
      case Step.LostReplies:
        setFault(TableFault.LostReply);
        break;
      case Step.LateWrites:
        setFault(TableFault.LateEffect);
        break;
      case Step.FailingWorker:
        worker.end = RunEnd.Failed;
        endLater(() => {
          worker.end = RunEnd.Done;
        });
        break;
      case Step.CrashWorker:
        world.crashWorker(worker.id, forMs / 2);
        break;
      case Step.PowerLoss:
        for (const { id } of workers) world.crashWorker(id, forMs / 2);
        break;
      case Step.SubmitDeadly: {
        const id = `deadly${deadly.length}`;
        deadly.push(id);
        world.crashOnStart(`${id}.0.0.0`, target * 200);
        const rules = { priority: target % 3, maxAttempts: 50, stretch: 3, targetMs: 1000 };
        world.submit(id, [{ taskCount: 1 + (target % 2) }], { rules, queue: `q${target % 2}` });
        break;
      }
      case Step.SubmitJob:
      case Step.SubmitGang: {
        const id = `j${jobs.length}`;
        jobs.push(id);
        const isGang = step === Step.SubmitGang;
        const rules = { priority: target % 3, maxAttempts: 50, stretch: 3, targetMs: 1000 };
        world.submit(
          id,
          [
            { taskCount: 3, isGang },
            { taskCount: 2, dependsOn: [0] },
          ],
          { rules },
        );
      }
    }
  }

  for (const action of list) {
    apply(action);
    await advance(world, action.gapMs);
  }
  await advance(world, endMs);
  expect(findRerun(world)).toEqual(undefined);
  expect(findEvacuatedStart(allCandidates, evacuations)).toEqual(undefined);
  expect(jobs.map((id) => world.getState(id))).toEqual(jobs.map(() => JobState.Completed));
  expect(deadly.map((id) => world.getState(id))).toEqual(deadly.map(() => JobState.Failed));
}

// Guards against concurrent runs of a task, runs after its completion, and unfinished jobs under
// mixed faults.
test('random faults neither duplicate nor lose work', async () => {
  await fc.assert(
    fc.asyncProperty(buildActions(faultSteps), (list) => runScenario(list)),
    { seed, numRuns },
  );
});

// Guards against a start in an evacuated data centre, whatever fails meanwhile, and against jobs that an
// evacuation leaves unfinished.
test('nothing starts in an evacuated data centre under random faults', async () => {
  const evacuationSteps = [...faultSteps, Step.Evacuate, Step.Evacuate, Step.Evacuate];
  await fc.assert(
    fc.asyncProperty(buildActions(evacuationSteps), (list) => runScenario(list)),
    { seed, numRuns },
  );
});

// Guards against jobs that are blamed for crashes beside them, and tasks that crash their workers for ever,
// while workers also crash by themselves and everything else fails.
test('under random faults only the jobs that crash their workers are given up', async () => {
  const steps = [...faultSteps, ...crashSteps, Step.SubmitDeadly, Step.SubmitJob, Step.SubmitJob];
  await fc.assert(
    fc.asyncProperty(buildActions(steps), (list) => runScenario(list, 6, crashSettleMs)),
    { seed, numRuns: crashRuns },
  );
});
