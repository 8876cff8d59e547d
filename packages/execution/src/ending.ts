import { JobState } from '@bergamotreach/ownership';
import { EventKind, GangEnd, StopReason } from '@bergamotreach/placement';
import { CommandKind } from '@bergamotreach/hosting';
import { waitFor } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import { GangPhase, MemberPhase, computeUsedSeconds, isPresent, listByWorker } from './gang.ts';
import type { Gang, GangMember, GangStop } from './gang.ts';
import type { JobBook, JobEntry } from './jobs.ts';
import { readTasks } from './tasks.ts';
import type { GangJobRecord } from './options.ts';

/** Checkpoints are looked for this often in the time given, but not faster than `minPollMs`. */
const checkpointPolls = 20;
const minPollMs = 50;

function getDeadline(gang: Gang): number {
  return gang.stop?.deadlineMs ?? 0;
}

async function requestCheckpoints(context: OwnerContext, members: GangMember[]): Promise<void> {
  const groups = [...listByWorker(members)];
  await Promise.all(
    groups.map(([worker, group]) => {
      const commands = group.map(
        ({ taskId }) => ({ kind: CommandKind.Checkpoint, taskId }) as const,
      );
      return context.sendEffect(worker, commands);
    }),
  );
}

/** Lists the tasks of the members' workers, which updates the members. */
async function pollMembers(context: OwnerContext, members: GangMember[]): Promise<void> {
  const workers = [...listByWorker(members).keys()];
  await Promise.all(
    workers.map(async (id) => {
      const worker = context.workers.get(id);
      const result = worker === undefined ? undefined : await context.listTasks(worker);
      if (result?.isOk() === true) readTasks(members, id, result.value.tasks);
    }),
  );
}

/** Gives members time to checkpoint, until all have or the deadline passes. */
async function waitForCheckpoints(context: OwnerContext, gang: Gang): Promise<void> {
  const { clock } = context;
  const graceMs = getDeadline(gang) - clock.getNowMs();
  const members = gang.members.filter((member) => member.phase === MemberPhase.Running);
  if (graceMs <= 0 || members.length === 0) return;
  gang.phase = GangPhase.Checkpointing;
  for (const member of members) member.hasCheckpoint = false;
  await requestCheckpoints(context, members);
  const pollMs = Math.max(minPollMs, graceMs / checkpointPolls);
  const isReady = (member: GangMember): boolean =>
    member.hasCheckpoint || member.phase !== MemberPhase.Running;
  while (context.isOpen() && !members.every(isReady)) {
    const leftMs = getDeadline(gang) - clock.getNowMs();
    if (leftMs <= 0) return;
    await Promise.race([waitFor(clock, Math.min(pollMs, leftMs)), gang.woken]);
    await pollMembers(context, members);
  }
}

/** Stops the members on one worker, or waits until their leases certainly ran out. */
async function stopOnWorker(
  context: OwnerContext,
  worker: string,
  members: GangMember[],
): Promise<void> {
  const { clock, settings } = context;
  const waitMs = settings.taskLeaseMs + settings.taskMarginMs;
  const commands = members.map(({ taskId }) => ({ kind: CommandKind.Stop, taskId }) as const);
  while (await context.waitUntilAllowed()) {
    const result = await context.sendEffect(worker, commands);
    const expiryMs = Math.max(...members.map((member) => member.leaseFromMs)) + waitMs;
    const isExpired = clock.getNowMs() >= expiryMs;
    if (result.isOk() || isExpired) {
      for (const member of members) member.phase = MemberPhase.Gone;
      return;
    }
    await waitFor(clock, settings.retryMs);
  }
}

/** Stops what is left of a gang; returns when no member can run any more. */
export async function stopMembers(context: OwnerContext, gang: Gang): Promise<void> {
  if (gang.stop?.end !== GangEnd.Done) await waitForCheckpoints(context, gang);
  gang.phase = GangPhase.Stopping;
  const groups = [...listByWorker(gang.members.filter(isPresent))];
  await Promise.all(groups.map(([worker, members]) => stopOnWorker(context, worker, members)));
}

function buildQueued(record: GangJobRecord, gang: Gang, stop: GangStop): GangJobRecord {
  const failed = stop.end === GangEnd.MemberFailed ? [stop.worker] : [];
  return {
    ...record,
    state: JobState.Queued,
    placement: null,
    attainedSeconds: record.attainedSeconds + computeUsedSeconds(gang),
    failedWorkers: [...new Set([...record.failedWorkers, ...failed])],
  };
}

/** Builds the row of a job whose gang came to its end. */
function buildEnded(
  context: OwnerContext,
  record: GangJobRecord,
  gang: Gang,
  stop: GangStop,
): GangJobRecord {
  const queued = buildQueued(record, gang, stop);
  const endedAtMs = context.getWallMs();
  if (stop.end === GangEnd.Done) return { ...queued, state: JobState.Done, endedAtMs };
  const isCancel = stop.end === GangEnd.Stopped && stop.reason === StopReason.Cancel;
  return isCancel ? { ...queued, state: JobState.Cancelled, endedAtMs } : queued;
}

/** Forgets a job whose row was deleted by another party. */
function dropJob(context: OwnerContext, jobs: JobBook, gang: Gang): void {
  const { jobId, attempt } = gang;
  context.logger.error('job_row_missing', { job: jobId, attempt });
  jobs.removeEntry(jobId);
  if (!gang.isKnownToCore) return;
  context.pushEvent({ kind: EventKind.JobsCancelled, jobIds: [jobId] });
  const end = GangEnd.Stopped;
  context.pushEvent({ kind: EventKind.GangEnded, jobId, attempt, end, worker: '' });
}

/** Writes the end of a gang and tells the placement core that its cells are free. */
export async function finishGang(
  context: OwnerContext,
  jobs: JobBook,
  entry: JobEntry,
  gang: Gang,
): Promise<void> {
  const { stop, jobId, attempt } = gang;
  if (stop === undefined) return;
  const isWritten = await jobs.writeRow(entry, (record) => buildEnded(context, record, gang, stop));
  if (!context.isOpen()) return;
  jobs.removeGang(entry);
  if (!isWritten) {
    dropJob(context, jobs, gang);
    return;
  }
  const { end, worker } = stop;
  context.logger.info('gang_ended', { job: jobId, attempt, end, worker });
  context.metrics.count('gang.ends', 1, { end });
  if (gang.isKnownToCore) {
    context.pushEvent({ kind: EventKind.GangEnded, jobId, attempt, end, worker });
  } else if (jobs.get(jobId) === entry) {
    jobs.announceJob(entry);
  }
}
