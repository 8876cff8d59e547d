import { ObjectStore, Table } from '@bergamotreach/hosting';
import type { Commit, CommitReply, Row, RowPage, TableLimits } from '@bergamotreach/hosting';
import type { Clock, Fault, Metrics } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** Options of the measuring wrappers. */
export interface MeasureOptions {
  clock: Clock;
  metrics: Metrics;
}

/** Runs a store call; reports its duration and result as metrics. */
async function measureCall<T>(
  { clock, metrics }: MeasureOptions,
  call: string,
  run: () => Promise<T>,
  getResult: (value: T) => string,
): Promise<T> {
  const startMs = clock.getNowMs();
  const value = await run();
  const tags = { call, result: getResult(value) };
  metrics.count('store.calls', 1, tags);
  metrics.reportTiming('store.call_duration', clock.getNowMs() - startMs, tags);
  return value;
}

function getResultCode(result: Result<unknown, Fault>): string {
  return result.isOk() ? 'ok' : result.error.code;
}

class MeasuredTable extends Table {
  constructor(
    private readonly inner: Table,
    private readonly options: MeasureOptions,
  ) {
    super();
  }

  getPartition(key: string): string {
    return this.inner.getPartition(key);
  }

  override getLimits(): TableLimits {
    return this.inner.getLimits();
  }

  override getCommitBytes(content: Pick<Commit, 'conditions' | 'writes'>): number {
    return this.inner.getCommitBytes(content);
  }

  override getSendMs(commit: Commit): number {
    return this.inner.getSendMs(commit);
  }

  async getRow(key: string): Promise<Result<Row | undefined, Fault>> {
    return measureCall(this.options, 'get_row', () => this.inner.getRow(key), getResultCode);
  }

  async listRows(prefix: string, after?: string, limit?: number): Promise<Result<RowPage, Fault>> {
    const run = async (): Promise<Result<RowPage, Fault>> =>
      this.inner.listRows(prefix, after, limit);
    return measureCall(this.options, 'list_rows', run, getResultCode);
  }

  async commit(commit: Commit): Promise<CommitReply> {
    const run = async (): Promise<CommitReply> => this.inner.commit(commit);
    return measureCall(this.options, 'commit', run, (reply) => reply.status);
  }
}

class MeasuredObjectStore extends ObjectStore {
  constructor(
    private readonly inner: ObjectStore,
    private readonly options: MeasureOptions,
  ) {
    super();
  }

  async putObject(content: string): Promise<Result<string, Fault>> {
    const run = async (): Promise<Result<string, Fault>> => this.inner.putObject(content);
    return measureCall(this.options, 'put_object', run, getResultCode);
  }

  async getObject(hash: string): Promise<Result<string, Fault>> {
    return measureCall(this.options, 'get_object', () => this.inner.getObject(hash), getResultCode);
  }
}

/** Wraps a table to count and time each call; results are passed through unchanged. */
export function createMeasuredTable(inner: Table, options: MeasureOptions): Table {
  return new MeasuredTable(inner, options);
}

/** Wraps an object store to count and time each call; results are passed through unchanged. */
export function createMeasuredObjectStore(
  inner: ObjectStore,
  options: MeasureOptions,
): ObjectStore {
  return new MeasuredObjectStore(inner, options);
}
