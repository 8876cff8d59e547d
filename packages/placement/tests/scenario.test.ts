import { test } from 'node:test';
import { expect } from 'earl';
import {
  ActionKind,
  Adjacency,
  CapacityClass,
  EventKind,
  GangEnd,
  createScheduler,
} from '../src/index.ts';
import type { JobSpec, PlacementAction, PlacementEvent } from '../src/index.ts';
import { createAccount, createConfig, createJob, createWorkers } from './samples.ts';

function createArrival(job: JobSpec, acceptedAtMs = 0): PlacementEvent {
  const history = { attempts: 0, attainedSeconds: 0, failedWorkers: [] };
  return { kind: EventKind.JobArrived, job, acceptedAtMs, ...history };
}

function createEnd(jobId: string, attempt: number, end: GangEnd, worker = ''): PlacementEvent {
  return { kind: EventKind.GangEnded, jobId, attempt, end, worker };
}

function formatActions(actions: PlacementAction[]): string[] {
  return actions.map((action) => {
    if (action.kind === ActionKind.StartGang) {
      return `start ${action.placement.jobId} ${action.placement.capacityClass}`;
    }
    if (action.kind === ActionKind.StopGang) {
      return `stop ${action.jobId} ${action.reason} ${action.graceMs}`;
    }
    if (action.kind === ActionKind.EndJob) return `end ${action.jobId}`;
    if (action.kind === ActionKind.FailJob) return `fail ${action.jobId}`;
    if (action.kind === ActionKind.ReportGuarantee) {
      return `report ${action.account} ${action.accelerators} ${action.missing}`;
    }
    return `${action.kind} ${action.worker}`;
  });
}

// Guards against starting guaranteed work before the end of the lent work in its cell is confirmed.
test('reclaiming waits for the confirmed end of lent work', () => {
  const config = createConfig([createAccount('a', [[8, 1]]), createAccount('b')]);
  const scheduler = createScheduler(config, createWorkers(1, 8));
  scheduler.applyEvents([createArrival(createJob('lent', 'b', { accelerators: 8 }))], 0);
  expect(formatActions(scheduler.decide(0))).toEqual([`start lent ${CapacityClass.Lent}`]);
  const own = createJob('own', 'a', { accelerators: 8, urgent: true });
  scheduler.applyEvents([createArrival(own, 1000)], 1000);
  expect(formatActions(scheduler.decide(1000))).toEqual(['stop lent reclaim 300']);
  expect(scheduler.decide(1300)).toEqual([]);
  scheduler.applyEvents([createArrival(createJob('late', 'b'))], 1310);
  expect(scheduler.decide(1310)).toEqual([]);
  scheduler.applyEvents([createEnd('lent', 1, GangEnd.Stopped)], 1320);
  expect(formatActions(scheduler.decide(1320))).toEqual([`start own ${CapacityClass.Guaranteed}`]);
});

// Guards against starting gangs in an evacuated data centre, stopping those that run there, and waiting on
// after it was taken back.
test('an evacuated data centre keeps its gangs and gets no new ones', () => {
  const accounts = [createAccount('a', [[8, 1]]), createAccount('b')];
  const config = createConfig(accounts);
  const scheduler = createScheduler(config, createWorkers(2, 8));
  const change = (evacuated: string[]): PlacementEvent => ({
    kind: EventKind.ConfigChanged,
    config: { ...config, evacuated },
  });
  scheduler.applyEvents([createArrival(createJob('j1', 'b', { accelerators: 8 }))], 0);
  expect(formatActions(scheduler.decide(0))).toEqual([`start j1 ${CapacityClass.Lent}`]);
  const own = createJob('own', 'a', { accelerators: 8 });
  const arrivals = [createArrival(createJob('j2', 'b')), createArrival(own)];
  scheduler.applyEvents([change(['a']), ...arrivals], 100);
  const actions = formatActions(scheduler.decide(100));
  expect(actions.filter((action) => !action.startsWith('report'))).toEqual([]);
  scheduler.applyEvents([createEnd('j1', 1, GangEnd.Done)], 200);
  expect(formatActions(scheduler.decide(200)).filter((one) => one.startsWith('start'))).toEqual([]);
  scheduler.applyEvents([change([])], 300);
  const starts = formatActions(scheduler.decide(300)).filter((one) => one.startsWith('start'));
  expect(starts.sort()).toEqual([
    `start j2 ${CapacityClass.Lent}`,
    `start own ${CapacityClass.Guaranteed}`,
  ]);
});

// Guards against splitting guaranteed work over workers or placing it in another account's cell.
test('guaranteed work is placed in whole cells of its account', () => {
  const config = createConfig([createAccount('a', [[4, 2]]), createAccount('b', [[8, 1]])]);
  const scheduler = createScheduler(config, createWorkers(2, 8));
  const small = ['s1', 's2', 's3'].map((id) => createJob(id, 'a', { accelerators: 3 }));
  scheduler.applyEvents(
    small.map((job) => createArrival(job)),
    0,
  );
  const actions = scheduler.decide(0);
  const started = actions.flatMap((action) =>
    action.kind === ActionKind.StartGang ? [action.placement] : [],
  );
  expect(started.map((item) => item.capacityClass)).toEqual([
    CapacityClass.Guaranteed,
    CapacityClass.Guaranteed,
    CapacityClass.Lent,
  ]);
  expect(started[0]!.members[0]!.worker).toEqual(started[1]!.members[0]!.worker);
  const big = createJob('big', 'b', { accelerators: 8, within: Adjacency.Worker });
  scheduler.applyEvents([createArrival(big)], 1000);
  expect(formatActions(scheduler.decide(1000))).toEqual(['stop s3 reclaim 10000']);
});

// Guards against lost hardware that is not reported, or a report that is never cleared.
test('a lost worker breaks a guarantee and its return restores it', () => {
  const workers = createWorkers(2, 8);
  const config = createConfig([createAccount('a', [[8, 2]])]);
  const scheduler = createScheduler(config, workers);
  expect(scheduler.decide(0)).toEqual([]);
  scheduler.applyEvents([{ kind: EventKind.WorkersLost, workerIds: ['a-1'] }], 1);
  expect(formatActions(scheduler.decide(1))).toEqual(['report a 8 1']);
  scheduler.applyEvents([{ kind: EventKind.WorkersAdded, workers: workers.slice(1) }], 2);
  expect(formatActions(scheduler.decide(2))).toEqual(['report a 8 0']);
});

function listStarted(actions: PlacementAction[]) {
  return actions.flatMap((action) =>
    action.kind === ActionKind.StartGang ? [action.placement] : [],
  );
}

// Guards against retrying a faulty job for ever, or blaming its workers.
test('a job that fails on distinct workers fails for good', () => {
  const scheduler = createScheduler(createConfig([createAccount('a')]), createWorkers(5, 1));
  scheduler.applyEvents([createArrival(createJob('bad', 'a'))], 0);
  const used = new Set<string>();
  for (let attempt = 1; attempt <= 3; attempt += 1) {
    const worker = listStarted(scheduler.decide(attempt))[0]!.members[0]!.worker;
    used.add(worker);
    const end = createEnd('bad', attempt, GangEnd.MemberFailed, worker);
    scheduler.applyEvents([end], attempt);
  }
  expect(used.size).toEqual(3);
  expect(formatActions(scheduler.decide(4))).toEqual(['fail bad']);
});

// Guards against a faulty worker that keeps failing good jobs, or that is never released.
test('a worker that fails distinct jobs is quarantined', () => {
  const scheduler = createScheduler(createConfig([createAccount('a')]), createWorkers(2, 4));
  const names = ['j1', 'j2', 'j3', 'j4', 'j5', 'j6', 'j7', 'j8'];
  scheduler.applyEvents(
    names.map((id) => createArrival(createJob(id, 'a'))),
    0,
  );
  const onFirst = listStarted(scheduler.decide(0)).filter(
    ({ members }) => members[0]!.worker === 'a-0',
  );
  const failed = onFirst.slice(0, 3).map(({ jobId }) => jobId);
  scheduler.applyEvents(
    failed.map((id) => createEnd(id, 1, GangEnd.MemberFailed, 'a-0')),
    1,
  );
  expect(formatActions(scheduler.decide(1))).toEqual(['quarantineWorker a-0']);
  expect(formatActions(scheduler.decide(60_000)).includes('releaseWorker a-0')).toEqual(false);
  expect(scheduler.getNextWakeMs()).toEqual(60_001);
  const back = formatActions(scheduler.decide(60_001));
  expect(back.slice(0, 1)).toEqual(['releaseWorker a-0']);
  expect(back.filter((line) => line.startsWith('start')).length).toEqual(3);
});

// Guards against failing a good job because of workers that were found faulty.
test('failures on a quarantined worker do not count against jobs', () => {
  const scheduler = createScheduler(createConfig([createAccount('a')]), createWorkers(4, 4));
  const names = ['j1', 'j2', 'j3'];
  scheduler.applyEvents(
    names.map((id) => createArrival(createJob(id, 'a'))),
    0,
  );
  const first = listStarted(scheduler.decide(0));
  const faulty = first[0]!.members[0]!.worker;
  expect(first.map(({ members }) => members[0]!.worker)).toEqual([faulty, faulty, faulty]);
  const fail = (jobId: string, attempt: number, worker: string): PlacementEvent =>
    createEnd(jobId, attempt, GangEnd.MemberFailed, worker);
  scheduler.applyEvents(
    names.map((id) => fail(id, 1, faulty)),
    1,
  );
  for (let attempt = 2; attempt <= 3; attempt += 1) {
    const next = listStarted(scheduler.decide(attempt)).find(({ jobId }) => jobId === 'j1')!;
    scheduler.applyEvents([fail('j1', attempt, next.members[0]!.worker)], attempt);
  }
  // Two failures elsewhere are fewer than `maxAttempts`.
  expect(formatActions(scheduler.decide(4))).toEqual([`start j1 ${CapacityClass.Lent}`]);
});

// Guards against a new guarantee that is infeasible only because of badly placed bindings.
test('a changed configuration releases badly placed cells', () => {
  const createAccounts = (first: number, second: number) => [
    createAccount('a', [[1, first]]),
    createAccount('b', [[8, second]]),
  ];
  const scheduler = createScheduler(createConfig(createAccounts(16, 0)), createWorkers(2, 8));
  const names = Array.from({ length: 16 }, (_, index) => `j${index}`);
  scheduler.applyEvents(
    names.map((id) => createArrival(createJob(id, 'a'))),
    0,
  );
  const kept = new Map(
    listStarted(scheduler.decide(0)).map(({ jobId, members }) => [members[0]!.worker, jobId]),
  );
  expect(kept.size).toEqual(2);
  const ended = names.filter((id) => ![...kept.values()].includes(id));
  scheduler.applyEvents(
    ended.map((id) => createEnd(id, 1, GangEnd.Done)),
    1,
  );
  scheduler.decide(1);
  const config = createConfig(createAccounts(2, 1));
  scheduler.applyEvents([{ kind: EventKind.ConfigChanged, config }], 2);
  expect(scheduler.decide(2)).toEqual([]);
  const big = createJob('big', 'b', { accelerators: 8, within: Adjacency.Worker });
  scheduler.applyEvents([createArrival(big, 3)], 3);
  const [stop] = scheduler.decide(3);
  if (stop?.kind !== ActionKind.StopGang) throw new Error('no work was stopped');
  scheduler.applyEvents([createEnd(stop.jobId, 1, GangEnd.Stopped)], 4);
  const started = formatActions(scheduler.decide(4)).sort();
  expect(started).toEqual([
    `start big ${CapacityClass.Guaranteed}`,
    `start ${stop.jobId} ${CapacityClass.Guaranteed}`,
  ]);
});

// Guards against changed weights that take effect only after a restart.
test('changed weights change the order', () => {
  const config = createConfig([createAccount('a')]);
  const scheduler = createScheduler(config, createWorkers(1, 8));
  scheduler.applyEvents([createArrival(createJob('first', 'a', { accelerators: 8 }))], 0);
  scheduler.decide(0);
  const weights = { completion: 1, fragmentation: 4 };
  const wide = createJob('wide', 'a', { accelerators: 6, declaredSeconds: 600 });
  scheduler.applyEvents(
    [
      { kind: EventKind.ConfigChanged, config: { ...config, weights } },
      createArrival(createJob('narrow', 'a', { accelerators: 4 }), 1),
      createArrival(wide, 2),
      createEnd('first', 1, GangEnd.Done),
    ],
    3,
  );
  const started = listStarted(scheduler.decide(3)).map(({ jobId }) => jobId);
  expect(started).toEqual(['wide']);
});

// Guards against handling a wave of cancellations in one pass per job.
test('1,000 cancellations take one pass', () => {
  const scheduler = createScheduler(createConfig([createAccount('a')]), createWorkers(500, 1));
  const jobIds = Array.from({ length: 1000 }, (_, index) => `j${index}`);
  scheduler.applyEvents(
    jobIds.map((id) => createArrival(createJob(id, 'a'))),
    0,
  );
  expect(scheduler.decide(0).length).toEqual(500);
  scheduler.applyEvents([{ kind: EventKind.JobsCancelled, jobIds }], 1);
  const actions = scheduler.decide(1);
  expect(actions.filter((item) => item.kind === ActionKind.EndJob).length).toEqual(500);
  expect(actions.filter((item) => item.kind === ActionKind.StopGang).length).toEqual(500);
  scheduler.applyEvents(
    jobIds.slice(0, 500).map((id) => createEnd(id, 1, GangEnd.Stopped)),
    2,
  );
  expect(scheduler.decide(2).length).toEqual(500);
  expect(scheduler.decide(3)).toEqual([]);
});
