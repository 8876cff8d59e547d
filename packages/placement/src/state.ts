import type { PlacementAction } from './action.ts';
import type { CellForest, CellNode } from './cell.ts';
import type { CapacityClass, GangPlacement } from './event.ts';
import type { PlacementPolicy } from './policy.ts';
import type { AccountSpec, GuaranteeSpec, JobSpec, PlacementConfig, WorkerSpec } from './spec.ts';

/** One accelerator of a worker. */
export interface Slot {
  worker: Worker;
  index: number;
  /** Gang that occupies the accelerator until its end is confirmed. */
  gang: Gang | undefined;
  /** Claim that holds the accelerator for a waiting gang. */
  claim: Claim | undefined;
  /** Binding of the cell that contains the accelerator. */
  binding: Binding | undefined;
}

/** A worker and what runs on it. */
export interface Worker {
  spec: WorkerSpec;
  site: Site;
  slots: Slot[];
  /** Number of slots with neither gang nor claim. */
  freeSlots: number;
  isLost: boolean;
  isQuarantined: boolean;
  quarantineUntilMs: number;
  /** Consecutive quarantines without a success; each doubles the next one. */
  quarantineCount: number;
  /** Ids of jobs that failed on the worker since its last success or quarantine. */
  failedJobs: Set<string>;
  /** Cores and memory in use by tasks without accelerators. */
  cpuOnlyCores: number;
  cpuOnlyMemoryMb: number;
}

/** A data centre. */
export interface Site {
  id: string;
  /** Workers by position in cell order, including lost ones. */
  workers: Worker[];
  forest: CellForest<Worker>;
  /** Gangs that use accelerators of the site. */
  gangs: Set<Gang>;
  freeSlots: number;
  /** Whether no gang may start here. */
  isEvacuated: boolean;
  /** Incremented whenever the free slots or the usable workers change. */
  version: number;
  /** Cache of the level of the largest free cell that contains each free slot. */
  freeCellLevels: { version: number; levels: ReadonlyMap<Slot, number> } | undefined;
}

/** A cell bound to a guarantee of an account. */
export interface Binding {
  guarantee: Guarantee;
  slots: Slot[];
  /** Guaranteed gangs and claims in the cell; the binding is removed with the last one. */
  users: Set<Gang | Claim>;
}

/** A guaranteed shape of an account. */
export interface Guarantee {
  account: Account;
  spec: GuaranteeSpec;
  site: Site;
  bindings: Set<Binding>;
}

/** A client account. */
export interface Account {
  spec: AccountSpec;
  guarantees: Guarantee[];
  /** Accelerators in use, including those of gangs being stopped and of claims. */
  usedAccelerators: number;
}

/** A job that has not ended. */
export interface Job {
  spec: JobSpec;
  account: Account;
  /** Accelerators of all members. */
  accelerators: number;
  acceptedAtMs: number;
  /** Start of the current wait. */
  queuedAtMs: number;
  /** Earliest time of the next start; set by the backoff after failed starts. */
  notBeforeMs: number;
  attempts: number;
  failedStarts: number;
  memberFailures: number;
  /** Accelerator-seconds attained by `attainedAtMs`. */
  attainedSeconds: number;
  attainedAtMs: number;
  failedWorkers: Set<string>;
  isCancelled: boolean;
  gang: Gang | undefined;
  claim: Claim | undefined;
  /** Resource shape of the job; see `getShapeKey`. */
  shapeKey: string;
  /** Account and resource shape of the job. */
  accountShapeKey: string;
  /** Priority level as of the last ordering of the queue. */
  priorityLevel: number;
  /** Order of arrival; breaks ties. */
  sequence: number;
}

/** Worker and slots of one gang member. */
export interface MemberSlots {
  worker: Worker;
  slots: Slot[];
}

/** A gang that occupies capacity, from its start until its end is confirmed. */
export interface Gang {
  job: Job;
  placement: GangPlacement;
  capacityClass: CapacityClass;
  members: MemberSlots[];
  bindings: Binding[];
  startedAtMs: number;
  /** Attained accelerator-seconds when the gang started. */
  attainedSecondsAtStart: number;
  /** Levels that the job had gained by waiting when the gang started. */
  ageCredit: number;
  /** Whether the gang was started from a reservation; wider gangs do not preempt it. */
  isReserved: boolean;
  isRunning: boolean;
  /** When the grace period ends; `undefined` unless a stop was decided. */
  stopAtMs: number | undefined;
}

/** Slots held for a gang while the work in them is being stopped. */
export interface Claim {
  job: Job;
  site: Site;
  capacityClass: CapacityClass;
  members: MemberSlots[];
  bindings: Binding[];
  /** Whether the claim is a reservation for a gang that waited `reservationAfterMs`. */
  isReservation: boolean;
}

/** Number of missing shapes of a guarantee. */
export interface GuaranteeReport {
  account: string;
  dataCentre: string;
  accelerators: number;
  missing: number;
}

/** Preemption is not tried for jobs of a shape at `priorityLevel` or above until `untilMs`. */
export interface PreemptionBackoff {
  priorityLevel: number;
  untilMs: number;
}

/** Complete state of the placement core. */
export interface CoreState {
  config: PlacementConfig;
  policy: PlacementPolicy;
  /** Replaces parts of the policy that follows from the weights. */
  policyOverrides: Partial<PlacementPolicy>;
  nowMs: number;
  sites: Map<string, Site>;
  workers: Map<string, Worker>;
  accounts: Map<string, Account>;
  jobs: Map<string, Job>;
  /** Jobs with neither gang nor claim. */
  queue: Set<Job>;
  gangs: Set<Gang>;
  claims: Set<Claim>;
  /** Actions caused by events, returned by the next decision. */
  pendingActions: PlacementAction[];
  /** Shapes, with and without account, that were found not to fit since capacity last grew. */
  blockedShapes: Set<string>;
  /** Backoffs by shape for which no preemption was found. */
  preemptionBackoffs: Map<string, PreemptionBackoff>;
  /** Last job tried for a reservation if the pass reached its limit; the next pass continues after it. */
  lastReservationJob: Job | undefined;
  /** Whether hardware, configuration or guaranteed use changed since the guarantees were last checked. */
  isGuaranteeDirty: boolean;
  /** Whether capacity grew or a limit changed since the last pass over the queue. */
  isCapacityDirty: boolean;
  /** Jobs that arrived since the last pass over the queue. */
  arrivals: Set<Job>;
  /** Broken guarantees as last reported, by account, data centre and accelerators. */
  reportedGuarantees: Map<string, GuaranteeReport>;
  /** Next time at which a decision may change without new events. */
  nextWakeMs: number | undefined;
  nextSequence: number;
}

/** Whether the worker can take new work. */
export function isUsable(worker: Worker): boolean {
  return !worker.isLost && !worker.isQuarantined && !worker.site.isEvacuated;
}

/** Sets or clears the gang or claim of a slot and updates the free counts. */
export function setSlotUse(
  slot: Slot,
  use: { gang?: Gang | undefined; claim?: Claim | undefined },
) {
  const wasFree = slot.gang === undefined && slot.claim === undefined;
  if ('gang' in use) slot.gang = use.gang;
  if ('claim' in use) slot.claim = use.claim;
  const isFree = slot.gang === undefined && slot.claim === undefined;
  const change = Number(isFree) - Number(wasFree);
  if (change === 0) return;
  slot.worker.site.version += 1;
  slot.worker.freeSlots += change;
  slot.worker.site.freeSlots += change;
}

/** Slots of a cell. */
export function listCellSlots(site: Site, node: CellNode): Slot[] {
  const slots: Slot[] = [];
  const end = node.firstLeaf + 2 ** node.level;
  for (let index = node.firstLeaf; index < end; index += 1) {
    const leaf = site.forest.leaves[index];
    const slot = leaf?.worker.slots[leaf.index];
    if (slot !== undefined) slots.push(slot);
  }
  return slots;
}

/** Accelerator-seconds attained at `nowMs`: the last observation plus the run time since. */
export function getAttainedSeconds(job: Job, nowMs: number): number {
  if (job.gang?.isRunning !== true) return job.attainedSeconds;
  const width = job.accelerators > 0 ? job.accelerators : job.spec.members;
  return job.attainedSeconds + (Math.max(0, nowMs - job.attainedAtMs) / 1000) * width;
}

/**
 * Estimated accelerator-seconds lost by stopping a gang: those of the current attempt plus a fixed
 * restart cost per accelerator. Without the restart cost, wide gangs that have just started would be
 * preempted for narrow ones. A gang that is already being stopped costs nothing.
 */
export function computeStopCost(state: CoreState, gang: Gang): number {
  if (gang.stopAtMs !== undefined) return 0;
  const attained = getAttainedSeconds(gang.job, state.nowMs) - gang.attainedSecondsAtStart;
  return attained + state.policy.restartCostSeconds * gang.job.accelerators;
}
