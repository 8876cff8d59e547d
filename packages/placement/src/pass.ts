import type { PlacementAction } from './action.ts';
import { enterPlan } from './enter.ts';
import { planGuaranteed } from './guaranteed.ts';
import { planLent, planStopping } from './lent.ts';
import { computePriority, listInOrder } from './queue.ts';
import type { CoreState, Gang, Job } from './state.ts';

// Bounds the time of one pass; the rest of the queue follows in the next one.
const maxStopPlans = 8;
const retryStopMs = 1000;

/** State of one pass over the queue. */
interface Pass {
  state: CoreState;
  actions: PlacementAction[];
  stopPlans: number;
  /** Shapes for which nothing can be stopped in this pass. */
  unstoppable: Set<string>;
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
  else enterPlan(pass.state, found, false, pass.actions);
  return found !== undefined;
}

function startGuaranteed(pass: Pass, job: Job): boolean {
  if (job.account.guarantees.length === 0) return false;
  const key = `${job.account.spec.id}:${job.shapeKey}`;
  return enterUnlessBlocked(pass, key, () => planGuaranteed(pass.state, job));
}

function startLent(pass: Pass, job: Job): boolean {
  return enterUnlessBlocked(pass, job.shapeKey, () => planLent(pass.state, job));
}

/** A single accelerator is never held up by scattered ones, so such a job needs no reservation. */
function hasWaitedLong(state: CoreState, job: Job): boolean {
  return job.accelerators > 1 && state.nowMs - job.queuedAtMs >= state.config.reservationAfterMs;
}

function isLater(a: Job, b: Job): boolean {
  return a.acceptedAtMs === b.acceptedAtMs
    ? a.sequence > b.sequence
    : a.acceptedAtMs > b.acceptedAtMs;
}

/**
 * Stops lent work for a job that goes before it: work of a higher level of attained service, and,
 * once the job has waited `reservationAfterMs`, also work of its own level that was accepted later.
 * Jobs accepted later therefore delay a gang that has not run yet, and that fits beside the
 * guaranteed work, by at most `reservationAfterMs + reclaimMs` and the time until the stops are
 * confirmed, however many they are. A lent gang accepted earlier delays it until it ends or has
 * attained the first level. The order by acceptance keeps two gangs from stopping each other in
 * turn.
 */
function startByStopping(pass: Pass, job: Job): boolean {
  const { state } = pass;
  const isLong = hasWaitedLong(state, job);
  const level = computePriority(job, state.nowMs);
  const key = `${isLong ? 'long' : level}:${job.shapeKey}`;
  if (job.accelerators === 0 || pass.unstoppable.has(key)) return false;
  if (pass.stopPlans >= maxStopPlans) {
    state.nextWakeMs = state.nowMs + retryStopMs;
    return false;
  }
  pass.stopPlans += 1;
  const canStop = (gang: Gang): boolean => {
    const gangLevel = computePriority(gang.job, state.nowMs);
    return gangLevel > level || (isLong && gangLevel === level && isLater(gang.job, job));
  };
  const plan = planStopping(state, job, canStop);
  if (plan === undefined) pass.unstoppable.add(key);
  else enterPlan(state, plan, isLong, pass.actions);
  return plan !== undefined;
}

/** Next time at which the job's position changes by itself. */
function listWakes(state: CoreState, job: Job): number[] {
  const reservedAtMs = job.queuedAtMs + state.config.reservationAfterMs;
  return [job.notBeforeMs, reservedAtMs].filter((timeMs) => timeMs > state.nowMs);
}

/** Starts what can be started, guaranteed work first, in the order of the queue. */
export function runPass(state: CoreState, actions: PlacementAction[]): void {
  const pass: Pass = { state, actions, stopPlans: 0, unstoppable: new Set() };
  if (state.isCapacityDirty) state.blockedShapes.clear();
  state.isCapacityDirty = false;
  state.hasArrivals = false;
  state.nextWakeMs = undefined;
  const order = listInOrder(state.queue, state.nowMs).filter(
    (job) => job.notBeforeMs <= state.nowMs,
  );
  for (const job of order) if (isWithinQuota(job)) startGuaranteed(pass, job);
  for (const start of [startLent, startByStopping]) {
    for (const job of order) {
      if (state.queue.has(job) && isWithinQuota(job)) start(pass, job);
    }
  }
  for (const job of state.queue) {
    const wakes = listWakes(state, job);
    state.nextWakeMs = Math.min(state.nextWakeMs ?? Infinity, ...wakes);
  }
  if (state.nextWakeMs === Infinity) state.nextWakeMs = undefined;
}
