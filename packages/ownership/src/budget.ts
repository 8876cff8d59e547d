import type { Clock } from '@bergamotreach/protocol';

/** Token bucket that limits the rate of commits. */
export interface CommitBudget {
  /** Consumes a token if one is available. `force` always consumes one, even below zero. */
  tryConsume(force: boolean): boolean;
  /** Time until the next token in milliseconds; 0 when one is available. */
  getWaitMs(): number;
  getTokens(): number;
}

/** Creates a full bucket that refills at `perSecond` tokens, up to `burst`. */
export function createCommitBudget(clock: Clock, perSecond: number, burst: number): CommitBudget {
  let tokens = burst;
  let lastFillMs = clock.getNowMs();

  function fill(): void {
    const nowMs = clock.getNowMs();
    tokens = Math.min(burst, tokens + ((nowMs - lastFillMs) * perSecond) / 1000);
    lastFillMs = nowMs;
  }

  return {
    tryConsume(force) {
      fill();
      if (tokens < 1 && !force) return false;
      tokens -= 1;
      return true;
    },
    getWaitMs() {
      fill();
      return tokens >= 1 ? 0 : Math.ceil(((1 - tokens) * 1000) / perSecond);
    },
    getTokens: () => tokens,
  };
}
