import { FaultCode, computeHash, createFault } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import type { ObjectStore, Table } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { checkFolder } from './check.ts';
import { commitHead } from './commit.ts';
import { buildConflict } from './conflict.ts';
import type { ConfigChange } from './conflict.ts';
import { buildHead, headKey } from './head.ts';
import type { ConfigHead } from './head.ts';
import { buildHistoryEntry, loadManifestChain } from './history.ts';
import type { HistoryEntry } from './history.ts';
import { createObjectCache } from './objects.ts';
import { checkRevision, formatManifest, parseManifest } from './revision.ts';
import type { ConfigRevision, Manifest } from './revision.ts';

/** Maximum number of changes that a conflict lists, and in which a retried change is searched. */
export const maxSearchedChanges = 500;

/** Options of a configuration store. */
export interface ConfigStoreOptions {
  table: Table;
  objectStore: ObjectStore;
  clock: Clock;
  /** Maximum number of attempts to commit or to resolve a lost reply. */
  maxAttempts?: number;
  /** Delay before the first retry; doubles with each further one. */
  retryMs?: number;
}

/** The revision that a change created. `manifest` is the hash of its manifest. */
export interface CommittedChange {
  revision: number;
  manifest: string;
}

/** Configuration revisions in the platform's table and object store. */
export interface ConfigStore {
  /** Reads the active revision; revision 0 when there is none. Faults: `store_unavailable`. */
  loadHead(): Promise<Result<ConfigHead, Fault>>;
  /**
   * Reads a complete revision and verifies its hashes. Files that are unchanged since the last loaded
   * revision are not read again. Faults: `store_unavailable`, `not_found`, `config_invalid`.
   */
  loadRevision(
    head: Pick<ConfigHead, 'revision' | 'manifest'>,
  ): Promise<Result<ConfigRevision, Fault>>;
  /**
   * Checks the folder with the change applied, and commits it. Idempotent: a retry with the same
   * operation id returns the revision it created. Faults: `bad_request`, `not_found` (file to remove),
   * `config_invalid` and `oversold` (details `{faults}`), `conflict` (details `ConflictDetails`),
   * `store_unavailable` and `unknown_outcome`.
   */
  commitChange(change: ConfigChange): Promise<Result<CommittedChange, Fault>>;
  /** Lists committed changes, newest first. Faults: `store_unavailable`, `config_invalid`. */
  loadHistory(limit: number): Promise<Result<HistoryEntry[], Fault>>;
}

/** Creates the configuration store. */
export function createConfigStore(options: ConfigStoreOptions): ConfigStore {
  const { table, objectStore } = options;
  const objects = createObjectCache(objectStore);

  async function loadHead(): Promise<Result<ConfigHead, Fault>> {
    const row = await table.getRow(headKey);
    return row.isErr() ? row : Ok(buildHead(row.value));
  }

  async function loadRevision(
    head: Pick<ConfigHead, 'revision' | 'manifest'>,
  ): Promise<Result<ConfigRevision, Fault>> {
    if (head.revision === 0) return Ok({ ...head, manifestText: '', files: {} });
    const text = await objectStore.getObject(head.manifest);
    if (text.isErr()) return text;
    const parsed = parseManifest(text.value);
    if (parsed.isErr()) return parsed;
    const files = await objects.loadFiles(parsed.value.files);
    if (files.isErr()) return files;
    const { revision, manifest } = head;
    const loaded = { revision, manifest, manifestText: text.value, files: files.value };
    return checkRevision(loaded).map(() => loaded);
  }

  async function commitChange(change: ConfigChange): Promise<Result<CommittedChange, Fault>> {
    const changeFault = checkChange(change);
    if (changeFault !== undefined) return Err(changeFault);
    const head = await loadHead();
    if (head.isErr()) return head;
    if (head.value.revision !== change.baseRevision) return resolveMovedHead(change, head.value);
    const base = await loadRevision(head.value);
    if (base.isErr()) return base;
    const files = applyChange(base.value.files, change);
    if (files.isErr()) return files;
    const checked = await checkFolder(files.value);
    if (checked.isErr()) return Err(joinFaults(checked.error));
    const stored = await putRevision(change, head.value, files.value);
    if (stored.isErr()) return stored;
    const prepared = { change, head: head.value, manifest: stored.value };
    return commitHead({ ...options, loadHead, resolveMovedHead }, prepared);
  }

  async function putRevision(
    change: ConfigChange,
    head: ConfigHead,
    files: Record<string, string>,
  ): Promise<Result<string, Fault>> {
    const stored = await objects.putFiles(change.put);
    if (stored.isErr()) return stored;
    return objectStore.putObject(formatManifest(buildManifest(change, head, files)));
  }

  // The change may already be committed: a retry after a lost reply finds its own operation id.
  async function resolveMovedHead(
    change: ConfigChange,
    head: ConfigHead,
  ): Promise<Result<CommittedChange, Fault>> {
    const chain = await loadManifestChain(
      objectStore,
      head.manifest,
      change.baseRevision,
      maxSearchedChanges,
    );
    if (chain.isErr()) {
      const message = `cannot determine whether the change was committed: ${chain.error.message}`;
      return Err(createFault(FaultCode.UnknownOutcome, message));
    }
    const existing = chain.value.find(
      ({ manifest }) => manifest.operationId === change.operationId,
    );
    if (existing !== undefined)
      return Ok({ revision: existing.manifest.revision, manifest: existing.hash });
    return Err(await buildConflict(objectStore, change, head.revision, chain.value));
  }

  async function loadHistory(limit: number): Promise<Result<HistoryEntry[], Fault>> {
    const head = await loadHead();
    if (head.isErr()) return head;
    const chain = await loadManifestChain(objectStore, head.value.manifest, 0, limit);
    return chain.map((manifests) => manifests.map(buildHistoryEntry));
  }

  return { loadHead, loadRevision, commitChange, loadHistory };
}

function checkChange(change: ConfigChange): Fault | undefined {
  const names = Object.keys(change.put);
  if (names.length + change.remove.length === 0) {
    return createFault(FaultCode.BadRequest, 'the change neither puts nor removes a file');
  }
  const both = change.remove.find((name) => Object.hasOwn(change.put, name));
  if (both === undefined) return undefined;
  const message = `file ${both} is both put and removed`;
  return createFault(FaultCode.BadRequest, message, { path: ['remove'] });
}

function applyChange(
  files: Record<string, string>,
  change: ConfigChange,
): Result<Record<string, string>, Fault> {
  const missing = change.remove.find((name) => !Object.hasOwn(files, name));
  if (missing !== undefined) {
    const message = `file ${missing} is not in revision ${change.baseRevision}`;
    return Err(createFault(FaultCode.NotFound, message, { path: ['remove'] }));
  }
  const kept = Object.entries(files).filter(([name]) => !change.remove.includes(name));
  return Ok({ ...Object.fromEntries(kept), ...change.put });
}

function buildManifest(
  change: ConfigChange,
  head: ConfigHead,
  files: Record<string, string>,
): Manifest {
  const hashes = Object.entries(files).map(
    ([name, content]) => [name, computeHash(content)] as const,
  );
  return {
    revision: head.revision + 1,
    parent: head.manifest,
    author: change.author,
    operationId: change.operationId,
    put: Object.keys(change.put).sort(),
    remove: [...change.remove].sort(),
    files: Object.fromEntries(hashes),
  };
}

function joinFaults(faults: Fault[]): Fault {
  const first = faults[0] ?? createFault(FaultCode.ConfigInvalid, 'configuration is invalid');
  const more = faults.length > 1 ? ` (and ${faults.length - 1} more)` : '';
  return { ...first, message: `${first.message}${more}`, details: { faults } };
}
