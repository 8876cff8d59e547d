import type { Clock } from '@bergamotreach/protocol';

/** Token bucket of commits. */
export interface CommitBudget {
  /** Takes a token if there is one. `force` takes it in any case and leaves a debt. */
  take(force: boolean): boolean;
  /** Time until the next token, in milliseconds; 0 when there is one. */
  getWaitMs(): number;
  getTokens(): number;
}

/** Creates a bucket that fills at `perSecond` up to `burst` tokens. */
export function createCommitBudget(clock: Clock, perSecond: number, burst: number): CommitBudget {
  let tokens = burst;
  let filledMs = clock.getNowMs();

  function fill(): void {
    const nowMs = clock.getNowMs();
    tokens = Math.min(burst, tokens + ((nowMs - filledMs) * perSecond) / 1000);
    filledMs = nowMs;
  }

  return {
    take(force) {
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
