import { test } from 'node:test';
import { JobState, RunEnd } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import type { FakeWorker } from './fakeworkers.ts';
import { createWorld, runMs } from './world.ts';
import type { World } from './world.ts';

const startUpMs = 1000;
const settleMs = 6000;
/** The rule on evacuations: nothing starts later than this after an evacuation was stored. */
const evacuateMs = 5000;
const taskMs = 4000;
/** Time within which a job covered by a guarantee must start; as in the owner's options. */
const reclaimMs = 2900;
const urgent = { priority: 0, maxAttempts: 2, stretch: 3, targetMs: 1000 };

/** A world whose worker `w0` is in `d1` and `w1` in `d2`. */
function createTwoDataCentres(): World {
  return createWorld(2, taskMs, 2);
}

function getWorker(world: World, id: string): FakeWorker {
  const worker = world.workers.get(id);
  if (worker === undefined) throw new Error(`no worker ${id}`);
  return worker;
}

function countStarts(world: World, workerId: string, sinceMs = 0): number {
  return getWorker(world, workerId).startedRuns.filter(({ atMs }) => atMs >= sinceMs).length;
}

// Guards against an owner that starts before it has read the evacuations.
test('an evacuation from before the owner started is kept', async () => {
  const world = createTwoDataCentres();
  world.evacuate('d1');
  world.submit('j1', [{ taskCount: 6 }]);
  world.addCandidate('a');
  await world.clock.advance(startUpMs + 3 * taskMs);
  expect(countStarts(world, 'w0')).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a new owner that relies on what the owner before it knew.
test('a new owner reads the evacuations before its first start', async () => {
  const world = createTwoDataCentres();
  const first = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }, { taskCount: 4, dependsOn: [0] }]);
  await world.clock.advance(100);
  first.process.kill();
  const second = world.addCandidate('b');
  second.operatorFeed.isCut = true;
  await world.clock.advance(1000);
  const evacuatedAtMs = world.clock.getNowMs();
  world.evacuate('d1');
  await world.clock.advance(settleMs);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  second.operatorFeed.isCut = false;
  await world.clock.advance(3 * taskMs);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against starting the members of a gang that were planned before the evacuation.
test('a gang whose start is being stored does not start in an evacuated data centre', async () => {
  const world = createTwoDataCentres();
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j0', [{ taskCount: 3 }]);
  await world.clock.advance(200);
  world.store.latencyMs = 1000;
  world.submit('j1', [{ taskCount: 4, isGang: true }]);
  await world.clock.advance(600);
  const evacuatedAtMs = world.clock.getNowMs();
  world.evacuate('d1');
  await world.clock.advance(2000);
  world.store.latencyMs = 0;
  await world.clock.advance(settleMs + 3 * taskMs);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against repeating a start without an answer after its data centre was evacuated.
test('a start without an answer is not repeated in an evacuated data centre', async () => {
  const world = createTwoDataCentres();
  const { runner } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const worker = getWorker(world, 'w0');
  worker.orderDelayMs = 20_000;
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(400);
  expect(runner.starts.some((start) => start.worker === 'w0')).toEqual(true);
  const evacuatedAtMs = world.clock.getNowMs();
  world.evacuate('d1');
  await world.clock.advance(evacuateMs + settleMs);
  worker.orderDelayMs = 0;
  await world.clock.advance(settleMs + 2 * taskMs);
  const late = runner.starts.filter(
    (start) => start.worker === 'w0' && start.sentAtMs > evacuatedAtMs + runMs,
  );
  expect(late.length).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against a second attempt in the data centre where the first one failed.
test('a task that failed in an evacuated data centre runs elsewhere', async () => {
  const world = createTwoDataCentres();
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  getWorker(world, 'w0').end = RunEnd.Failed;
  world.submit('j1', [{ taskCount: 20 }]);
  await world.clock.advance(500);
  const evacuatedAtMs = world.clock.getNowMs();
  world.evacuate('d1');
  await world.clock.advance(7 * taskMs);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against preempting work for an urgent gang that may not start where the work was.
test('no work is preempted in an evacuated data centre', async () => {
  const world = createTwoDataCentres();
  const { runner } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8, isCheckpointing: true }]);
  await world.clock.advance(300);
  world.evacuate('d1');
  await world.clock.advance(300);
  const evacuatedAtMs = world.clock.getNowMs();
  world.submit('u1', [{ taskCount: 4, isGang: true }], { rules: urgent });
  await world.clock.advance(3000);
  expect(getWorker(world, 'w0').ended.length).toEqual(0);
  const own = runner.starts.filter(({ task }) => task.startsWith('u1'));
  expect(own.map(({ worker }) => worker)).toEqual(['w1', 'w1', 'w1', 'w1']);
  expect(own.every(({ sentAtMs }) => sentAtMs <= evacuatedAtMs + 2000)).toEqual(true);
});

// Guards against a guarantee that is not made good while a data centre is away.
test('a guaranteed job reclaims its accelerators in the other data centres', async () => {
  const world = createWorld(3, 3 * taskMs, 3);
  world.guarantees.set('a1', 8);
  world.addCandidate('a');
  world.evacuate('d1');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }], { account: 'a2' });
  await world.clock.advance(300);
  const submittedAtMs = world.clock.getNowMs();
  world.submit('u1', [{ taskCount: 8, isGang: true }], { rules: urgent });
  await world.clock.advance(reclaimMs);
  const own = world.listStartedRuns().filter(({ task }) => task.startsWith('u1'));
  expect(own.length).toEqual(8);
  expect(own.every(({ atMs }) => atMs >= submittedAtMs)).toEqual(true);
  expect(countStarts(world, 'w0')).toEqual(0);
});

// Guards against a run that is ended by an evacuation, which only stops new starts.
test('work that runs in an evacuated data centre is left to end', async () => {
  const world = createTwoDataCentres();
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(300);
  world.evacuate('d1');
  await world.clock.advance(taskMs + 1000);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(world.listStartedRuns().length).toEqual(8);
});

// Guards against an evacuation that stays after it was taken back while the store dropped its history.
test('an evacuation that ended while the history was dropped does not stay', async () => {
  const world = createTwoDataCentres();
  const { operatorFeed } = world.addCandidate('a');
  world.evacuate('d1');
  world.evacuate('d2');
  await world.clock.advance(startUpMs);
  operatorFeed.isCut = true;
  await world.clock.advance(2000);
  world.endEvacuation('d1');
  operatorFeed.hasLostHistory = true;
  operatorFeed.isCut = false;
  world.submit('j1', [{ taskCount: 2 }]);
  await world.clock.advance(2000 + taskMs);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(countStarts(world, 'w1')).toEqual(0);
});

// Guards against an evacuation that is missed because the store dropped its history.
test('an evacuation that began while the history was dropped is kept', async () => {
  const world = createTwoDataCentres();
  const { operatorFeed } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  operatorFeed.isCut = true;
  await world.clock.advance(500);
  world.evacuate('d1');
  operatorFeed.hasLostHistory = true;
  operatorFeed.isCut = false;
  await world.clock.advance(500);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(settleMs);
  expect(countStarts(world, 'w0')).toEqual(0);
});

// Guards against starts by an owner that keeps its lease but cannot read the operators' table.
test('an owner that cannot read the evacuations starts nothing', async () => {
  const world = createTwoDataCentres();
  const { operatorFeed } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  operatorFeed.isCut = true;
  world.evacuate('d1');
  const evacuatedAtMs = world.clock.getNowMs();
  await world.clock.advance(evacuateMs);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(3000);
  expect(countStarts(world, 'w0', evacuatedAtMs + evacuateMs)).toEqual(0);
  operatorFeed.isCut = false;
  await world.clock.advance(3 * taskMs);
  expect(countStarts(world, 'w0')).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against an owner that was suspended and acts on what it knew before.
test('an owner that wakes up reads the evacuations before it starts', async () => {
  const world = createTwoDataCentres();
  const first = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 8 }, { taskCount: 8, dependsOn: [0] }]);
  await world.clock.advance(300);
  first.process.pause();
  world.evacuate('d1');
  const evacuatedAtMs = world.clock.getNowMs();
  await world.clock.advance(evacuateMs);
  await first.process.resume();
  await world.clock.advance(settleMs + 4 * taskMs);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against lost work while no data centre takes any.
test('work waits while all data centres are evacuated', async () => {
  const world = createTwoDataCentres();
  world.addCandidate('a');
  for (const dataCentre of ['d1', 'd2', 'd7']) world.evacuate(dataCentre);
  await world.clock.advance(startUpMs);
  world.submit('j1', [{ taskCount: 2 }]);
  await world.clock.advance(settleMs);
  expect(world.listStartedRuns().length).toEqual(0);
  world.endEvacuation('d2');
  await world.clock.advance(2000 + taskMs);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(countStarts(world, 'w0')).toEqual(0);
});

// Guards against using workers that join, restart or drain in an evacuated data centre.
test('new and draining workers of an evacuated data centre get nothing', async () => {
  const world = createWorld(4, taskMs, 2);
  world.unlistWorker('w2');
  const owner = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.evacuate('d1');
  await world.clock.advance(500);
  world.listWorker('w2');
  world.restartWorker('w0');
  world.drainWorker('w3');
  await world.clock.advance(500);
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(3 * taskMs);
  for (const id of ['w0', 'w2', 'w3']) expect(countStarts(world, id)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
  expect(owner.getOwner()?.getDump().evacuated).toEqual([
    { dataCentre: 'd1', workers: 2, runningTasks: 0 },
  ]);
});

// Guards against an evacuation that is lost with the answer of the store that stated it.
test('an evacuation holds while the store is away', async () => {
  const world = createTwoDataCentres();
  world.addCandidate('a');
  await world.clock.advance(startUpMs);
  world.evacuate('d1');
  const evacuatedAtMs = world.clock.getNowMs();
  await world.clock.advance(300);
  world.store.fault = TableFault.Down;
  await world.clock.advance(4000);
  world.store.fault = TableFault.None;
  world.submit('j1', [{ taskCount: 8 }]);
  await world.clock.advance(settleMs + 3 * taskMs);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  expect(world.getState('j1')).toEqual(JobState.Completed);
});

// Guards against an owner that starts nothing, or misses an evacuation, while a large configuration arrives.
test('a configuration that arrives slowly holds up neither starts nor evacuations', async () => {
  const world = createTwoDataCentres();
  const { operatorFeed } = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  operatorFeed.transferMs = 12_000;
  world.evacuate('d3');
  await world.clock.advance(evacuateMs);
  const submittedAtMs = world.clock.getNowMs();
  world.submit('j1', [{ taskCount: 4 }]);
  await world.clock.advance(1000);
  expect(countStarts(world, 'w0', submittedAtMs) + countStarts(world, 'w1', submittedAtMs)).toEqual(
    4,
  );
  world.evacuate('d1');
  await world.clock.advance(evacuateMs / 2);
  const evacuatedAtMs = world.clock.getNowMs();
  world.submit('j2', [{ taskCount: 2 }]);
  await world.clock.advance(2000);
  expect(countStarts(world, 'w0', evacuatedAtMs)).toEqual(0);
  expect(countStarts(world, 'w1', evacuatedAtMs)).toEqual(2);
});

// Guards against a takeover that waits for a large configuration before its first start.
test('a takeover does not wait for a configuration that is arriving', async () => {
  const world = createTwoDataCentres();
  const first = world.addCandidate('a');
  await world.clock.advance(startUpMs);
  const second = world.addCandidate('b');
  await world.clock.advance(startUpMs);
  second.operatorFeed.transferMs = 30_000;
  world.evacuate('d3');
  await world.clock.advance(100);
  world.evacuate('d1');
  first.process.kill();
  const killedAtMs = world.clock.getNowMs();
  world.submit('j1', [{ taskCount: 2 }]);
  await world.clock.advance(settleMs);
  expect([countStarts(world, 'w0', killedAtMs), countStarts(world, 'w1', killedAtMs)]).toEqual([
    0, 2,
  ]);
});
