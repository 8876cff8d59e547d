import {
  LeavingAction,
  TaskPhase,
  computeStanding,
  decideLeaving,
  getLeavingChance,
} from '@bergamotreach/scheduling';
import type { PlacedTask, RunTimes, Task, TaskGroup } from '@bergamotreach/scheduling';
import type { JobLifecycle } from './joblifecycle.ts';
import type { OwnerContext } from './ownercontext.ts';
import type { WorkerLink } from './workerlink.ts';

/** Decides what happens to the runs on workers that leave. */
export interface Departures {
  /** Decides about the runs on all workers that drain. */
  checkAll(): void;
  /** Decides about the runs on one worker; does nothing unless it drains. */
  check(link: WorkerLink): void;
}

/** Checkpointing tasks of a draining worker are stopped this long before it may leave. */
const drainStopMs = 1500;

/** Creates the part of an owner that empties workers before they leave. */
export function createDepartures(
  context: OwnerContext,
  lifecycle: JobLifecycle,
  runTimes: RunTimes,
): Departures {
  const { activeJobs, fleet, options } = context;
  const { clock, logger, metrics, policy } = options;

  /** Stops what saves its work right before the worker may leave; all else is left to end. */
  function stopSaving(link: WorkerLink): void {
    if (link.getEntry().drainRemainingMs > drainStopMs) return;
    for (const placed of activeJobs.listOnWorker(link.id)) {
      if (placed.group.spec.isCheckpointing) lifecycle.stopTask(placed, 'worker draining');
    }
  }

  /** Runs on a worker; the members of a gang are one run. */
  function listRuns(link: WorkerLink): { group: TaskGroup; placed: PlacedTask[] }[] {
    const runs = new Map<TaskGroup | Task, { group: TaskGroup; placed: PlacedTask[] }>();
    for (const one of activeJobs.listOnWorker(link.id)) {
      const { group, task } = one;
      if (task.phase !== TaskPhase.Running) continue;
      const key = group.spec.isGang ? group : task;
      const known = runs.get(key);
      if (known === undefined) runs.set(key, { group, placed: [one] });
      else known.placed.push(one);
    }
    return [...runs.values()];
  }

  function decide(link: WorkerLink, group: TaskGroup, placed: readonly PlacedTask[]): void {
    const nowMs = clock.getNowMs();
    const ranked = activeJobs.getRanked(group, options.getWallMs());
    const tasks = placed.map(({ task }) => task);
    const run = {
      group,
      tasks,
      time: runTimes.estimate(group.job, group.spec, nowMs),
      standing: computeStanding({ ...ranked, nowMs, runTimes }, policy.value),
    };
    const leftMs = Math.max(0, (link.getLeavesAtMs() ?? Infinity) - nowMs);
    const departure = { leftMs, stopMs: options.stopMs, uncertainMs: options.maxLeaseMs };
    const action = decideLeaving(run, departure, policy.late, nowMs);
    if (action === LeavingAction.Keep) return;
    logger.info('run_leaves_worker', {
      job: group.job.id,
      step: group.step,
      worker: link.id,
      tasks: tasks.length,
      isGang: group.spec.isGang,
      leftMs: Math.round(leftMs),
      endChance: Math.round(100 * getLeavingChance(run, leftMs, nowMs)) / 100,
    });
    metrics.count('departures.stops', 1, { saves: String(group.spec.isCheckpointing) });
    if (group.spec.isGang) lifecycle.stopGang(group, 'worker leaving');
    else for (const one of placed) lifecycle.stopTask(one, 'worker leaving');
  }

  function check(link: WorkerLink): void {
    if (!link.getEntry().isDraining) return;
    const noticeMs = link.getNoticeMs() ?? Infinity;
    if (noticeMs >= policy.shortNoticeMs) stopSaving(link);
    else for (const { group, placed } of listRuns(link)) decide(link, group, placed);
  }

  return {
    check,
    checkAll() {
      for (const link of fleet.list()) check(link);
    },
  };
}
