import { expect } from 'earl';
import {
  ActionKind,
  Adjacency,
  CapacityClass,
  EventKind,
  GangEnd,
  StopReason,
  createScheduler,
} from '../src/index.ts';
import type {
  GangPlacement,
  JobSpec,
  PlacementAction,
  PlacementConfig,
  PlacementEvent,
  Scheduler,
  WorkerSpec,
} from '../src/index.ts';
import { canPlaceAll } from './bruteforce.ts';

interface DumpBinding {
  account: string;
  accelerators: number;
  slots: string[];
}

interface DumpGang {
  jobId: string;
  capacityClass: CapacityClass;
  slots: string[];
}

interface Dump {
  bindings: DumpBinding[];
  gangs: DumpGang[];
  claims: { capacityClass: CapacityClass; workers: string[] }[];
  workers: { id: string; isLost: boolean; isQuarantined: boolean }[];
}

interface RunningGang {
  placement: GangPlacement;
  isRunning: boolean;
  isStopping: boolean;
}

/** Simulates the execution side of a scheduler and checks every decision against its own records. */
export interface History {
  getScheduler: () => Scheduler;
  gangs: Map<string, RunningGang>;
  queued: Map<string, JobSpec>;
  lost: Set<string>;
  /** Latest reported number of missing shapes by guarantee. */
  missing: Map<string, number>;
  arrive: (job: JobSpec) => void;
  send: (...events: PlacementEvent[]) => void;
  end: (jobId: string, end: GangEnd, worker?: string) => void;
  /** Replaces the scheduler by a new one, which recovers the running gangs. */
  restart: () => void;
  /** Confirms all requested stops. */
  confirmStops: () => void;
  /** Reports all started gangs as running. */
  confirmStarts: () => void;
  advance: (durationMs: number) => void;
  setConfig: (config: PlacementConfig) => void;
  getNowMs: () => number;
}

function checkAdjacency(job: JobSpec, placement: GangPlacement, workers: WorkerSpec[]): void {
  const used = placement.members.map(({ worker }) =>
    workers.find((candidate) => candidate.id === worker)!,
  );
  expect(new Set(used.map((worker) => worker.dataCentre)).size).toEqual(1);
  if (job.within !== Adjacency.DataCentre) {
    expect(new Set(used.map((worker) => worker.rack)).size).toEqual(1);
  }
  if (job.within === Adjacency.Worker) {
    expect(new Set(used.map((worker) => worker.id)).size).toEqual(1);
  }
}

/** Checks that no worker has more accelerators in use than it has, by the recorded starts and ends. */
function checkNoOvercommit(gangs: Map<string, RunningGang>, workers: WorkerSpec[]): void {
  const used = new Map<string, number>();
  for (const { placement } of gangs.values()) {
    for (const { worker, accelerators } of placement.members) {
      used.set(worker, (used.get(worker) ?? 0) + accelerators);
    }
  }
  for (const { id, accelerators } of workers) {
    expect(used.get(id) ?? 0).toBeLessThanOrEqual(accelerators);
  }
}

/** Checks the quota of an account at a start; a lowered quota stops no running work. */
function checkQuota(
  config: PlacementConfig,
  account: string,
  gangs: Map<string, RunningGang>,
  jobs: Map<string, JobSpec>,
): void {
  const quota = config.accounts.find(({ id }) => id === account)?.quotaAccelerators ?? 0;
  let used = 0;
  for (const [jobId, { placement }] of gangs) {
    if (jobs.get(jobId)?.account !== account) continue;
    used += placement.members.reduce((sum, member) => sum + member.accelerators, 0);
  }
  if (quota > 0) expect(used).toBeLessThanOrEqual(quota);
}

/** Checks that bindings do not overlap, are used, and hold the guaranteed gangs of their account. */
function checkBindings(dump: Dump, jobs: Map<string, JobSpec>): void {
  const owners = new Map<string, string>();
  for (const { account, slots } of dump.bindings) {
    for (const slot of slots) {
      expect(owners.has(slot)).toEqual(false);
      owners.set(slot, account);
    }
  }
  const guaranteed = dump.gangs.filter((gang) => gang.capacityClass === CapacityClass.Guaranteed);
  const used = new Set(guaranteed.flatMap((gang) => gang.slots));
  const claimed = new Set(
    dump.claims
      .filter((claim) => claim.capacityClass === CapacityClass.Guaranteed)
      .flatMap((claim) => claim.workers),
  );
  // A bound cell without guaranteed work would never become available to its account again.
  for (const { slots } of dump.bindings) {
    const isUsed = slots.some((slot) => used.has(slot) || claimed.has(slot.split('/')[0]!));
    expect(isUsed).toEqual(true);
  }
  const inUse = new Set<string>();
  for (const gang of dump.gangs) {
    for (const slot of gang.slots) {
      expect(inUse.has(slot)).toEqual(false);
      inUse.add(slot);
      if (gang.capacityClass !== CapacityClass.Guaranteed) continue;
      expect(owners.get(slot)).toEqual(jobs.get(gang.jobId)?.account);
    }
  }
}

/** Checks that all unused shapes not reported missing fit beside the bound cells at the same time. */
function checkReclaimable(
  config: PlacementConfig,
  dump: Dump,
  workers: WorkerSpec[],
  missing: Map<string, number>,
): void {
  const bound = new Set(dump.bindings.flatMap((binding) => binding.slots));
  const unavailable = new Set(
    dump.workers.filter((item) => item.isLost || item.isQuarantined).map((item) => item.id),
  );
  const isFree = (slot: string): boolean =>
    !bound.has(slot) && !unavailable.has(slot.split('/')[0]!);
  for (const dataCentre of new Set(workers.map((worker) => worker.dataCentre))) {
    const shapes = config.accounts.flatMap((account) =>
      account.guarantees
        .filter((spec) => spec.dataCentre === dataCentre)
        .flatMap((spec) => {
          const inUse = dump.bindings.filter(
            (item) => item.account === account.id && item.accelerators === spec.accelerators,
          ).length;
          const missingCount = missing.get(`${account.id}/${dataCentre}/${spec.accelerators}`) ?? 0;
          return Array.from({ length: Math.max(0, spec.count - inUse - missingCount) }, () => spec);
        }),
    );
    const positions = workers.filter((worker) => worker.dataCentre === dataCentre);
    expect(canPlaceAll(positions, shapes, isFree)).toEqual(true);
  }
  if (unavailable.size === 0)
    expect([...missing.values()].every((count) => count === 0)).toEqual(true);
}

/** Creates a simulation of a fixed set of workers; `firstConfig` must not be oversold. */
export function createHistory(firstConfig: PlacementConfig, workers: WorkerSpec[]): History {
  let config = firstConfig;
  let nowMs = 0;
  let scheduler = createScheduler(config, workers);
  const jobs = new Map<string, JobSpec>();
  const gangs = new Map<string, RunningGang>();
  const queued = new Map<string, JobSpec>();
  const lost = new Set<string>();
  const missing = new Map<string, number>();
  const quarantined = new Set<string>();
  const attempts = new Map<string, number>();

  const checkStart = (placement: GangPlacement): void => {
    const job = queued.get(placement.jobId);
    expect(job === undefined).toEqual(false);
    expect(placement.members.length).toEqual(job!.members);
    expect(placement.attempt).toBeGreaterThan(attempts.get(placement.jobId) ?? 0);
    checkAdjacency(job!, placement, workers);
    for (const { worker } of placement.members) {
      expect(lost.has(worker) || quarantined.has(worker)).toEqual(false);
    }
  };
  const applyAction = (action: PlacementAction): void => {
    if (action.kind === ActionKind.StartGang) {
      checkStart(action.placement);
      queued.delete(action.placement.jobId);
      const running = { placement: action.placement, isRunning: false, isStopping: false };
      gangs.set(action.placement.jobId, running);
      attempts.set(action.placement.jobId, action.placement.attempt);
      const { account } = jobs.get(action.placement.jobId)!;
      checkQuota(config, account, gangs, jobs);
    } else if (action.kind === ActionKind.StopGang) {
      const gang = gangs.get(action.jobId)!;
      expect(gang.placement.attempt).toEqual(action.attempt);
      gang.isStopping = true;
      if (action.reason === StopReason.Cancel) expect(action.graceMs).toEqual(0);
    } else if (action.kind === ActionKind.ReportGuarantee) {
      missing.set(`${action.account}/${action.dataCentre}/${action.accelerators}`, action.missing);
    } else if (action.kind === ActionKind.QuarantineWorker) quarantined.add(action.worker);
    else if (action.kind === ActionKind.ReleaseWorker) quarantined.delete(action.worker);
    else queued.delete(action.jobId);
  };
  const decide = (): void => {
    for (const action of scheduler.decide(nowMs)) applyAction(action);
    const dump = scheduler.getDump() as Dump;
    checkNoOvercommit(gangs, workers);
    checkBindings(dump, jobs);
    checkReclaimable(config, dump, workers, missing);
  };
  const send = (...events: PlacementEvent[]): void => {
    scheduler.applyEvents(events, nowMs);
    decide();
  };
  const createEnd = (jobId: string, end: GangEnd, worker: string): PlacementEvent => {
    const { attempt } = gangs.get(jobId)!.placement;
    gangs.delete(jobId);
    if (end !== GangEnd.Done) queued.set(jobId, jobs.get(jobId)!);
    return { kind: EventKind.GangEnded, jobId, attempt, end, worker };
  };
  const createArrival = (job: JobSpec): PlacementEvent => {
    const past = { attempts: attempts.get(job.jobId) ?? 0, attainedSeconds: 0, failedWorkers: [] };
    return { kind: EventKind.JobArrived, job, acceptedAtMs: nowMs, ...past };
  };
  const createRecovery = ({ placement }: RunningGang): PlacementEvent => {
    const past = { acceptedAtMs: nowMs, attainedSeconds: 0, failedWorkers: [] };
    return { kind: EventKind.GangRecovered, job: jobs.get(placement.jobId)!, placement, ...past };
  };
  const restart = (): void => {
    scheduler = createScheduler(config, workers);
    missing.clear();
    quarantined.clear();
    for (const [jobId, gang] of [...gangs]) {
      if (gang.isRunning) gang.isStopping = false;
      else createEnd(jobId, GangEnd.StartFailed, '');
    }
    send(
      { kind: EventKind.WorkersLost, workerIds: [...lost] },
      ...[...gangs.values()].map(createRecovery),
      ...[...queued.values()].map(createArrival),
    );
  };
  return {
    getScheduler: () => scheduler,
    gangs,
    queued,
    lost,
    missing,
    arrive: (job) => {
      jobs.set(job.jobId, job);
      queued.set(job.jobId, job);
      send(createArrival(job));
    },
    send,
    restart,
    end: (jobId, end, worker = '') => {
      send(createEnd(jobId, end, worker));
    },
    confirmStops: () => {
      const stopping = [...gangs].filter(([, gang]) => gang.isStopping);
      send(...stopping.map(([jobId]) => createEnd(jobId, GangEnd.Stopped, '')));
    },
    confirmStarts: () => {
      const started = [...gangs.values()].filter((gang) => !gang.isRunning);
      for (const gang of started) gang.isRunning = true;
      send(
        ...started.map(({ placement: { jobId, attempt } }): PlacementEvent => ({
          kind: EventKind.GangRunning,
          jobId,
          attempt,
        })),
      );
    },
    advance: (durationMs) => {
      nowMs += durationMs;
      decide();
    },
    setConfig: (next) => {
      config = next;
      send({ kind: EventKind.ConfigChanged, config });
    },
    getNowMs: () => nowMs,
  };
}
