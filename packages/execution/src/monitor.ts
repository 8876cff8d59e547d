import { EventKind, GangEnd } from '@bergamotreach/placement';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import type { TaskStatus, WorkerCommand, WorkerTasks } from '@bergamotreach/hosting';
import type { CancelTimer } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import {
  GangPhase,
  MemberPhase,
  computeUsedSeconds,
  isOccupying,
  requestStop,
  stopIfDone,
} from './gang.ts';
import type { Gang } from './gang.ts';
import type { JobRegistry, PlacedMember } from './jobs.ts';
import { MemberLoss, updateMember } from './tasks.ts';
import type { WorkerEntry } from './workers.ts';

/** A round of polls over all workers is spread over this many steps. */
const stepsPerRound = 10;
/**
 * Upper limit of task lists read per second. They reveal the end of a job, so a small region polls
 * each worker once a second; in larger ones the interval grows up to that of the renewals.
 */
const maxListsPerSecond = 60;
const minPollMs = 1_000;

/** Renews task leases, polls task lists and detects lost members and workers. */
export interface Monitor {
  start(): void;
  stop(): void;
  /** Applies a worker's task list that was requested at `sentMs`. */
  applyTasks(worker: WorkerEntry, listed: WorkerTasks, sentMs: number): void;
  /** Removes workers from the scheduler and stops their gangs. */
  removeWorkers(workers: readonly WorkerEntry[], graceMs: number): void;
  /** Adds workers to the scheduler. */
  addWorkers(workers: readonly WorkerEntry[]): void;
}

function isComplete(gang: Gang): boolean {
  return gang.members.every(
    ({ phase }) => phase === MemberPhase.Running || phase === MemberPhase.Done,
  );
}

/** Creates the monitor of one owner session. */
export function createMonitor(context: OwnerContext, jobs: JobRegistry): Monitor {
  const { clock, settings, workers } = context;
  const pollingIds = new Set<string>();
  let cancelTimer: CancelTimer | undefined;
  let step = 0;

  function getPollMs(): number {
    const spreadMs = (workers.list().length * 1000) / maxListsPerSecond;
    return Math.min(settings.taskRenewMs, Math.max(minPollMs, spreadMs));
  }

  /**
   * An owner with a suspended lease can neither release nor stop members. It renews complete gangs
   * only, because renewing an incomplete one would keep part of it running for the whole outage.
   */
  function canRenew(gang: Gang): boolean {
    return gang.phase !== GangPhase.Stopping && (context.hasLease() || isComplete(gang));
  }

  async function renewTasks(worker: WorkerEntry): Promise<void> {
    // Renewals are up to half a poll interval early rather than late.
    const dueMs = worker.renewedMs + settings.taskRenewMs - getPollMs() / 2;
    if (clock.getNowMs() < dueMs) return;
    worker.renewedMs = clock.getNowMs();
    const members = jobs
      .listMembers(worker.id)
      .filter(({ gang, member }) => canRenew(gang) && isOccupying(member))
      .map(({ member }) => member);
    if (members.length === 0) return;
    const taskIds = members.map((member) => member.taskId);
    const command: WorkerCommand = {
      kind: CommandKind.Renew,
      taskIds,
      leaseMs: settings.taskLeaseMs,
    };
    // Set before and after the call, because the renewal may be applied although its reply is lost.
    const setLeaseStart = (): void => {
      for (const member of members) member.leaseFromMs = clock.getNowMs();
    };
    setLeaseStart();
    await context.sendRenewal(worker, command);
    setLeaseStart();
  }

  async function fenceWorker(worker: WorkerEntry): Promise<boolean> {
    if (worker.isFenced) return true;
    const result = await context.sendCommands(worker.id, [{ kind: CommandKind.Fence }]);
    worker.isFenced = result.isOk();
    return worker.isFenced;
  }

  async function pollWorker(worker: WorkerEntry): Promise<void> {
    await renewTasks(worker);
    const sentMs = clock.getNowMs();
    const result = (await fenceWorker(worker)) ? await context.listTasks(worker) : undefined;
    // Also applied while the lease is suspended: lost members and workers are recorded, which ends
    // the renewals of their gangs. Stops and placements follow once the lease is held again.
    if (!context.isOpen()) return;
    if (result?.isOk() === true) applyTasks(worker, result.value, sentMs);
    else if (clock.getNowMs() - worker.heardMs > settings.workerLostMs) {
      removeWorkers([worker], 0);
      if (!worker.isListed) workers.remove(worker.id);
    }
  }

  function applyTasks(worker: WorkerEntry, listed: WorkerTasks, sentMs: number): void {
    if (listed.epoch > context.epoch) return;
    worker.heardMs = clock.getNowMs();
    // A worker may have lost its epoch by a restart.
    if (listed.epoch < context.epoch) worker.isFenced = false;
    const placed = jobs.listMembers(worker.id);
    const byId = new Map(placed.map((one) => [one.member.taskId, one]));
    const listedIds = new Set(listed.tasks.map((task) => task.taskId));
    for (const task of listed.tasks) {
      const known = byId.get(task.taskId);
      if (known !== undefined) applyTask(known, task);
    }
    for (const one of placed) {
      if (!listedIds.has(one.member.taskId)) applyMissingTask(one, sentMs);
    }
    for (const { gang } of placed) stopIfDone(gang, clock.getNowMs());
    stopOrphans(worker, listed.tasks, byId);
    if (!worker.isPlaced && !worker.isLeaving) addWorkers([worker]);
  }

  function applyTask({ gang, member }: PlacedMember, task: TaskStatus): void {
    const usedBefore = member.usedSeconds;
    const loss = updateMember(member, task);
    if (loss !== undefined) stopGang(gang, member.worker, loss);
    if (member.usedSeconds > usedBefore) reportUsage(gang);
  }

  function reportUsage(gang: Gang): void {
    const base = jobs.get(gang.jobId)?.row.record.attainedSeconds ?? 0;
    const attainedSeconds = base + computeUsedSeconds(gang);
    context.pushEvent({ kind: EventKind.UsageReported, jobId: gang.jobId, attainedSeconds });
  }

  function applyMissingTask({ gang, member }: PlacedMember, sentMs: number): void {
    const isExpected = member.phase === MemberPhase.Held || member.phase === MemberPhase.Running;
    if (!isExpected || member.leaseFromMs > sentMs) return;
    member.phase = MemberPhase.Gone;
    stopGang(gang, member.worker, MemberLoss.Missing);
  }

  function stopGang(gang: Gang, worker: string, loss: MemberLoss): void {
    const end = loss === MemberLoss.Failed ? GangEnd.MemberFailed : GangEnd.WorkerLost;
    requestStop(gang, { end, worker, deadlineMs: clock.getNowMs() });
  }

  /** Stops tasks that belong to no gang of this owner. */
  function stopOrphans(
    worker: WorkerEntry,
    tasks: readonly TaskStatus[],
    known: ReadonlyMap<string, PlacedMember>,
  ): void {
    const commands = tasks
      .filter(({ state }) => state === TaskState.Held || state === TaskState.Running)
      .filter(({ taskId }) => !known.has(taskId))
      .map(({ taskId }) => ({ kind: CommandKind.Stop, taskId }) as const);
    if (commands.length === 0) return;
    context.logger.warn('orphans_stopped', { worker: worker.id, tasks: commands.length });
    context.metrics.count('worker.orphans', commands.length);
    void context.sendCommands(worker.id, commands);
  }

  function removeWorkers(lost: readonly WorkerEntry[], graceMs: number): void {
    const placedBefore = lost.filter((worker) => worker.isPlaced);
    for (const worker of placedBefore) {
      worker.isPlaced = false;
      context.logger.warn('worker_lost', { worker: worker.id });
      context.metrics.count('worker.losses');
    }
    const workerIds = placedBefore.map((worker) => worker.id);
    if (workerIds.length > 0) context.pushEvent({ kind: EventKind.WorkersLost, workerIds });
    const deadlineMs = clock.getNowMs() + graceMs;
    for (const { id } of lost) {
      for (const { gang, member } of jobs.listMembers(id)) {
        if (member.phase === MemberPhase.Done) continue;
        requestStop(gang, { end: GangEnd.WorkerLost, worker: id, deadlineMs });
      }
    }
  }

  function addWorkers(added: readonly WorkerEntry[]): void {
    const unplaced = added.filter((worker) => !worker.isPlaced && !worker.isLeaving);
    if (unplaced.length === 0) return;
    for (const worker of unplaced) worker.isPlaced = true;
    context.pushEvent({ kind: EventKind.WorkersAdded, workers: unplaced.map(({ spec }) => spec) });
  }

  /** Polls a tenth of the workers; one whose previous poll is still running is skipped. */
  function runStep(): void {
    workers.list().forEach((worker, order) => {
      if (order % stepsPerRound !== step || pollingIds.has(worker.id)) return;
      pollingIds.add(worker.id);
      void pollWorker(worker).finally(() => pollingIds.delete(worker.id));
    });
    step = (step + 1) % stepsPerRound;
    cancelTimer = clock.setTimer(getPollMs() / stepsPerRound, runStep);
  }

  return {
    start: runStep,
    stop: () => cancelTimer?.(),
    applyTasks,
    removeWorkers,
    addWorkers,
  };
}
