import { StopReason } from './action.ts';
import type { PlacementAction } from './action.ts';
import { applyPlan } from './allocation.ts';
import { planGuaranteed } from './guaranteed.ts';
import type { Plan } from './guaranteed.ts';
import { isFree, listPreemptionCandidates, listSites, planLent, planPreemption } from './lent.ts';
import type { PreemptionCandidate } from './lent.ts';
import { rankJobs } from './queue.ts';
import type { CoreState, Gang, Job, Site } from './state.ts';

// Limits of the plans of each kind in one pass, which bound its time; the next pass continues.
const maxPreemptionPlans = 4;
const maxReservationPlans = 4;
// Time until the next pass continues with the remaining reservations.
const reservationResumeMs = 100;
// Preemption is considered again after this time, as running gangs gain levels and waiting jobs age.
const preemptionPeriodMs = 60_000;
// Time without further attempts after no preemption was found for a shape.
const preemptionBackoffMs = 10_000;
// Bounds the memory for backoffs; when it is exceeded, all are cleared.
const maxPreemptionBackoffs = 1000;

/** State of one scheduling pass over the queue. */
interface Pass {
  state: CoreState;
  actions: PlacementAction[];
  preemptionPlans: number;
  migrationPlans: number;
  /** Preemption candidates, listed at the first attempt of the pass. */
  candidates: Map<Site, PreemptionCandidate[]> | undefined;
}

function isWithinQuota(job: Job): boolean {
  const { quotaAccelerators } = job.account.spec;
  return (
    quotaAccelerators === 0 || job.account.usedAccelerators + job.accelerators <= quotaAccelerators
  );
}

/** Plans and applies a placement, unless the shape was found not to fit since capacity last grew. */
function applyUnlessBlocked<P extends Parameters<typeof applyPlan>[1]>(
  pass: Pass,
  key: string,
  plan: () => P | undefined,
): boolean {
  if (pass.state.blockedShapes.has(key)) return false;
  const placement = plan();
  if (placement === undefined) pass.state.blockedShapes.add(key);
  else applyPlan(pass.state, placement, pass.actions);
  return placement !== undefined;
}

/**
 * Starts the job under a guarantee of its account. With the policy `prefersFreeCapacity`, a job that would
 * preempt other work but fits in free capacity starts there as lent work; the guarantee stays unused.
 */
function startGuaranteed(pass: Pass, job: Job): boolean {
  const { state } = pass;
  if (job.account.guarantees.length === 0) return false;
  return applyUnlessBlocked(pass, job.accountShapeKey, () => {
    const plan = planGuaranteed(state, job);
    if (plan === undefined || !state.policy.prefersFreeCapacity || isFreePlan(plan)) return plan;
    return planLent(state, job) ?? plan;
  });
}

function isFreePlan(plan: Plan): boolean {
  return plan.members.every(({ slots }) => slots.every(isFree));
}

function startLent(pass: Pass, job: Job): boolean {
  return applyUnlessBlocked(pass, job.shapeKey, () => planLent(pass.state, job));
}

/** Whether preemption was recently found impossible for the shape of the job. */
function hasPreemptionBackoff(state: CoreState, job: Job): boolean {
  const backoff = state.preemptionBackoffs.get(job.shapeKey);
  return (
    backoff !== undefined &&
    backoff.untilMs > state.nowMs &&
    job.priorityLevel >= backoff.priorityLevel
  );
}

/** Whether the job waited long enough for a reservation; fragmentation never delays a single accelerator. */
function isReservationDue(state: CoreState, job: Job): boolean {
  return (
    state.policy.hasReservation &&
    job.accelerators > 1 &&
    state.nowMs - job.queuedAtMs >= state.config.reservationAfterMs
  );
}

function isAcceptedLater(a: Job, b: Job): boolean {
  return a.acceptedAtMs === b.acceptedAtMs
    ? a.sequence > b.sequence
    : a.acceptedAtMs > b.acceptedAtMs;
}

function preemptForJob(
  pass: Pass,
  job: Job,
  canPreempt: (candidate: PreemptionCandidate) => boolean,
  limit: { accelerators: number; cost: number },
  options: Parameters<typeof applyPlan>[3],
): boolean {
  const { state } = pass;
  pass.candidates ??= listPreemptionCandidates(state);
  const plan = planPreemption(state, job, pass.candidates, canPreempt, limit);
  if (plan !== undefined) applyPlan(state, plan, pass.actions, options);
  return plan !== undefined;
}

/** Whether the gang is at most half as wide, so that two gangs never preempt each other in turn. */
function isNarrower(gang: Gang, job: Job): boolean {
  return 2 * gang.job.accelerators <= job.accelerators;
}

/**
 * Migrates lent work for a gang that would fit in the free accelerators if they were adjacent. The
 * stops must cost less than the gang gains. As a restart has a cost per accelerator, the migrated work
 * is then narrower than the gang, so that migrations cannot cycle.
 */
function startByMigration(pass: Pass, job: Job): boolean {
  const { state } = pass;
  const { hasMigration, migrationGainSeconds } = state.policy;
  if (!hasMigration || job.accelerators < 2 || pass.migrationPlans >= maxPreemptionPlans)
    return false;
  const sites = listSites(state, job).filter((site) => site.freeSlots >= job.accelerators);
  if (sites.length === 0) return false;
  pass.migrationPlans += 1;
  const limit = {
    accelerators: job.accelerators - 1,
    cost: migrationGainSeconds * job.accelerators,
  };
  return preemptForJob(pass, job, () => true, limit, { reason: StopReason.Migrate });
}

/**
 * Preempts lent work of a higher priority level, which has attained more service, for a job. If there
 * is none, the shape of the job is skipped for `preemptionBackoffMs`.
 */
function startByPreemption(pass: Pass, job: Job): boolean {
  const { state } = pass;
  const { hasPreemption, preemptionLevelGap, maxPreemptionRatio, hasWidestFirst } = state.policy;
  const { priorityLevel, shapeKey } = job;
  if (!hasPreemption || job.accelerators === 0 || pass.preemptionPlans >= maxPreemptionPlans)
    return false;
  if (hasPreemptionBackoff(state, job)) return false;
  pass.preemptionPlans += 1;
  const canPreempt = (candidate: PreemptionCandidate): boolean =>
    candidate.priorityLevel >= priorityLevel + preemptionLevelGap ||
    (hasWidestFirst && isNarrower(candidate.gang, job) && !candidate.gang.isReserved);
  const limit = { accelerators: maxPreemptionRatio * job.accelerators, cost: Infinity };
  const isPlanned = preemptForJob(pass, job, canPreempt, limit, {});
  if (!isPlanned)
    state.preemptionBackoffs.set(shapeKey, {
      priorityLevel,
      untilMs: state.nowMs + preemptionBackoffMs,
    });
  return isPlanned;
}

/**
 * Reserves cells for jobs that have waited `reservationAfterMs`, in order of acceptance, by preempting
 * lent work of a higher level, and of the same level if it was accepted later. So jobs accepted later,
 * however many, delay a gang that has not run yet and fits beside the guaranteed work by at most
 * `reservationAfterMs + reclaimMs` plus the time until the stops are confirmed. A lent gang accepted
 * earlier delays it until that gang ends or has attained the first level. The order of acceptance keeps
 * two gangs from preempting each other in turn. A pass tries `maxReservationPlans` shapes; the next
 * pass continues after them.
 */
function startByReservation(pass: Pass, order: readonly Job[]): void {
  const { state } = pass;
  const failed = new Set<string>();
  const waiting = order.filter((job) => state.queue.has(job) && isReservationDue(state, job));
  waiting.sort((a, b) => (isAcceptedLater(a, b) ? 1 : -1));
  const last = state.lastReservationJob;
  const from = last === undefined ? 0 : waiting.findIndex((job) => isAcceptedLater(job, last));
  state.lastReservationJob = undefined;
  let plans = 0;
  let lastTried: Job | undefined;
  for (const job of waiting.slice(Math.max(0, from))) {
    if (plans >= maxReservationPlans) {
      state.lastReservationJob = lastTried;
      break;
    }
    const { priorityLevel } = job;
    const key = `${priorityLevel}:${job.shapeKey}`;
    if (failed.has(key) || !isWithinQuota(job)) continue;
    plans += 1;
    lastTried = job;
    const canPreempt = ({ priorityLevel: other, gang }: PreemptionCandidate): boolean =>
      other > priorityLevel || (other === priorityLevel && isAcceptedLater(gang.job, job));
    const limit = { accelerators: Infinity, cost: Infinity };
    if (!preemptForJob(pass, job, canPreempt, limit, { isReservation: true })) failed.add(key);
  }
}

/** Future times at which the job may be started or ranked differently without an event. */
function listWakeTimes(state: CoreState, job: Job): number[] {
  const reservedAtMs = job.queuedAtMs + state.config.reservationAfterMs;
  return [job.notBeforeMs, reservedAtMs].filter((timeMs) => timeMs > state.nowMs);
}

function updateNextWake(state: CoreState, jobs: ReadonlySet<Job>): void {
  let nextMs = jobs === state.queue ? Infinity : (state.nextWakeMs ?? Infinity);
  if (state.lastReservationJob !== undefined) nextMs = state.nowMs + reservationResumeMs;
  for (const job of jobs) {
    if (!state.queue.has(job)) continue;
    if (job.accelerators > 0) nextMs = Math.min(nextMs, state.nowMs + preemptionPeriodMs);
    for (const wakeMs of listWakeTimes(state, job)) nextMs = Math.min(nextMs, wakeMs);
  }
  state.nextWakeMs = nextMs === Infinity ? undefined : nextMs;
}

function startWaiting(
  pass: Pass,
  order: readonly Job[],
  start: (pass: Pass, job: Job) => boolean,
): void {
  for (const job of order) if (pass.state.queue.has(job) && isWithinQuota(job)) start(pass, job);
}

/** Starts as many of `jobs` as possible in queue order: first guaranteed work, then lent work. */
export function runPass(
  state: CoreState,
  jobs: ReadonlySet<Job>,
  actions: PlacementAction[],
): void {
  const pass: Pass = {
    state,
    actions,
    preemptionPlans: 0,
    migrationPlans: 0,
    candidates: undefined,
  };
  if (state.isCapacityDirty) state.blockedShapes.clear();
  if (state.preemptionBackoffs.size > maxPreemptionBackoffs) state.preemptionBackoffs.clear();
  state.isCapacityDirty = false;
  const order = rankJobs(state, jobs).filter(
    (job) => state.queue.has(job) && job.notBeforeMs <= state.nowMs,
  );
  for (const job of order) if (isWithinQuota(job)) startGuaranteed(pass, job);
  startWaiting(pass, order, startLent);
  startByReservation(pass, order);
  startWaiting(pass, order, startByMigration);
  startWaiting(pass, order, startByPreemption);
  updateNextWake(state, jobs);
  state.arrivals.clear();
}
