/** Limits the retries of each client account to a fraction of its requests. */
export interface RetryBudget {
  /** Adds the tokens that an account earns with a new request. */
  addRequest(account: string): void;
  /** Takes one retry token; false when the budget is exhausted. */
  takeRetry(account: string): boolean;
  getDump(): Record<string, number>;
}

/** Earning ratio and capacity of the token buckets. */
export interface RetryBudgetLimits {
  /** Tokens earned per request of an account. */
  getRetryRatio(account: string): number;
  maxRetryTokens: number;
}

/** One retry at the start, so that an account with few requests survives a first failure. */
const initialTokens = 1;

/** Creates a token bucket per account: each request adds the account's ratio, each retry costs 1. */
export function createRetryBudget(getLimits: () => RetryBudgetLimits): RetryBudget {
  const tokens = new Map<string, number>();

  function addRequest(account: string): void {
    const limits = getLimits();
    const current = tokens.get(account) ?? initialTokens;
    const earned = current + limits.getRetryRatio(account);
    tokens.set(account, Math.min(limits.maxRetryTokens, earned));
  }

  function takeRetry(account: string): boolean {
    const current = tokens.get(account) ?? initialTokens;
    if (current < 1) return false;
    tokens.set(account, current - 1);
    return true;
  }

  return { addRequest, takeRetry, getDump: () => Object.fromEntries(tokens) };
}
