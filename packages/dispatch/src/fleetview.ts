import { UrgentReserve, TaskPhase, addResources, canStartIn } from '@bergamotreach/scheduling';
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
  const { workerHealth, orphanUsage, startBackoffs } = context;
  const { id, pool, rack, labels, capacity } = link.getEntry();
  const free = { ...capacity };
  const releasing: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
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
    pool,
    rack,
    labels: new Set(labels),
    capacity,
    free,
    releasing,
    placed,
    maxStarts,
    isSuspect: workerHealth.isSuspect(id, nowMs),
    urgentReserve: UrgentReserve.None,
  };
}
