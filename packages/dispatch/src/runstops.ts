import { runContained } from '@bergamotreach/protocol';
import type { Logger } from '@bergamotreach/protocol';
import { TaskPhase, isOccupying } from '@bergamotreach/scheduling';
import type { ActiveJobs } from './activejobs.ts';
import type { OrderSender, RunName } from './orders.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Options of the run stops of an owner. */
export interface RunStopsOptions {
  activeJobs: ActiveJobs;
  orders: OrderSender;
  logger: Logger;
  isStopped: () => boolean;
}

/**
 * Stops runs that are no longer wanted. Stops may be requested repeatedly: a single sender per run
 * repeats the order for as long as it is needed.
 */
export interface RunStops {
  /** Sets the orphaned runs of a worker: those that its latest report lists and no job wants. */
  setOrphans(link: WorkerLink, orphans: readonly RunName[]): void;
  /**
   * Sends stop orders until the run needs no stop any more; false if that is already being done.
   */
  stopRun(link: WorkerLink, name: RunName): boolean;
}

/** Creates the run stops of an owner. */
export function createRunStops({
  activeJobs,
  orders,
  logger,
  isStopped,
}: RunStopsOptions): RunStops {
  /** Runs with an active sender, by link. */
  const sending = new WeakMap<WorkerLink, Set<string>>();
  const orphans = new WeakMap<WorkerLink, ReadonlySet<string>>();

  function formatKey({ task, run }: RunName): string {
    return `${task}/${run}`;
  }

  function isNeeded(link: WorkerLink, name: RunName): boolean {
    // A lapsed worker runs nothing, and its next incarnation has its own link.
    if (isStopped() || link.getState() === LinkState.Lapsed) return false;
    const task = activeJobs.findTask(name.task)?.task;
    const isCurrent = task?.run === name.run && task.workerId === link.id && isOccupying(task);
    if (isCurrent) return task.phase === TaskPhase.Stopping;
    return orphans.get(link)?.has(formatKey(name)) === true;
  }

  return {
    setOrphans(link, runs) {
      orphans.set(link, new Set(runs.map(formatKey)));
    },
    stopRun(link, name) {
      const key = formatKey(name);
      const keys = sending.get(link) ?? new Set();
      if (keys.has(key)) return false;
      sending.set(link, keys.add(key));
      void runContained(logger, `stop of ${key}`, async () => {
        await orders.stop(link, name, () => isNeeded(link, name));
      }).then(() => keys.delete(key));
      return true;
    },
  };
}
