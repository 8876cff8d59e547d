import type { Fault } from '@bergamotreach/protocol';
import type { ObjectStore } from '@bergamotreach/hosting';
import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

// Without a limit, a folder of 200 files would open 200 connections to the object store at once.
const maxParallelCalls = 8;

/** Reads and writes file contents, and caches the contents of the last revision read. */
export interface ObjectCache {
  /** Returns file contents by name for hashes by name. Faults: `not_found`, `store_unavailable`. */
  loadFiles(hashes: Record<string, string>): Promise<Result<Record<string, string>, Fault>>;
  /** Stores the contents of files. Faults: `store_unavailable`. */
  putFiles(files: Record<string, string>): Promise<Result<void, Fault>>;
}

/** Creates a cache in front of an object store. */
export function createObjectCache(objectStore: ObjectStore): ObjectCache {
  let cachedContents: ReadonlyMap<string, string> = new Map();

  async function loadFiles(
    hashes: Record<string, string>,
  ): Promise<Result<Record<string, string>, Fault>> {
    const wanted = [...new Set(Object.values(hashes))];
    const loaded = await runInBatches(wanted, async (hash) => {
      const known = cachedContents.get(hash);
      const content = known === undefined ? await objectStore.getObject(hash) : Ok(known);
      return content.map((text) => [hash, text] as const);
    });
    if (loaded.isErr()) return loaded;
    const loadedContents = new Map(loaded.value);
    cachedContents = loadedContents;
    const files = Object.entries(hashes).map(
      ([name, hash]) => [name, loadedContents.get(hash) ?? ''] as const,
    );
    return Ok(Object.fromEntries(files));
  }

  async function putFiles(files: Record<string, string>): Promise<Result<void, Fault>> {
    const stored = await runInBatches(Object.values(files), (content) =>
      objectStore.putObject(content),
    );
    return stored.map(() => undefined);
  }

  return { loadFiles, putFiles };
}

/** Calls `run` for all items with limited concurrency and stops after the first batch with a fault. */
export async function runInBatches<T, R>(
  items: readonly T[],
  run: (item: T) => Promise<Result<R, Fault>>,
): Promise<Result<R[], Fault>> {
  const values: R[] = [];
  for (let start = 0; start < items.length; start += maxParallelCalls) {
    const batch = await Promise.all(items.slice(start, start + maxParallelCalls).map(run));
    for (const result of batch) {
      if (result.isErr()) return result;
      values.push(result.value);
    }
  }
  return Ok(values);
}
