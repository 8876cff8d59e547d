import { JobState, TaskPhase, isFinal } from '@bergamotreach/scheduling';
import type { PlacedTask, Task } from '@bergamotreach/scheduling';
import type { JobLifecycle } from './joblifecycle.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { createObservedRun, maxOrderDelayMs } from './observedrun.ts';
import type { WorkerReport } from './taskrunner.ts';
import { LapseCause } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/**
 * Runs that may run, or may still begin, in the next incarnation of their worker: a start attempt
 * got no answer, or it is unknown which incarnation accepted it. Each is held until the first
 * report of the next incarnation. The call for that report delivers the owner's higher fencing
 * token, after which the worker rejects all earlier attempts.
 */
export interface HeldRuns {
  canRunInNextIncarnation(task: Task, cause: LapseCause): boolean;
  holdRun(placed: PlacedTask): void;
  /** Whether a task waits for the next incarnation of its worker. */
  isHeld(task: Task): boolean;
  /** Resumes or drops the runs that were held for the worker that sent the report. */
  handleReport(link: WorkerLink, report: WorkerReport): void;
  /** Drops the runs whose worker has not come back in time. */
  releaseExpired(): void;
}

interface HeldRun extends PlacedTask {
  run: number;
  workerId: string;
  /** Monotonic time after which no start attempt can take effect any more. */
  expiresAtMs: number;
}

/** Creates the part of an owner that holds runs that may continue on a restarted worker. */
export function createHeldRuns(context: OwnerContext, lifecycle: JobLifecycle): HeldRuns {
  const { observedRuns, options } = context;
  const { clock, logger } = options;
  const heldRuns = new Map<Task, HeldRun>();
  /** Start attempts of the previous owner may arrive for some time after the takeover. */
  const createdMs = clock.getNowMs();

  function isHeld(task: Task): boolean {
    return heldRuns.get(task)?.run === task.run && task.phase === TaskPhase.Stopping;
  }

  /** Resumes a run that a delayed attempt began before the report delivered the new token. */
  function resumeRun({ group, task }: PlacedTask, clockMs: number): void {
    context.losses.cancelLoss(task);
    task.phase = TaskPhase.Running;
    task.startedAtMs = clock.getNowMs();
    lifecycle.recordRunning(task, clockMs);
    const isWanted = !isFinal(lifecycle.findJob(group)?.state ?? JobState.Cancelled);
    if (!isWanted) lifecycle.stopTask({ group, task }, 'job ended');
  }

  return {
    isHeld,
    canRunInNextIncarnation(task, cause) {
      const observed = observedRuns.get(task);
      // Only reports identify the incarnation, so the new one may have accepted the start.
      const isOwnerNew = clock.getNowMs() - createdMs < maxOrderDelayMs;
      if (cause === LapseCause.Restarted && (observed?.isListed !== true || isOwnerNew))
        return true;
      const isInFlight =
        task.phase === TaskPhase.Starting && observed?.confirmedClockMs === Infinity;
      const unansweredUntilMs = context.unansweredStarts.get(task)?.get(task.workerId) ?? -Infinity;
      return isInFlight || unansweredUntilMs > clock.getNowMs();
    },
    holdRun({ group, task }) {
      task.phase = TaskPhase.Stopping;
      const { run, workerId } = task;
      heldRuns.set(task, {
        group,
        task,
        run,
        workerId,
        expiresAtMs: clock.getNowMs() + maxOrderDelayMs,
      });
      observedRuns.set(task, createObservedRun(run));
      logger.info('run_held', { task: getTaskName(group, task), run, worker: workerId });
    },
    handleReport(link, report) {
      for (const [task, heldRun] of heldRuns) {
        if (heldRun.workerId !== link.id) continue;
        const isWaiting = isHeld(task);
        const name = getTaskName(heldRun.group, task);
        const isListed = report.runs.some((run) => run.task === name && run.run === task.run);
        // Its end may follow those that the report lists.
        if (isWaiting && !isListed && report.ends.length > 0) continue;
        heldRuns.delete(task);
        if (!isWaiting) continue;
        logger.info('run_released', { task: name, run: task.run, worker: link.id, isListed });
        if (isListed) resumeRun(heldRun, report.clockMs);
        else lifecycle.dropRun(heldRun);
      }
    },
    releaseExpired() {
      for (const [task, heldRun] of heldRuns) {
        const isWaiting = isHeld(task);
        if (isWaiting && clock.getNowMs() <= heldRun.expiresAtMs) continue;
        heldRuns.delete(task);
        if (isWaiting) lifecycle.dropRun(heldRun);
      }
    },
  };
}
