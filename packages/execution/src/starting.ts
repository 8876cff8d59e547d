import { JobState } from '@bergamotreach/ownership';
import { EventKind, GangEnd } from '@bergamotreach/placement';
import { CommandKind } from '@bergamotreach/hosting';
import type { CommandResult } from '@bergamotreach/hosting';
import { FaultCode, waitFor } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import { GangPhase, MemberPhase, createTask, listByWorker, requestStop } from './gang.ts';
import type { Gang, GangMember } from './gang.ts';
import type { JobBook, JobEntry } from './jobs.ts';
import { MemberLoss, readTasks } from './tasks.ts';

function failStart(context: OwnerContext, gang: Gang, worker: string, why: string): void {
  context.logger.warn('gang_start_failed', { job: gang.jobId, worker, why });
  context.metrics.count('gang.start_failures');
  requestStop(gang, { end: GangEnd.StartFailed, worker, deadlineMs: context.clock.getNowMs() });
}

function applyHoldResults(
  members: GangMember[],
  results: CommandResult[],
  nowMs: number,
): CommandResult | undefined {
  members.forEach((member, index) => {
    member.leaseFromMs = nowMs;
    if (results[index]?.isOk === true) member.phase = MemberPhase.Held;
  });
  return results.find((result) => !result.isOk);
}

/** Holds the members on one worker. A call without reply is repeated while time is left. */
async function holdOnWorker(
  context: OwnerContext,
  entry: JobEntry,
  gang: Gang,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const { clock, settings } = context;
  const { taskLeaseMs: leaseMs } = settings;
  const tasks = members.map((member) => createTask(entry.row.record, member));
  while (gang.stop === undefined) {
    for (const member of members) member.phase = MemberPhase.Sent;
    const commands = tasks.map((task) => ({ kind: CommandKind.Hold, task, leaseMs }) as const);
    const result = await context.sendEffect(worker, commands);
    const nowMs = clock.getNowMs();
    for (const member of members) member.leaseFromMs = nowMs;
    if (result.isOk()) {
      const refused = applyHoldResults(members, result.value, nowMs);
      if (refused !== undefined) failStart(context, gang, worker, refused.reason);
      return;
    }
    if (result.error.code !== FaultCode.WorkerUnavailable) {
      // The lease is not held, which is not the worker's fault.
      failStart(context, gang, '', result.error.message);
      return;
    }
    await waitFor(clock, settings.retryMs);
  }
}

async function holdMembers(context: OwnerContext, entry: JobEntry, gang: Gang): Promise<void> {
  const { clock, settings } = context;
  gang.phase = GangPhase.Holding;
  const cancelTimer = clock.setTimer(settings.gangStartMs, () => {
    const late = gang.members.find((member) => member.phase !== MemberPhase.Held);
    if (late !== undefined) failStart(context, gang, late.worker, 'not held in time');
  });
  const groups = [...listByWorker(gang.members)];
  await Promise.all(
    groups.map(([worker, members]) => holdOnWorker(context, entry, gang, worker, members)),
  );
  cancelTimer();
}

/** Looks up why a member could not be released, and ends the gang. */
async function stopAfterLoss(
  context: OwnerContext,
  gang: Gang,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const entry = context.workers.get(worker);
  const listed = entry === undefined ? undefined : await context.listTasks(entry);
  const tasks = listed?.isOk() === true ? listed.value.tasks : [];
  const isFailed = readTasks(members, worker, tasks) === MemberLoss.Failed;
  const end = isFailed ? GangEnd.MemberFailed : GangEnd.WorkerLost;
  requestStop(gang, { end, worker, deadlineMs: context.clock.getNowMs() });
}

/** Releases the members on one worker, until they run or the gang has to end. */
async function releaseOnWorker(
  context: OwnerContext,
  gang: Gang,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const { clock, settings } = context;
  const commands = members.map(({ taskId }) => ({ kind: CommandKind.Release, taskId }) as const);
  while (gang.stop === undefined && (await context.waitUntilAllowed())) {
    const result = await context.sendEffect(worker, commands);
    if (result.isOk()) {
      const isReleased = members.every((_, index) => result.value[index]?.isOk === true);
      if (!isReleased) await stopAfterLoss(context, gang, worker, members);
      for (const member of members) {
        if (member.phase === MemberPhase.Held) member.phase = MemberPhase.Running;
      }
      return;
    }
    await waitFor(clock, settings.retryMs);
  }
}

/** Releases all held members of a gang whose row is `running`. */
export async function releaseMembers(context: OwnerContext, gang: Gang): Promise<void> {
  const held = gang.members.filter((member) => member.phase === MemberPhase.Held);
  await Promise.all(
    [...listByWorker(held)].map(([worker, members]) =>
      releaseOnWorker(context, gang, worker, members),
    ),
  );
}

/**
 * Starts a gang: writes `starting`, holds all members, writes `running`, releases all. False when
 * the gang has to end or the ownership period ended.
 */
export async function startMembers(
  context: OwnerContext,
  jobs: JobBook,
  entry: JobEntry,
  gang: Gang,
): Promise<boolean> {
  const { placement, attempt } = gang;
  const isStarting = await jobs.writeRow(entry, (record) => ({
    ...record,
    state: JobState.Starting,
    placement,
    attempts: attempt,
  }));
  if (!isStarting) failStart(context, gang, '', 'row not written');
  if (isStopped(gang)) return false;
  await holdMembers(context, entry, gang);
  const isHeld = gang.members.every((member) => member.phase === MemberPhase.Held);
  if (!isHeld || isStopped(gang)) return false;
  const isRunning = await jobs.writeRow(entry, (record) =>
    isStopped(gang) ? undefined : { ...record, state: JobState.Running },
  );
  if (!isRunning) failStart(context, gang, '', 'row not written');
  if (isStopped(gang)) return false;
  gang.phase = GangPhase.Running;
  await releaseMembers(context, gang);
  if (!context.isOpen()) return false;
  context.pushEvent({ kind: EventKind.GangRunning, jobId: gang.jobId, attempt });
  context.metrics.count('gang.starts');
  return true;
}

/** Reads `stop` anew; other tasks set it while a call is awaited. */
function isStopped(gang: Gang): boolean {
  return gang.stop !== undefined;
}
