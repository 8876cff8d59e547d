import { JobState, TaskPhase, isFinal } from '@bergamotreach/scheduling';
import type { PlacedTask, Task } from '@bergamotreach/scheduling';
import type { JobLife } from './joblife.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { createRunWatch, lateOrderMs } from './runwatch.ts';
import type { WorkerReport } from './taskrunner.ts';
import { LapseCause } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/**
 * Tasks whose last run may be on the next life of its worker: a copy of the start got no answer, or
 * the life that took it is not known. They wait for the first report of that life: it takes the
 * owner's raised fencing token, and from then on no earlier copy can begin.
 */
export interface HeldRuns {
  canBeOnNextLife(task: Task, cause: LapseCause): boolean;
  holdRun(placed: PlacedTask): void;
  /** Whether a task waits for the next life of its worker. */
  isHeld(task: Task): boolean;
  /** Goes on with the tasks that were held for the worker that sent a report. */
  noteReport(link: WorkerLink, report: WorkerReport): void;
  /** Goes on with the tasks of workers that did not come back. */
  checkHeld(): void;
}

interface HeldRun extends PlacedTask {
  run: number;
  workerId: string;
  /** Steady time from which no copy of the order can be carried out any more. */
  untilMs: number;
}

/** Creates the part of an owner that holds runs back. */
export function createHeldRuns(context: OwnerContext, life: JobLife): HeldRuns {
  const { watches, options } = context;
  const { clock, logger } = options;
  const held = new Map<Task, HeldRun>();
  /** Copies that an owner before this one sent may be under way for some time after it. */
  const createdMs = clock.getNowMs();

  function isHeld(task: Task): boolean {
    return held.get(task)?.run === task.run && task.phase === TaskPhase.Stopping;
  }

  /** The late copy began before the report's token arrived, so it is the task's run. */
  function resumeRun({ group, task }: PlacedTask, clockMs: number): void {
    task.phase = TaskPhase.Running;
    task.startedAtMs = clock.getNowMs();
    life.noteRunning(task, clockMs);
    const isWanted = !isFinal(life.findJob(group)?.state ?? JobState.Cancelled);
    if (!isWanted) life.stopTask({ group, task }, 'job ended');
  }

  return {
    isHeld,
    canBeOnNextLife(task, cause) {
      const watch = watches.get(task);
      // Only reports name the life that answers, so the new one may have taken the start.
      const isOwnerNew = clock.getNowMs() - createdMs < lateOrderMs;
      if (cause === LapseCause.Restarted && (watch?.isListed !== true || isOwnerNew)) return true;
      const isOnItsWay = task.phase === TaskPhase.Starting && watch?.confirmedClockMs === Infinity;
      const lateUntilMs = context.lateCopies.get(task)?.get(task.workerId) ?? -Infinity;
      return isOnItsWay || lateUntilMs > clock.getNowMs();
    },
    holdRun({ group, task }) {
      task.phase = TaskPhase.Stopping;
      const { run, workerId } = task;
      held.set(task, { group, task, run, workerId, untilMs: clock.getNowMs() + lateOrderMs });
      watches.set(task, createRunWatch(run));
      logger.info('run_held', { task: getTaskName(group, task), run, worker: workerId });
    },
    noteReport(link, report) {
      for (const [task, one] of held) {
        if (one.workerId !== link.id) continue;
        const isWaiting = isHeld(task);
        held.delete(task);
        if (!isWaiting) continue;
        const name = getTaskName(one.group, task);
        const isListed = report.runs.some((run) => run.task === name && run.run === task.run);
        logger.info('run_released', { task: name, run: task.run, worker: link.id, isListed });
        if (isListed) resumeRun(one, report.clockMs);
        else life.dropRun(one);
      }
    },
    checkHeld() {
      for (const [task, one] of held) {
        const isWaiting = isHeld(task);
        if (isWaiting && clock.getNowMs() <= one.untilMs) continue;
        held.delete(task);
        if (isWaiting) life.dropRun(one);
      }
    },
  };
}
