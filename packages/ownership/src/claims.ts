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

/** Options of the claims. */
export interface ClaimsOptions {
  table: Table;
  committer: GroupCommitter;
  /** Keeps bodies above `maxStoredBodyBytes`. */
  objects: ObjectStore;
  /** Id of this process, for operators who read the row. */
  daemon: string;
}

/** Longest body, in base64 characters, that is kept in the claim row itself. */
export const maxStoredBodyBytes = 16_384;

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

// Held claims belong to requests in progress; 10,000 of them take about 2 MB.
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
      createFault(FaultCode.Conflict, 'claim changed meanwhile'),
    )
    .otherwise(() => createFault(FaultCode.UnknownOutcome, 'fate of the claim write unknown'));
}

/** Creates durable claims, one row `claim/<account>/<requestId>` each. */
export function createClaims(options: ClaimsOptions): Claims {
  const { table, committer, objects, daemon } = options;
  /** Row key to row version of the claims that this daemon holds. */
  const held = new Map<string, number>();

  function createRecord(key: ClaimKey): ClaimRecord {
    const empty = { status: 0, contentType: '', body: '', object: '' };
    return { state: 'claimed', daemon, digest: key.digest, ...empty };
  }

  function addHeld(rowKey: string, version: number): void {
    const oldest = held.size >= maxHeldClaims ? held.keys().next().value : undefined;
    if (oldest !== undefined) held.delete(oldest);
    held.set(rowKey, version);
  }

  async function loadOutcome(record: ClaimRecord): Promise<Result<StoredOutcome, Fault>> {
    const { status, contentType, body, object } = record;
    if (object === '') return Ok({ status, contentType, body });
    const loaded = await objects.getObject(object);
    return loaded.map((text) => ({ status, contentType, body: text }));
  }

  /** Reads the claim that another call wrote before this one. */
  async function loadClaim(key: ClaimKey, rowKey: string): Promise<Result<ClaimReply, Fault>> {
    const row = await table.getRow(rowKey);
    if (row.isErr()) return Err(createStoreFault(row.error.message));
    if (row.value === undefined) return Err(createStoreFault('claim was released meanwhile'));
    const record = row.value.value as unknown as ClaimRecord;
    if (record.digest !== key.digest) return Ok({ status: ClaimStatus.Mismatch });
    if (record.state !== 'done') return Ok({ status: ClaimStatus.Unknown });
    const outcome = await loadOutcome(record);
    return outcome.map((loaded) => ({ status: ClaimStatus.Stored, outcome: loaded }));
  }

  async function buildDone(key: ClaimKey, outcome: StoredOutcome) {
    const record: ClaimRecord = { ...createRecord(key), state: 'done', ...outcome };
    if (outcome.body.length <= maxStoredBodyBytes) return Ok(record);
    const hash = await objects.putObject(outcome.body);
    return hash.map((object) => ({ ...record, body: '', object }));
  }

  async function writeHeld(rowKey: string, value: RowValue | null): Promise<Result<void, Fault>> {
    const version = held.get(rowKey);
    if (version === undefined) {
      return Err(createFault(FaultCode.NotFound, 'claim is not held by this daemon'));
    }
    const reply = await committer.submit({
      conditions: [{ key: rowKey, version }],
      writes: [{ key: rowKey, value }],
      priority: WritePriority.Outcome,
    });
    // Without a certain refusal the row may have changed, so the version is of no further use.
    if (reply.status !== TransactionStatus.Unavailable) held.delete(rowKey);
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
        addHeld(rowKey, version);
        return Ok({ status: ClaimStatus.Acquired });
      }
      if (reply.status === TransactionStatus.Conflict) return loadClaim(key, rowKey);
      if (reply.status === TransactionStatus.Unknown) return Ok({ status: ClaimStatus.Unknown });
      return Err(createStoreFault(reply.message));
    },
    async storeOutcome(key, outcome) {
      const record = await buildDone(key, outcome);
      if (record.isErr()) return record;
      return writeHeld(createRowKey(key), record.value as unknown as RowValue);
    },
    async releaseClaim(key) {
      return writeHeld(createRowKey(key), null);
    },
  };
}
