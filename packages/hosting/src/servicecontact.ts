import type { Clock } from '@bergamotreach/protocol';

/** Options of a service contact. */
export interface ServiceContactOptions {
  /** Its time includes the time during which the process was suspended. */
  clock: Clock;
  /** A silence longer than this ends a stretch of answers, in milliseconds. */
  maxSilenceMs: number;
}

/** Tells whether a service answers at all, by every kind of exchange with it. Durations are in milliseconds. */
export interface ServiceContact {
  /** Records that the service has carried out a call. */
  recordAnswer(): void;
  /** Time since the latest answer; infinite before the first one. */
  getSilenceMs(): number;
  /** How long the service has been answering; 0 while it is silent for longer than `maxSilenceMs`. */
  getContactMs(): number;
}

/** Creates a contact without answers. */
export function createServiceContact({
  clock,
  maxSilenceMs,
}: ServiceContactOptions): ServiceContact {
  let sinceMs = 0;
  let lastMs = -Infinity;

  return {
    recordAnswer() {
      const nowMs = clock.getNowMs();
      if (nowMs - lastMs > maxSilenceMs) sinceMs = nowMs;
      lastMs = nowMs;
    },
    getSilenceMs: () => clock.getNowMs() - lastMs,
    getContactMs() {
      const nowMs = clock.getNowMs();
      return nowMs - lastMs > maxSilenceMs ? 0 : nowMs - sinceMs;
    },
  };
}
