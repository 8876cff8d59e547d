import { Reservation, TaskPhase, addResources } from '@bergamotreach/scheduling';
import type { PlacedTask, Resources, WorkerView } from '@bergamotreach/scheduling';
import type { OwnerContext } from './ownercontext.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** The workers that may take new work, as the planner sees them. */
export function buildViews(context: OwnerContext, nowMs: number): WorkerView[] {
  const byWorker = context.book.groupByWorker();
  return context.fleet
    .list()
    .filter((link) => isUsable(context, link))
    .map((link) => buildView(context, link, byWorker.get(link.id) ?? [], nowMs));
}

function isUsable(context: OwnerContext, link: WorkerLink): boolean {
  const entry = link.getEntry();
  // Without a report, runs that no job wants may take room there.
  if (!context.strayRoom.has(link.id)) return false;
  return link.getState() === LinkState.Live && link.isListed() && !entry.isDraining;
}

function buildView(
  context: OwnerContext,
  link: WorkerLink,
  placed: PlacedTask[],
  nowMs: number,
): WorkerView {
  const { trust, strayRoom, paused } = context;
  const { id, pool, rack, labels, capacity } = link.getEntry();
  const free = { ...capacity };
  const releasing: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  for (const { group, task } of placed) {
    addResources(free, group.spec.demand, -1);
    if (task.phase === TaskPhase.Stopping) addResources(releasing, group.spec.demand);
  }
  const stray = strayRoom.get(id);
  if (stray !== undefined) addResources(free, stray, -1);
  const isPaused = (paused.get(id) ?? 0) > nowMs;
  const maxStarts = isPaused ? 0 : trust.countStarts(id, placed.length, nowMs);
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
    reservation: Reservation.None,
  };
}
