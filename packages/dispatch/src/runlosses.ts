import type { PlacedTask } from '@bergamotreach/scheduling';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import type { LapseCause, WorkerLink } from './workerlink.ts';

/** Accounts for runs that were lost because nothing runs on their worker any more. */
export interface RunLosses {
  /** Records the loss of a worker and of the runs that occupied it. */
  recordLapse(link: WorkerLink, cause: LapseCause, lost: readonly PlacedTask[]): void;
  /** Records the loss of the runs of a worker that has not been listed for a whole lease. */
  recordUnlisted(workerId: string, lost: readonly PlacedTask[]): void;
}

const unlistedReason = 'unlisted';

/** Creates the part of an owner that accounts for lost runs. */
export function createRunLosses(context: OwnerContext): RunLosses {
  const { clock, logger, metrics } = context.options;

  function reportLapse(
    worker: string,
    reason: string,
    silentSinceMs: number,
    lost: readonly PlacedTask[],
  ): void {
    const jobs = new Set(lost.map(({ group }) => group.job.id)).size;
    const entry = context.fleet.find(worker)?.getEntry();
    logger.info('worker_lapsed', {
      worker,
      reason,
      runs: lost.length,
      jobs,
      silentMs: Math.round(clock.getNowMs() - silentSinceMs),
      rack: entry?.rack,
      address: entry?.address,
    });
    metrics.count('runs.lost', lost.length, { reason });
    for (const { group, task } of lost) {
      logger.info('run_lost', {
        task: getTaskName(group, task),
        run: task.run,
        worker,
        phase: task.phase,
        ranMs: task.startedAtMs > 0 ? Math.round(silentSinceMs - task.startedAtMs) : undefined,
        jobs,
      });
    }
  }

  return {
    recordLapse(link, cause, lost) {
      reportLapse(link.id, cause, link.getSilentSinceMs() ?? clock.getNowMs(), lost);
    },
    recordUnlisted(workerId, lost) {
      reportLapse(workerId, unlistedReason, clock.getNowMs(), lost);
    },
  };
}
