import type { Clock, Logger } from '@bergamotreach/protocol';
import { findWaitReason } from '@bergamotreach/scheduling';
import type { TaskGroup, Wait, WaitReason, WorkerView } from '@bergamotreach/scheduling';

/** Logs why accepted jobs wait, once for each change of the reason. */
export interface WaitLog {
  /**
   * Logs the groups that a plan left waiting; `workers` show the resources that are still free
   * after it.
   */
  reportWaits(waits: readonly Wait[], workers: readonly WorkerView[]): void;
}

/** Shorter waits are normal before an order is sent. */
const minWaitMs = 300;
/** The reason of a group is determined at most this often. */
const checkEveryMs = 1000;
/** Groups checked after one plan, which bounds the time that a plan takes. */
const maxChecks = 10;

interface Checked {
  atMs: number;
  reason: WaitReason;
}

/** Creates the wait log of one owner. */
export function createWaitLog(clock: Clock, logger: Logger): WaitLog {
  const checked = new WeakMap<TaskGroup, Checked>();

  /** A part of a group is created anew by each plan. */
  function getKey(group: TaskGroup): TaskGroup {
    return group.source ?? group;
  }

  function checkWait(wait: Wait, workers: readonly WorkerView[]): void {
    const { group, ageMs, ahead } = wait;
    const reason = findWaitReason(wait, workers);
    const known = checked.get(getKey(group));
    checked.set(getKey(group), { atMs: clock.getNowMs(), reason });
    if (known?.reason === reason) return;
    const { job, spec } = group;
    logger.info('job_waits', {
      job: job.id,
      step: group.step,
      reason,
      queue: job.queue,
      account: job.account,
      priority: job.rules.priority,
      tasks: spec.taskCount,
      accelerators: spec.taskCount * spec.demand.accelerators,
      ageMs: Math.round(ageMs),
      ahead,
    });
  }

  return {
    reportWaits(waits, workers) {
      const nowMs = clock.getNowMs();
      const due = waits.filter(({ group, ageMs }) => {
        const lastMs = checked.get(getKey(group))?.atMs ?? -Infinity;
        return ageMs >= minWaitMs && nowMs - lastMs >= checkEveryMs;
      });
      for (const wait of due.slice(0, maxChecks)) checkWait(wait, workers);
    },
  };
}
