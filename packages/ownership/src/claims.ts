import type { ObjectStore, RowValue, Table } from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { match } from 'ts-pattern';
import { ClaimStatus } from './claim.ts';
import type { ClaimKey, ClaimReply, Claims, StoredOutcome } from './claim.ts';
import type { GroupCommitter } from './committer.ts';
import { TransactionStatus, WritePriority } from './transaction.ts';
import type { TransactionReply } from './transaction.ts';

/** Options of `createClaims`. */
export interface ClaimsOptions {
  table: Table;
  committer: GroupCommitter;
  /** Stores bodies above `maxInlineBodyBytes`. */
  objects: ObjectStore;
  /** Id of this process; written to the row for operators only. */
  daemon: string;
}

/** Largest body, in bytes of base64 text, that is stored in the claim row itself. */
export const maxInlineBodyBytes = 16_384;

/** Value of a claim row. */
interface ClaimRecord {
  state: 'claimed' | 'done';
  daemon: string;
  digest: string;
  status: number;
  contentType: string;
  body: string;
  /** Hash of the body in the object store; empty when the body is in the row. */
  object: string;
}

// Claims of requests in progress; 10,000 of them take about 2 MB.
const maxHeldClaims = 10_000;

function createStoreFault(message: string): Fault {
  return createFault(FaultCode.StoreUnavailable, message, { retryAfterMs: 1000 });
}

function createRowKey(key: ClaimKey): string {
  return `claim/${encodeURIComponent(key.account)}/${encodeURIComponent(key.requestId)}`;
}

function createWriteFault(reply: TransactionReply): Fault {
  return match(reply)
    .with({ status: TransactionStatus.Unavailable }, ({ message }) => createStoreFault(message))
    .with({ status: TransactionStatus.Conflict }, () =>
      createFault(FaultCode.Conflict, 'claim was changed concurrently'),
    )
    .otherwise(() =>
      createFault(FaultCode.UnknownOutcome, 'outcome of the claim write is unknown'),
    );
}

/** Creates durable claims, one row `claim/<account>/<requestId>` each. */
export function createClaims(options: ClaimsOptions): Claims {
  const { table, committer, objects, daemon } = options;
  /** Row versions of the claims that this daemon holds, by row key. */
  const heldVersions = new Map<string, number>();

  function createRecord(key: ClaimKey): ClaimRecord {
    const empty = { status: 0, contentType: '', body: '', object: '' };
    return { state: 'claimed', daemon, digest: key.digest, ...empty };
  }

  function addHeldClaim(rowKey: string, version: number): void {
    const oldest =
      heldVersions.size >= maxHeldClaims ? heldVersions.keys().next().value : undefined;
    if (oldest !== undefined) heldVersions.delete(oldest);
    heldVersions.set(rowKey, version);
  }

  async function loadOutcome(record: ClaimRecord): Promise<Result<StoredOutcome, Fault>> {
    const { status, contentType, body, object } = record;
    if (object === '') return Ok({ status, contentType, body });
    const loaded = await objects.getObject(object);
    return loaded.map((text) => ({ status, contentType, body: text }));
  }

  /** Reads an existing claim, written by an earlier or a concurrent call. */
  async function loadClaim(key: ClaimKey, rowKey: string): Promise<Result<ClaimReply, Fault>> {
    const row = await table.getRow(rowKey);
    if (row.isErr()) return Err(createStoreFault(row.error.message));
    if (row.value === undefined) return Err(createStoreFault('claim was released concurrently'));
    const record = row.value.value as unknown as ClaimRecord;
    if (record.digest !== key.digest) return Ok({ status: ClaimStatus.Mismatch });
    if (record.state !== 'done') return Ok({ status: ClaimStatus.Unknown });
    const outcome = await loadOutcome(record);
    return outcome.map((loaded) => ({ status: ClaimStatus.Stored, outcome: loaded }));
  }

  async function buildDoneRecord(key: ClaimKey, outcome: StoredOutcome) {
    const record: ClaimRecord = { ...createRecord(key), state: 'done', ...outcome };
    if (outcome.body.length <= maxInlineBodyBytes) return Ok(record);
    const hash = await objects.putObject(outcome.body);
    return hash.map((object) => ({ ...record, body: '', object }));
  }

  async function updateHeldClaim(
    rowKey: string,
    value: RowValue | null,
  ): Promise<Result<void, Fault>> {
    const version = heldVersions.get(rowKey);
    if (version === undefined) {
      return Err(createFault(FaultCode.NotFound, 'claim is not held by this daemon'));
    }
    const reply = await committer.submit({
      conditions: [{ key: rowKey, version }],
      writes: [{ key: rowKey, value }],
      priority: WritePriority.Outcome,
    });
    // Unless the write certainly failed, the row may have changed, so the version is obsolete.
    if (reply.status !== TransactionStatus.Unavailable) heldVersions.delete(rowKey);
    if (reply.status === TransactionStatus.Committed) return Ok(undefined);
    return Err(createWriteFault(reply));
  }

  return {
    async claim(key) {
      const rowKey = createRowKey(key);
      const reply = await committer.submit({
        conditions: [{ key: rowKey, version: 0 }],
        writes: [{ key: rowKey, value: createRecord(key) as unknown as RowValue }],
        priority: WritePriority.NewWork,
      });
      if (reply.status === TransactionStatus.Committed) {
        const version = reply.versions[rowKey];
        if (version === undefined) return Ok({ status: ClaimStatus.Unknown });
        addHeldClaim(rowKey, version);
        return Ok({ status: ClaimStatus.Acquired });
      }
      if (reply.status === TransactionStatus.Conflict) return loadClaim(key, rowKey);
      if (reply.status === TransactionStatus.Unknown) return Ok({ status: ClaimStatus.Unknown });
      return Err(createStoreFault(reply.message));
    },
    async storeOutcome(key, outcome) {
      const record = await buildDoneRecord(key, outcome);
      if (record.isErr()) return record;
      return updateHeldClaim(createRowKey(key), record.value as unknown as RowValue);
    },
    async releaseClaim(key) {
      return updateHeldClaim(createRowKey(key), null);
    },
  };
}
