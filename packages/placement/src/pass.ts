import { StopReason } from './action.ts';
import type { PlacementAction } from './action.ts';
import { enterPlan } from './enter.ts';
import { planGuaranteed } from './guaranteed.ts';
import type { Plan } from './guaranteed.ts';
import { isFree, listSites, listStopCandidates, planLent, planStopping } from './lent.ts';
import type { StopCandidate } from './lent.ts';
import { listInOrder } from './queue.ts';
import type { CoreState, Gang, Job, Site } from './state.ts';

// Bounds the time of one pass; the rest of the queue follows in the next one.
const maxStopPlans = 4;
const maxReservedPlans = 4;
const nextReservedMs = 100;
// Running gangs gain levels and waiting jobs age, so stops are considered again this often.
const stopPeriodMs = 60_000;
// How long it is taken as known that no higher level can be stopped for a shape.
const unstoppableMs = 10_000;
// Bounds the memory for this; beyond it all shapes are considered again.
const maxUnstoppable = 1000;

/** State of one pass over the queue. */
interface Pass {
  state: CoreState;
  actions: PlacementAction[];
  stopPlans: number;
  movePlans: number;
  /** Lent gangs as they were when the first stop of the pass was considered. */
  candidates: Map<Site, StopCandidate[]> | undefined;
}

function isWithinQuota(job: Job): boolean {
  const { quotaAccelerators } = job.account.spec;
  return (
    quotaAccelerators === 0 || job.account.usedAccelerators + job.accelerators <= quotaAccelerators
  );
}

/** Plans unless the shape was found not to fit since capacity last grew. */
function enterUnlessBlocked<P extends Parameters<typeof enterPlan>[1]>(
  pass: Pass,
  key: string,
  plan: () => P | undefined,
): boolean {
  if (pass.state.blockedShapes.has(key)) return false;
  const found = plan();
  if (found === undefined) pass.state.blockedShapes.add(key);
  else enterPlan(pass.state, found, pass.actions);
  return found !== undefined;
}

/**
 * Starts the job under a guarantee of its account. Where that would stop other work although the
 * job fits in free capacity, it starts there as lent work; the guarantee stays unused.
 */
function startGuaranteed(pass: Pass, job: Job): boolean {
  const { state } = pass;
  if (job.account.guarantees.length === 0) return false;
  return enterUnlessBlocked(pass, job.accountShapeKey, () => {
    const plan = planGuaranteed(state, job);
    if (plan === undefined || !state.policy.prefersFree || isFreePlan(plan)) return plan;
    return planLent(state, job) ?? plan;
  });
}

function isFreePlan(plan: Plan): boolean {
  return plan.members.every(({ slots }) => slots.every(isFree));
}

function startLent(pass: Pass, job: Job): boolean {
  return enterUnlessBlocked(pass, job.shapeKey, () => planLent(pass.state, job));
}

/** Whether a shape was found lately not to start by stopping work. */
function isUnstoppable(state: CoreState, job: Job): boolean {
  const known = state.unstoppable.get(job.shapeKey);
  return known !== undefined && known.untilMs > state.nowMs && job.level >= known.level;
}

/** A single accelerator is never held up by scattered ones, so such a job needs no reservation. */
function hasWaitedLong(state: CoreState, job: Job): boolean {
  return (
    state.policy.hasReservation &&
    job.accelerators > 1 &&
    state.nowMs - job.queuedAtMs >= state.config.reservationAfterMs
  );
}

function isLater(a: Job, b: Job): boolean {
  return a.acceptedAtMs === b.acceptedAtMs
    ? a.sequence > b.sequence
    : a.acceptedAtMs > b.acceptedAtMs;
}

function enterStopping(
  pass: Pass,
  job: Job,
  canStop: (candidate: StopCandidate) => boolean,
  limit: { accelerators: number; cost: number },
  options: Parameters<typeof enterPlan>[3],
): boolean {
  const { state } = pass;
  pass.candidates ??= listStopCandidates(state);
  const plan = planStopping(state, job, pass.candidates, canStop, limit);
  if (plan !== undefined) enterPlan(state, plan, pass.actions, options);
  return plan !== undefined;
}

/** Whether the gang is at most half as wide, so that two gangs never stop each other in turn. */
function isNarrower(gang: Gang, job: Job): boolean {
  return 2 * gang.job.accelerators <= job.accelerators;
}

/**
 * Moves lent work for a gang that would fit in the free accelerators if they were adjacent. It pays
 * when the stops cost less than the gang gains; as a restart has a cost per accelerator, the work
 * moved is then narrower than the gang, so that moves cannot go in a circle.
 */
function startByMoving(pass: Pass, job: Job): boolean {
  const { state } = pass;
  const { hasMigration, migrationGainSeconds } = state.policy;
  if (!hasMigration || job.accelerators < 2 || pass.movePlans >= maxStopPlans) return false;
  const sites = listSites(state, job).filter((site) => site.freeSlots >= job.accelerators);
  if (sites.length === 0) return false;
  pass.movePlans += 1;
  const limit = {
    accelerators: job.accelerators - 1,
    cost: migrationGainSeconds * job.accelerators,
  };
  return enterStopping(pass, job, () => true, limit, { reason: StopReason.Migrate });
}

/**
 * Stops lent work of a higher level of attained service for a job. A shape for which nothing can
 * be stopped is passed over for a while.
 */
function startByLevel(pass: Pass, job: Job): boolean {
  const { state } = pass;
  const { hasPreemption, stopLevels, maxStopRatio, hasWidestFirst } = state.policy;
  const { level, shapeKey } = job;
  if (!hasPreemption || job.accelerators === 0 || pass.stopPlans >= maxStopPlans) return false;
  if (isUnstoppable(state, job)) return false;
  pass.stopPlans += 1;
  const canStop = (candidate: StopCandidate): boolean =>
    candidate.level >= level + stopLevels ||
    (hasWidestFirst && isNarrower(candidate.gang, job) && !candidate.gang.isReserved);
  const limit = { accelerators: maxStopRatio * job.accelerators, cost: Infinity };
  const isEntered = enterStopping(pass, job, canStop, limit, {});
  if (!isEntered) state.unstoppable.set(shapeKey, { level, untilMs: state.nowMs + unstoppableMs });
  return isEntered;
}

/**
 * Stops lent work for jobs that have waited `reservationAfterMs`, in the order of acceptance: work
 * of a higher level, and work of the same level that was accepted later. Jobs accepted later
 * therefore delay a gang that has not run yet, and that fits beside the guaranteed work, by at most
 * `reservationAfterMs + reclaimMs` and the time until the stops are confirmed, however many they
 * are. A lent gang accepted earlier delays it until it ends or has attained the first level. The
 * order by acceptance keeps two gangs from stopping each other in turn. A pass tries
 * `maxReservedPlans` shapes; the next one goes on with the rest.
 */
function startReserved(pass: Pass, order: readonly Job[]): void {
  const { state } = pass;
  const failed = new Set<string>();
  const waiting = order.filter((job) => state.queue.has(job) && hasWaitedLong(state, job));
  waiting.sort((a, b) => (isLater(a, b) ? 1 : -1));
  const last = state.lastReserved;
  const from = last === undefined ? 0 : waiting.findIndex((job) => isLater(job, last));
  state.lastReserved = undefined;
  let plans = 0;
  let lastTried: Job | undefined;
  for (const job of waiting.slice(Math.max(0, from))) {
    if (plans >= maxReservedPlans) {
      state.lastReserved = lastTried;
      break;
    }
    const { level } = job;
    const key = `${level}:${job.shapeKey}`;
    if (failed.has(key) || !isWithinQuota(job)) continue;
    plans += 1;
    lastTried = job;
    const canStop = ({ level: other, gang }: StopCandidate): boolean =>
      other > level || (other === level && isLater(gang.job, job));
    const limit = { accelerators: Infinity, cost: Infinity };
    if (!enterStopping(pass, job, canStop, limit, { isReservation: true })) failed.add(key);
  }
}

/** Next time at which the job's position changes by itself. */
function listWakes(state: CoreState, job: Job): number[] {
  const reservedAtMs = job.queuedAtMs + state.config.reservationAfterMs;
  return [job.notBeforeMs, reservedAtMs].filter((timeMs) => timeMs > state.nowMs);
}

function updateWake(state: CoreState, jobs: ReadonlySet<Job>): void {
  let nextMs = jobs === state.queue ? Infinity : (state.nextWakeMs ?? Infinity);
  if (state.lastReserved !== undefined) nextMs = state.nowMs + nextReservedMs;
  for (const job of jobs) {
    if (!state.queue.has(job)) continue;
    if (job.accelerators > 0) nextMs = Math.min(nextMs, state.nowMs + stopPeriodMs);
    for (const wakeMs of listWakes(state, job)) nextMs = Math.min(nextMs, wakeMs);
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

/** Starts what can be started, guaranteed work first, in the order of the queue. */
export function runPass(
  state: CoreState,
  jobs: ReadonlySet<Job>,
  actions: PlacementAction[],
): void {
  const pass: Pass = { state, actions, stopPlans: 0, movePlans: 0, candidates: undefined };
  if (state.isCapacityDirty) state.blockedShapes.clear();
  if (state.unstoppable.size > maxUnstoppable) state.unstoppable.clear();
  state.isCapacityDirty = false;
  const order = listInOrder(state, jobs).filter(
    (job) => state.queue.has(job) && job.notBeforeMs <= state.nowMs,
  );
  for (const job of order) if (isWithinQuota(job)) startGuaranteed(pass, job);
  startWaiting(pass, order, startLent);
  startReserved(pass, order);
  startWaiting(pass, order, startByMoving);
  startWaiting(pass, order, startByLevel);
  updateWake(state, jobs);
  state.arrivals.clear();
}
