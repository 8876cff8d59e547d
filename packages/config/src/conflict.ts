import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { ObjectStore } from '@bergamotreach/hosting';
import { buildHistoryEntry, loadManifest } from './history.ts';
import type { HistoryEntry, StoredManifest } from './history.ts';
import { runInBatches } from './objects.ts';
import { Ok } from 'ts-results-es';

/** A change that an operator requests to the configuration folder. */
export interface ConfigChange {
  /** Revision on which the change is based; 0 for an empty store. */
  baseRevision: number;
  /** File name to new content. */
  put: Record<string, string>;
  /** Names of files to remove. */
  remove: string[];
  /** Account of the operator. */
  author: string;
  /** Unique per change; retries of a change have the same id. */
  operationId: string;
}

/**
 * A file that either operator changed. A content is `null` when the file does not exist, and absent
 * when it could not be read.
 */
export interface ConflictFile {
  name: string;
  isChangedByTheirs: boolean;
  isChangedByYours: boolean;
  base?: string | null;
  theirs?: string | null;
  yours?: string | null;
}

/** Details of a `conflict` fault of a configuration change. */
export interface ConflictDetails {
  baseRevision: number;
  headRevision: number;
  /** Changes committed since the base revision, newest first. */
  theirs: HistoryEntry[];
  /** All files that either operator changed, in name order. */
  files: ConflictFile[];
}

/** Builds the `conflict` fault of a change, with the changes committed since its base revision. */
export async function buildConflict(
  objectStore: ObjectStore,
  change: ConfigChange,
  headRevision: number,
  chain: StoredManifest[],
): Promise<Fault> {
  const details: ConflictDetails = {
    baseRevision: change.baseRevision,
    headRevision,
    theirs: chain.map(buildHistoryEntry),
    files: await buildFiles(objectStore, change, chain),
  };
  const authors = [...new Set(details.theirs.map(({ author }) => author))].join(', ');
  const message =
    change.baseRevision > headRevision
      ? `base revision ${change.baseRevision} does not exist; revision ${headRevision} is active`
      : `base revision ${change.baseRevision} was replaced by revision ${headRevision}, changed by ${authors}`;
  return createFault(FaultCode.Conflict, message, { path: ['baseRevision'], details });
}

async function buildFiles(
  objectStore: ObjectStore,
  change: ConfigChange,
  chain: StoredManifest[],
): Promise<ConflictFile[]> {
  const theirs = new Set(chain.flatMap(({ manifest }) => [...manifest.put, ...manifest.remove]));
  const yours = new Set([...Object.keys(change.put), ...change.remove]);
  const headFiles = chain[0]?.manifest.files;
  const baseFiles = await loadBaseFiles(objectStore, chain);
  const names = [...new Set([...theirs, ...yours])].sort();
  const files = await runInBatches(names, async (name) => {
    const base = await loadContent(objectStore, baseFiles, name);
    const head = await loadContent(objectStore, headFiles, name);
    const wanted = yours.has(name) ? (change.put[name] ?? null) : base;
    const isChangedByTheirs = theirs.has(name);
    const file: ConflictFile = { name, isChangedByTheirs, isChangedByYours: yours.has(name) };
    if (base !== undefined) file.base = base;
    if (head !== undefined) file.theirs = head;
    if (wanted !== undefined) file.yours = wanted;
    return Ok(file);
  });
  return files.unwrapOr([]);
}

async function loadBaseFiles(
  objectStore: ObjectStore,
  chain: StoredManifest[],
): Promise<Record<string, string> | undefined> {
  const parent = chain.at(-1)?.manifest.parent;
  if (parent === undefined) return undefined;
  if (parent === '') return {};
  const loaded = await loadManifest(objectStore, parent);
  return loaded.isOk() ? loaded.value.manifest.files : undefined;
}

async function loadContent(
  objectStore: ObjectStore,
  files: Record<string, string> | undefined,
  name: string,
): Promise<string | null | undefined> {
  if (files === undefined) return undefined;
  const hash = files[name];
  if (hash === undefined) return null;
  const content = await objectStore.getObject(hash);
  return content.isOk() ? content.value : undefined;
}
