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
  isCancelPushed: boolean;
  /** Writes of one row follow one another. */
  lastWrite: Promise<boolean>;
}

/** A gang member with its gang. */
export interface PlacedMember {
  gang: Gang;
  member: GangMember;
}

/** Jobs of the region that have not ended, and the writes of their rows. */
export interface JobBook {
  get(jobId: string): JobEntry | undefined;
  list(): JobEntry[];
  /** Sets the gang of a job. */
  addGang(entry: JobEntry, gang: Gang): void;
  /** Forgets the gang of a job whose members are all gone. */
  removeGang(entry: JobEntry): void;
  /** Members placed on a worker. */
  listMembers(worker: string): readonly PlacedMember[];
  /** Takes a row that was read; tells the placement core of a new job or a cancellation. */
  addRow(row: GangJobRow): void;
  /** Takes a row without telling the placement core. */
  addEntry(row: GangJobRow): JobEntry;
  /** Tells the placement core of a job that waits. */
  announceJob(entry: JobEntry): void;
  /** Tells the placement core once when the job is marked for cancellation. */
  announceCancel(entry: JobEntry): void;
  /**
   * Writes the row that `build` derives from the current one; `undefined` writes nothing. Tries
   * until it is in force; false when the ownership period ended before or the row is gone.
   */
  writeRow(entry: JobEntry, build: BuildRecord): Promise<boolean>;
  getWallAgeMs(wallMs: number): number;
  /** Forgets a job whose row ended or is gone. */
  removeEntry(jobId: string): void;
  /** Forgets jobs that ended before the last call but one; called before each reading of all rows. */
  startScan(): void;
}

/** Derives the next record from the current one. */
export type BuildRecord = (record: GangJobRecord) => GangJobRecord | undefined;

/** Creates an empty book. */
export function createJobBook(context: OwnerContext): JobBook {
  const entries = new Map<string, JobEntry>();
  const placed = new Map<string, PlacedMember[]>();
  // Jobs that ended lately. A row read before the end may be seen after it.
  let endedLately = new Set<string>();
  let endedBefore = new Set<string>();
  const { clock, settings, jobStore } = context;

  function addEntry(row: GangJobRow): JobEntry {
    const lastWrite = Promise.resolve(true);
    const entry: JobEntry = { row, gang: undefined, isCancelPushed: false, lastWrite };
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
    if (entry.isCancelPushed || !entry.row.record.isCancelRequested) return;
    entry.isCancelPushed = true;
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

  function addRow(row: GangJobRow): void {
    const { record, version } = row;
    const entry = entries.get(record.jobId);
    if (entry === undefined) {
      // Only the owner moves a row out of `queued`, and it keeps an entry for each that did.
      const isOld = endedLately.has(record.jobId) || endedBefore.has(record.jobId);
      if (record.state === JobState.Queued && !isOld) announceJob(addEntry(row));
    } else if (version > entry.row.version) {
      entry.row = row;
      if (entry.gang?.isKnownToCore !== false) announceCancel(entry);
    }
  }

  function removeEntry(jobId: string): void {
    entries.delete(jobId);
    endedLately.add(jobId);
  }

  async function reload(entry: JobEntry): Promise<boolean> {
    const found = await jobStore.getJob(entry.row.record.jobId);
    if (found.isOk()) addRow(found.value);
    else if (found.error.code === FaultCode.NotFound) return false;
    else await waitFor(clock, settings.retryMs);
    return true;
  }

  /** True or false when the write is decided; `undefined` to try again. */
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
    if (!(await reload(entry))) return false;
    // Only the owner changes these fields, so a row that shows them is its own write.
    const { state, attempts } = entry.row.record;
    const isInForce = state === next.state && attempts === next.attempts;
    if (isEnded(state)) removeEntry(next.jobId);
    return isInForce ? true : undefined;
  }

  async function writeUntilDecided(entry: JobEntry, build: BuildRecord): Promise<boolean> {
    while (await context.waitUntilAllowed()) {
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
    addRow,
    addEntry,
    announceJob,
    announceCancel,
    getWallAgeMs,
    startScan() {
      endedBefore = endedLately;
      endedLately = new Set();
    },
    writeRow(entry, build) {
      entry.lastWrite = entry.lastWrite.then(() => writeUntilDecided(entry, build));
      return entry.lastWrite;
    },
  };
}
