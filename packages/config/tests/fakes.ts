import { computeHash, FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault, LogFields, Logger, ManualClock } from '@bergamotreach/protocol';
import { CommitStatus, ObjectStore, Table } from '@bergamotreach/hosting';
import type { Commit, CommitReply, Row, RowPage } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Behaviour of the fake table for one commit. */
export enum CommitBehaviour {
  Normal = 'normal',
  /** The commit takes effect, but the reply is lost. */
  LostReply = 'lostReply',
  /** The request is lost. */
  LostRequest = 'lostRequest',
  /** The request arrives only when `deliverDelayed` is called. */
  Delayed = 'delayed',
  Refused = 'refused',
}

const createDownFault = (): Result<never, Fault> =>
  Err(createFault(FaultCode.StoreUnavailable, 'store is down'));

/** In-memory table with lost replies, delayed commits and outages. */
export class FakeTable extends Table {
  readonly rows = new Map<string, Row>();
  readonly behaviours: CommitBehaviour[] = [];
  isDown = false;
  commits = 0;
  /** Runs once before the next commit, to simulate a competing operator. */
  beforeCommit: (() => Promise<void>) | undefined;
  private readonly delayed: Commit[] = [];

  getPartition(): string {
    return '';
  }

  getRow(key: string): Promise<Result<Row | undefined, Fault>> {
    return Promise.resolve(this.isDown ? createDownFault() : Ok(this.rows.get(key)));
  }

  listRows(): Promise<Result<RowPage, Fault>> {
    return Promise.resolve(Ok({ rows: [...this.rows.values()] }));
  }

  async commit(commit: Commit): Promise<CommitReply> {
    const before = this.beforeCommit;
    this.beforeCommit = undefined;
    await before?.();
    this.commits += 1;
    const behaviour = this.isDown
      ? CommitBehaviour.Refused
      : (this.behaviours.shift() ?? CommitBehaviour.Normal);
    if (behaviour === CommitBehaviour.Refused)
      return { status: CommitStatus.Unavailable, message: 'down' };
    if (behaviour === CommitBehaviour.Delayed) this.delayed.push(commit);
    const isApplied =
      behaviour === CommitBehaviour.Normal || behaviour === CommitBehaviour.LostReply;
    const reply = isApplied ? this.applyCommit(commit) : undefined;
    if (behaviour === CommitBehaviour.Normal && reply !== undefined) return reply;
    return { status: CommitStatus.Ambiguous, message: 'no reply' };
  }

  /** Delivers the delayed commits. */
  deliverDelayed(): void {
    for (const commit of this.delayed.splice(0)) this.applyCommit(commit);
  }

  private applyCommit(commit: Commit): CommitReply {
    const conflicts = commit.conditions
      .filter(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (conflicts.length > 0) return { status: CommitStatus.Conflict, conflicts };
    const versions: Record<string, number> = {};
    for (const { key, value } of commit.writes) {
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      versions[key] = version;
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, version, value, operationId: commit.operationId });
    }
    return { status: CommitStatus.Committed, versions };
  }
}

/** In-memory object store with outages; tests change `contents` to simulate corruption. */
export class FakeObjectStore extends ObjectStore {
  readonly contents = new Map<string, string>();
  isDown = false;
  reads = 0;

  putObject(content: string): Promise<Result<string, Fault>> {
    if (this.isDown) return Promise.resolve(createDownFault());
    const hash = computeHash(content);
    this.contents.set(hash, content);
    return Promise.resolve(Ok(hash));
  }

  getObject(hash: string): Promise<Result<string, Fault>> {
    this.reads += 1;
    if (this.isDown) return Promise.resolve(createDownFault());
    const content = this.contents.get(hash);
    const missing = createFault(FaultCode.NotFound, `no object ${hash}`);
    return Promise.resolve(content === undefined ? Err(missing) : Ok(content));
  }
}

/** Creates a logger that records all events. */
export function createRecordingLogger(): Logger & { events: (LogFields & { event: string })[] } {
  const events: (LogFields & { event: string })[] = [];
  const add = (event: string, fields?: LogFields): void => {
    events.push({ ...fields, event });
  };
  return { debug: add, info: add, warn: add, error: add, events };
}

/** Formats a configuration file that sets the weight of one account. */
export function formatAccount(id: string, weight: number): string {
  return JSON.stringify({ accounts: { [id]: { weight } } });
}

/** Advances time in steps until a condition holds. */
export async function advanceUntil(clock: ManualClock, isMet: () => boolean): Promise<void> {
  while (!isMet()) await clock.advance(50);
}

/** Advances time until a promise settles, and returns its value. */
export async function advanceUntilDone<T>(clock: ManualClock, pending: Promise<T>): Promise<T> {
  let isSettled = false;
  void pending.finally(() => {
    isSettled = true;
  });
  await advanceUntil(clock, () => isSettled);
  return pending;
}
