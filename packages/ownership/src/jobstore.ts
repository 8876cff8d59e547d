import type { Row, RowCondition, RowValue, Table } from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { match } from 'ts-pattern';
import type { GroupCommitter } from './committer.ts';
import { JobState, isEnded } from './jobrecord.ts';
import type { JobRecord, JobRow, JobSubmission } from './jobrecord.ts';
import { TransactionStatus, WritePriority } from './transaction.ts';
import type { TransactionReply } from './transaction.ts';

/** Options of a job store. */
export interface JobStoreOptions {
  table: Table;
  committer: GroupCommitter;
  region: string;
  /** Wall-clock time in milliseconds, for the times shown to users. */
  getWallMs: () => number;
}

/** Result of an insert. */
export interface JobInsert<Spec, Placement> {
  row: JobRow<Spec, Placement>;
  /** False for a retry of a submission that was accepted before. */
  isNew: boolean;
}

/** One page of job rows in order of job id. */
export interface JobPage<Spec, Placement> {
  rows: JobRow<Spec, Placement>[];
  /** Pass as `after` for the next page; absent on the last. */
  next?: string;
}

/** Job rows of a region. */
export interface JobStore<Spec, Placement> {
  /**
   * Accepts a job. Idempotent: a retry of the same submission returns the existing row. Faults:
   * `duplicate_id` (another submission has this id), `store_unavailable` (not accepted),
   * `unknown_outcome` (may be accepted; retrying is safe).
   */
  insertJob(submission: JobSubmission<Spec>): Promise<Result<JobInsert<Spec, Placement>, Fault>>;
  /** Reads a job. Faults: `not_found`, `store_unavailable`. */
  getJob(jobId: string): Promise<Result<JobRow<Spec, Placement>, Fault>>;
  /**
   * Writes a row as owner, conditional on the row's version and the epoch. Faults: `conflict` (the
   * row changed), `not_owner` (another daemon took over), `store_unavailable` (not written),
   * `unknown_outcome`.
   */
  updateJob(
    row: JobRow<Spec, Placement>,
    next: JobRecord<Spec, Placement>,
    epoch: RowCondition,
  ): Promise<Result<JobRow<Spec, Placement>, Fault>>;
  /** Deletes the row of an ended job as owner. Faults as for `updateJob`. */
  removeJob(row: JobRow<Spec, Placement>, epoch: RowCondition): Promise<Result<void, Fault>>;
  /**
   * Marks a job for cancellation; the owner then ends it. The row of an ended job is returned
   * unchanged. Faults: `not_found`, `store_unavailable`, `unknown_outcome`, `conflict` (retry).
   */
  cancelJob(jobId: string): Promise<Result<JobRow<Spec, Placement>, Fault>>;
  /** Lists the rows after job id `after`, one page. Faults: `store_unavailable`. */
  listPage(after?: string, limit?: number): Promise<Result<JobPage<Spec, Placement>, Fault>>;
  /** Calls `visit` for each job row of the region. Faults: `store_unavailable`. */
  listAll(visit: (row: JobRow<Spec, Placement>) => void): Promise<Result<void, Fault>>;
}

// Only the owner's few writes of the same job can conflict with the cancellation mark.
const maxCancelAttempts = 4;
const pageRows = 500;

function createReplyFault(reply: TransactionReply, key: string, subject: string): Fault {
  return match(reply)
    .with({ status: TransactionStatus.Conflict }, ({ conflicts }) =>
      conflicts.includes(key)
        ? createFault(FaultCode.Conflict, `${subject} was changed concurrently`)
        : createFault(FaultCode.NotOwner, `another daemon owns the region of ${subject}`),
    )
    .with({ status: TransactionStatus.Unavailable }, ({ message }) =>
      createFault(FaultCode.StoreUnavailable, message, { retryAfterMs: 1000 }),
    )
    .otherwise(() =>
      createFault(FaultCode.UnknownOutcome, `outcome of writing ${subject} is unknown`),
    );
}

function createRecord<Spec, Placement>(
  submission: JobSubmission<Spec>,
  acceptedAtMs: number,
): JobRecord<Spec, Placement> {
  return {
    ...submission,
    state: JobState.Queued,
    attempts: 0,
    placement: null,
    attainedSeconds: 0,
    failedWorkers: [],
    isCancelRequested: false,
    acceptedAtMs,
    endedAtMs: 0,
    message: '',
  };
}

/** Creates the store of a region's job rows, `job/<region>/<jobId>`. */
export function createJobStore<Spec, Placement>(
  options: JobStoreOptions,
): JobStore<Spec, Placement> {
  type Stored = JobRecord<Spec, Placement>;
  type StoredRow = JobRow<Spec, Placement>;
  const { table, committer, region, getWallMs } = options;
  const prefix = `job/${region}/`;

  function parseRow(row: Row): StoredRow {
    return { version: row.version, record: row.value as unknown as Stored };
  }

  async function getJob(jobId: string): Promise<Result<StoredRow, Fault>> {
    const result = await table.getRow(prefix + jobId);
    if (result.isErr()) return result;
    if (result.value === undefined) {
      return Err(createFault(FaultCode.NotFound, `job ${jobId} does not exist`));
    }
    return Ok(parseRow(result.value));
  }

  async function writeRecord(
    record: Stored,
    version: number,
    extra: RowCondition[],
    priority: WritePriority,
  ): Promise<Result<StoredRow, Fault>> {
    const key = prefix + record.jobId;
    const reply = await committer.submit({
      conditions: [{ key, version }, ...extra],
      writes: [{ key, value: record as unknown as RowValue }],
      priority,
    });
    if (reply.status !== TransactionStatus.Committed) {
      return Err(createReplyFault(reply, key, `job ${record.jobId}`));
    }
    const written = reply.versions[key];
    // The write was applied, but another one overwrote it before it was read back.
    if (written === undefined) return Err(createFault(FaultCode.Conflict, 'row was overwritten'));
    return Ok({ version: written, record });
  }

  async function markCancelled(row: StoredRow): Promise<Result<StoredRow, Fault>> {
    const { record, version } = row;
    if (isEnded(record.state) || record.isCancelRequested) return Ok(row);
    const marked = { ...record, isCancelRequested: true };
    return writeRecord(marked, version, [], WritePriority.NewWork);
  }

  async function listPage(
    after?: string,
    limit = pageRows,
  ): Promise<Result<JobPage<Spec, Placement>, Fault>> {
    const start = after === undefined ? undefined : prefix + after;
    const result = await table.listRows(prefix, start, limit);
    return result.map(({ rows, next }) => ({
      rows: rows.map(parseRow),
      ...(next === undefined ? {} : { next: next.slice(prefix.length) }),
    }));
  }

  return {
    getJob,
    listPage,
    async insertJob(submission) {
      const record = createRecord<Spec, Placement>(submission, getWallMs());
      const written = await writeRecord(record, 0, [], WritePriority.NewWork);
      if (written.isOk()) return Ok({ row: written.value, isNew: true });
      if (written.error.code !== FaultCode.Conflict) return written;
      const existing = await getJob(submission.jobId);
      if (existing.isErr()) return existing;
      if (existing.value.record.digest === submission.digest) {
        return Ok({ row: existing.value, isNew: false });
      }
      const message = `job ${submission.jobId} exists with different content`;
      return Err(createFault(FaultCode.DuplicateId, message));
    },
    updateJob(row, next, epoch) {
      const isStart = next.state === JobState.Starting || next.state === JobState.Running;
      const priority = isStart ? WritePriority.NewWork : WritePriority.Outcome;
      return writeRecord(next, row.version, [epoch], priority);
    },
    async removeJob(row, epoch) {
      const key = prefix + row.record.jobId;
      const reply = await committer.submit({
        conditions: [{ key, version: row.version }, epoch],
        writes: [{ key, value: null }],
        priority: WritePriority.NewWork,
      });
      if (reply.status === TransactionStatus.Committed) return Ok(undefined);
      return Err(createReplyFault(reply, key, `job ${row.record.jobId}`));
    },
    async cancelJob(jobId) {
      let fault = createFault(FaultCode.Conflict, `job ${jobId} was changed concurrently`);
      for (let attempt = 0; attempt < maxCancelAttempts; attempt += 1) {
        const row = await getJob(jobId);
        if (row.isErr()) return row;
        const marked = await markCancelled(row.value);
        if (marked.isOk() || marked.error.code !== FaultCode.Conflict) return marked;
        fault = marked.error;
      }
      return Err(fault);
    },
    async listAll(visit) {
      let after: string | undefined;
      do {
        const page = await listPage(after);
        if (page.isErr()) return page;
        for (const row of page.value.rows) visit(row);
        after = page.value.next;
      } while (after !== undefined);
      return Ok(undefined);
    },
  };
}
