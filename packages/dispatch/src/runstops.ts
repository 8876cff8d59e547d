import { runContained } from '@bergamotreach/protocol';
import type { Logger } from '@bergamotreach/protocol';
import { TaskPhase, isOccupying } from '@bergamotreach/scheduling';
import type { JobBook } from './jobbook.ts';
import type { OrderSender, RunName } from './orders.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Options of the stops of an owner. */
export interface RunStopsOptions {
  book: JobBook;
  orders: OrderSender;
  logger: Logger;
  isStopped: () => boolean;
}

/**
 * Stops runs that are not wanted. Whoever decides or sees that a run has to stop asks for it, as often
 * as it is decided or seen: one sender at a time repeats the stop of a run for as long as it is needed.
 */
export interface RunStops {
  /** Takes note of all runs that the latest report of a worker lists and no job wants. */
  noteStrays(link: WorkerLink, strays: readonly RunName[]): void;
  /** Sends a stop until the run is not to be stopped any more; false when that is being done already. */
  stopRun(link: WorkerLink, name: RunName): boolean;
}

/** Creates the stops of an owner. */
export function createRunStops({ book, orders, logger, isStopped }: RunStopsOptions): RunStops {
  /** Runs with a sender, by the link that it uses. */
  const sending = new WeakMap<WorkerLink, Set<string>>();
  const strays = new WeakMap<WorkerLink, ReadonlySet<string>>();

  function formatKey({ task, run }: RunName): string {
    return `${task}/${run}`;
  }

  function isNeeded(link: WorkerLink, name: RunName): boolean {
    // A lapsed worker runs nothing, and its next life has a link of its own.
    if (isStopped() || link.getState() === LinkState.Lapsed) return false;
    const task = book.findTask(name.task)?.task;
    const isCurrent = task?.run === name.run && task.workerId === link.id && isOccupying(task);
    if (isCurrent) return task.phase === TaskPhase.Stopping;
    return strays.get(link)?.has(formatKey(name)) === true;
  }

  return {
    noteStrays(link, runs) {
      strays.set(link, new Set(runs.map(formatKey)));
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
