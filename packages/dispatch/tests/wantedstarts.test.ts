import { test } from 'node:test';
import { FaultCode } from '@bergamotreach/protocol';
import { JobState, formatGroupName, parseTaskName } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import fc from 'fast-check';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createStep } from '../../scheduling/tests/samples.ts';
import type { JobRequest, JobService, StartOrder } from '../src/index.ts';
import { addService, admission } from './services.ts';
import { createWorld } from './world.ts';
import type { Candidate, World } from './world.ts';

enum Step {
  KillOwner = 'kill_owner',
  PauseOwner = 'pause_owner',
  CutWorker = 'cut_worker',
  RestartWorker = 'restart_worker',
  LateOrders = 'late_orders',
  StoreDown = 'store_down',
  LostReplies = 'lost_replies',
  LateWrites = 'late_writes',
  SubmitGang = 'submit_gang',
  SubmitUrgent = 'submit_urgent',
  CancelJob = 'cancel_job',
}

interface Action {
  step: Step;
  /** Selects a worker, a candidate or a job. */
  target: number;
  /** How long the fault lasts. */
  forMs: number;
  /** Pause before the next action. */
  gapMs: number;
}

const seed = 20261204;
const numRuns = 25;
const taskMs = 5000;
const checkpointIntervalMs = 400;
const settleMs = 20_000;

const actions = fc.array(
  fc.record({
    step: fc.constantFrom(...Object.values(Step)),
    target: fc.nat(5),
    forMs: fc.integer({ min: 300, max: 6000 }),
    gapMs: fc.integer({ min: 100, max: 2500 }),
  }),
  { minLength: 5, maxLength: 16 },
);

function getGroupKey(taskName: string): string {
  const name = parseTaskName(taskName);
  if (name === undefined) throw new Error(`${taskName} names no task`);
  return formatGroupName(name);
}

/** Whether a checkpoint was saved by the started task, or by any member of its gang. */
function isOwnCheckpoint({ task, checkpoint }: StartOrder, isGang: boolean): boolean {
  if (checkpoint === '') return true;
  const [savedBy = ''] = checkpoint.split('/');
  return isGang ? getGroupKey(savedBy) === getGroupKey(task) : savedBy === task;
}

/** Describes what is wrong with the starts that were sent; empty if nothing is. */
function listFaults(world: World, starts: readonly StartOrder[]): string[] {
  const faults: string[] = [];
  const checkpoints = new Map<string, string>();
  for (const start of starts) {
    const { task, run, payload, checkpoint } = start;
    const name = parseTaskName(task);
    const isGang = task.startsWith('gang');
    if (name === undefined || world.getState(name.jobId) === undefined) {
      faults.push(`${task} was not submitted`);
    }
    if (payload !== `payload of ${String(name?.jobId)}`) faults.push(`${task} carries ${payload}`);
    if (!isOwnCheckpoint(start, isGang)) faults.push(`${task} resumes from ${checkpoint}`);
    const unit = isGang ? `${getGroupKey(task)}/${run}` : `${task}/${run}`;
    const other = checkpoints.get(unit) ?? checkpoint;
    if (other !== checkpoint) faults.push(`${unit} resumes from ${other} and from ${checkpoint}`);
    checkpoints.set(unit, checkpoint);
  }
  return faults;
}

/** Plays a scenario; resolves with all starts that were sent. */
async function runScenario(world: World, list: readonly Action[]): Promise<StartOrder[]> {
  const workers = [...world.workers.values()];
  for (const worker of workers) worker.checkpointIntervalMs = checkpointIntervalMs;
  const all: Candidate[] = [world.addCandidate('a'), world.addCandidate('b')];
  let candidates = [...all];
  const jobs: string[] = [];
  await world.clock.advance(800);

  function submit(id: string, priority: number, isGang: boolean): void {
    jobs.push(id);
    const rules = { priority, maxAttempts: 50, stretch: 3, targetMs: 1000 };
    const recurrence = { count: 2, firstAtMs: world.clock.getNowMs(), intervalMs: 300 };
    const payload = `payload of ${id}`;
    const timed = isGang ? { recurrence } : {};
    const step = { isCheckpointing: true };
    world.submit(
      id,
      [
        { ...step, taskCount: 3, isGang },
        { ...step, taskCount: 2, isGang },
      ],
      { rules, payload, ...timed },
    );
  }

  function apply({ step, target, forMs }: Action): void {
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
      case Step.KillOwner: {
        candidate.process.kill();
        const next = world.addCandidate(`c${all.length}`);
        candidates = [...candidates.filter((one) => one !== candidate), next];
        all.push(next);
        break;
      }
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
      case Step.RestartWorker:
        world.restartWorker(worker.id);
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
      case Step.SubmitGang:
        submit(`gang${jobs.length}`, 2, true);
        break;
      case Step.SubmitUrgent:
        submit(`urgent${jobs.length}`, 0, false);
        break;
      case Step.CancelJob: {
        const id = jobs[target % Math.max(1, jobs.length)];
        if (id !== undefined) world.cancel(id);
      }
    }
  }

  submit('gang', 2, true);
  submit('single', 1, false);
  for (const action of list) {
    apply(action);
    await world.clock.advance(action.gapMs);
  }
  await world.clock.advance(settleMs);
  return all.flatMap(({ runner }) => runner.starts);
}

// Guards against a start with another job's payload, or from a checkpoint of another task,
// occurrence or run.
test('starts carry the submitted payload and the checkpoint of their task', async () => {
  let resumed = 0;
  await fc.assert(
    fc.asyncProperty(actions, async (list) => {
      const world = createWorld(3, taskMs);
      const starts = await runScenario(world, list);
      resumed += starts.filter(({ checkpoint }) => checkpoint !== '').length;
      expect(listFaults(world, starts)).toEqual([]);
    }),
    { seed, numRuns },
  );
  // Without resumed runs the test would prove nothing.
  expect(resumed).toBeGreaterThan(numRuns);
});

const deadlineMs = 3000;
const cancelMs = 3000;
const callerJobs = 3;

enum Call {
  Submit = 'submit',
  Cancel = 'cancel',
  KillInstance = 'kill_instance',
  KillOwner = 'kill_owner',
  StoreFault = 'store_fault',
  SlowStore = 'slow_store',
}

interface CallerAction {
  call: Call;
  /** Selects a job, an instance, an owner or a fault. */
  target: number;
  forMs: number;
  gapMs: number;
}

const callerActions = fc.array(
  fc.record({
    call: fc.constantFrom(...Object.values(Call), Call.Submit, Call.Submit, Call.Cancel),
    target: fc.nat(11),
    forMs: fc.integer({ min: 100, max: 3500 }),
    gapMs: fc.integer({ min: 0, max: 800 }),
  }),
  { minLength: 4, maxLength: 16 },
);

/** Plays calls of callers; resolves with descriptions of the runs that should not have begun. */
async function runCalls(list: readonly CallerAction[]): Promise<string[]> {
  const world = createWorld(3, 3000);
  let owners = [world.addCandidate('one'), world.addCandidate('two')];
  let services = ['s1', 's2', 's3'].map((id) => addService(world, id));
  let added = 0;
  const cancelledMs = new Map<string, number>();
  /** Results of the submissions of each job; `open` while there is none. */
  const ends = new Map<string, string[]>();
  await world.clock.advance(2500);

  function submitJob(jobs: JobService, id: string): void {
    const results = ends.get(id) ?? [];
    ends.set(id, results);
    const index = results.push('open') - 1;
    const job = createRequest(id);
    void jobs.submit(admission, job, deadlineMs).then((result) => {
      results[index] = result.isOk() ? 'accepted' : result.error.code;
    });
  }

  function cancelJob(jobs: JobService, id: string): void {
    void jobs.cancel(admission, id, deadlineMs).then((result) => {
      if (result.isOk() && !cancelledMs.has(id)) cancelledMs.set(id, world.clock.getNowMs());
    });
  }

  function apply({ call, target, forMs }: CallerAction): void {
    const id = `j${target % callerJobs}`;
    const service = services[target % services.length];
    const owner = owners[target % owners.length];
    if (service === undefined || owner === undefined) return;
    const faults = Object.values(TableFault);
    switch (call) {
      case Call.Submit:
        submitJob(service.jobs, id);
        break;
      case Call.Cancel:
        cancelJob(service.jobs, id);
        break;
      case Call.KillInstance:
        service.process.kill();
        services = services.filter((one) => one !== service);
        services.push(addService(world, `next${(added += 1)}`));
        break;
      case Call.KillOwner:
        owner.process.kill();
        owners = owners.filter((one) => one !== owner);
        owners.push(world.addCandidate(`next${(added += 1)}`));
        break;
      case Call.StoreFault:
        world.store.fault = faults[target % faults.length] ?? TableFault.None;
        world.store.lateMs = forMs;
        world.clock.setTimer(forMs, () => {
          world.store.fault = TableFault.None;
        });
        break;
      case Call.SlowStore:
        world.store.latencyMs = target * 60;
        world.clock.setTimer(forMs, () => {
          world.store.latencyMs = 0;
        });
    }
  }

  for (const action of list) {
    apply(action);
    await world.clock.advance(action.gapMs);
  }
  await world.clock.advance(12_000);
  const faults: string[] = [];
  for (const { task, atMs } of world.listStartedRuns()) {
    const id = String(parseTaskName(task)?.jobId);
    const lateMs = atMs - (cancelledMs.get(id) ?? Infinity);
    if (lateMs > cancelMs) faults.push(`${task} began ${lateMs} ms after the cancel`);
    const isRefused = ends.get(id)?.every((end) => end === (FaultCode.StoreUnavailable as string));
    if (isRefused !== false) faults.push(`${task} began and was not accepted`);
  }
  return faults;
}

// Guards against tasks of a job that was cancelled, answered with 2xx or 410, or whose submissions
// were all refused.
test('no task of a cancelled or refused job begins', async () => {
  await fc.assert(
    fc.asyncProperty(callerActions, async (list) => {
      expect(await runCalls(list)).toEqual([]);
    }),
    { seed, numRuns: 30 },
  );
});

function createRequest(id: string, payload = 'x'): JobRequest {
  return { id, payload, steps: [createStep()] };
}

async function cancel(world: World, jobs: JobService, id: string): Promise<boolean | undefined> {
  const result = jobs.cancel(admission, id, deadlineMs);
  await world.clock.advance(1000);
  return (await result).unwrapOr(undefined);
}

async function getState(
  world: World,
  jobs: JobService,
  id: string,
): Promise<JobState | undefined | string> {
  const result = jobs.getState(admission, id, deadlineMs);
  await world.clock.advance(100);
  return (await result).unwrapOr('no answer');
}

// Guards against a job that runs after its cancellation was answered 410: its submission got no
// answer, and the store carries it out only after the cancellation.
test('a cancellation that found no job holds when the submission is stored late', async () => {
  const world = createWorld();
  world.addCandidate('one');
  const first = addService(world, 's1');
  const second = addService(world, 's2').jobs;
  await world.clock.advance(2000);
  world.store.fault = TableFault.LateEffect;
  world.store.lateMs = 2500;
  void first.jobs.submit(admission, createRequest('a'), deadlineMs);
  await world.clock.advance(50);
  first.process.kill();
  world.store.fault = TableFault.None;
  expect(await cancel(world, second, 'a')).toEqual(false);
  await world.clock.advance(5000);
  expect(world.store.rows.has('job/a')).toEqual(true);
  expect(world.listStartedRuns()).toEqual([]);
  expect(await getState(world, second, 'a')).toEqual(JobState.Cancelled);
});

// Guards against showing a job that nobody submitted because its id was cancelled.
test('a cancellation of an unknown id shows no job', async () => {
  const world = createWorld();
  const first = addService(world, 's1').jobs;
  const second = addService(world, 's2').jobs;
  await world.clock.advance(2000);
  expect(await cancel(world, first, 'a')).toEqual(false);
  expect(await cancel(world, second, 'a')).toEqual(false);
  await world.clock.advance(2000);
  expect(await getState(world, first, 'a')).toEqual(undefined);
  expect(second.findCachedState(admission, 'a')).toEqual(undefined);
  expect(second.countPending('q1')).toEqual(0);
});

// Guards against a submission that is accepted under a cancelled id and then cannot be found.
test('a job that is submitted after its cancellation is stored and shown as cancelled', async () => {
  const world = createWorld();
  world.addCandidate('one');
  const { jobs } = addService(world, 's1');
  await world.clock.advance(2000);
  expect(await cancel(world, jobs, 'a')).toEqual(false);
  await world.clock.advance(2000);
  const submitted = jobs.submit(admission, createRequest('a'), deadlineMs);
  await world.clock.advance(3000);
  expect((await submitted).isOk()).toEqual(true);
  expect(await getState(world, jobs, 'a')).toEqual(JobState.Cancelled);
  expect(world.listStartedRuns()).toEqual([]);
});

// Guards against a repeated submission that revives a cancelled job or changes what runs, sent
// through an instance whose replica shows neither the job nor its cancellation.
test('a submission that is repeated after the cancellation starts nothing', async () => {
  const world = createWorld();
  const { runner } = world.addCandidate('one');
  const first = addService(world, 's1').jobs;
  await world.clock.advance(2000);
  for (const id of ['a', 'b']) void first.submit(admission, createRequest(id), deadlineMs);
  await world.clock.advance(10);
  const late = addService(world, 's2');
  expect(await cancel(world, first, 'a')).toEqual(true);
  const startedCount = world.listStartedRuns().filter(({ task }) => task.startsWith('a')).length;
  for (const id of ['a', 'b']) {
    const repeated = late.jobs.submit(admission, createRequest(id, 'y'), deadlineMs);
    await world.clock.advance(500);
    expect((await repeated).isOk()).toEqual(true);
  }
  await world.clock.advance(5000);
  expect(world.getState('a')).toEqual(JobState.Cancelled);
  expect(world.listStartedRuns().filter(({ task }) => task.startsWith('a')).length).toEqual(
    startedCount,
  );
  expect(world.getState('b')).toEqual(JobState.Completed);
  expect(runner.starts.filter(({ payload }) => payload !== 'x')).toEqual([]);
});
