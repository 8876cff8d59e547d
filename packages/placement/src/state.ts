import type { PlacementAction } from './action.ts';
import type { CellForest, CellNode } from './cell.ts';
import type { CapacityClass, GangPlacement } from './event.ts';
import type { PlacementPolicy } from './policy.ts';
import type { AccountSpec, GuaranteeSpec, JobSpec, PlacementConfig, WorkerSpec } from './spec.ts';

/** One accelerator of a worker. */
export interface Slot {
  worker: Worker;
  index: number;
  /** Gang that uses the accelerator, until its end is confirmed. */
  gang: Gang | undefined;
  /** Claim for which the accelerator is being cleared. */
  claim: Claim | undefined;
  /** Cell of a guarantee that the accelerator belongs to. */
  binding: Binding | undefined;
}

/** A worker and what runs on it. */
export interface Worker {
  spec: WorkerSpec;
  site: Site;
  slots: Slot[];
  /** Slots with neither gang nor claim. */
  freeSlots: number;
  isLost: boolean;
  isQuarantined: boolean;
  quarantineUntilMs: number;
  /** Number of quarantines so far; doubles the next one. */
  quarantines: number;
  /** Jobs that failed here since the last success. */
  failedJobs: Set<string>;
  /** Cores and memory in use by tasks without accelerators. */
  plainCores: number;
  plainMemoryMb: number;
}

/** A data centre. */
export interface Site {
  id: string;
  /** All positions, also those of lost workers, in cell order. */
  workers: Worker[];
  forest: CellForest<Worker>;
  /** Gangs that use accelerators of the site. */
  gangs: Set<Gang>;
  freeSlots: number;
  /** Grows whenever the free slots change. */
  version: number;
  /** Largest whole free cell around each free slot, as of a version. */
  freeLevels: { version: number; levels: ReadonlyMap<Slot, number> } | undefined;
}

/** A cell bound to a guarantee of an account. */
export interface Binding {
  guarantee: Guarantee;
  slots: Slot[];
  /** Guaranteed gangs and claims in the cell; the binding ends with the last one. */
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
  /** Start of the present wait. */
  queuedAtMs: number;
  /** Not started before this time, after failed starts. */
  notBeforeMs: number;
  attempts: number;
  failedStarts: number;
  memberFailures: number;
  /** Accelerator-seconds attained, as last observed. */
  attainedSeconds: number;
  attainedAtMs: number;
  failedWorkers: Set<string>;
  isCancelled: boolean;
  gang: Gang | undefined;
  claim: Claim | undefined;
  /** Identifies jobs that need the same cells; see `getShapeKey`. */
  shapeKey: string;
  /** The same with the account. */
  accountShapeKey: string;
  /** Priority level as of the last ordering of the queue. */
  level: number;
  /** Order of arrival; breaks ties. */
  sequence: number;
}

/** Where one member goes. */
export interface MemberSlots {
  worker: Worker;
  slots: Slot[];
}

/** A gang that holds capacity, from its start until its end is confirmed. */
export interface Gang {
  job: Job;
  placement: GangPlacement;
  capacityClass: CapacityClass;
  members: MemberSlots[];
  bindings: Binding[];
  startedAtMs: number;
  /** Attained accelerator-seconds when the gang started. */
  attainedAtStart: number;
  /** Levels that the job had gained by waiting when the gang started. */
  ageCredit: number;
  /** Whether the gang got its cells because it had waited long; wider ones do not stop it. */
  isReserved: boolean;
  isRunning: boolean;
  /** When the members are stopped, once a stop was decided. */
  stopAtMs: number | undefined;
}

/** Cells kept for a gang that waits until the work in them has been stopped. */
export interface Claim {
  job: Job;
  site: Site;
  capacityClass: CapacityClass;
  members: MemberSlots[];
  bindings: Binding[];
  /** Whether the gang gets the cells because it waited long. */
  isReservation: boolean;
}

/** Shapes of an account that cannot be made good. */
export interface GuaranteeReport {
  account: string;
  dataCentre: string;
  accelerators: number;
  missing: number;
}

/** Jobs of a shape at `level` or above are taken not to start by stopping work until `untilMs`. */
export interface UnstoppableShape {
  level: number;
  untilMs: number;
}

/** Whole state of the core. */
export interface CoreState {
  config: PlacementConfig;
  policy: PlacementPolicy;
  nowMs: number;
  sites: Map<string, Site>;
  workers: Map<string, Worker>;
  accounts: Map<string, Account>;
  jobs: Map<string, Job>;
  /** Jobs with neither gang nor claim. */
  queue: Set<Job>;
  gangs: Set<Gang>;
  claims: Set<Claim>;
  /** Actions that follow from events, for the next decision. */
  pending: PlacementAction[];
  /** Shapes found not to fit since capacity last grew. */
  blockedShapes: Set<string>;
  /** Shapes for which no set of gangs can be stopped; see `UnstoppableShape`. */
  unstoppable: Map<string, UnstoppableShape>;
  /** Job at which the last pass left off with reservations; the next one goes on after it. */
  lastReserved: Job | undefined;
  /** Whether hardware, configuration or guaranteed use changed since guarantees were checked. */
  isGuaranteeDirty: boolean;
  /** Whether capacity grew or a limit moved since the last pass over the queue. */
  isCapacityDirty: boolean;
  /** Jobs that arrived since the last pass over the queue. */
  arrivals: Set<Job>;
  /** Broken guarantees as last reported, by account, data centre and accelerators. */
  reported: Map<string, GuaranteeReport>;
  /** Next time at which a decision may change without new events. */
  nextWakeMs: number | undefined;
  nextSequence: number;
}

/** Whether the worker can take new work. */
export function isUsable(worker: Worker): boolean {
  return !worker.isLost && !worker.isQuarantined;
}

/** Sets or clears the gang or claim of a slot and keeps the free counts. */
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

/** Accelerator-seconds attained by now: the last observation plus the time run since. */
export function getAttainedSeconds(job: Job, nowMs: number): number {
  if (job.gang?.isRunning !== true) return job.attainedSeconds;
  const width = job.accelerators > 0 ? job.accelerators : job.spec.members;
  return job.attainedSeconds + (Math.max(0, nowMs - job.attainedAtMs) / 1000) * width;
}

/**
 * Accelerator-seconds that a stop is taken to lose: those of the present attempt, and a fixed time
 * per accelerator for the restart, without which wide gangs that just started would be stopped for
 * narrow ones. A gang that is being stopped loses nothing more.
 */
export function computeStopCost(state: CoreState, gang: Gang): number {
  if (gang.stopAtMs !== undefined) return 0;
  const attained = getAttainedSeconds(gang.job, state.nowMs) - gang.attainedAtStart;
  return attained + state.policy.restartCostSeconds * gang.job.accelerators;
}
