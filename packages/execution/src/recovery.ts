import { JobState, isEnded } from '@bergamotreach/ownership';
import { EventKind, GangEnd } from '@bergamotreach/placement';
import { CommandKind } from '@bergamotreach/hosting';
import type { TaskStatus, WorkerTasks } from '@bergamotreach/hosting';
import { waitFor } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import { GangPhase, MemberPhase, createGang, requestStop, stopIfDone } from './gang.ts';
import type { Gang, GangMember } from './gang.ts';
import type { JobEntry, JobRegistry } from './jobs.ts';
import type { GangJobRow } from './options.ts';
import { MemberLoss, updateMember } from './tasks.ts';
import type { WorkerEntry } from './workers.ts';

/** Task lists of the workers that replied, by worker id, with the time of the request. */
export type RecoveredTaskLists = Map<string, { listed: WorkerTasks; sentMs: number }>;

/** State of a region that a new owner loads. */
export interface RecoveredRegion {
  lists: RecoveredTaskLists;
  rows: GangJobRow[];
}

async function fenceAndList(
  context: OwnerContext,
  worker: WorkerEntry,
  lists: RecoveredTaskLists,
): Promise<void> {
  const fenced = await context.sendCommands(worker.id, [{ kind: CommandKind.Fence }]);
  if (fenced.isErr()) return;
  worker.isFenced = true;
  const sentMs = context.clock.getNowMs();
  const result = await context.listTasks(worker);
  if (result.isOk()) lists.set(worker.id, { listed: result.value, sentMs });
}

async function loadRows(context: OwnerContext): Promise<GangJobRow[]> {
  while (await context.waitForLease()) {
    const rows: GangJobRow[] = [];
    const result = await context.jobStore.listAll((row) => {
      if (!isEnded(row.record.state)) rows.push(row);
    });
    if (result.isOk()) return rows;
    await waitFor(context.clock, context.settings.retryMs);
  }
  return [];
}

/** Fences all workers, then reads their task lists and the rows of all jobs that have not ended. */
export async function loadRegion(context: OwnerContext): Promise<RecoveredRegion> {
  const lists: RecoveredTaskLists = new Map();
  const workers = context.workers.list();
  const replies = Promise.all(workers.map((worker) => fenceAndList(context, worker, lists)));
  await Promise.race([replies, waitFor(context.clock, context.settings.recoveryWaitMs)]);
  const rows = await loadRows(context);
  // Copied, because lists that arrive later are not part of the recovery.
  return { lists: new Map(lists), rows };
}

/** Workers on which members of running gangs were placed. */
export function listRunningWorkers(rows: readonly GangJobRow[]): Set<string> {
  const running = rows.filter(({ record }) => record.state === JobState.Running);
  const members = running.flatMap(({ record }) => record.placement?.members ?? []);
  return new Set(members.map(({ worker }) => worker));
}

function findTask(lists: RecoveredTaskLists, member: GangMember): TaskStatus | undefined {
  const tasks = lists.get(member.worker)?.listed.tasks;
  return tasks?.find((task) => task.taskId === member.taskId);
}

/** Sets the phase of a member from its worker's list; returns how it was lost, if it was. */
function recoverMember(
  context: OwnerContext,
  lists: RecoveredTaskLists,
  member: GangMember,
): MemberLoss | undefined {
  member.leaseFromMs = context.clock.getNowMs();
  // A member counts as held until a task list shows it running. On a worker that did not reply, it
  // is released later; if the worker is lost, the task lease expires.
  member.phase = MemberPhase.Held;
  if (!lists.has(member.worker)) {
    return context.workers.get(member.worker) === undefined ? MemberLoss.Missing : undefined;
  }
  const task = findTask(lists, member);
  if (task === undefined) {
    member.phase = MemberPhase.Gone;
    return MemberLoss.Missing;
  }
  return updateMember(member, task);
}

function recoverMembers(context: OwnerContext, lists: RecoveredTaskLists, gang: Gang): void {
  for (const member of gang.members) {
    const loss = recoverMember(context, lists, member);
    if (loss === undefined) continue;
    const end = loss === MemberLoss.Failed ? GangEnd.MemberFailed : GangEnd.WorkerLost;
    const deadlineMs = context.clock.getNowMs();
    requestStop(gang, { end, worker: member.worker, deadlineMs });
  }
  stopIfDone(gang, context.clock.getNowMs());
}

function announceGang(context: OwnerContext, entry: JobEntry, gang: Gang, ageMs: number): void {
  const { record } = entry.row;
  context.pushEvent({
    kind: EventKind.GangRecovered,
    job: record.spec,
    placement: gang.placement,
    acceptedAtMs: context.clock.getNowMs() - ageMs,
    attainedSeconds: record.attainedSeconds,
    failedWorkers: record.failedWorkers,
  });
}

/**
 * Recovers the gang of a `starting` or `running` row. A gang that was not `running` or lacks a
 * member is stopped as a whole and its job requeued; the scheduler learns of the job only then.
 */
export function recoverGang(
  context: OwnerContext,
  jobs: JobRegistry,
  lists: RecoveredTaskLists,
  row: GangJobRow,
): Gang | undefined {
  const { record } = row;
  const entry = jobs.addEntry(row);
  if (record.placement === null) return undefined;
  const gang = createGang(record.placement, context.clock.getNowMs());
  jobs.addGang(entry, gang);
  recoverMembers(context, lists, gang);
  if (record.state === JobState.Starting) {
    const deadlineMs = context.clock.getNowMs();
    requestStop(gang, { end: GangEnd.StartFailed, worker: '', deadlineMs });
  }
  gang.isKnownToScheduler = gang.stop === undefined;
  if (!gang.isKnownToScheduler) return gang;
  gang.phase = GangPhase.Running;
  announceGang(context, entry, gang, jobs.getWallAgeMs(record.acceptedAtMs));
  jobs.announceCancel(entry);
  return gang;
}
