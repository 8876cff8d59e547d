import type { LinkCost } from './config.ts';

/** A region that could serve a request. */
export interface RegionCandidate {
  region: string;
  /** Expected wait for a slot there. */
  waitMs: number;
}

/** Cost of a round trip to another region with `bytes` billed, in milliseconds of wait. */
export function computeLinkCostMs(link: LinkCost, bytes: number): number {
  return 2 * link.latencyMs + (bytes / 1024) * link.costMsPerKilobyte;
}

/**
 * Region with the smallest sum of wait and link cost. The own region wins ties; `undefined` when
 * the wait is infinite everywhere.
 */
export function chooseRegion(
  ownRegion: string,
  candidates: readonly RegionCandidate[],
  bytes: number,
  getLink: (region: string) => LinkCost,
): string | undefined {
  let best: string | undefined;
  let bestMs = Infinity;
  for (const { region, waitMs } of candidates) {
    const isOwn = region === ownRegion;
    const totalMs = waitMs + (isOwn ? 0 : computeLinkCostMs(getLink(region), bytes));
    if (totalMs > bestMs || (totalMs === bestMs && !isOwn)) continue;
    if (totalMs === Infinity) continue;
    best = region;
    bestMs = totalMs;
  }
  return best;
}

/** Counts billed bytes per account and region. */
export interface ByteCounter {
  addBytes(account: string, region: string, bytes: number): void;
  /** Bytes by `account/region`. */
  getDump(): Record<string, number>;
}

/** Creates a counter of cross-region bytes. */
export function createByteCounter(): ByteCounter {
  const totals = new Map<string, number>();
  return {
    addBytes: (account, region, bytes) => {
      const key = `${account}/${region}`;
      totals.set(key, (totals.get(key) ?? 0) + bytes);
    },
    getDump: () => Object.fromEntries(totals),
  };
}
