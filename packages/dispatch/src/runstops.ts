import { runContained } from '@bergamotreach/protocol';
import type { Logger } from '@bergamotreach/protocol';
import { TaskPhase } from '@bergamotreach/scheduling';
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
  /** Sends a stop until the run is not to be stopped any more; false when that is being done already. */
  stopRun(link: WorkerLink, name: RunName): boolean;
}

/** Creates the stops of an owner. */
export function createRunStops({ book, orders, logger, isStopped }: RunStopsOptions): RunStops {
  /** Runs with a sender, by the link that it uses. */
  const sending = new WeakMap<WorkerLink, Set<string>>();

  function isNeeded(link: WorkerLink, { task: name, run }: RunName): boolean {
    // A lapsed worker runs nothing, and its next life has a link of its own.
    if (isStopped() || link.getState() === LinkState.Lapsed) return false;
    const task = book.findTask(name)?.task;
    return task?.run === run && task.phase === TaskPhase.Stopping;
  }

  return {
    stopRun(link, name) {
      const key = `${name.task}/${name.run}`;
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
