import type { Clock, Logger } from '@bergamotreach/protocol';

/** Tracks whether the store is reachable. */
export interface StoreMonitor {
  /** Records a response of the store, and logs the end of a reported outage. */
  recordResponse(revision: number): void;
  /** Logs an outage once when the store has not responded for `cutOffMs`. */
  reportOutage(revision: number, reason: string): void;
  isCutOff(): boolean;
  /** Returns the time since the last response, in milliseconds; `undefined` when there was none. */
  getSinceResponseMs(): number | undefined;
}

/** Creates a monitor. Until the first response, an outage is measured from this call. */
export function createStoreMonitor(clock: Clock, logger: Logger, cutOffMs: number): StoreMonitor {
  const createdMs = clock.getNowMs();
  let lastResponseMs: number | undefined;
  let hasReportedOutage = false;

  function isCutOff(): boolean {
    return clock.getNowMs() - (lastResponseMs ?? createdMs) >= cutOffMs;
  }

  return {
    isCutOff,
    recordResponse: (revision) => {
      lastResponseMs = clock.getNowMs();
      if (hasReportedOutage) logger.info('config_store_reached', { revision });
      hasReportedOutage = false;
    },
    reportOutage: (revision, reason) => {
      if (hasReportedOutage || !isCutOff()) return;
      hasReportedOutage = true;
      logger.warn('config_cut_off', { revision, reason });
    },
    getSinceResponseMs: () =>
      lastResponseMs === undefined ? undefined : clock.getNowMs() - lastResponseMs,
  };
}
