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

interface Running {
  placement: GangPlacement;
  isRunning: boolean;
  isStopping: boolean;
}

/** Plays the execution side of a scheduler and checks every decision against its own ledger. */
export interface History {
  getScheduler: () => Scheduler;
  gangs: Map<string, Running>;
  queued: Map<string, JobSpec>;
  lost: Set<string>;
  /** Last report of each broken guarantee. */
  missing: Map<string, number>;
  arrive: (job: JobSpec) => void;
  send: (...events: PlacementEvent[]) => void;
  end: (jobId: string, end: GangEnd, worker?: string) => void;
  /** Hands over to a new scheduler, which recovers the running gangs. */
  restart: () => void;
  /** Confirms the stops that were asked for. */
  confirmStops: () => void;
  /** Marks started gangs as running. */
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

/** No worker has more accelerators in use than it has, by the ledger of starts and ends. */
function checkNoneTwice(gangs: Map<string, Running>, workers: WorkerSpec[]): void {
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

/** At a start the account stays within its quota; a lowered quota stops no running work. */
function checkQuota(
  config: PlacementConfig,
  account: string,
  gangs: Map<string, Running>,
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

function checkBindings(dump: Dump, jobs: Map<string, JobSpec>): void {
  const owner = new Map<string, string>();
  for (const { account, slots } of dump.bindings) {
    for (const slot of slots) {
      expect(owner.has(slot)).toEqual(false);
      owner.set(slot, account);
    }
  }
  const guaranteed = dump.gangs.filter((gang) => gang.capacityClass === CapacityClass.Guaranteed);
  const used = new Set(guaranteed.flatMap((gang) => gang.slots));
  const claimed = new Set(
    dump.claims
      .filter((claim) => claim.capacityClass === CapacityClass.Guaranteed)
      .flatMap((claim) => claim.workers),
  );
  // A bound cell without guaranteed work in it would be withheld from its account for ever.
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
      expect(owner.get(slot)).toEqual(jobs.get(gang.jobId)?.account);
    }
  }
}

/** All unused shapes that are not reported missing fit at once beside the bound cells. */
function checkReclaimable(
  config: PlacementConfig,
  dump: Dump,
  workers: WorkerSpec[],
  missing: Map<string, number>,
): void {
  const bound = new Set(dump.bindings.flatMap((binding) => binding.slots));
  const away = new Set(
    dump.workers.filter((item) => item.isLost || item.isQuarantined).map((item) => item.id),
  );
  const isFree = (slot: string): boolean => !bound.has(slot) && !away.has(slot.split('/')[0]!);
  for (const dataCentre of new Set(workers.map((worker) => worker.dataCentre))) {
    const shapes = config.accounts.flatMap((account) =>
      account.guarantees
        .filter((spec) => spec.dataCentre === dataCentre)
        .flatMap((spec) => {
          const inUse = dump.bindings.filter(
            (item) => item.account === account.id && item.accelerators === spec.accelerators,
          ).length;
          const lacking = missing.get(`${account.id}/${dataCentre}/${spec.accelerators}`) ?? 0;
          return Array.from({ length: Math.max(0, spec.count - inUse - lacking) }, () => spec);
        }),
    );
    const positions = workers.filter((worker) => worker.dataCentre === dataCentre);
    expect(canPlaceAll(positions, shapes, isFree)).toEqual(true);
  }
  if (away.size === 0) expect([...missing.values()].every((count) => count === 0)).toEqual(true);
}

/** Creates a history over a fixed set of workers; `firstConfig` must be free of oversell. */
export function createHistory(firstConfig: PlacementConfig, workers: WorkerSpec[]): History {
  let config = firstConfig;
  let nowMs = 0;
  let scheduler = createScheduler(config, workers);
  const jobs = new Map<string, JobSpec>();
  const gangs = new Map<string, Running>();
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
    checkNoneTwice(gangs, workers);
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
  const createRecovery = ({ placement }: Running): PlacementEvent => {
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
