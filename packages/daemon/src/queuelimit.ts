import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { JoinedReport, RegionReports } from './regionreports.ts';

/** Bounds the jobs that an account has waiting in a region. */
export interface QueueLimit {
  /** Refuses a further job when the account has `maxQueued` or more waiting. Fault `queue_full`. */
  checkQueue(region: string, account: string, maxQueued: number): Promise<Result<void, Fault>>;
}

// A burst may pass the limit by what arrives within this time, as counts come from the last report.
const reportAgeMs = 1000;
const retryAfterMs = 10_000;

/** Creates a limit that asks the region owners at most once in `reportAgeMs`. */
export function createQueueLimit(clock: Clock, reports: RegionReports): QueueLimit {
  let last: Promise<JoinedReport> | undefined;
  let askedAtMs = -Infinity;

  function loadReport(): Promise<JoinedReport> {
    const nowMs = clock.getNowMs();
    if (last === undefined || nowMs - askedAtMs > reportAgeMs) {
      askedAtMs = nowMs;
      last = reports.loadReports();
    }
    return last;
  }

  async function checkQueue(
    region: string,
    account: string,
    maxQueued: number,
  ): Promise<Result<void, Fault>> {
    const report = await loadReport();
    const queued = report.usageByRegion[region]?.[account]?.queued ?? 0;
    if (queued < maxQueued) return Ok(undefined);
    const message = `account has ${queued} jobs waiting in region "${region}", limit ${maxQueued}`;
    return Err(createFault(FaultCode.QueueFull, message, { retryAfterMs }));
  }

  return { checkQueue };
}
