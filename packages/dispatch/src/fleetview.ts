import {
  UrgentReserve,
  TaskPhase,
  addResources,
  canStartIn,
  getCoreEquivalent,
  isCrashSuspect,
  isFitting,
  noResources,
} from '@bergamotreach/scheduling';
import type { Evacuations, PlacedTask, Resources, WorkerView } from '@bergamotreach/scheduling';
import type { OwnerContext } from './ownercontext.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Builds the planner's view of the workers that may take new tasks. */
export function buildWorkerViews(context: OwnerContext, nowMs: number): WorkerView[] {
  const byWorker = context.activeJobs.groupByWorker();
  const evacuations = context.options.operatorRows.getEvacuations();
  return context.fleet
    .list()
    .filter((link) => isUsable(context, link, evacuations))
    .map((link) => buildWorkerView(context, link, byWorker.get(link.id) ?? [], nowMs));
}

/**
 * Whether the tasks on a worker, planned ones included, exceed its capacity, which may shrink between the
 * plan and the start.
 */
export function isOverCapacity(context: OwnerContext, link: WorkerLink): boolean {
  const free = { ...link.getEntry().capacity };
  for (const { group } of context.activeJobs.listOnWorker(link.id)) {
    addResources(free, group.spec.demand, -1);
  }
  const orphans = context.orphanUsage.get(link.id);
  if (orphans !== undefined) addResources(free, orphans, -1);
  return !isFitting(noResources, free);
}

/** Counts, by pool, the silent workers with runs that may have crashed them. */
export function countSuspectsDown(context: OwnerContext, nowMs: number): Map<string, number> {
  const counts = new Map<string, number>();
  const silent = context.fleet.list().filter((link) => link.getState() !== LinkState.Live);
  if (silent.length === 0) return counts;
  const byWorker = context.activeJobs.groupByWorker();
  for (const link of silent) {
    const placed = byWorker.get(link.id) ?? [];
    if (!placed.some(({ task }) => isCrashSuspect(task, nowMs))) continue;
    const { pool } = link.getEntry();
    counts.set(pool, (counts.get(pool) ?? 0) + 1);
  }
  return counts;
}

function isUsable(context: OwnerContext, link: WorkerLink, evacuations: Evacuations): boolean {
  const entry = link.getEntry();
  if (!canStartIn(entry.dataCentre, evacuations)) return false;
  // Before the first report, unknown runs may occupy resources there.
  if (!context.orphanUsage.has(link.id)) return false;
  return link.getState() === LinkState.Live && link.isListed() && !entry.isDraining;
}

function buildWorkerView(
  context: OwnerContext,
  link: WorkerLink,
  placed: PlacedTask[],
  nowMs: number,
): WorkerView {
  const { workerHealth, workerSpeeds, orphanUsage, startBackoffs } = context;
  const { placesBySpeed } = context.options.policy;
  const { id, address, pool, rack, labels, capacity } = link.getEntry();
  const free = { ...capacity };
  const releasing: Resources = { ...noResources };
  for (const { group, task } of placed) {
    addResources(free, group.spec.demand, -1);
    if (task.phase === TaskPhase.Stopping) addResources(releasing, group.spec.demand);
  }
  const usedByOrphans = orphanUsage.get(id);
  if (usedByOrphans !== undefined) addResources(free, usedByOrphans, -1);
  const isBackedOff = (startBackoffs.get(id) ?? 0) > nowMs;
  const maxStarts = isBackedOff ? 0 : workerHealth.countStarts(id, placed.length, nowMs);
  return {
    id,
    machine: address,
    pool,
    rack,
    labels: new Set(labels),
    capacity,
    free,
    releasing,
    placed,
    maxStarts,
    speedClass: placesBySpeed ? workerSpeeds.getClass(address, nowMs) : 0,
    isSuspect: workerHealth.isSuspect(id, nowMs),
    urgentReserve: UrgentReserve.None,
    hasOrphans: usedByOrphans !== undefined && getCoreEquivalent(usedByOrphans) > 0,
  };
}
