import { createJobStore } from '@bergamotreach/ownership';
import type { GroupCommitterOptions, JobState } from '@bergamotreach/ownership';
import { Adjacency, createScheduler } from '@bergamotreach/placement';
import type { JobSpec, PlacementConfig } from '@bergamotreach/placement';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';
import { createNullLogger, createNullMetrics, waitForPromises } from '@bergamotreach/protocol';
import type { FakeProcess } from '../../ownership/tests/fakeprocess.ts';
import { createLease, createNode, createState, region } from '../../ownership/tests/setup.ts';
import { createRegionOwner } from '../src/index.ts';
import type { GangJobRecord, GangJobStore, OwnerSettings, RegionOwner } from '../src/index.ts';
import { FakeWorkerClient, WorkerFleet } from './fakeworkers.ts';

/** A daemon under test with its region owner. */
export interface Daemon {
  process: FakeProcess;
  owner: RegionOwner;
  jobStore: GangJobStore;
}

const config: PlacementConfig = {
  accounts: [],
  weights: { completion: 1, fragmentation: 1 },
  lossReserve: {},
  evacuated: [],
  reservationAfterMs: 60_000,
  reclaimMs: 1_000,
  urgentReclaimMs: 300,
  maxAttempts: 3,
  quarantineAfterJobs: 3,
  quarantineMs: 60_000,
  quarantineMaxMs: 600_000,
  acceleratorShare: 0.5,
};

function createInstance(id: string, accelerators: number): Instance {
  const capacity = { accelerators, cores: 64, memoryMb: 64_000, slots: 0, connections: 0 };
  const place = { region, dataCentre: 'a', rack: 'r', service: '' };
  const state = InstanceState.Live;
  return { id, kind: InstanceKind.Worker, address: id, state, capacity, ...place };
}

function createSpec(jobId: string, account: string, members: number): JobSpec {
  return {
    jobId,
    account,
    members,
    accelerators: 1,
    cores: 1,
    memoryMb: 1,
    within: Adjacency.DataCentre,
    urgent: false,
    declaredSeconds: 1,
    dataCentre: '',
  };
}

export interface WorldOptions {
  workers?: number;
  accelerators?: number;
  settings?: Partial<OwnerSettings>;
  committer?: Partial<GroupCommitterOptions>;
  /** Accelerators within one worker that are guaranteed to account `a`. */
  guaranteed?: number;
}

/** Creates one table and one fleet of workers, shared by any number of daemons. */
export function createWorld(options: WorldOptions = {}) {
  const { clock, state } = createState();
  const fleet = new WorkerFleet(clock);
  const accelerators = options.accelerators ?? 2;
  for (let n = 0; n < (options.workers ?? 3); n += 1) fleet.add(`w${n}`, accelerators);
  let instances = [...fleet.workers.keys()].map((id) => createInstance(id, accelerators));
  const daemons: Daemon[] = [];
  const guarantee = {
    dataCentre: 'a',
    accelerators: options.guaranteed ?? 0,
    within: Adjacency.Worker,
    count: 1,
  };
  const accounts = ['a', 'b'].map((id) => ({
    id,
    weight: 1,
    quotaAccelerators: 0,
    guarantees: id === 'a' && guarantee.accelerators > 0 ? [guarantee] : [],
  }));

  function startDaemon(id: string, isCaretaker = false): Daemon {
    const node = createNode(state, id, options.committer);
    const { process, table, committer } = node;
    const getWallMs = (): number => clock.getNowMs();
    const jobStore: GangJobStore = createJobStore({ table, committer, region, getWallMs });
    const owner = createRegionOwner({
      region,
      createScheduler: () => createScheduler(config, []),
      createLease: (onChange) => createLease(node, { onChange }),
      jobStore,
      workerClient: new FakeWorkerClient(fleet, process),
      clock: process,
      logger: createNullLogger(),
      metrics: createNullMetrics(),
      getWallMs,
      isCaretaker: () => isCaretaker,
      ...(options.settings === undefined ? {} : { settings: options.settings }),
    });
    owner.applyConfig({ ...config, accounts });
    owner.applyInstances(instances);
    owner.start();
    const daemon = { process, owner, jobStore };
    daemons.push(daemon);
    return daemon;
  }

  /** Jobs are submitted through a separate process, as any daemon can accept them. */
  const caller = createNode(state, 'caller');
  const callerStore: GangJobStore = createJobStore({
    table: caller.table,
    committer: caller.committer,
    region,
    getWallMs: () => clock.getNowMs(),
  });

  function announceJob(jobId: string): void {
    for (const { process, owner } of daemons) if (process.isAlive()) owner.refreshJobs([jobId]);
  }

  /** Advances the clock until the call has its reply. */
  async function waitFor<T>(call: Promise<T>): Promise<T> {
    const pending = new Set([call]);
    void call.finally(() => {
      pending.clear();
    });
    await waitForPromises();
    while (pending.size > 0) await clock.advance(20);
    return call;
  }

  /** Submits without advancing the clock; the owners are told once the job is accepted. */
  async function startSubmit(
    jobId: string,
    members: number,
    runMs: number,
    account = 'a',
  ): Promise<boolean> {
    const spec = createSpec(jobId, account, members);
    const submission = { jobId, account, spec, payload: String(runMs), digest: 'x' };
    const result = await callerStore.insertJob(submission);
    announceJob(jobId);
    return result.isOk();
  }

  async function startCancel(jobId: string): Promise<void> {
    await callerStore.cancelJob(jobId);
    announceJob(jobId);
  }

  async function submit(...job: Parameters<typeof startSubmit>): Promise<boolean> {
    return waitFor(startSubmit(...job));
  }

  async function cancel(jobId: string): Promise<void> {
    await waitFor(startCancel(jobId));
  }

  function getRecord(jobId: string): GangJobRecord | undefined {
    const row = state.rows.get(`job/${region}/${jobId}`);
    return row?.value as unknown as GangJobRecord | undefined;
  }

  function getJobState(jobId: string): JobState | undefined {
    return getRecord(jobId)?.state;
  }

  function removeInstance(id: string): void {
    instances = instances.filter((one) => one.id !== id);
    for (const { owner } of daemons) owner.applyInstances(instances);
  }

  return {
    clock,
    state,
    fleet,
    daemons,
    startDaemon,
    submit,
    startSubmit,
    cancel,
    startCancel,
    getRecord,
    getJobState,
    removeInstance,
  };
}

export type World = ReturnType<typeof createWorld>;
