import { CommitStatus, Table, getJsonBytes } from '@bergamotreach/hosting';
import type {
  Commit,
  CommitReply,
  Row,
  RowPage,
  RowValue,
  TableLimits,
} from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault, ManualClock } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { FakeProcess } from './fakeprocess.ts';

const maxPartitionWaitMs = 1000;
const busyReplyMs = 20;

/** What happens to the next commits. */
export enum TableFault {
  None = 'none',
  /** Refuses every call at once. */
  Down = 'down',
  /** Commits take effect, but their replies are lost. */
  LostReply = 'lostReply',
  /** Commits are lost before they reach the table. */
  LostRequest = 'lostRequest',
  /** The reply is lost and the commit takes effect `lateMs` later, if its conditions still hold. */
  LateEffect = 'lateEffect',
}

/** A commit that was applied. */
export interface AcceptedCommit extends Commit {
  processId: string;
  sentMs: number;
  atMs: number;
}

/** Rows and faults shared by the tables of all processes. */
export class TableState {
  readonly rows = new Map<string, Row>();
  /** Version of the latest commit. */
  version = 0;
  readonly accepted: AcceptedCommit[] = [];
  readonly listeners: ((commit: AcceptedCommit) => void)[] = [];
  fault = TableFault.None;
  /** Applies writes even if their conditions fail, which a correct table never does. */
  ignoresConditions = false;
  lateMs = 1500;
  latencyMs = 0;
  /** Sizes that the table takes. A commit beyond them is rejected, and counted. */
  limits: TableLimits = { rowBytes: Infinity, commitBytes: Infinity };
  /** Whether a row is rejected whatever its size. */
  isRejected: (key: string, value: RowValue) => boolean = () => false;
  rejections = 0;
  /** Time that a partition takes per commit; a commit that would wait over a second is refused. */
  partitionCommitMs = 0;
  /** Keys of rows whose values cannot be decoded. */
  readonly unreadableKeys = new Set<string>();
  readonly busyUntilMs = new Map<string, number>();
  /** Returns the partition of a key. */
  getPartition: (key: string) => string = () => '';
  reads = 0;
  commits = 0;

  constructor(readonly clock: ManualClock) {}

  /** Whether the table refuses a commit for its content. */
  hasFlaw(commit: Commit): boolean {
    const isTooLarge = commit.writes.some(
      ({ key, value }) =>
        value !== null &&
        (getJsonBytes(value) > this.limits.rowBytes || this.isRejected(key, value)),
    );
    const { conditions, writes } = commit;
    return isTooLarge || getJsonBytes({ conditions, writes }) > this.limits.commitBytes;
  }

  apply(commit: Commit, processId: string, sentMs: number): CommitReply {
    const conflicts = commit.conditions
      .filter(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (conflicts.length > 0 && !this.ignoresConditions)
      return { status: CommitStatus.Conflict, conflicts };
    const versions: Record<string, number> = {};
    // All rows share one counter, so that a feed's position can be compared with row versions.
    this.version += 1;
    const { version } = this;
    for (const { key, value } of commit.writes) {
      if (value === null) this.rows.delete(key);
      else {
        const copy = structuredClone(value);
        this.rows.set(key, { key, version, value: copy, operationId: commit.operationId });
      }
      versions[key] = version;
    }
    const accepted = { ...commit, processId, sentMs, atMs: this.clock.getNowMs() };
    this.accepted.push(accepted);
    for (const listener of this.listeners) listener(accepted);
    return { status: CommitStatus.Committed, versions };
  }

  listKeys(prefix: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(prefix)).sort();
  }
}

/** In-memory table as one process sees it. */
export class FakeTable extends Table {
  constructor(
    private readonly state: TableState,
    private readonly process: FakeProcess,
  ) {
    super();
  }

  getPartition(key: string): string {
    return this.state.getPartition(key);
  }

  override getLimits(): TableLimits {
    return this.state.limits;
  }

  async getRow(key: string): Promise<Result<Row | undefined, Fault>> {
    if (this.state.unreadableKeys.has(key)) {
      const fault = createFault(FaultCode.Protocol, `invalid row ${key}`);
      return this.process.call(() => Err(fault));
    }
    return this.read(() => this.state.rows.get(key));
  }

  async listRows(prefix: string, after = '', limit = 100): Promise<Result<RowPage, Fault>> {
    return this.read(() => {
      const keys = this.state.listKeys(prefix).filter((key) => key > after);
      const rows = keys.slice(0, limit).flatMap((key) => this.state.rows.get(key) ?? []);
      const last = rows.at(-1)?.key;
      const hasMore = keys.length > limit && last !== undefined;
      return { rows, ...(hasMore ? { next: last } : {}) };
    });
  }

  async commit(commit: Commit): Promise<CommitReply> {
    const sentMs = this.process.getNowMs();
    const { state } = this;
    if (state.partitionCommitMs > 0) return this.commitSerially(commit, sentMs);
    return this.process.call(() => {
      state.commits += 1;
      return this.applyFault(commit, sentMs);
    }, state.latencyMs);
  }

  private async commitSerially(commit: Commit, sentMs: number): Promise<CommitReply> {
    const { state } = this;
    const nowMs = state.clock.getNowMs();
    const partition = this.getPartition(commit.conditions[0]?.key ?? '');
    const freeAtMs = Math.max(nowMs, state.busyUntilMs.get(partition) ?? 0);
    state.commits += 1;
    if (freeAtMs - nowMs > maxPartitionWaitMs) {
      const refusal: CommitReply = { status: CommitStatus.Unavailable, message: 'partition busy' };
      return this.process.call(() => refusal, busyReplyMs);
    }
    state.busyUntilMs.set(partition, freeAtMs + state.partitionCommitMs);
    const latencyMs = 2 * (freeAtMs + state.partitionCommitMs - nowMs);
    return this.process.call(() => this.applyFault(commit, sentMs), latencyMs);
  }

  private applyFault(commit: Commit, sentMs: number): CommitReply {
    const { state, process } = this;
    if (state.fault !== TableFault.Down && state.hasFlaw(commit)) {
      state.rejections += 1;
      return { status: CommitStatus.Rejected, message: 'too large' };
    }
    const lost: CommitReply = { status: CommitStatus.Ambiguous, message: 'reply lost' };
    switch (state.fault) {
      case TableFault.None:
        return state.apply(commit, process.id, sentMs);
      case TableFault.Down:
        return { status: CommitStatus.Unavailable, message: 'connection refused' };
      case TableFault.LostReply:
        state.apply(commit, process.id, sentMs);
        return lost;
      case TableFault.LostRequest:
        return lost;
      case TableFault.LateEffect:
        state.clock.setTimer(state.lateMs, () => state.apply(commit, process.id, sentMs));
        return lost;
    }
  }

  private async read<T>(getValue: () => T): Promise<Result<T, Fault>> {
    return this.process.call(() => {
      this.state.reads += 1;
      if (this.state.fault !== TableFault.Down) return Ok(structuredClone(getValue()));
      return Err(createFault(FaultCode.StoreUnavailable, 'connection refused'));
    }, this.state.latencyMs);
  }
}
