import { isCrashSuspect } from './crashes.ts';
import { TaskPhase, isOccupying } from './group.ts';
import type { Task, TaskGroup } from './group.ts';
import { isAdmitted, isCompatible, listLocalSets, listWaitingTasks } from './packing.ts';
import { getRemainingMs } from './reservation.ts';
import { countFitting } from './resources.ts';
import type { WorkerView } from './worker.ts';

/**
 * Share of the workers of a pool that may be kept for suspects, or be down under them, while others need
 * them; as many empty ones stay free of suspects for work to come.
 */
const maxIsolatedShare = 0.125;
/** Workers that may be so in a small pool, up to half of it. */
const minIsolated = 2;

/**
 * Splits a group into a part without waiting suspects and an isolated part without other waiting tasks.
 * Tasks that pause after a crash are in neither. A gang is not split: all of it is isolated.
 */
export function splitSuspects(group: TaskGroup, nowMs: number): TaskGroup[] {
  const waiting = listWaitingTasks(group);
  const suspects = waiting.filter((task) => isCrashSuspect(task, nowMs));
  if (suspects.length === 0) return [group];
  const isPaused = ({ retryAtMs }: Task): boolean => retryAtMs > nowMs;
  if (group.spec.isGang) {
    return waiting.some(isPaused) ? [] : [{ ...group, source: group, isIsolated: true }];
  }
  const selectPart = (members: ReadonlySet<Task>): Task[] =>
    group.tasks.filter((task) => task.phase !== TaskPhase.Waiting || members.has(task));
  const others = new Set(waiting.filter((task) => !suspects.includes(task)));
  const ready = new Set(suspects.filter((task) => !isPaused(task)));
  return [
    ...(others.size > 0 ? [{ ...group, source: group, tasks: selectPart(others) }] : []),
    ...(ready.size > 0
      ? [{ ...group, source: group, isIsolated: true, tasks: selectPart(ready) }]
      : []),
  ];
}

/** Keeps the workers on which suspects run for the jobs of these. */
export function markIsolated(workers: readonly WorkerView[], nowMs: number): void {
  for (const worker of workers) {
    const suspect = worker.placed.find(
      ({ task }) => isOccupying(task) && isCrashSuspect(task, nowMs),
    );
    worker.isolatedFor = suspect?.group.job.id;
  }
}

/** Time until everything on a worker has ended by its declared run time, in milliseconds. */
function getEmptyInMs(worker: WorkerView, nowMs: number): number {
  if (worker.hasOrphans) return Infinity;
  return Math.max(0, ...worker.placed.map((placed) => getRemainingMs(placed, nowMs)));
}

/**
 * Workers of a set that hold a gang, or one task, once they are empty; those first that are empty soonest.
 * `undefined` if the set does not suffice.
 */
function chooseWorkers(
  group: TaskGroup,
  set: readonly WorkerView[],
  nowMs: number,
): WorkerView[] | undefined {
  const needed = group.spec.isGang ? listWaitingTasks(group).length : 1;
  const crashedMachines = new Set(group.tasks.map(({ crashRecord }) => crashRecord?.machine));
  const chosen: WorkerView[] = [];
  let slots = 0;
  const order = set
    .filter((worker) => isCompatible(group, worker) && isAdmitted(group, worker))
    .map((worker) => ({
      worker,
      emptyInMs: getEmptyInMs(worker, nowMs),
      // A faulty machine is back soon after each crash, and is empty then.
      hasCrashed: crashedMachines.has(worker.machine),
    }))
    .filter(({ worker, emptyInMs }) => worker.maxStarts > 0 && emptyInMs < Infinity)
    .sort((a, b) => Number(a.hasCrashed) - Number(b.hasCrashed) || a.emptyInMs - b.emptyInMs);
  for (const { worker } of order) {
    if (slots >= needed) break;
    const { maxPerWorker, demand } = group.spec;
    const fitting = countFitting(demand, worker.capacity);
    const count = maxPerWorker > 0 ? Math.min(fitting, maxPerWorker) : fitting;
    if (count === 0) continue;
    slots += count;
    chosen.push(worker);
  }
  return slots >= needed ? chosen : undefined;
}

/** Workers for an isolated group: those that it has, else the local set that is empty soonest. */
function chooseClaim(group: TaskGroup, pool: readonly WorkerView[], nowMs: number): WorkerView[] {
  const jobId = group.job.id;
  const own = pool.filter(({ isolatedFor }) => isolatedFor === jobId);
  const usable = pool.filter(
    ({ isolatedFor }) => isolatedFor === undefined || isolatedFor === jobId,
  );
  const present = chooseWorkers(group, own, nowMs);
  if (present !== undefined) return present;
  const getLatestMs = (set: readonly WorkerView[]): number =>
    Math.max(...set.map((worker) => getEmptyInMs(worker, nowMs)));
  const choices = [...listLocalSets(group, usable), usable]
    .map((set) => chooseWorkers(group, set, nowMs))
    .filter((set) => set !== undefined);
  return choices.sort((a, b) => getLatestMs(a) - getLatestMs(b))[0] ?? [];
}

function getIsolationLimit(poolSize: number): number {
  const least = Math.max(1, Math.min(minIsolated, Math.floor(poolSize / 2)));
  return Math.max(least, Math.ceil(poolSize * maxIsolatedShare));
}

function countSoleCrashes(group: TaskGroup): number {
  return Math.max(
    ...listWaitingTasks(group).map(({ crashRecord }) => crashRecord?.soleCrashes ?? 0),
  );
}

/** Number of workers that the waiting tasks of a group fill; 0 for a gang that the pool cannot hold. */
function countWorkersNeeded(group: TaskGroup, pool: readonly WorkerView[]): number {
  const worker = pool.find((one) => isCompatible(group, one));
  if (worker === undefined) return 0;
  const fitting = countFitting(group.spec.demand, worker.capacity);
  const needed = fitting === 0 ? 0 : listWaitingTasks(group).length / fitting;
  return group.spec.isGang && needed > pool.length ? 0 : needed;
}

/** Whether a worker is kept for a suspect that has crashed a worker alone. */
function hasEvidence({ isolatedFor, placed }: WorkerView): boolean {
  return (
    isolatedFor !== undefined &&
    placed.some(({ task }) => isOccupying(task) && (task.crashRecord?.soleCrashes ?? 0) > 0)
  );
}

function isSpare({ isolatedFor, placed, hasOrphans }: WorkerView): boolean {
  return isolatedFor === undefined && placed.length === 0 && !hasOrphans;
}

/** Number of empty workers that neither the other groups nor work to come needs. */
function countSpare(groups: readonly TaskGroup[], pool: readonly WorkerView[]): number {
  const needed = groups
    .filter(({ isIsolated }) => isIsolated !== true)
    .reduce((sum, group) => sum + countWorkersNeeded(group, pool), 0);
  const kept = Math.ceil(pool.length * maxIsolatedShare);
  return pool.filter(isSpare).length - Math.ceil(needed) - kept;
}

/**
 * Keeps workers for isolated groups, in their order: those that are empty soonest. Nothing else starts
 * there, so that a suspect finds a worker of its own on a busy fleet too. The bound on their number keeps
 * a queue whose tasks crash their workers from taking the workers of the others; `downByPool` are the
 * workers that are down with suspects on them. Beyond the bound, a suspect may have an empty worker that
 * nothing else needs. Suspects with evidence are bounded there too, by their own number: the others most
 * likely only ran beside a task that crashed their worker.
 */
export function claimWorkers(
  groups: readonly TaskGroup[],
  workers: readonly WorkerView[],
  downByPool: ReadonlyMap<string, number>,
  nowMs: number,
): void {
  const suspects = groups.filter((group) => group.isIsolated === true);
  // The least suspected first: most of them only ran beside a task that crashes its workers.
  suspects.sort((a, b) => countSoleCrashes(a) - countSoleCrashes(b));
  const evident = new Set(workers.filter(hasEvidence));
  for (const group of suspects) {
    const pool = workers.filter((worker) => worker.pool === group.job.pool);
    const down = downByPool.get(group.job.pool) ?? 0;
    const isolated = down + pool.filter((worker) => worker.isolatedFor !== undefined).length;
    const limit = getIsolationLimit(pool.length + down);
    const claim = chooseClaim(group, pool, nowMs);
    const added = claim.filter((worker) => worker.isolatedFor === undefined);
    // A gang may need more workers than the limit; it then has to be the only one.
    const isWithinLimit = isolated === 0 || isolated + added.length <= limit;
    const isEvident = countSoleCrashes(group) > 0;
    const evidentCount = down + pool.filter((worker) => evident.has(worker)).length;
    const canTakeSpare = (): boolean =>
      (!isEvident || evidentCount + added.length <= limit) &&
      added.every(isSpare) &&
      added.length <= countSpare(groups, pool);
    if (!isWithinLimit && !canTakeSpare()) continue;
    for (const worker of added) {
      worker.isolatedFor = group.job.id;
      if (isEvident) evident.add(worker);
    }
  }
}
