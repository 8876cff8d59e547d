import { JobState, isEnded } from '@bergamotreach/ownership';
import { EventKind } from '@bergamotreach/placement';
import { FaultCode, waitFor } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import type { Gang, GangMember } from './gang.ts';
import type { GangJobRecord, GangJobRow } from './options.ts';

/** A job that has not ended. */
export interface JobEntry {
  row: GangJobRow;
  gang: Gang | undefined;
  /** Whether the scheduler was told of the cancellation. */
  isCancelAnnounced: boolean;
  /** The latest write of the row; the next one waits for it. */
  lastWrite: Promise<boolean>;
}

/** A gang member with its gang. */
export interface PlacedMember {
  gang: Gang;
  member: GangMember;
}

/** Jobs of the region that have not ended, and the writes of their rows. */
export interface JobRegistry {
  get(jobId: string): JobEntry | undefined;
  list(): JobEntry[];
  /** Sets the gang of a job. */
  addGang(entry: JobEntry, gang: Gang): void;
  /** Removes the gang of a job; none of its members may be running. */
  removeGang(entry: JobEntry): void;
  /** Members placed on a worker. */
  listMembers(worker: string): readonly PlacedMember[];
  /** Applies a row that was read; tells the scheduler of a new job or a cancellation. */
  applyRow(row: GangJobRow): void;
  /** Adds a row without telling the scheduler. */
  addEntry(row: GangJobRow): JobEntry;
  /** Tells the scheduler of a queued job. */
  announceJob(entry: JobEntry): void;
  /** Tells the scheduler, once, that the job is marked for cancellation. */
  announceCancel(entry: JobEntry): void;
  /**
   * Writes the record that `build` derives from the current one; `undefined` writes nothing.
   * Retries until it is applied; false if the session ended before, or the row ended or is gone.
   */
  writeRow(entry: JobEntry, build: BuildRecord): Promise<boolean>;
  /** Time passed since a wall-clock time; 0 for one in the future. */
  getWallAgeMs(wallMs: number): number;
  /** Removes a job whose row ended or is gone. */
  removeEntry(jobId: string): void;
  /** Must precede each full scan; discards the ids of jobs that ended before the previous one. */
  startScan(): void;
}

/** Derives the next record from the current one. */
export type BuildRecord = (record: GangJobRecord) => GangJobRecord | undefined;

/** Creates an empty registry. */
export function createJobRegistry(context: OwnerContext): JobRegistry {
  const entries = new Map<string, JobEntry>();
  const placed = new Map<string, PlacedMember[]>();
  // Ids of jobs that ended since the latest scan began, and between it and the one before. A stale
  // read can still show such a job as queued.
  let recentlyEnded = new Set<string>();
  let previouslyEnded = new Set<string>();
  const { clock, settings, jobStore } = context;

  function addEntry(row: GangJobRow): JobEntry {
    const lastWrite = Promise.resolve(true);
    const entry: JobEntry = { row, gang: undefined, isCancelAnnounced: false, lastWrite };
    entries.set(row.record.jobId, entry);
    return entry;
  }

  function getWallAgeMs(wallMs: number): number {
    return Math.max(0, context.getWallMs() - wallMs);
  }

  function addGang(entry: JobEntry, gang: Gang): void {
    entry.gang = gang;
    for (const member of gang.members) {
      const others = placed.get(member.worker);
      if (others === undefined) placed.set(member.worker, [{ gang, member }]);
      else others.push({ gang, member });
    }
  }

  function removeGang(entry: JobEntry): void {
    const { gang } = entry;
    if (gang === undefined) return;
    entry.gang = undefined;
    for (const worker of new Set(gang.members.map((member) => member.worker))) {
      const others = (placed.get(worker) ?? []).filter((one) => one.gang !== gang);
      if (others.length > 0) placed.set(worker, others);
      else placed.delete(worker);
    }
  }

  function announceCancel(entry: JobEntry): void {
    if (entry.isCancelAnnounced || !entry.row.record.isCancelRequested) return;
    entry.isCancelAnnounced = true;
    const { jobId } = entry.row.record;
    context.pushEvent({ kind: EventKind.JobsCancelled, jobIds: [jobId] });
  }

  function announceJob(entry: JobEntry): void {
    const { record } = entry.row;
    context.pushEvent({
      kind: EventKind.JobArrived,
      job: record.spec,
      acceptedAtMs: clock.getNowMs() - getWallAgeMs(record.acceptedAtMs),
      attempts: record.attempts,
      attainedSeconds: record.attainedSeconds,
      failedWorkers: record.failedWorkers,
    });
    announceCancel(entry);
  }

  function applyRow(row: GangJobRow): void {
    const { record, version } = row;
    const entry = entries.get(record.jobId);
    if (entry === undefined) {
      // Only the owner moves a row out of `queued`, and such a job has an entry until it ends.
      const hasEnded = recentlyEnded.has(record.jobId) || previouslyEnded.has(record.jobId);
      if (record.state === JobState.Queued && !hasEnded) announceJob(addEntry(row));
    } else if (version > entry.row.version) {
      entry.row = row;
      if (entry.gang?.isKnownToScheduler !== false) announceCancel(entry);
    }
  }

  function removeEntry(jobId: string): void {
    entries.delete(jobId);
    recentlyEnded.add(jobId);
  }

  async function reloadRow(entry: JobEntry): Promise<boolean> {
    const found = await jobStore.getJob(entry.row.record.jobId);
    if (found.isOk()) applyRow(found.value);
    else if (found.error.code === FaultCode.NotFound) return false;
    else await waitFor(clock, settings.retryMs);
    return true;
  }

  /** Resolves to whether the row was written, or to `undefined` if the write must be retried. */
  async function tryWrite(entry: JobEntry, build: BuildRecord): Promise<boolean | undefined> {
    if (isEnded(entry.row.record.state)) return false;
    const next = build(entry.row.record);
    if (next === undefined) return true;
    const condition = context.getEpochCondition();
    if (condition === undefined) return undefined;
    const result = await jobStore.updateJob(entry.row, next, condition);
    if (result.isOk()) {
      entry.row = result.value;
      if (isEnded(next.state)) removeEntry(next.jobId);
      return true;
    }
    const { code } = result.error;
    if (code === FaultCode.NotOwner) {
      context.close('epoch row changed');
      return false;
    }
    if (code === FaultCode.StoreUnavailable) {
      await waitFor(clock, settings.retryMs);
      return undefined;
    }
    if (!(await reloadRow(entry))) return false;
    // Only the owner changes these fields, so a row that has them shows its own write was applied.
    const { state, attempts } = entry.row.record;
    const isApplied = state === next.state && attempts === next.attempts;
    if (isEnded(state)) removeEntry(next.jobId);
    return isApplied ? true : undefined;
  }

  async function writeUntilDecided(entry: JobEntry, build: BuildRecord): Promise<boolean> {
    while (await context.waitForLease()) {
      const result = await tryWrite(entry, build);
      if (result !== undefined) return result;
    }
    return false;
  }

  return {
    get: (jobId) => entries.get(jobId),
    list: () => [...entries.values()],
    addGang,
    removeGang,
    removeEntry,
    listMembers: (worker) => placed.get(worker) ?? [],
    applyRow,
    addEntry,
    announceJob,
    announceCancel,
    getWallAgeMs,
    startScan() {
      previouslyEnded = recentlyEnded;
      recentlyEnded = new Set();
    },
    writeRow(entry, build) {
      entry.lastWrite = entry.lastWrite.then(() => writeUntilDecided(entry, build));
      return entry.lastWrite;
    },
  };
}
