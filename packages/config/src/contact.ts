import type { Clock, Logger } from '@bergamotreach/protocol';

/** Tells whether the store can be reached. */
export interface StoreContact {
  /** Records that the store answered. */
  addSuccess(revision: number): void;
  /** Logs once when the store has not answered for too long. */
  checkSilence(revision: number, reason: string): void;
  isCutOff(): boolean;
  /** Time since the last answer, in milliseconds; `undefined` when there was none. */
  getSilenceMs(): number | undefined;
}

/** Creates the record of contacts; the time without an answer counts from now. */
export function createStoreContact(clock: Clock, logger: Logger, cutOffMs: number): StoreContact {
  const createdMs = clock.getNowMs();
  let lastMs: number | undefined;
  let hasReported = false;

  function isCutOff(): boolean {
    return clock.getNowMs() - (lastMs ?? createdMs) >= cutOffMs;
  }

  return {
    isCutOff,
    addSuccess: (revision) => {
      lastMs = clock.getNowMs();
      if (hasReported) logger.info('config_store_reached', { revision });
      hasReported = false;
    },
    checkSilence: (revision, reason) => {
      if (hasReported || !isCutOff()) return;
      hasReported = true;
      logger.warn('config_cut_off', { revision, reason });
    },
    getSilenceMs: () => (lastMs === undefined ? undefined : clock.getNowMs() - lastMs),
  };
}
