import type { Fault } from '@bergamotreach/protocol';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { ObjectStore } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { parseManifest } from './revision.ts';
import type { Manifest } from './revision.ts';

/** One accepted change, as shown to operators. */
export interface HistoryEntry {
  revision: number;
  manifest: string;
  author: string;
  put: string[];
  remove: string[];
}

/** A manifest with its own hash. */
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
 * Reads manifests from the newest to the oldest by following their parents, and stops before
 * revision `downTo` or after `limit` manifests. Faults: those of `loadManifest`, and
 * `config_invalid` when a parent's revision is not one lower.
 */
export async function loadChain(
  objectStore: ObjectStore,
  newest: string,
  downTo: number,
  limit: number,
): Promise<Result<StoredManifest[], Fault>> {
  const chain: StoredManifest[] = [];
  let hash = newest;
  while (hash !== '' && chain.length < limit) {
    const loaded = await loadManifest(objectStore, hash);
    if (loaded.isErr()) return loaded;
    const { manifest } = loaded.value;
    if (manifest.revision <= downTo) break;
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

/** Builds the entry shown for a stored manifest. */
export function buildHistoryEntry({ hash, manifest }: StoredManifest): HistoryEntry {
  const { revision, author, put, remove } = manifest;
  return { revision, manifest: hash, author, put, remove };
}
