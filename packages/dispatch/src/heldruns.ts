import { TaskPhase } from '@bergamotreach/scheduling';
import type { PlacedTask, Task } from '@bergamotreach/scheduling';
import type { JobLife } from './joblife.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { lateOrderMs } from './runwatch.ts';
import type { RunWatch } from './runwatch.ts';
import { OrderStatus } from './taskrunner.ts';
import { LinkState } from './workerlink.ts';

/**
 * Tasks whose last run may still begin on the next life of its worker, because a copy of the start
 * got no answer. They wait until that life refuses the run.
 */
export interface HeldRuns {
  canStartLate(task: Task): boolean;
  holdRun(placed: PlacedTask): void;
  /** Goes on with the tasks that are held. */
  checkHeld(): void;
}

/** Creates the part of an owner that holds runs back. */
export function createHeldRuns(context: OwnerContext, life: JobLife): HeldRuns {
  const { watches, options } = context;
  const { clock, logger, epoch } = options;
  const held = new Map<Task, PlacedTask>();

  /** Whether a copy of the start may still be carried out by the next life of its worker. */
  function canStartLate(task: Task): boolean {
    const watch = watches.get(task);
    const isOnItsWay = task.phase === TaskPhase.Starting && watch?.confirmedClockMs === Infinity;
    return isOnItsWay || (watch?.lateUntilMs ?? 0) > clock.getNowMs();
  }

  /** Keeps a task from its next run until its last one can no longer begin. */
  function holdRun({ group, task }: PlacedTask): void {
    task.phase = TaskPhase.Stopping;
    const lateUntilMs = clock.getNowMs() + lateOrderMs;
    const { run } = task;
    held.set(task, { group, task });
    watches.set(task, {
      run,
      missedReports: 0,
      confirmedClockMs: Infinity,
      windowUntilMs: 0,
      lateUntilMs,
    });
    logger.info('run_held', { task: getTaskName(group, task), run, worker: task.workerId });
  }

  /** A worker refuses a run that it was told to stop, so the next life is told to. */
  function checkHeld(): void {
    for (const [task, placed] of held) {
      const watch = watches.get(task);
      const isOver = task.phase !== TaskPhase.Stopping || watch === undefined;
      if (isOver) held.delete(task);
      else if (clock.getNowMs() > watch.lateUntilMs) {
        held.delete(task);
        life.dropRun(placed);
      } else void stopHeld(placed, watch);
    }
  }

  async function stopHeld(placed: PlacedTask, watch: RunWatch): Promise<void> {
    const { group, task } = placed;
    const link = context.fleet.find(task.workerId);
    if (link?.getState() !== LinkState.Live || !options.isHolding()) return;
    const order = { task: getTaskName(group, task), run: watch.run, epoch };
    const reply = await options.runner.stop(link.getEntry(), order);
    const isCurrent = held.has(task) && watches.get(task) === watch;
    if (!isCurrent || reply.status !== OrderStatus.Accepted) return;
    held.delete(task);
    // From here on the reports of this life decide: the run ends as stopped, or it is absent.
    life.noteRunning(task, reply.clockMs ?? 0);
    link.hurry();
  }

  return { canStartLate, holdRun, checkHeld };
}
