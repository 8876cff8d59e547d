import { JobState } from '@bergamotreach/ownership';
import { EventKind, GangEnd } from '@bergamotreach/placement';
import { CommandKind } from '@bergamotreach/hosting';
import type { CommandResult } from '@bergamotreach/hosting';
import { FaultCode, waitFor } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import { GangPhase, MemberPhase, buildTaskSpec, groupByWorker, requestStop } from './gang.ts';
import type { Gang, GangMember } from './gang.ts';
import type { JobEntry, JobRegistry } from './jobs.ts';
import { MemberLoss, updateMembers } from './tasks.ts';

function failStart(context: OwnerContext, gang: Gang, worker: string, reason: string): void {
  context.logger.warn('gang_start_failed', { job: gang.jobId, worker, why: reason });
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

/** Holds the members on one worker. A call without a reply is retried until the start times out. */
async function holdOnWorker(
  context: OwnerContext,
  entry: JobEntry,
  gang: Gang,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const { clock, settings } = context;
  const { taskLeaseMs: leaseMs } = settings;
  const tasks = members.map((member) => buildTaskSpec(entry.row.record, member));
  while (gang.stop === undefined) {
    for (const member of members) member.phase = MemberPhase.Sent;
    const commands = tasks.map((task) => ({ kind: CommandKind.Hold, task, leaseMs }) as const);
    const result = await context.sendCommands(worker, commands);
    const nowMs = clock.getNowMs();
    for (const member of members) member.leaseFromMs = nowMs;
    if (result.isOk()) {
      const refused = applyHoldResults(members, result.value, nowMs);
      if (refused !== undefined) failStart(context, gang, worker, refused.reason);
      return;
    }
    if (result.error.code !== FaultCode.WorkerUnavailable) {
      // The lease is not held or the epoch is stale, so the worker is not to blame.
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
    const unheld = gang.members.find((member) => member.phase !== MemberPhase.Held);
    if (unheld !== undefined) failStart(context, gang, unheld.worker, 'hold timed out');
  });
  const groups = [...groupByWorker(gang.members)];
  await Promise.all(
    groups.map(([worker, members]) => holdOnWorker(context, entry, gang, worker, members)),
  );
  cancelTimer();
}

/** Lists the worker's tasks to find out why a member could not be released; stops the gang. */
async function stopAfterLoss(
  context: OwnerContext,
  gang: Gang,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const entry = context.workers.get(worker);
  const listed = entry === undefined ? undefined : await context.listTasks(entry);
  const tasks = listed?.isOk() === true ? listed.value.tasks : [];
  const isFailed = updateMembers(members, worker, tasks) === MemberLoss.Failed;
  const end = isFailed ? GangEnd.MemberFailed : GangEnd.WorkerLost;
  requestStop(gang, { end, worker, deadlineMs: context.clock.getNowMs() });
}

/** Releases the members on one worker; retries until they run or the gang is stopped. */
async function releaseOnWorker(
  context: OwnerContext,
  gang: Gang,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const { clock, settings } = context;
  const commands = members.map(({ taskId }) => ({ kind: CommandKind.Release, taskId }) as const);
  while (gang.stop === undefined && (await context.waitForLease())) {
    const result = await context.sendCommands(worker, commands);
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
    [...groupByWorker(held)].map(([worker, members]) =>
      releaseOnWorker(context, gang, worker, members),
    ),
  );
}

/**
 * Starts a gang: writes `starting`, holds all members, writes `running`, releases all. Resolves to
 * false if the gang is stopped or the session ended.
 */
export async function startMembers(
  context: OwnerContext,
  jobs: JobRegistry,
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
  if (isStopRequested(gang)) return false;
  await holdMembers(context, entry, gang);
  const isHeld = gang.members.every((member) => member.phase === MemberPhase.Held);
  if (!isHeld || isStopRequested(gang)) return false;
  const isRunning = await jobs.writeRow(entry, (record) =>
    isStopRequested(gang) ? undefined : { ...record, state: JobState.Running },
  );
  if (!isRunning) failStart(context, gang, '', 'row not written');
  if (isStopRequested(gang)) return false;
  gang.phase = GangPhase.Running;
  await releaseMembers(context, gang);
  if (!context.isOpen()) return false;
  context.pushEvent({ kind: EventKind.GangRunning, jobId: gang.jobId, attempt });
  context.metrics.count('gang.starts');
  return true;
}

/** Reads `stop` again after an `await`, during which other calls may have set it. */
function isStopRequested(gang: Gang): boolean {
  return gang.stop !== undefined;
}
