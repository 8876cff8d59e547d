import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { JoinedReport, RegionReports } from './regionreports.ts';

/** Bounds the jobs that an account has waiting in a region. */
export interface QueueLimit {
  /**
   * Refuses a further job when the account had `maxQueued` or more waiting at the last report. It
   * never waits: asking a region without an owner takes a second, which an urgent job does not have.
   * Fault `queue_full`.
   */
  checkQueue(region: string, account: string, maxQueued: number): Result<void, Fault>;
}

// A burst may pass the limit by what arrives within this time, as counts come from the last report.
const reportAgeMs = 1000;
const retryAfterMs = 10_000;

/** Creates a limit that asks the region owners at most once in `reportAgeMs`. */
export function createQueueLimit(clock: Clock, reports: RegionReports): QueueLimit {
  let last: JoinedReport | undefined;
  let askedAtMs = -Infinity;

  function refreshReport(): void {
    const nowMs = clock.getNowMs();
    if (nowMs - askedAtMs <= reportAgeMs) return;
    askedAtMs = nowMs;
    void reports.loadReports().then((report) => {
      last = report;
    });
  }

  function checkQueue(region: string, account: string, maxQueued: number): Result<void, Fault> {
    refreshReport();
    const queued = last?.usageByRegion[region]?.[account]?.queued ?? 0;
    if (queued < maxQueued) return Ok(undefined);
    const message = `account has ${queued} jobs waiting in region "${region}", limit ${maxQueued}`;
    return Err(createFault(FaultCode.QueueFull, message, { retryAfterMs }));
  }

  return { checkQueue };
}
