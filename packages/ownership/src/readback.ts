import type { Row, Table } from '@bergamotreach/hosting';
import { TransactionStatus, getRequiredVersion } from './transaction.ts';
import type { PendingTransaction, Transaction, TransactionReply } from './transaction.ts';

/** What a read-back showed about one transaction. */
export type ReadBackResult =
  | { isDecided: true; reply: TransactionReply }
  /** Not applied when read. Retrying is safe, since its conditions let only one attempt succeed. */
  | { isDecided: false };

type Rows = ReadonlyMap<string, Row | undefined>;

async function readRows(table: Table, keys: string[]): Promise<Rows | undefined> {
  const rows = new Map<string, Row | undefined>();
  // One row is read first, so that a store that is down costs a single read.
  for (const batch of [keys.slice(0, 1), keys.slice(1)]) {
    const results = await Promise.all(batch.map((key) => table.getRow(key)));
    for (const [index, result] of results.entries()) {
      if (result.isErr()) return undefined;
      rows.set(batch[index] ?? '', result.value);
    }
  }
  return rows;
}

function listVersions(transaction: Transaction, rows: Rows, ids: Set<string>) {
  const versions: Record<string, number> = {};
  for (const { key } of transaction.writes) {
    const row = rows.get(key);
    if (row !== undefined && ids.has(row.operationId)) versions[key] = row.version;
  }
  return versions;
}

/** A deleted row has no operation id; if all rows are gone, the deletion counts as applied. */
function isDeleted(transaction: Transaction, rows: Rows): boolean {
  return transaction.writes.every(
    ({ key, value }) => value === null && rows.get(key) === undefined,
  );
}

function findConflicts(transaction: Transaction, rows: Rows): string[] {
  return transaction.writes
    .map(({ key }) => key)
    .filter((key) => (rows.get(key)?.version ?? 0) !== getRequiredVersion(transaction, key));
}

/** A row that still has its required version, which proves that the commit is not applied yet. */
function findUnchangedKey(group: readonly PendingTransaction[], rows: Rows): string | undefined {
  for (const { transaction } of group) {
    for (const { key, value } of transaction.writes) {
      const isSame = (rows.get(key)?.version ?? 0) === getRequiredVersion(transaction, key);
      if (value !== null && isSame) return key;
    }
  }
  return undefined;
}

/**
 * Tells whether the version after the required one is another writer's. Versions grow with each
 * write, so this rules out the transaction's own write.
 */
function isSuperseded(transaction: Transaction, rows: Rows): boolean {
  return transaction.writes.some(({ key }) => {
    const version = getRequiredVersion(transaction, key) ?? 0;
    return rows.get(key)?.version === version + 1;
  });
}

function createConflict(conflicts: string[]): ReadBackResult {
  return { isDecided: true, reply: { status: TransactionStatus.Conflict, conflicts } };
}

/**
 * Reads back an ambiguous commit: reads the rows of its transactions and decides each one by
 * operation id. Returns `undefined` when the store cannot be read.
 */
export async function readBack(
  table: Table,
  group: readonly PendingTransaction[],
): Promise<ReadBackResult[] | undefined> {
  const keys = group.flatMap((entry) => entry.transaction.writes.map((write) => write.key));
  const rows = await readRows(table, keys);
  if (rows === undefined) return undefined;
  const unchangedKey = findUnchangedKey(group, rows);
  const reread = unchangedKey === undefined ? undefined : await readRows(table, [unchangedKey]);
  const isStillUnchanged =
    unchangedKey !== undefined &&
    reread?.get(unchangedKey)?.version === rows.get(unchangedKey)?.version;
  const seenIds = new Set(
    [...rows.values(), ...(reread?.values() ?? [])].map((r) => r?.operationId),
  );

  return group.map(({ transaction, ambiguousIds }) => {
    const ids = new Set(ambiguousIds);
    // Commits are atomic: one row with the operation id shows that all writes were applied.
    if (ambiguousIds.some((id) => seenIds.has(id)) || isDeleted(transaction, rows)) {
      const versions = listVersions(transaction, rows, ids);
      return { isDecided: true, reply: { status: TransactionStatus.Committed, versions } };
    }
    const conflicts = findConflicts(transaction, rows);
    if (conflicts.length === 0) return { isDecided: false };
    // A row of the commit that is still unchanged after the conflict was read, or the next version by
    // another writer, shows that another writer caused the conflict, so the commit cannot succeed.
    const isRuledOut =
      ambiguousIds.length === 1 && (isStillUnchanged || isSuperseded(transaction, rows));
    if (isRuledOut) return createConflict(conflicts);
    const message = 'reply lost and rows overwritten since then';
    return { isDecided: true, reply: { status: TransactionStatus.Unknown, message } };
  });
}
