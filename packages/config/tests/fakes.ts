import { computeHash, FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault, LogFields, Logger, ManualClock } from '@bergamotreach/protocol';
import { CommitStatus, ObjectStore, Table } from '@bergamotreach/hosting';
import type { Commit, CommitReply, Row, RowPage } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** What happens to the next commit. */
export enum CommitFate {
  Normal = 'normal',
  /** Takes effect, but the reply is lost. */
  LostReply = 'lostReply',
  /** The request is lost. */
  LostRequest = 'lostRequest',
  /** The request arrives only when `deliverLate` is called. */
  Late = 'late',
  Refused = 'refused',
}

const createDownFault = (): Result<never, Fault> =>
  Err(createFault(FaultCode.StoreUnavailable, 'store is down'));

/** Table in memory with lost replies, late commits and outages. */
export class FakeTable extends Table {
  readonly rows = new Map<string, Row>();
  readonly fates: CommitFate[] = [];
  isDown = false;
  commits = 0;
  /** Runs once before the next commit, as a competing operator. */
  beforeCommit: (() => Promise<void>) | undefined;
  private readonly late: Commit[] = [];

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
    const fate = this.isDown ? CommitFate.Refused : (this.fates.shift() ?? CommitFate.Normal);
    if (fate === CommitFate.Refused) return { status: CommitStatus.Unavailable, message: 'down' };
    if (fate === CommitFate.Late) this.late.push(commit);
    const isApplied = fate === CommitFate.Normal || fate === CommitFate.LostReply;
    const reply = isApplied ? this.applyCommit(commit) : undefined;
    if (fate === CommitFate.Normal && reply !== undefined) return reply;
    return { status: CommitStatus.Ambiguous, message: 'no reply' };
  }

  /** Lets commits that were held back arrive now. */
  deliverLate(): void {
    for (const commit of this.late.splice(0)) this.applyCommit(commit);
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

/** Object store in memory that can be down and can return wrong content. */
export class FakeObjects extends ObjectStore {
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

/** Logger that keeps the events. */
export function createListLogger(): Logger & { events: (LogFields & { event: string })[] } {
  const events: (LogFields & { event: string })[] = [];
  const add = (event: string, fields?: LogFields): void => {
    events.push({ ...fields, event });
  };
  return { debug: add, info: add, warn: add, error: add, events };
}

/** Formats a folder's file that sets one account's weight. */
export function formatAccount(id: string, weight: number): string {
  return JSON.stringify({ accounts: { [id]: { weight } } });
}

/** Moves time in steps until a condition holds. */
export async function advanceUntil(clock: ManualClock, isMet: () => boolean): Promise<void> {
  while (!isMet()) await clock.advance(50);
}

/** Moves time until a promise settles, and returns its value. */
export async function finish<T>(clock: ManualClock, pending: Promise<T>): Promise<T> {
  let isSettled = false;
  void pending.finally(() => {
    isSettled = true;
  });
  await advanceUntil(clock, () => isSettled);
  return pending;
}
