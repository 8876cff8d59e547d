import type { Commit, Row, RowPage } from '@bergamotreach/hosting';
import { maxCommitWrites } from '@bergamotreach/hosting';

/** Result of a conditional commit: the new versions, or the keys whose condition failed. */
export interface StoreCommitResult {
  isCommitted: boolean;
  versions: Record<string, number>;
  conflicts: string[];
}

/** In-memory table with multi-row conditional commits. */
export interface MemoryStore {
  getRow(key: string): Row | undefined;
  listRows(prefix: string, after: string, limit: number): RowPage;
  commit(commit: Commit): StoreCommitResult;
  countRows(): number;
}

/** Creates an empty table. The version of a key keeps increasing after its row was deleted. */
export function createMemoryStore(): MemoryStore {
  const rows = new Map<string, Row>();
  const lastVersions = new Map<string, number>();

  function findConflicts(commit: Commit): string[] {
    return commit.conditions
      .filter((condition) => (rows.get(condition.key)?.version ?? 0) !== condition.version)
      .map((condition) => condition.key);
  }

  function applyWrite(write: Commit['writes'][number], operationId: string): number {
    if (write.value === null) {
      rows.delete(write.key);
      return 0;
    }
    const version = (lastVersions.get(write.key) ?? 0) + 1;
    lastVersions.set(write.key, version);
    rows.set(write.key, { key: write.key, version, value: write.value, operationId });
    return version;
  }

  function commit(requested: Commit): StoreCommitResult {
    const conflicts = findConflicts(requested);
    if (conflicts.length > 0) return { isCommitted: false, versions: {}, conflicts };
    const versions: Record<string, number> = {};
    for (const write of requested.writes) {
      versions[write.key] = applyWrite(write, requested.operationId);
    }
    return { isCommitted: true, versions, conflicts: [] };
  }

  function listRows(prefix: string, after: string, limit: number): RowPage {
    const keys = [...rows.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const page = keys.slice(0, limit);
    const pageRows = page.flatMap((key) => rows.get(key) ?? []);
    const last = page.at(-1);
    return keys.length > limit && last !== undefined
      ? { rows: pageRows, next: last }
      : { rows: pageRows };
  }

  return {
    getRow: (key) => rows.get(key),
    listRows,
    commit,
    countRows: () => rows.size,
  };
}

/** Explains why a commit is malformed; `undefined` when it is well formed. */
export function findCommitError(value: unknown): string | undefined {
  const commit = value as Partial<Commit> | null;
  if (typeof commit?.operationId !== 'string') return 'operationId must be a string';
  if (!Array.isArray(commit.conditions)) return 'conditions must be an array';
  if (!Array.isArray(commit.writes)) return 'writes must be an array';
  if (commit.writes.length > maxCommitWrites) return `more than ${maxCommitWrites} writes`;
  return undefined;
}
