import type { Row, Table } from '@bergamotreach/hosting';
import { TransactionStatus, getRequiredVersion } from './transaction.ts';
import type { PendingTransaction, Transaction, TransactionReply } from './transaction.ts';

/** What reading back showed about one transaction. */
export type ReadBack =
  | { isDecided: true; reply: TransactionReply }
  /** Not in force when read; may be sent again, since its conditions admit one attempt only. */
  | { isDecided: false };

type Rows = ReadonlyMap<string, Row | undefined>;

async function readRows(table: Table, keys: string[]): Promise<Rows | undefined> {
  const rows = new Map<string, Row | undefined>();
  // The first read alone tells whether the store answers at all.
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

/** A deletion leaves no operation id; absence is what it asked for. */
function isDeleted(transaction: Transaction, rows: Rows): boolean {
  return transaction.writes.every(
    ({ key, value }) => value === null && rows.get(key) === undefined,
  );
}

function findBroken(transaction: Transaction, rows: Rows): string[] {
  return transaction.writes
    .map(({ key }) => key)
    .filter((key) => (rows.get(key)?.version ?? 0) !== getRequiredVersion(transaction, key));
}

/** A row with its required version, which proves that the commit has not taken effect yet. */
function findWitness(group: readonly PendingTransaction[], rows: Rows): string | undefined {
  for (const { transaction } of group) {
    for (const { key, value } of transaction.writes) {
      const isSame = (rows.get(key)?.version ?? 0) === getRequiredVersion(transaction, key);
      if (value !== null && isSame) return key;
    }
  }
  return undefined;
}

/** Versions grow with each write, so the next version by another writer excludes our own write. */
function isOvertaken(transaction: Transaction, rows: Rows): boolean {
  return transaction.writes.some(({ key }) => {
    const version = getRequiredVersion(transaction, key) ?? 0;
    return rows.get(key)?.version === version + 1;
  });
}

function createConflict(conflicts: string[]): ReadBack {
  return { isDecided: true, reply: { status: TransactionStatus.Conflict, conflicts } };
}

/**
 * Reads the rows of transactions whose common commit got no reply, and decides each by operation
 * id. Returns `undefined` when the store could not be read.
 */
export async function readBack(
  table: Table,
  group: readonly PendingTransaction[],
): Promise<ReadBack[] | undefined> {
  const keys = group.flatMap((entry) => entry.transaction.writes.map((write) => write.key));
  const rows = await readRows(table, keys);
  if (rows === undefined) return undefined;
  const witness = findWitness(group, rows);
  const later = witness === undefined ? undefined : await readRows(table, [witness]);
  const isWitnessed =
    witness !== undefined && later?.get(witness)?.version === rows.get(witness)?.version;
  const seenIds = new Set(
    [...rows.values(), ...(later?.values() ?? [])].map((r) => r?.operationId),
  );

  return group.map(({ transaction, pastIds }) => {
    const ids = new Set(pastIds);
    // A commit is atomic: one row with its id shows that all its writes took effect.
    if (pastIds.some((id) => seenIds.has(id)) || isDeleted(transaction, rows)) {
      const versions = listVersions(transaction, rows, ids);
      return { isDecided: true, reply: { status: TransactionStatus.Committed, versions } };
    }
    const broken = findBroken(transaction, rows);
    if (broken.length === 0) return { isDecided: false };
    const isExcluded = pastIds.length === 1 && (isWitnessed || isOvertaken(transaction, rows));
    if (isExcluded) return createConflict(broken);
    const message = 'reply lost and rows overwritten since';
    return { isDecided: true, reply: { status: TransactionStatus.Unknown, message } };
  });
}
