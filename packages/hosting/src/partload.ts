import type { Fault } from '@bergamotreach/protocol';
import { Ok, Result } from 'ts-results-es';

/** Options of the load of a table that is read in pages, part by part. */
export interface PartLoadOptions<P> {
  parts: readonly string[];
  /** Reads the page after `previous`, or the first one of the part. */
  readPage: (part: string, previous: P | undefined) => Promise<Result<P, Fault>>;
  /** Whether a page is the last one of its part. */
  isLast: (page: P) => boolean;
  /** Monotonic time in milliseconds. */
  getNowMs: () => number;
}

/** All pages of a table. */
export interface LoadedParts<P> {
  pages: P[];
  /** Time at which the read of the oldest page was sent. */
  startedMs: number;
}

/** Load of a whole table. */
export interface PartLoad<P> {
  /**
   * Reads the pages of all parts. After a fault, the next call goes on from the pages that have arrived.
   * Calls during a load share its result. Faults: those of `readPage`.
   */
  load(): Promise<Result<LoadedParts<P>, Fault>>;
}

/** Pages older than this are read again, since the store may have dropped the history after them. */
const maxPageAgeMs = 10_000;

interface PartPages<P> {
  pages: P[];
  isComplete: boolean;
}

/** Creates a load; each complete one begins anew. */
export function createPartLoad<P>(options: PartLoadOptions<P>): PartLoad<P> {
  const loaded = new Map<string, PartPages<P>>();
  let startedMs: number | undefined;
  let current: Promise<Result<LoadedParts<P>, Fault>> | undefined;

  async function loadPart(part: string): Promise<Result<undefined, Fault>> {
    const progress = loaded.get(part) ?? { pages: [], isComplete: false };
    loaded.set(part, progress);
    while (!progress.isComplete) {
      const page = await options.readPage(part, progress.pages.at(-1));
      if (page.isErr()) return page;
      progress.pages.push(page.value);
      progress.isComplete = options.isLast(page.value);
    }
    return Ok(undefined);
  }

  function reset(): void {
    loaded.clear();
    startedMs = undefined;
  }

  async function loadParts(): Promise<Result<LoadedParts<P>, Fault>> {
    const nowMs = options.getNowMs();
    const hasPages = [...loaded.values()].some(({ pages }) => pages.length > 0);
    if (!hasPages || nowMs - (startedMs ?? nowMs) > maxPageAgeMs) reset();
    const oldestMs = (startedMs ??= nowMs);
    const results = await Promise.all(options.parts.map((part) => loadPart(part)));
    return Result.all(results).map(() => {
      const pages = options.parts.flatMap((part) => loaded.get(part)?.pages ?? []);
      reset();
      return { pages, startedMs: oldestMs };
    });
  }

  return {
    load() {
      current ??= loadParts().finally(() => {
        current = undefined;
      });
      return current;
    },
  };
}
