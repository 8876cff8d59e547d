import type { Fault } from '@bergamotreach/protocol';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { ObjectStore } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { parseManifest } from './revision.ts';
import type { Manifest } from './revision.ts';

/** A committed change, as shown to operators. `manifest` is the hash of its manifest. */
export interface HistoryEntry {
  revision: number;
  manifest: string;
  author: string;
  put: string[];
  remove: string[];
}

/** A manifest and its hash. */
export interface StoredManifest {
  hash: string;
  manifest: Manifest;
}

/** Reads a manifest. Faults: `store_unavailable`, `not_found`, `config_invalid`. */
export async function loadManifest(
  objectStore: ObjectStore,
  hash: string,
): Promise<Result<StoredManifest, Fault>> {
  const text = await objectStore.getObject(hash);
  if (text.isErr()) return text;
  return parseManifest(text.value).map((manifest) => ({ hash, manifest }));
}

/**
 * Reads at most `limit` manifests of revisions above `afterRevision`, newest first, by following
 * parent hashes. Faults: those of `loadManifest`, and `config_invalid` when the revision of a parent
 * is not one lower than that of its child.
 */
export async function loadManifestChain(
  objectStore: ObjectStore,
  newestHash: string,
  afterRevision: number,
  limit: number,
): Promise<Result<StoredManifest[], Fault>> {
  const chain: StoredManifest[] = [];
  let hash = newestHash;
  while (hash !== '' && chain.length < limit) {
    const loaded = await loadManifest(objectStore, hash);
    if (loaded.isErr()) return loaded;
    const { manifest } = loaded.value;
    if (manifest.revision <= afterRevision) break;
    const child = chain.at(-1)?.manifest;
    if (child !== undefined && child.revision !== manifest.revision + 1) {
      const message = `parent of revision ${child.revision} is revision ${manifest.revision}`;
      return Err(createFault(FaultCode.ConfigInvalid, message));
    }
    chain.push(loaded.value);
    hash = manifest.parent;
  }
  return Ok(chain);
}

/** Builds the history entry of a stored manifest. */
export function buildHistoryEntry({ hash, manifest }: StoredManifest): HistoryEntry {
  const { revision, author, put, remove } = manifest;
  return { revision, manifest: hash, author, put, remove };
}
