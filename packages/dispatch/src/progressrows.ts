import { getJsonBytes } from '@bergamotreach/hosting';
import {
  encodeChunk,
  encodeCrashes,
  encodeGroup,
  getChunk,
  listChunkTasks,
  mergeChunks,
} from '@bergamotreach/scheduling';
import type { CrashRow, GroupRecord, Task, TaskGroup } from '@bergamotreach/scheduling';
import type { JobHead } from './jobrows.ts';

/** A row to write. */
export interface RowChange<T> {
  key: string;
  value: T;
}

/** Name of a row with the progress or the crash records of a group, within its table. */
interface GroupRowName {
  groupKey: string;
  /** Absent from the row of a whole group. */
  chunk: number | undefined;
}

const groupKeyParts = 3;

/** Name of the row of a whole group, or of one of its chunks. */
export function formatGroupRow(groupKey: string, chunk?: number): string {
  return chunk === undefined ? groupKey : `${groupKey}.${chunk}`;
}

/** Parses the name of a row of a group; the name of a later version's row may have more parts. */
export function parseGroupRow(name: string): GroupRowName {
  const parts = name.split('.');
  const chunk = parts[groupKeyParts];
  const groupKey = parts.slice(0, groupKeyParts).join('.');
  return { groupKey, chunk: chunk === undefined ? undefined : Number(chunk) };
}

/** Names of the rows that hold some tasks of a group. */
export function listGroupRows(group: TaskGroup, tasks: readonly Task[]): string[] {
  if (!group.isChunked) return [group.key];
  return [...new Set(tasks.map(getChunk))].map((chunk) => formatGroupRow(group.key, chunk));
}

/** Encoded progress of a group. */
export interface EncodedProgress {
  rows: RowChange<GroupRecord>[];
  /** Number of checkpoints that did not fit. */
  omitted: number;
}

/**
 * Rows to write after a change of some tasks of a group, each of at most `maxBytes`. A group whose row grows beyond
 * that is written in chunks from then on.
 */
export function encodeProgress(
  group: TaskGroup,
  tasks: readonly Task[],
  maxBytes: number,
): EncodedProgress {
  let changed = tasks;
  if (!group.isChunked) {
    const record = encodeGroup(group);
    if (getJsonBytes(record) <= maxBytes) {
      return { rows: [{ key: group.key, value: record }], omitted: 0 };
    }
    group.isChunked = true;
    changed = group.tasks;
  }
  let omitted = 0;
  const rows = [...new Set(changed.map(getChunk))].map((chunk) => {
    const encoded = encodeChunk(group, chunk, maxBytes, getJsonBytes);
    omitted += encoded.omitted;
    return { key: formatGroupRow(group.key, chunk), value: encoded.record };
  });
  return { rows, omitted };
}

/** Rows to write after a change of the crash records of some tasks. */
export function encodeCrashRows(group: TaskGroup, tasks: readonly Task[]): RowChange<CrashRow>[] {
  if (!group.isChunked) return [{ key: group.key, value: encodeCrashes(group) }];
  return [...new Set(tasks.map(getChunk))].map((chunk) => ({
    key: formatGroupRow(group.key, chunk),
    value: encodeCrashes(group, listChunkTasks(group, chunk)),
  }));
}

/** What the store holds of the progress of a group. */
interface StoredGroup {
  whole: GroupRecord | undefined;
  chunks: Map<number, GroupRecord>;
}

/** What the store holds of the progress of a job. */
export interface StoredProgress {
  head: JobHead | undefined;
  /** Occurrences of which there is a row, in order. */
  listOccurrences(): number[];
  /** Merged record of a group, and whether it is stored in chunks. */
  findGroup(groupKey: string): { record: GroupRecord; isChunked: boolean } | undefined;
  /** Names of the rows of an occurrence. */
  listRows(occurrence: number): string[];
}

/** Rows of jobs as they were read at a takeover. */
export interface ProgressRows {
  addGroup(name: string, record: GroupRecord): void;
  addHead(jobId: string, head: JobHead): void;
  /** Removes and returns the rows of a job. */
  take(jobId: string): StoredProgress;
  /** Drops the rows of jobs that nobody needs any more. */
  dropJobs(isUnneeded: (jobId: string) => boolean): void;
}

interface StoredJob {
  head: JobHead | undefined;
  groups: Map<string, StoredGroup>;
}

function getOccurrence(groupKey: string): number {
  return Number(groupKey.split('.')[1]);
}

function createStoredProgress({ head, groups }: StoredJob): StoredProgress {
  return {
    head,
    listOccurrences: () =>
      [...new Set([...groups.keys()].map(getOccurrence))].sort((a, b) => a - b),
    findGroup(groupKey) {
      const group = groups.get(groupKey);
      if (group === undefined) return undefined;
      const { whole, chunks } = group;
      return { record: mergeChunks(whole, chunks), isChunked: chunks.size > 0 };
    },
    listRows: (occurrence) =>
      [...groups]
        .filter(([groupKey]) => getOccurrence(groupKey) === occurrence)
        .flatMap(([groupKey, { whole, chunks }]) => [
          ...(whole === undefined ? [] : [groupKey]),
          ...[...chunks.keys()].map((chunk) => formatGroupRow(groupKey, chunk)),
        ]),
  };
}

/** Progress of a job of which nothing is stored. */
export const noProgress = createStoredProgress({ head: undefined, groups: new Map() });

/** Creates an empty set of rows. */
export function createProgressRows(): ProgressRows {
  const jobs = new Map<string, StoredJob>();

  function getJob(jobId: string): StoredJob {
    const job = jobs.get(jobId) ?? { head: undefined, groups: new Map<string, StoredGroup>() };
    jobs.set(jobId, job);
    return job;
  }

  return {
    addGroup(name, record) {
      const { groupKey, chunk } = parseGroupRow(name);
      const { groups } = getJob(groupKey.split('.')[0] ?? '');
      const group = groups.get(groupKey) ?? {
        whole: undefined,
        chunks: new Map<number, GroupRecord>(),
      };
      groups.set(groupKey, group);
      if (chunk === undefined) group.whole = record;
      else group.chunks.set(chunk, record);
    },
    addHead(jobId, head) {
      getJob(jobId).head = head;
    },
    take(jobId) {
      const job = jobs.get(jobId);
      jobs.delete(jobId);
      return job === undefined ? noProgress : createStoredProgress(job);
    },
    dropJobs(isUnneeded) {
      for (const jobId of jobs.keys()) if (isUnneeded(jobId)) jobs.delete(jobId);
    },
  };
}
