import { EventKind, GangEnd } from '@bergamotreach/placement';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import type { TaskStatus, WorkerCommand, WorkerTasks } from '@bergamotreach/hosting';
import type { CancelTimer } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import {
  GangPhase,
  MemberPhase,
  checkDone,
  computeUsedSeconds,
  isPresent,
  requestStop,
} from './gang.ts';
import type { Gang } from './gang.ts';
import type { JobBook, PlacedMember } from './jobs.ts';
import { MemberLoss, readTask } from './tasks.ts';
import type { WorkerEntry } from './workers.ts';

/** A round over all workers is spread over this many steps. */
const roundSteps = 10;
/**
 * Task lists read per second, at most. The end of a job is seen by them, so small regions read
 * each worker once a second; larger ones approach the period of renewals.
 */
const listsPerSecond = 60;
const minVisitMs = 1_000;

/** Renews task leases, reads task lists and notices lost members and workers. */
export interface Monitor {
  start(): void;
  stop(): void;
  /** Takes a worker's task list that was requested at `sentMs`. */
  applyTasks(worker: WorkerEntry, listed: WorkerTasks, sentMs: number): void;
  /** Takes workers out of placement and ends their gangs. */
  removeWorkers(workers: readonly WorkerEntry[], graceMs: number): void;
  /** Offers workers to placement. */
  addWorkers(workers: readonly WorkerEntry[]): void;
}

function isComplete(gang: Gang): boolean {
  return gang.members.every(
    ({ phase }) => phase === MemberPhase.Running || phase === MemberPhase.Done,
  );
}

/** Creates the monitor of one ownership period. */
export function createMonitor(context: OwnerContext, jobs: JobBook): Monitor {
  const { clock, settings, workers } = context;
  const busy = new Set<string>();
  let cancelTimer: CancelTimer | undefined;
  let step = 0;

  function getVisitMs(): number {
    const spreadMs = (workers.list().length * 1000) / listsPerSecond;
    return Math.min(settings.roundMs, Math.max(minVisitMs, spreadMs));
  }

  /**
   * A suspended owner can neither release nor stop members. It renews complete gangs only, because
   * renewing another would keep a part of it running for the whole outage.
   */
  function isRenewed(gang: Gang): boolean {
    return gang.phase !== GangPhase.Stopping && (context.canAct() || isComplete(gang));
  }

  async function renewTasks(worker: WorkerEntry): Promise<void> {
    // Half a visit early rather than late.
    const dueMs = worker.renewedMs + settings.roundMs - getVisitMs() / 2;
    if (clock.getNowMs() < dueMs) return;
    worker.renewedMs = clock.getNowMs();
    const members = jobs
      .listMembers(worker.id)
      .filter(({ gang, member }) => isRenewed(gang) && isPresent(member))
      .map(({ member }) => member);
    if (members.length === 0) return;
    const taskIds = members.map((member) => member.taskId);
    const command: WorkerCommand = {
      kind: CommandKind.Renew,
      taskIds,
      leaseMs: settings.taskLeaseMs,
    };
    // Without a reply the renewal may have taken effect as well.
    const noteLease = (): void => {
      for (const member of members) member.leaseFromMs = clock.getNowMs();
    };
    noteLease();
    await context.sendRenewal(worker, command);
    noteLease();
  }

  async function fenceWorker(worker: WorkerEntry): Promise<boolean> {
    if (worker.isFenced) return true;
    const result = await context.sendEffect(worker.id, [{ kind: CommandKind.Fence }]);
    worker.isFenced = result.isOk();
    return worker.isFenced;
  }

  async function visitWorker(worker: WorkerEntry): Promise<void> {
    await renewTasks(worker);
    const sentMs = clock.getNowMs();
    const result = (await fenceWorker(worker)) ? await context.listTasks(worker) : undefined;
    // While the owner is suspended, lost members and workers are noted, which ends the renewals of
    // their gangs; stops and placements follow when the lease is held again.
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
    // A worker that restarted may have lost its epoch.
    if (listed.epoch < context.epoch) worker.isFenced = false;
    const placed = jobs.listMembers(worker.id);
    const byId = new Map(placed.map((one) => [one.member.taskId, one]));
    const listedIds = new Set(listed.tasks.map((task) => task.taskId));
    for (const task of listed.tasks) {
      const known = byId.get(task.taskId);
      if (known !== undefined) applyTask(known, task);
    }
    for (const one of placed) {
      if (!listedIds.has(one.member.taskId)) applyAbsence(one, sentMs);
    }
    for (const { gang } of placed) checkDone(gang, clock.getNowMs());
    stopOrphans(worker, listed.tasks, byId);
    if (!worker.isPlaced && !worker.isLeaving) addWorkers([worker]);
  }

  function applyTask({ gang, member }: PlacedMember, task: TaskStatus): void {
    const usedBefore = member.usedSeconds;
    const loss = readTask(member, task);
    if (loss !== undefined) endGang(gang, member.worker, loss);
    if (member.usedSeconds > usedBefore) reportUsage(gang);
  }

  function reportUsage(gang: Gang): void {
    const base = jobs.get(gang.jobId)?.row.record.attainedSeconds ?? 0;
    const attainedSeconds = base + computeUsedSeconds(gang);
    context.pushEvent({ kind: EventKind.UsageReported, jobId: gang.jobId, attainedSeconds });
  }

  function applyAbsence({ gang, member }: PlacedMember, sentMs: number): void {
    const isExpected = member.phase === MemberPhase.Held || member.phase === MemberPhase.Running;
    if (!isExpected || member.leaseFromMs > sentMs) return;
    member.phase = MemberPhase.Gone;
    endGang(gang, member.worker, MemberLoss.Missing);
  }

  function endGang(gang: Gang, worker: string, loss: MemberLoss): void {
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
    void context.sendEffect(worker.id, commands);
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
    const fresh = added.filter((worker) => !worker.isPlaced && !worker.isLeaving);
    if (fresh.length === 0) return;
    for (const worker of fresh) worker.isPlaced = true;
    context.pushEvent({ kind: EventKind.WorkersAdded, workers: fresh.map(({ spec }) => spec) });
  }

  /** Visits a tenth of the workers; one that is still being visited is left out. */
  function runStep(): void {
    workers.list().forEach((worker, order) => {
      if (order % roundSteps !== step || busy.has(worker.id)) return;
      busy.add(worker.id);
      void visitWorker(worker).finally(() => busy.delete(worker.id));
    });
    step = (step + 1) % roundSteps;
    cancelTimer = clock.setTimer(getVisitMs() / roundSteps, runStep);
  }

  return {
    start: runStep,
    stop: () => cancelTimer?.(),
    applyTasks,
    removeWorkers,
    addWorkers,
  };
}
