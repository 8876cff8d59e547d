import { JobState } from '@bergamotreach/ownership';
import { EventKind, GangEnd, StopReason } from '@bergamotreach/placement';
import { CommandKind } from '@bergamotreach/hosting';
import { waitFor } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import { GangPhase, MemberPhase, computeUsedSeconds, groupByWorker, isOccupying } from './gang.ts';
import type { Gang, GangMember, GangStop } from './gang.ts';
import type { JobEntry, JobRegistry } from './jobs.ts';
import type { GangJobRecord } from './options.ts';
import { updateMembers } from './tasks.ts';

/** Number of polls for checkpoints during the grace period, at least `minPollMs` apart. */
const checkpointPolls = 20;
const minPollMs = 50;

function getDeadlineMs(gang: Gang): number {
  return gang.stop?.deadlineMs ?? 0;
}

async function requestCheckpoints(context: OwnerContext, members: GangMember[]): Promise<void> {
  const groups = [...groupByWorker(members)];
  await Promise.all(
    groups.map(([worker, group]) => {
      const commands = group.map(
        ({ taskId }) => ({ kind: CommandKind.Checkpoint, taskId }) as const,
      );
      return context.sendCommands(worker, commands);
    }),
  );
}

/** Updates the members from the task lists of their workers. */
async function pollMembers(context: OwnerContext, members: GangMember[]): Promise<void> {
  const workers = [...groupByWorker(members).keys()];
  await Promise.all(
    workers.map(async (id) => {
      const worker = context.workers.get(id);
      const result = worker === undefined ? undefined : await context.listTasks(worker);
      if (result?.isOk() === true) updateMembers(members, id, result.value.tasks);
    }),
  );
}

/** Requests checkpoints and waits until all running members have one or the deadline passes. */
async function waitForCheckpoints(context: OwnerContext, gang: Gang): Promise<void> {
  const { clock } = context;
  const graceMs = getDeadlineMs(gang) - clock.getNowMs();
  const members = gang.members.filter((member) => member.phase === MemberPhase.Running);
  if (graceMs <= 0 || members.length === 0) return;
  gang.phase = GangPhase.Checkpointing;
  for (const member of members) member.hasCheckpoint = false;
  await requestCheckpoints(context, members);
  const pollMs = Math.max(minPollMs, graceMs / checkpointPolls);
  const isReady = (member: GangMember): boolean =>
    member.hasCheckpoint || member.phase !== MemberPhase.Running;
  while (context.isOpen() && !members.every(isReady)) {
    const leftMs = getDeadlineMs(gang) - clock.getNowMs();
    if (leftMs <= 0) return;
    await Promise.race([waitFor(clock, Math.min(pollMs, leftMs)), gang.stopChanged]);
    await pollMembers(context, members);
  }
}

/** Stops the members on one worker, or waits until their leases have certainly expired. */
async function stopOnWorker(
  context: OwnerContext,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const { clock, settings } = context;
  const waitMs = settings.taskLeaseMs + settings.taskMarginMs;
  const commands = members.map(({ taskId }) => ({ kind: CommandKind.Stop, taskId }) as const);
  while (await context.waitForLease()) {
    const result = await context.sendCommands(worker, commands);
    const expiryMs = Math.max(...members.map((member) => member.leaseFromMs)) + waitMs;
    const isExpired = clock.getNowMs() >= expiryMs;
    if (result.isOk() || isExpired) {
      for (const member of members) member.phase = MemberPhase.Gone;
      return;
    }
    await waitFor(clock, settings.retryMs);
  }
}

/** Stops the remaining members of a gang; resolves when none can still be running. */
export async function stopMembers(context: OwnerContext, gang: Gang): Promise<void> {
  if (gang.stop?.end !== GangEnd.Done) await waitForCheckpoints(context, gang);
  gang.phase = GangPhase.Stopping;
  const groups = [...groupByWorker(gang.members.filter(isOccupying))];
  await Promise.all(groups.map(([worker, members]) => stopOnWorker(context, worker, members)));
}

function buildQueuedRecord(record: GangJobRecord, gang: Gang, stop: GangStop): GangJobRecord {
  const failed = stop.end === GangEnd.MemberFailed ? [stop.worker] : [];
  return {
    ...record,
    state: JobState.Queued,
    placement: null,
    attainedSeconds: record.attainedSeconds + computeUsedSeconds(gang),
    failedWorkers: [...new Set([...record.failedWorkers, ...failed])],
  };
}

/** Builds the record of a job whose gang ended: done, cancelled or queued again. */
function buildEndedRecord(
  context: OwnerContext,
  record: GangJobRecord,
  gang: Gang,
  stop: GangStop,
): GangJobRecord {
  const queued = buildQueuedRecord(record, gang, stop);
  const endedAtMs = context.getWallMs();
  if (stop.end === GangEnd.Done) return { ...queued, state: JobState.Done, endedAtMs };
  const isCancel = stop.end === GangEnd.Stopped && stop.reason === StopReason.Cancel;
  return isCancel ? { ...queued, state: JobState.Cancelled, endedAtMs } : queued;
}

/** Removes a job whose row no longer exists, and its gang from the scheduler. */
function removeMissingJob(context: OwnerContext, jobs: JobRegistry, gang: Gang): void {
  const { jobId, attempt } = gang;
  context.logger.error('job_row_missing', { job: jobId, attempt });
  jobs.removeEntry(jobId);
  if (!gang.isKnownToScheduler) return;
  context.pushEvent({ kind: EventKind.JobsCancelled, jobIds: [jobId] });
  const end = GangEnd.Stopped;
  context.pushEvent({ kind: EventKind.GangEnded, jobId, attempt, end, worker: '' });
}

/** Writes the end of a gang to its row, then tells the scheduler that its resources are free. */
export async function finishGang(
  context: OwnerContext,
  jobs: JobRegistry,
  entry: JobEntry,
  gang: Gang,
): Promise<void> {
  const { stop, jobId, attempt } = gang;
  if (stop === undefined) return;
  const isWritten = await jobs.writeRow(entry, (record) =>
    buildEndedRecord(context, record, gang, stop),
  );
  if (!context.isOpen()) return;
  jobs.removeGang(entry);
  if (!isWritten) {
    removeMissingJob(context, jobs, gang);
    return;
  }
  const { end, worker } = stop;
  context.logger.info('gang_ended', { job: jobId, attempt, end, worker });
  context.metrics.count('gang.ends', 1, { end });
  if (gang.isKnownToScheduler) {
    context.pushEvent({ kind: EventKind.GangEnded, jobId, attempt, end, worker });
  } else if (jobs.get(jobId) === entry) {
    jobs.announceJob(entry);
  }
}
