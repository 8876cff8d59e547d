import { ActionKind, CapacityClass, EventKind, GangEnd } from '@bergamotreach/placement';
import type {
  GangPlacement,
  GuaranteeStatus,
  JobSpec,
  PlacementAction,
  PlacementEvent,
} from '@bergamotreach/placement';
import type { PlacementDecider } from './baseline.ts';
import type { RegionSetup } from './deployment.ts';
import { createUsageMeter } from './measure.ts';
import type { UsageTotals } from './measure.ts';
import { createTimeline } from './timeline.ts';
import type { BenchJob } from './workload.ts';

/** Result of one job; start and end are `Infinity` if they did not happen. */
export interface JobResult {
  width: number;
  arrivalMs: number;
  firstStartMs: number;
  endMs: number;
  workMs: number;
}

/** Result of one replay. */
export interface ReplayResult {
  jobs: JobResult[];
  usage: UsageTotals;
  preemptions: number;
  lostAcceleratorMs: number;
  guaranteedStarts: number;
  /** Jobs that were entitled to guaranteed capacity and started later than the reclaim time. */
  failedReclaims: number;
  decisionMs: number[];
}

// Time from the decision until all members run: hold, load, release.
const startDelayMs = 2000;
// Time until a stop is confirmed, after the checkpoint or grace period.
const stopConfirmMs = 50;
// Running jobs write periodic checkpoints at this interval.
const checkpointIntervalMs = 1_800_000;

interface RunningGang {
  job: BenchJob;
  placement: GangPlacement;
  runsFromMs: number;
  /** Incremented by each stop request, which invalidates the end scheduled before it. */
  version: number;
}

type TimelineEvent =
  | { kind: 'arrive'; job: BenchJob }
  | { kind: 'running'; gang: RunningGang }
  | { kind: 'end'; gang: RunningGang; version: number; end: GangEnd; lostMs: number };

/** A policy under replay; baselines have no guarantees to list. */
export type ReplayPolicy = PlacementDecider & { listGuarantees?: () => GuaranteeStatus[] };

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

/**
 * Whether the job fits an unused guaranteed shape of its account, so that its start has a deadline.
 */
function hasStartDeadline(policy: ReplayPolicy, spec: JobSpec): boolean {
  const statuses = policy.listGuarantees?.() ?? [];
  return statuses.some(
    (status) =>
      status.account === spec.account &&
      status.reclaimable > 0 &&
      spec.members === 1 &&
      spec.accelerators <= status.accelerators,
  );
}

/** Replays a job list in virtual time, with workers that carry out every action without faults. */
export function replayWorkload(
  setup: RegionSetup,
  jobs: readonly BenchJob[],
  policy: ReplayPolicy,
): ReplayResult {
  const timeline = createTimeline<TimelineEvent>();
  const meter = createUsageMeter(setup);
  const waiting = new Map<string, BenchJob>();
  const gangs = new Map<string, RunningGang>();
  const progress = new Map<string, number>();
  const results = new Map<string, JobResult>();
  const startDeadlines = new Map<string, number>();
  const result: ReplayResult = {
    jobs: [],
    usage: meter.getTotals(),
    preemptions: 0,
    lostAcceleratorMs: 0,
    guaranteedStarts: 0,
    failedReclaims: 0,
    decisionMs: [],
  };
  let nowMs = 0;

  const startGang = (placement: GangPlacement): void => {
    const { jobId } = placement;
    const job = waiting.get(jobId);
    if (job === undefined) throw new Error(`job "${jobId}" is not waiting`);
    waiting.delete(jobId);
    const { spec } = job;
    meter.allocate(
      placement.members.map(({ worker }) => worker),
      spec.accelerators,
    );
    const gang = { job, placement, runsFromMs: nowMs + startDelayMs, version: 0 };
    gangs.set(jobId, gang);
    const jobResult = results.get(jobId);
    if (jobResult !== undefined) jobResult.firstStartMs = Math.min(jobResult.firstStartMs, nowMs);
    if (placement.capacityClass === CapacityClass.Guaranteed) result.guaranteedStarts += 1;
    const deadlineMs = startDeadlines.get(jobId);
    if (deadlineMs !== undefined && nowMs > deadlineMs) result.failedReclaims += 1;
    startDeadlines.delete(jobId);
    timeline.add(gang.runsFromMs, { kind: 'running', gang });
    const endMs = gang.runsFromMs + job.workMs - (progress.get(jobId) ?? 0);
    timeline.add(endMs, { kind: 'end', gang, version: 0, end: GangEnd.Done, lostMs: 0 });
  };
  const stopGang = (jobId: string, attempt: number, graceMs: number): void => {
    const gang = gangs.get(jobId);
    if (gang?.placement.attempt !== attempt) throw new Error(`job "${jobId}" is not running`);
    const ranMs = Math.max(0, nowMs - gang.runsFromMs);
    const hasCheckpoint = gang.job.checkpointMs <= graceMs;
    const endMs = nowMs + Math.min(gang.job.checkpointMs, graceMs) + stopConfirmMs;
    const lostMs = hasCheckpoint ? 0 : ranMs % checkpointIntervalMs;
    gang.version += 1;
    const { version } = gang;
    // A gang that would complete before the stop takes effect still completes.
    const leftMs = gang.job.workMs - (progress.get(jobId) ?? 0);
    const doneMs = gang.runsFromMs + leftMs;
    const isDone = doneMs <= endMs;
    const end = isDone ? GangEnd.Done : GangEnd.Stopped;
    timeline.add(isDone ? doneMs : endMs, { kind: 'end', gang, version, end, lostMs });
    if (isDone) return;
    if (version === 1) result.preemptions += 1;
  };
  const applyAction = (action: PlacementAction): void => {
    if (action.kind === ActionKind.StartGang) startGang(action.placement);
    if (action.kind === ActionKind.StopGang) stopGang(action.jobId, action.attempt, action.graceMs);
  };
  const decide = (events: PlacementEvent[]): void => {
    const fromNs = process.hrtime.bigint();
    policy.applyEvents(events, nowMs);
    const actions = policy.decide(nowMs);
    result.decisionMs.push(Number(process.hrtime.bigint() - fromNs) / 1e6);
    for (const action of actions) applyAction(action);
  };
  const endGang = (gang: RunningGang, reason: GangEnd, lostMs: number): PlacementEvent => {
    const { job, placement } = gang;
    const { jobId } = job.spec;
    const width = getWidth(job.spec);
    gangs.delete(jobId);
    meter.release(
      placement.members.map(({ worker }) => worker),
      job.spec.accelerators,
    );
    const jobResult = results.get(jobId);
    if (reason === GangEnd.Done) {
      if (jobResult !== undefined) jobResult.endMs = nowMs;
    } else {
      const ranMs = Math.max(0, nowMs - gang.runsFromMs);
      progress.set(jobId, (progress.get(jobId) ?? 0) + Math.max(0, ranMs - lostMs));
      result.lostAcceleratorMs += (Math.min(ranMs, lostMs) + startDelayMs) * width;
      waiting.set(jobId, job);
    }
    const { attempt } = placement;
    return { kind: EventKind.GangEnded, jobId, attempt, end: reason, worker: '' };
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
    if (hasStartDeadline(policy, job.spec))
      startDeadlines.set(jobId, nowMs + graceMs + stopConfirmMs);
    return createArrival(job);
  };
  const handleEvent = (event: TimelineEvent): void => {
    if (event.kind === 'arrive') decide([addArrival(event.job)]);
    else if (event.kind === 'running') {
      if (gangs.get(event.gang.job.spec.jobId) !== event.gang) return;
      const { jobId, attempt } = event.gang.placement;
      decide([{ kind: EventKind.GangRunning, jobId, attempt }]);
    } else if (event.version === event.gang.version)
      decide([endGang(event.gang, event.end, event.lostMs)]);
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
    const event = nextMs !== undefined && nextMs <= nowMs ? timeline.removeNext() : undefined;
    if (event === undefined) decide([]);
    else handleEvent(event);
  }
  result.jobs = [...results.values()];
  return result;
}
