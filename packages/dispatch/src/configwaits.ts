import type { Clock } from '@bergamotreach/protocol';

/** Options of the waits. */
export interface ConfigWaitsOptions {
  clock: Clock;
  /** Resolves with whether the configuration was read. */
  refresh: () => Promise<boolean>;
}

/** Calls that wait for a newer configuration. */
export interface ConfigWaits {
  /**
   * Resolves with whether the configuration was read; with `undefined` if it takes too long, or at once if too many
   * calls wait already.
   */
  waitForRead(): Promise<boolean | undefined>;
}

/** Callers wait this long for a newer configuration, so that they can still reach another instance. */
const maxWaitMs = 1000;
/** A waiting call holds its request in memory, also once its connection is closed. */
const maxWaits = 512;

/** Creates waits of which none is under way. */
export function createConfigWaits({ clock, refresh }: ConfigWaitsOptions): ConfigWaits {
  let waits = 0;

  return {
    async waitForRead() {
      if (waits >= maxWaits) return undefined;
      waits += 1;
      let cancelTimer = (): void => undefined;
      const timeout = new Promise<undefined>((resolve) => {
        cancelTimer = clock.setTimer(maxWaitMs, () => {
          resolve(undefined);
        });
      });
      try {
        return await Promise.race([refresh(), timeout]);
      } finally {
        waits -= 1;
        cancelTimer();
      }
    },
  };
}
