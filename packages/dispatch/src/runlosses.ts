import {
  JobState,
  TaskPhase,
  createCrashHistory,
  decodeCrashes,
  getCoincidence,
  getCrashRetryMs,
  isExonerated,
  isFinal,
  isFreshStart,
  isPlaceLost,
  isSharedLoss,
  isUncleared,
  listCompanions,
  recordCrash,
  recordExposure,
} from '@bergamotreach/scheduling';
import type {
  Crash,
  CrashRow,
  Exposure,
  LostJob,
  LostWorker,
  PlacedTask,
  Task,
  TaskGroup,
} from '@bergamotreach/scheduling';
import { encodeRow, getCrashKey } from './jobrows.ts';
import { encodeCrashRows } from './progressrows.ts';
import { getTaskName } from './ownercontext.ts';
import type { OwnerContext } from './ownercontext.ts';
import { LapseCause, LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/**
 * Accounts for runs that were lost because nothing runs on their worker any more, and for what that says
 * about their tasks. A crash counts against a task only if the worker came back as another incarnation,
 * was not draining, and was not lost together with workers that its tasks cannot have crashed.
 */
export interface RunLosses {
  /** Records the loss of a worker and of the runs that occupied it. */
  recordLapse(link: WorkerLink, cause: LapseCause, lost: readonly PlacedTask[]): void;
  /** Records the loss of the runs of a worker that has not been listed for a whole lease. */
  recordUnlisted(workerId: string, lost: readonly PlacedTask[]): void;
  /** Stores what the loss of a run says about its task; called when the run is given up. */
  countLoss(placed: PlacedTask): void;
  /** Forgets the loss of a run that turned out to go on. */
  cancelLoss(task: Task): void;
  /** Records that a start of the task got no answer from the worker until now. */
  recordUnansweredStart(placed: PlacedTask, workerId: string, expiresAtMs: number): void;
  /** Drops the crash records of tasks that have run for long since. */
  dropExonerated(): void;
}

/** A loss that is counted once its run is given up. */
interface PendingLoss {
  workerId: string;
  exposure: Exposure;
  /** Absent if the loss need not have to do with the task. */
  crash?: Crash;
}

interface UnansweredStart {
  task: Task;
  jobId: string;
  expiresAtMs: number;
}

const unlistedReason = 'unlisted';
/** Job with which no lost worker has anything in common. */
const anyJob: LostJob = { jobId: '', queue: '' };

/** Whether a lapse shows that the worker itself has ended unexpectedly. */
function hasCrashed(link: WorkerLink, cause: LapseCause): boolean {
  if (link.getEntry().isDraining) return false;
  return cause === LapseCause.Restarted || cause === LapseCause.OtherWorker;
}

/** Creates the part of an owner that accounts for lost runs. */
export function createRunLosses(context: OwnerContext): RunLosses {
  const { activeJobs, journal, observedRuns } = context;
  const { clock, logger, metrics } = context.options;
  const history = createCrashHistory(clock.getNowMs());
  const pending = new Map<Task, PendingLoss>();
  /** Starts without an answer by worker; each may take effect late. */
  const unansweredStarts = new Map<string, UnansweredStart[]>();

  function reportLapse(lost: LostWorker, reason: string, runs: readonly PlacedTask[]): void {
    const jobs = lost.jobs.size;
    logger.info('worker_lapsed', {
      worker: lost.id,
      reason,
      runs: runs.length,
      jobs,
      silentMs: Math.round(clock.getNowMs() - lost.atMs),
      rack: context.fleet.find(lost.id)?.getEntry().rack,
      address: lost.address,
    });
    metrics.count('runs.lost', runs.length, { reason });
    for (const { group, task } of runs) {
      logger.info('run_lost', {
        task: getTaskName(group, task),
        run: task.run,
        worker: lost.id,
        phase: task.phase,
        ranMs: task.startedAtMs > 0 ? Math.round(lost.atMs - task.startedAtMs) : undefined,
        jobs,
      });
    }
  }

  function createLostWorker(
    id: string,
    address: string,
    atMs: number,
    runs: readonly PlacedTask[],
    isCrash = false,
  ): LostWorker {
    return {
      id,
      address,
      atMs,
      isCrash,
      jobs: new Set(runs.map(({ group }) => group.job.id)),
      queues: new Set(runs.map(({ group }) => group.job.queue)),
      hasUncleared: runs.some(({ task }) => isUncleared(task, atMs)),
      latestStartMs: Math.max(-Infinity, ...runs.map(({ task }) => getStartMs(task) ?? atMs)),
    };
  }

  /** Monotonic time at which the latest run began or was sent; `undefined` if a previous owner sent it. */
  function getStartMs(task: Task): number | undefined {
    return task.startedAtMs > 0 ? task.startedAtMs : observedRuns.get(task)?.sentAtMs;
  }

  /** Whether the start of a run may have reached its worker. */
  function isSent(task: Task): boolean {
    return observedRuns.get(task) === undefined || getStartMs(task) !== undefined;
  }

  /** Workers that are silent now or were lost lately. */
  function listSilent(): LostWorker[] {
    const byWorker = activeJobs.groupByWorker();
    const silent = context.fleet.list().flatMap((link) => {
      const atMs = link.getSilentSinceMs();
      // What ran on a lapsed worker is in the history.
      if (atMs === undefined || link.getState() === LinkState.Lapsed) return [];
      return [
        createLostWorker(link.id, link.getEntry().address, atMs, byWorker.get(link.id) ?? []),
      ];
    });
    return [...silent, ...history.list()];
  }

  function hasUnansweredStartOfOther(workerId: string, jobId: string): boolean {
    const nowMs = clock.getNowMs();
    return (unansweredStarts.get(workerId) ?? []).some(
      (start) => start.jobId !== jobId && start.expiresAtMs > nowMs,
    );
  }

  function getRanMs({ group, task }: PlacedTask, atMs: number): number {
    return Math.max(0, atMs - (getStartMs(task) ?? atMs - group.spec.estimatedMs));
  }

  function hasCommonCause(lost: LostWorker, job: LostJob, silent: readonly LostWorker[]): boolean {
    if (isSharedLoss(lost, job, silent)) return true;
    const places = context.fleet.list().map((link) => link.getEntry());
    return isPlaceLost(lost, silent, places);
  }

  /** Whether a run that occupied its worker at a past time may have crashed it then. */
  function isMarked(task: Task, atMs: number): boolean {
    const startMs = getStartMs(task);
    if (startMs === undefined) return task.crashRecord !== undefined;
    if (startMs > atMs) return false;
    return isFreshStart(startMs, atMs) || isUncleared(task, atMs);
  }

  /**
   * Probability that workers lost together for another reason are only such as may have been crashed by
   * a task; 0 if they are too few to have a common cause.
   */
  function getSharedChance(lost: LostWorker, jobId: string, silent: readonly LostWorker[]): number {
    const companions = listCompanions(lost, jobId, silent);
    const gone = new Set([lost, ...companions].map(({ address }) => address));
    const byWorker = activeJobs.groupByWorker();
    const links = context.fleet.list();
    const marked = links.filter(({ id }) =>
      (byWorker.get(id) ?? []).some(({ task }) => isMarked(task, lost.atMs)),
    );
    const getAddress = (link: WorkerLink): string => link.getEntry().address;
    const total = new Set([...gone, ...links.map(getAddress)]).size;
    return getCoincidence(gone.size, new Set([...gone, ...marked.map(getAddress)]).size, total);
  }

  function queueCrashes(
    lost: LostWorker,
    runs: readonly PlacedTask[],
    silent: readonly LostWorker[],
  ): void {
    const fleetSize = context.fleet.list().length;
    for (const placed of runs) {
      const { group, task } = placed;
      const jobId = group.job.id;
      const exposure = { run: task.run, ranMs: getRanMs(placed, lost.atMs) };
      if (hasCommonCause(lost, { jobId, queue: group.job.queue }, silent)) {
        logger.info('crash_excused', {
          task: getTaskName(group, task),
          run: task.run,
          worker: lost.id,
          ranMs: Math.round(exposure.ranMs),
        });
        pending.set(task, { workerId: lost.id, exposure });
        continue;
      }
      const isAlone = lost.jobs.size === 1 && !context.hasOrphans(lost.id);
      const crash = {
        ...exposure,
        machine: lost.address,
        isSole: isAlone && !hasUnansweredStartOfOther(lost.id, jobId),
        chance: Math.max(
          history.getChance(lost, jobId, exposure.ranMs, fleetSize),
          getSharedChance(lost, jobId, silent),
        ),
      };
      pending.set(task, { workerId: lost.id, exposure, crash });
    }
  }

  function reportCrash({ group, task }: PlacedTask, workerId: string, crash: Crash): void {
    logger.info('crash_counted', {
      task: getTaskName(group, task),
      run: task.run,
      worker: workerId,
      ranMs: Math.round(crash.ranMs),
      isSole: crash.isSole,
      chance: Number(crash.chance.toPrecision(2)),
      crashes: task.crashRecord?.crashes,
      soleCrashes: task.crashRecord?.soleCrashes,
    });
    metrics.count('crashes.counted', 1, { isSole: String(crash.isSole) });
  }

  function writeCrashes(group: TaskGroup, tasks: readonly Task[]): void {
    for (const { key, value } of encodeCrashRows(group, tasks)) {
      journal.write(getCrashKey(key), encodeRow(value));
    }
  }

  return {
    recordLapse(link, cause, runs) {
      const atMs = link.getSilentSinceMs() ?? clock.getNowMs();
      const sent = runs.filter(({ task }) => isSent(task));
      const isCrash = hasCrashed(link, cause);
      const lost = createLostWorker(link.id, link.getEntry().address, atMs, sent, isCrash);
      reportLapse(lost, cause, runs);
      const silent = listSilent();
      if (isCrash) queueCrashes(lost, sent, silent);
      // Workers lost together say nothing about how often one crashes by itself.
      const isLone = !hasCommonCause(lost, anyJob, silent);
      if (!link.getEntry().isDraining) history.record({ ...lost, isCrash: isCrash && isLone });
      unansweredStarts.delete(link.id);
    },
    recordUnlisted(workerId, runs) {
      const lost = createLostWorker(workerId, '', clock.getNowMs(), runs);
      reportLapse(lost, unlistedReason, runs);
      // It may have crashed, or have left while nobody owned the jobs.
      for (const placed of runs) {
        const exposure = { run: placed.task.run, ranMs: getRanMs(placed, lost.atMs) };
        pending.set(placed.task, { workerId, exposure });
      }
    },
    countLoss(placed) {
      const { group, task } = placed;
      const loss = pending.get(task);
      pending.delete(task);
      const state = activeJobs.find(group.job.id)?.state ?? JobState.Cancelled;
      if (loss?.exposure.run !== task.run || isFinal(state)) return;
      const { workerId, exposure, crash } = loss;
      const isNew = crash === undefined ? recordExposure(task, exposure) : recordCrash(task, crash);
      if (!isNew) return;
      if (crash === undefined) {
        logger.info('task_exposed', {
          task: getTaskName(group, task),
          run: task.run,
          worker: workerId,
        });
      } else {
        task.retryAtMs = clock.getNowMs() + getCrashRetryMs(task);
        reportCrash(placed, workerId, crash);
      }
      writeCrashes(group, [task]);
    },
    cancelLoss(task) {
      pending.delete(task);
    },
    recordUnansweredStart({ group, task }, workerId, expiresAtMs) {
      const nowMs = clock.getNowMs();
      const open = (unansweredStarts.get(workerId) ?? []).filter(
        (start) => start.expiresAtMs > nowMs && start.task !== task,
      );
      unansweredStarts.set(workerId, [...open, { task, jobId: group.job.id, expiresAtMs }]);
    },
    dropExonerated() {
      const nowMs = clock.getNowMs();
      for (const job of activeJobs.list()) {
        for (const group of job.groups.values()) {
          const cleared = group.tasks.filter((task) => isExonerated(task, nowMs));
          if (cleared.length === 0) continue;
          for (const task of cleared) {
            logger.info('crashes_dropped', { task: getTaskName(group, task), run: task.run });
            delete task.crashRecord;
          }
          writeCrashes(group, cleared);
        }
      }
    },
  };
}

/** Restores the stored crash records of a group from its rows: that of the whole group first, then its chunks. */
export function applyCrashRows(group: TaskGroup, rows: readonly CrashRow[]): void {
  for (const row of rows) decodeCrashes(group, row);
  for (const task of group.tasks) {
    if (task.phase === TaskPhase.Done) delete task.crashRecord;
  }
}
