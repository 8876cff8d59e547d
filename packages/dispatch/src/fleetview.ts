import { UrgentReserve, TaskPhase, addResources } from '@bergamotreach/scheduling';
import type { PlacedTask, Resources, WorkerView } from '@bergamotreach/scheduling';
import type { OwnerContext } from './ownercontext.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Builds the planner's view of the workers that may take new tasks. */
export function buildWorkerViews(context: OwnerContext, nowMs: number): WorkerView[] {
  const byWorker = context.activeJobs.groupByWorker();
  return context.fleet
    .list()
    .filter((link) => isUsable(context, link))
    .map((link) => buildWorkerView(context, link, byWorker.get(link.id) ?? [], nowMs));
}

function isUsable(context: OwnerContext, link: WorkerLink): boolean {
  const entry = link.getEntry();
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
  const { trust, orphanUsage, startBackoffs } = context;
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
  const maxStarts = isBackedOff ? 0 : trust.countStarts(id, placed.length, nowMs);
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
    isSuspect: trust.isSuspect(id, nowMs),
    urgentReserve: UrgentReserve.None,
  };
}
