/** Limits retries to a part of the requests, per client account. */
export interface RetryBudget {
  /** Credits an account for a first attempt. */
  addRequest(account: string): void;
  /** Takes one retry; false when the budget is used up. */
  takeRetry(account: string): boolean;
  getDump(): Record<string, number>;
}

/** Ratio and size of the budget. */
export interface RetryBudgetLimits {
  /** Retries earned by each request of an account. */
  getRetryRatio(account: string): number;
  maxRetryTokens: number;
}

/** One retry at the start, so that a quiet account can outlive a first failure. */
const initialTokens = 1;

/** Creates a token bucket per account: each request adds the account's ratio, each retry costs 1. */
export function createRetryBudget(getLimits: () => RetryBudgetLimits): RetryBudget {
  const tokens = new Map<string, number>();

  function addRequest(account: string): void {
    const limits = getLimits();
    const present = tokens.get(account) ?? initialTokens;
    const earned = present + limits.getRetryRatio(account);
    tokens.set(account, Math.min(limits.maxRetryTokens, earned));
  }

  function takeRetry(account: string): boolean {
    const present = tokens.get(account) ?? initialTokens;
    if (present < 1) return false;
    tokens.set(account, present - 1);
    return true;
  }

  return { addRequest, takeRetry, getDump: () => Object.fromEntries(tokens) };
}
