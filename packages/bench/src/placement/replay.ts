import { ActionKind, CapacityClass, EventKind, GangEnd } from '@bergamotreach/placement';
import type {
  GangPlacement,
  GuaranteeStatus,
  JobSpec,
  PlacementAction,
  PlacementEvent,
} from '@bergamotreach/placement';
import type { Policy } from './baseline.ts';
import type { RegionSetup } from './deployment.ts';
import { createUseMeter } from './measure.ts';
import type { UseTotals } from './measure.ts';
import { createTimeline } from './timeline.ts';
import type { BenchJob } from './workload.ts';

/** What happened to one job. */
export interface JobResult {
  width: number;
  arrivalMs: number;
  firstStartMs: number;
  endMs: number;
  workMs: number;
}

/** What happened in one replay. */
export interface ReplayResult {
  jobs: JobResult[];
  use: UseTotals;
  preemptions: number;
  lostAcceleratorMs: number;
  guaranteedStarts: number;
  /** Guaranteed work that was due by the reclaim time and did not start by then. */
  failedReclaims: number;
  decisionMs: number[];
}

// Time from the decision until the members run: hold, load, release.
const startMs = 2000;
// Time until a stop is confirmed.
const confirmMs = 50;
// Work is checkpointed this often by itself.
const checkpointPeriodMs = 1_800_000;

interface Running {
  job: BenchJob;
  placement: GangPlacement;
  runsFromMs: number;
  /** Makes an older end in the timeline void once a stop was asked for. */
  version: number;
}

type Due =
  | { kind: 'arrive'; job: BenchJob }
  | { kind: 'running'; gang: Running }
  | { kind: 'end'; gang: Running; version: number; end: GangEnd; lostMs: number };

/** Policy whose guarantees are watched; baselines have none. */
export type WatchedPolicy = Policy & { listGuarantees?: () => GuaranteeStatus[] };

function getWidth(spec: JobSpec): number {
  return spec.members * spec.accelerators;
}

function createArrival(job: BenchJob): PlacementEvent {
  return {
    kind: EventKind.JobArrived,
    job: job.spec,
    acceptedAtMs: job.arrivalMs,
    attempts: 0,
    attainedSeconds: 0,
    failedWorkers: [],
  };
}

/** Whether an unused shape of the account holds the job, so that it must start under guarantee. */
function isDue(policy: WatchedPolicy, spec: JobSpec): boolean {
  const statuses = policy.listGuarantees?.() ?? [];
  return statuses.some(
    (status) =>
      status.account === spec.account &&
      status.reclaimable > 0 &&
      spec.members === 1 &&
      spec.accelerators <= status.accelerators,
  );
}

/** Replays a job list in virtual time against workers that do what they are told. */
export function replayWorkload(
  setup: RegionSetup,
  jobs: readonly BenchJob[],
  policy: WatchedPolicy,
): ReplayResult {
  const timeline = createTimeline<Due>();
  const meter = createUseMeter(setup);
  const waiting = new Map<string, BenchJob>();
  const gangs = new Map<string, Running>();
  const progress = new Map<string, number>();
  const results = new Map<string, JobResult>();
  const dueBy = new Map<string, number>();
  const result: ReplayResult = {
    jobs: [],
    use: meter.getTotals(),
    preemptions: 0,
    lostAcceleratorMs: 0,
    guaranteedStarts: 0,
    failedReclaims: 0,
    decisionMs: [],
  };
  let nowMs = 0;

  const start = (placement: GangPlacement): void => {
    const { jobId } = placement;
    const job = waiting.get(jobId);
    if (job === undefined) throw new Error(`job "${jobId}" does not wait`);
    waiting.delete(jobId);
    const { spec } = job;
    meter.take(
      placement.members.map(({ worker }) => worker),
      spec.accelerators,
    );
    const gang = { job, placement, runsFromMs: nowMs + startMs, version: 0 };
    gangs.set(jobId, gang);
    const jobResult = results.get(jobId);
    if (jobResult !== undefined) jobResult.firstStartMs = Math.min(jobResult.firstStartMs, nowMs);
    if (placement.capacityClass === CapacityClass.Guaranteed) result.guaranteedStarts += 1;
    const limitMs = dueBy.get(jobId);
    if (limitMs !== undefined && nowMs > limitMs) result.failedReclaims += 1;
    dueBy.delete(jobId);
    timeline.add(gang.runsFromMs, { kind: 'running', gang });
    const endMs = gang.runsFromMs + job.workMs - (progress.get(jobId) ?? 0);
    timeline.add(endMs, { kind: 'end', gang, version: 0, end: GangEnd.Done, lostMs: 0 });
  };
  const stop = (jobId: string, attempt: number, graceMs: number): void => {
    const gang = gangs.get(jobId);
    if (gang?.placement.attempt !== attempt) throw new Error(`job "${jobId}" does not run`);
    const ranMs = Math.max(0, nowMs - gang.runsFromMs);
    const hasCheckpoint = gang.job.checkpointMs <= graceMs;
    const endMs = nowMs + Math.min(gang.job.checkpointMs, graceMs) + confirmMs;
    const lostMs = hasCheckpoint ? 0 : ranMs % checkpointPeriodMs;
    gang.version += 1;
    const { version } = gang;
    // A gang that would have ended by itself before the stop still does.
    const leftMs = gang.job.workMs - (progress.get(jobId) ?? 0);
    const doneMs = gang.runsFromMs + leftMs;
    const isDone = doneMs <= endMs;
    const end = isDone ? GangEnd.Done : GangEnd.Stopped;
    timeline.add(isDone ? doneMs : endMs, { kind: 'end', gang, version, end, lostMs });
    if (isDone) return;
    if (version === 1) result.preemptions += 1;
  };
  const applyAction = (action: PlacementAction): void => {
    if (action.kind === ActionKind.StartGang) start(action.placement);
    if (action.kind === ActionKind.StopGang) stop(action.jobId, action.attempt, action.graceMs);
  };
  const decide = (events: PlacementEvent[]): void => {
    const fromNs = process.hrtime.bigint();
    policy.applyEvents(events, nowMs);
    const actions = policy.decide(nowMs);
    result.decisionMs.push(Number(process.hrtime.bigint() - fromNs) / 1e6);
    for (const action of actions) applyAction(action);
  };
  const end = (gang: Running, how: GangEnd, lostMs: number): PlacementEvent => {
    const { job, placement } = gang;
    const { jobId } = job.spec;
    const width = getWidth(job.spec);
    gangs.delete(jobId);
    meter.release(
      placement.members.map(({ worker }) => worker),
      job.spec.accelerators,
    );
    const jobResult = results.get(jobId);
    if (how === GangEnd.Done) {
      if (jobResult !== undefined) jobResult.endMs = nowMs;
    } else {
      const ranMs = Math.max(0, nowMs - gang.runsFromMs);
      progress.set(jobId, (progress.get(jobId) ?? 0) + Math.max(0, ranMs - lostMs));
      result.lostAcceleratorMs += (Math.min(ranMs, lostMs) + startMs) * width;
      waiting.set(jobId, job);
    }
    const { attempt } = placement;
    return { kind: EventKind.GangEnded, jobId, attempt, end: how, worker: '' };
  };
  const addArrival = (job: BenchJob): PlacementEvent => {
    const { jobId } = job.spec;
    waiting.set(jobId, job);
    results.set(jobId, {
      width: getWidth(job.spec),
      arrivalMs: nowMs,
      firstStartMs: Infinity,
      endMs: Infinity,
      workMs: job.workMs,
    });
    const { reclaimMs, urgentReclaimMs } = setup.config;
    const graceMs = job.spec.urgent ? urgentReclaimMs : reclaimMs;
    if (isDue(policy, job.spec)) dueBy.set(jobId, nowMs + graceMs + confirmMs);
    return createArrival(job);
  };
  const handle = (due: Due): void => {
    if (due.kind === 'arrive') decide([addArrival(due.job)]);
    else if (due.kind === 'running') {
      if (gangs.get(due.gang.job.spec.jobId) !== due.gang) return;
      const { jobId, attempt } = due.gang.placement;
      decide([{ kind: EventKind.GangRunning, jobId, attempt }]);
    } else if (due.version === due.gang.version) decide([end(due.gang, due.end, due.lostMs)]);
  };

  for (const job of jobs) timeline.add(job.arrivalMs, { kind: 'arrive', job });
  for (;;) {
    const nextMs = timeline.getNextMs();
    const wakeMs = policy.getNextWakeMs();
    if (nextMs === undefined && (wakeMs === undefined || waiting.size === 0)) break;
    const previousMs = nowMs;
    nowMs = Math.max(nowMs, Math.min(nextMs ?? Infinity, wakeMs ?? Infinity));
    if (nowMs > previousMs)
      meter.advance(
        nowMs,
        [...waiting.values()].map(({ spec }) => spec),
      );
    const due = nextMs !== undefined && nextMs <= nowMs ? timeline.take() : undefined;
    if (due === undefined) decide([]);
    else handle(due);
  }
  result.jobs = [...results.values()];
  return result;
}
