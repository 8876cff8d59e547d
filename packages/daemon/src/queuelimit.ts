import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { MergedReport, RegionReports } from './regionreports.ts';

/** Limits the number of jobs that an account can queue in a region. */
export interface QueueLimit {
  /**
   * Fails when the account had `maxQueued` or more queued jobs in the last report. It never waits
   * for a report: for a region without an owner that takes a second, too long for an urgent job.
   * Fault: `queue_full`.
   */
  checkQueue(region: string, account: string, maxQueued: number): Result<void, Fault>;
}

// A burst can exceed the limit by the jobs submitted within this time, since the last report.
const refreshIntervalMs = 1000;
const retryAfterMs = 10_000;

/** Creates a queue limit that requests reports at most once per `refreshIntervalMs`. */
export function createQueueLimit(clock: Clock, reports: RegionReports): QueueLimit {
  let lastReport: MergedReport | undefined;
  let requestedAtMs = -Infinity;

  function refreshReport(): void {
    const nowMs = clock.getNowMs();
    if (nowMs - requestedAtMs <= refreshIntervalMs) return;
    requestedAtMs = nowMs;
    void reports.loadReports().then((report) => {
      lastReport = report;
    });
  }

  function checkQueue(region: string, account: string, maxQueued: number): Result<void, Fault> {
    refreshReport();
    const queued = lastReport?.usageByRegion[region]?.[account]?.queued ?? 0;
    if (queued < maxQueued) return Ok(undefined);
    const message = `account has ${queued} queued jobs in region "${region}", limit ${maxQueued}`;
    return Err(createFault(FaultCode.QueueFull, message, { retryAfterMs }));
  }

  return { checkQueue };
}
