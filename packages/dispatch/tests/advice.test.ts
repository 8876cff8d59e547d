import { test } from 'node:test';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { AdvicePurpose, JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createSingle, createStep } from '../../scheduling/tests/samples.ts';
import { checkJobRow } from '../src/index.ts';
import { createTicketCache } from '../src/tickets.ts';
import { FakeAdvisor } from './fakeadvisor.ts';
import { workerSlots } from './fakeworkers.ts';
import { createWorld } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const validityMs = 3000;
const quick = { decisionMs: 100, perWorkerMs: 5, validityMs };
const slow = { decisionMs: 1600, perWorkerMs: 10, validityMs };
const completed = JobState.Completed;
/** Demand that takes a whole worker. */
const whole = { cpuMillis: 1000, memoryMb: 100, accelerators: workerSlots };

/** Creates a world with an owner, whose workers all are admitted and refuse starts without a ticket. */
async function createAdvisedWorld(workerCount: number): Promise<World> {
  const world = createWorld(workerCount);
  world.advisor.admitted = new Set(world.workers.keys());
  world.advisor.validityMs = validityMs;
  world.queues.set('quick', quick).set('slow', slow);
  world.guardedQueues.add('quick').add('slow');
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  return world;
}

/** Workers that the first call for a step names. */
function countNamed(world: World, step: string): number {
  return world.advisor.calls.find((call) => call.step === step)?.workers.length ?? 0;
}

// Guards against calls that name fewer workers each time, since the time of the decision was divided by the workers:
// a gang that needs many tickets at once then never starts.
test('calls to an advisor with long decisions keep their width', async () => {
  const world = await createAdvisedWorld(33);
  for (let index = 0; index < 5; index += 1) {
    world.submit(`j${index}`, [{ taskCount: 4 }], { queue: 'slow' });
    await world.clock.advance(4000);
  }
  world.submit('gang', [{ taskCount: 20, isGang: true, demand: whole }], { queue: 'slow' });
  await world.clock.advance(12_000);
  expect(world.getState('gang')).toEqual(JobState.Completed);
});

// Guards against one queue's slow advisor that narrows the calls for all other queues.
test('a slow advisor of one queue does not narrow the calls for another', async () => {
  const world = await createAdvisedWorld(33);
  for (let index = 0; index < 5; index += 1) {
    world.submit(`j${index}`, [{ taskCount: 4 }], { queue: 'slow' });
    await world.clock.advance(4000);
  }
  world.submit('gang', [{ taskCount: 20, isGang: true, demand: whole }], { queue: 'quick' });
  await world.clock.advance(3000);
  expect(world.getState('gang')).toEqual(JobState.Completed);
  expect(countNamed(world, 'gang.0.0')).toBeGreaterThanOrEqual(20);
});

// Guards against one call that was slow for another reason, after which all later calls named one worker.
test('one late answer does not narrow later calls', async () => {
  const world = await createAdvisedWorld(33);
  world.advisor.delayNextMs = 2700;
  world.submit('j1', [{ taskCount: 4 }], { queue: 'quick' });
  await world.clock.advance(4000);
  world.submit('gang', [{ taskCount: 20, isGang: true, demand: whole }], { queue: 'quick' });
  await world.clock.advance(2500);
  expect(world.getState('gang')).toEqual(JobState.Completed);
  expect(countNamed(world, 'gang.0.0')).toBeGreaterThanOrEqual(20);
});

/** Submits a gang that has no place, then four jobs that have, and returns the states of those. */
async function runBesideGang(world: World, gangTasks: number): Promise<(JobState | undefined)[]> {
  const gang = { taskCount: gangTasks, isGang: true, demand: whole };
  world.submit('gang', [gang], { queue: 'slow' });
  await world.clock.advance(500);
  const ids = ['j0', 'j1', 'j2', 'j3'];
  for (const id of ids) {
    world.submit(id, [{ taskCount: 4 }], { queue: 'slow' });
    await world.clock.advance(1500);
  }
  await world.clock.advance(10_000);
  return ids.map((id) => world.getState(id));
}

// Guards against a step that can never start and for which all calls are made, so that no other job starts (review/10).
test('a gang that no fleet holds takes no calls from others', async () => {
  const world = await createAdvisedWorld(100);
  world.queues.set('slow', { decisionMs: 400, perWorkerMs: 10, validityMs });
  expect(await runBesideGang(world, 120)).toEqual(Array.from({ length: 4 }, () => completed));
  expect(world.advisor.calls.filter(({ step }) => step === 'gang.0.0')).toEqual([]);
});

// Guards against the same by a gang that must wait for room, with an advisor whose decisions take long.
test('a gang that waits for room leaves calls to others', async () => {
  const world = await createAdvisedWorld(33);
  for (let index = 0; index < 5; index += 1) {
    world.submit(`long${index}`, [{ taskCount: 4 }], { queue: 'free' });
  }
  world.queues.set('free', undefined);
  expect(await runBesideGang(world, 33)).toEqual(Array.from({ length: 4 }, () => completed));
});

// Guards against a step whose calls bring no start, for which the others wait in turn.
test('a step that only refused workers could run leaves calls to others', async () => {
  const world = await createAdvisedWorld(100);
  world.advisor.isAdmitted = (step, id) => !step.startsWith('gang') || Number(id.slice(1)) < 10;
  expect(await runBesideGang(world, 20)).toEqual(Array.from({ length: 4 }, () => completed));
});

// Guards against calls that name thirty workers for a step of a few small tasks.
test('a call names no more workers than a step is likely to need', async () => {
  const world = await createAdvisedWorld(100);
  world.submit('j1', [{ taskCount: 4 }], { queue: 'quick' });
  await world.clock.advance(3000);
  expect(world.getState('j1')).toEqual(completed);
  const named = world.advisor.calls.map(({ workers }) => workers.length);
  expect(Math.max(...named)).toBeLessThanOrEqual(6);
});

// Guards against calls for workers without room, whose tickets run out unused.
test('a call names workers that have room', async () => {
  const world = await createAdvisedWorld(4);
  world.queues.set('free', undefined);
  world.submit('full', [{ taskCount: 8 }], { queue: 'free' });
  await world.clock.advance(300);
  const busy = new Set(world.listStartedRuns().map(({ worker }) => worker));
  world.submit('j1', [{ taskCount: 8 }], { queue: 'quick' });
  await world.clock.advance(500);
  const named = world.advisor.calls.flatMap(({ workers }) => workers);
  expect(busy.size).toEqual(2);
  expect(named.filter((id) => busy.has(id))).toEqual([]);
});

// Guards against a new owner that leaves most of the waiting steps without tickets for half a minute.
test('forty waiting steps start in turn after a takeover', async () => {
  const world = await createAdvisedWorld(100);
  const [first] = world.candidates;
  world.addCandidate('b');
  first?.process.kill();
  for (let index = 0; index < 40; index += 1) {
    world.submit(`j${index}`, [{ taskCount: 4 }], { queue: 'quick' });
  }
  await world.clock.advance(12_000);
  const states = Array.from({ length: 40 }, (_, index) => world.getState(`j${index}`));
  expect(states.filter((state) => state !== completed)).toEqual([]);
});

function countTicketRefusals(world: World): number {
  return [...world.workers.values()].reduce((sum, { ticketRefusals }) => sum + ticketRefusals, 0);
}

const twoSteps = [{ taskCount: 4 }, { taskCount: 4, dependsOn: [0] }];

// Guards against accepted jobs whose queue is removed: their steps counted as needing no ticket, and each start was
// rejected and sent again at once.
test('jobs of a removed queue still get tickets', async () => {
  const world = await createAdvisedWorld(8);
  for (const id of ['j0', 'j1', 'j2']) {
    world.submit(id, twoSteps, { queue: 'quick', advice: quick });
  }
  await world.clock.advance(700);
  world.queues.delete('quick');
  await world.clock.advance(8000);
  expect(['j0', 'j1', 'j2'].map((id) => world.getState(id))).toEqual([
    completed,
    completed,
    completed,
  ]);
  expect(countTicketRefusals(world)).toEqual(0);
});

// Guards against the same after a takeover: the next owner has never read the configuration with that queue.
test('an owner that never knew a queue gets tickets for its jobs', async () => {
  const world = await createAdvisedWorld(8);
  world.queues.delete('quick');
  world.submit('j0', twoSteps, { queue: 'quick', advice: quick });
  await world.clock.advance(6000);
  expect(world.getState('j0')).toEqual(completed);
  expect(countTicketRefusals(world)).toEqual(0);
});

// Guards against starts without end where no configuration tells that a queue has a policy: its jobs were accepted by
// an earlier version, or the owner reads the new configuration later than the workers follow it.
test('a queue whose starts are rejected without tickets counts as having a policy', async () => {
  const world = await createAdvisedWorld(8);
  world.queues.delete('quick');
  for (const id of ['j0', 'j1', 'j2']) world.submit(id, twoSteps, { queue: 'quick' });
  await world.clock.advance(9000);
  expect(['j0', 'j1', 'j2'].map((id) => world.getState(id))).toEqual([
    completed,
    completed,
    completed,
  ]);
  expect(countTicketRefusals(world)).toBeLessThanOrEqual(12);
});

// Guards against jobs that wait for an advisor that their queue no longer has.
test('a queue that loses its policy starts its waiting jobs without tickets', async () => {
  const world = await createAdvisedWorld(8);
  world.advisor.admitted = new Set();
  world.submit('j0', twoSteps, { queue: 'quick', advice: quick });
  await world.clock.advance(2000);
  world.queues.set('quick', undefined);
  world.guardedQueues.delete('quick');
  await world.clock.advance(5000);
  expect(world.getState('j0')).toEqual(completed);
});

// Guards against an accepted job that is never run since its optional rules of advice cannot be read.
test('a row with unreadable rules of advice is a job without them', () => {
  const createRow = (advice: unknown): unknown => ({
    submission: {
      ...{ id: 'j1', account: 'a1', queue: 'q1', pool: 'p1', payload: '', steps: [createStep()] },
      ...{ rules: { priority: 1, maxAttempts: 2, stretch: 3, targetMs: 1000 }, advice },
    },
    acceptedAtMs: 1,
  });
  const readAdvice = (advice: unknown): unknown =>
    checkJobRow(createRow(advice))
      .map(({ submission }) => submission.advice)
      .unwrapOr('refused');
  expect(readAdvice(quick)).toEqual(quick);
  expect(readAdvice(undefined)).toEqual(undefined);
  expect(readAdvice({ decisionMs: -1, perWorkerMs: 'x' })).toEqual(undefined);
});

// Guards against a rejection for want of a ticket that is answered by the same start at once, whatever its cause.
test('starts that are rejected with valid tickets are repeated less and less often', async () => {
  const world = await createAdvisedWorld(4);
  for (const worker of world.workers.values()) worker.hasValidTicket = () => false;
  world.submit('j0', [{ taskCount: 2 }], { queue: 'quick' });
  await world.clock.advance(20_000);
  expect(countTicketRefusals(world)).toBeLessThanOrEqual(2 * 12);
  const isValid = ({ task, ticket }: { task: string; ticket?: string }): boolean =>
    [...world.workers.keys()].some((id) =>
      world.advisor.isValid(task.split('.').slice(0, -1).join('.'), id, ticket),
    );
  for (const worker of world.workers.values()) worker.hasValidTicket = isValid;
  await world.clock.advance(6000);
  expect(world.getState('j0')).toEqual(completed);
});

// Guards against a step that pauses since a single ticket ran out on the way to its worker.
test('a single rejected start does not delay its step', async () => {
  const world = await createAdvisedWorld(1);
  const [worker] = world.workers.values();
  if (worker === undefined) throw new Error('a worker is needed');
  const { hasValidTicket } = worker;
  let rejections = 1;
  worker.hasValidTicket = (order) => rejections-- <= 0 && hasValidTicket(order);
  world.submit('j0', [{}], { queue: 'quick' });
  await world.clock.advance(700);
  expect(world.listStartedRuns().length).toEqual(1);
});

// Guards against one lost answer that holds up the advice of all queues until the call times out.
test('a call without an answer holds up no other step', async () => {
  const world = await createAdvisedWorld(8);
  world.queues.set('slow', { decisionMs: 400, perWorkerMs: 10, validityMs });
  world.advisor.lostCalls = 1;
  world.submit('j0', [{}], { queue: 'slow' });
  await world.clock.advance(100);
  world.submit('j1', [{}], { queue: 'quick' });
  // The call that is lost should have taken 430 ms, and the other one takes 115 ms.
  await world.clock.advance(1400);
  expect(world.listStartedRuns().map(({ task }) => task)).toEqual(['j1.0.0.0']);
  await world.clock.advance(4000);
  expect(world.getState('j0')).toEqual(completed);
});

// Guards against calls without pause to an advisor that is away, and against a long wait once it is back.
test('calls pause while the advisor fails', async () => {
  const world = await createAdvisedWorld(8);
  world.advisor.isAway = true;
  for (let index = 0; index < 20; index += 1) world.submit(`j${index}`, [{}], { queue: 'quick' });
  await world.clock.advance(10_000);
  expect(world.advisor.calls.length).toBeLessThanOrEqual(12);
  world.advisor.isAway = false;
  await world.clock.advance(1700);
  expect(world.listStartedRuns().length > 0).toEqual(true);
});

// Guards against a worker that is never named again since an earlier one with its id was refused.
test('a decision holds for one life of a worker', async () => {
  const world = await createAdvisedWorld(1);
  world.advisor.admitted = new Set();
  world.submit('j0', [{}], { queue: 'quick' });
  await world.clock.advance(1000);
  expect(world.listStartedRuns()).toEqual([]);
  world.advisor.admitted = new Set(['w0']);
  world.restartWorker('w0');
  await world.clock.advance(4000);
  expect(world.getState('j0')).toEqual(completed);
});

// Guards against an answer for a job that has been cancelled, which would keep its step in memory for good.
test('nothing is kept of a job that ends during its call', async () => {
  const clock = createManualClock();
  const advisor = new FakeAdvisor(clock);
  const [logger, metrics] = [createNullLogger(), createNullMetrics()];
  const cache = createTicketCache({
    ...{ advisor, clock, logger, metrics, onTickets: () => undefined },
    fleet: { find: () => undefined },
    findAdviceRules: () => quick,
  });
  const group = createSingle('j1', 1);
  cache.updateAllowedWorkers([{ group, ageMs: 0, meanWork: 1 }]);
  cache.requestTickets([{ group, purpose: AdvicePurpose.Start, workerIds: ['w1'] }], []);
  await clock.advance(1);
  expect(cache.countSteps()).toEqual(1);
  cache.dropJob('j1');
  await clock.advance(1000);
  expect([advisor.calls.length, cache.countSteps()]).toEqual([1, 0]);
});

// Guards against starts that are given up again and again, since storing them takes longer than the margin that their
// tickets had: the job would never start beside a slow store.
test('a ticket that is still valid is used after a slow commit', async () => {
  const world = await createAdvisedWorld(2);
  world.submit('j0', [{}], { queue: 'slow' });
  await world.clock.advance(500);
  world.store.latencyMs = 900;
  await world.clock.advance(9000);
  expect(world.listStartedRuns().map(({ run }) => run)).toEqual([1]);
});
