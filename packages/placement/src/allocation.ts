import { ActionKind, StopReason } from './action.ts';
import type { PlacementAction } from './action.ts';
import { createBinding, removeBinding } from './binding.ts';
import { CapacityClass } from './event.ts';
import type { GangPlacement } from './event.ts';
import type { Plan } from './guaranteed.ts';
import { listVictims } from './lent.ts';
import { computeAgeCredit } from './queue.ts';
import { isUsable, setSlotUse } from './state.ts';
import type { Account, Binding, Claim, CoreState, Gang, Job, MemberSlots } from './state.ts';

function listBindings(members: readonly MemberSlots[]): Binding[] {
  const bindings = new Set<Binding>();
  for (const { slots } of members)
    for (const { binding } of slots) if (binding) bindings.add(binding);
  return [...bindings];
}

function releaseBindings(state: CoreState, user: Gang | Claim): void {
  for (const binding of user.bindings) {
    binding.users.delete(user);
    if (binding.users.size === 0) removeBinding(binding);
  }
  if (user.bindings.length > 0) state.isGuaranteeDirty = true;
  user.bindings = [];
}

/** Adds or subtracts the cores and memory of a gang without accelerators. */
function changeCpuOnlyUse(gang: Gang, sign: 1 | -1): void {
  const { job, members } = gang;
  if (job.accelerators > 0) return;
  for (const { worker } of members) {
    worker.cpuOnlyCores += sign * job.spec.cores;
    worker.cpuOnlyMemoryMb += sign * job.spec.memoryMb;
  }
}

function createPlacement(claim: Claim): GangPlacement {
  const { job, site, capacityClass, members } = claim;
  return {
    jobId: job.spec.jobId,
    attempt: job.attempts + 1,
    capacityClass,
    dataCentre: site.id,
    members: members.map(({ worker }, member) => ({
      member,
      worker: worker.spec.id,
      accelerators: job.spec.accelerators,
    })),
  };
}

/** Adds a gang that occupies the slots of its members. */
export function addGang(
  state: CoreState,
  job: Job,
  gangPlacement: GangPlacement,
  members: MemberSlots[],
  bindings: Binding[],
): Gang {
  const gang: Gang = {
    job,
    placement: gangPlacement,
    capacityClass: gangPlacement.capacityClass,
    members,
    bindings,
    startedAtMs: state.nowMs,
    attainedSecondsAtStart: job.attainedSeconds,
    ageCredit: computeAgeCredit(state, job),
    isReserved: false,
    isRunning: false,
    stopAtMs: undefined,
  };
  for (const { slots } of members) {
    for (const slot of slots) setSlotUse(slot, { gang, claim: undefined });
  }
  for (const binding of bindings) binding.users.add(gang);
  changeCpuOnlyUse(gang, 1);
  job.attempts = Math.max(job.attempts, gangPlacement.attempt);
  job.gang = gang;
  job.attainedAtMs = state.nowMs;
  state.queue.delete(job);
  state.gangs.add(gang);
  if (job.accelerators > 0) state.sites.get(gangPlacement.dataCentre)?.gangs.add(gang);
  return gang;
}

function startClaim(state: CoreState, claim: Claim, actions: PlacementAction[]): void {
  const { job } = claim;
  const placement = createPlacement(claim);
  const gang = addGang(state, job, placement, claim.members, [...claim.bindings]);
  gang.isReserved = claim.isReservation;
  for (const binding of claim.bindings) binding.users.delete(claim);
  job.claim = undefined;
  state.claims.delete(claim);
  actions.push({ kind: ActionKind.StartGang, placement });
}

/** Stops a gang; a repeated stop takes effect only if it is due sooner than the earlier one. */
export function stopGang(
  state: CoreState,
  gang: Gang,
  reason: StopReason,
  graceMs: number,
  actions: PlacementAction[],
): void {
  const stopAtMs = state.nowMs + graceMs;
  if (gang.stopAtMs !== undefined && gang.stopAtMs <= stopAtMs) return;
  gang.stopAtMs = stopAtMs;
  const { jobId, attempt } = gang.placement;
  actions.push({ kind: ActionKind.StopGang, jobId, attempt, reason, graceMs });
}

/** Drops a claim; its job returns to the queue. */
export function dropClaim(state: CoreState, claim: Claim): void {
  for (const { slots } of claim.members) {
    for (const slot of slots) if (slot.claim === claim) setSlotUse(slot, { claim: undefined });
  }
  releaseBindings(state, claim);
  state.claims.delete(claim);
  claim.job.claim = undefined;
  claim.job.account.usedAccelerators -= claim.job.accelerators;
  state.queue.add(claim.job);
  state.isCapacityDirty = true;
}

/** Drops claims of lent work on slots that a plan takes. */
function dropConflictingClaims(state: CoreState, plan: Plan): void {
  for (const { slots } of plan.members) {
    for (const { claim } of slots) if (claim !== undefined) dropClaim(state, claim);
  }
}

function createClaim(state: CoreState, plan: Plan, isReservation: boolean): Claim {
  const { job, site, capacityClass, members, guarantee } = plan;
  if (guarantee !== undefined) {
    for (const cell of plan.newCells) createBinding(guarantee, cell);
    state.isGuaranteeDirty = true;
  }
  const isGuaranteed = capacityClass === CapacityClass.Guaranteed;
  const bindings = isGuaranteed ? listBindings(members) : [];
  return { job, site, capacityClass, members, bindings, isReservation };
}

/**
 * Applies a plan: claims its slots for the job and stops the gangs that run in them. If none does,
 * the gang starts at once.
 */
export function applyPlan(
  state: CoreState,
  plan: Plan,
  actions: PlacementAction[],
  options: { isReservation?: boolean; reason?: StopReason } = {},
): void {
  dropConflictingClaims(state, plan);
  const claim = createClaim(state, plan, options.isReservation ?? false);
  const { job } = plan;
  for (const binding of claim.bindings) binding.users.add(claim);
  for (const { slots } of plan.members) for (const slot of slots) setSlotUse(slot, { claim });
  job.claim = claim;
  job.account.usedAccelerators += job.accelerators;
  state.claims.add(claim);
  state.queue.delete(job);
  const victims = listVictims(plan.members);
  if (victims.size === 0) {
    startClaim(state, claim, actions);
    return;
  }
  const graceMs = job.spec.urgent ? state.config.urgentReclaimMs : state.config.reclaimMs;
  const reason = options.reason ?? StopReason.Reclaim;
  for (const gang of victims) stopGang(state, gang, reason, graceMs, actions);
}

/** Whether the account exceeds its quota, which happens after the quota was lowered. */
function isOverQuota({ spec, usedAccelerators }: Account): boolean {
  return spec.quotaAccelerators > 0 && usedAccelerators > spec.quotaAccelerators;
}

/** Starts the gangs of claims whose slots are free; drops claims that lost a slot or exceed a quota. */
export function startReadyClaims(state: CoreState, actions: PlacementAction[]): void {
  for (const claim of [...state.claims]) {
    const isIntact = claim.members.every(
      ({ worker, slots }) => isUsable(worker) && slots.every((slot) => slot.claim === claim),
    );
    if (!isIntact || isOverQuota(claim.job.account)) dropClaim(state, claim);
    else if (claim.members.every(({ slots }) => slots.every(({ gang }) => gang === undefined))) {
      startClaim(state, claim, actions);
    }
  }
}

/** Frees the capacity of a gang whose end is confirmed. */
export function removeGang(state: CoreState, gang: Gang): void {
  for (const { slots } of gang.members) {
    for (const slot of slots) if (slot.gang === gang) setSlotUse(slot, { gang: undefined });
  }
  changeCpuOnlyUse(gang, -1);
  releaseBindings(state, gang);
  state.gangs.delete(gang);
  state.sites.get(gang.placement.dataCentre)?.gangs.delete(gang);
  gang.job.gang = undefined;
  gang.job.account.usedAccelerators -= gang.job.accelerators;
  state.isCapacityDirty = true;
}

/** Turns a guaranteed gang into lent work, which can be preempted, and releases its bindings. */
export function demoteGang(state: CoreState, gang: Gang): void {
  gang.capacityClass = CapacityClass.Lent;
  releaseBindings(state, gang);
}
