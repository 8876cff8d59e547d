import { createRetryBudget } from '@bergamotreach/routing';
import { createRandom } from '../random.ts';

/** Result of an outage with or without a retry budget. */
export interface RetryResult {
  hasBudget: boolean;
  /** Attempts per request while all endpoints fail. */
  outageLoad: number;
  /** Share of the requests that succeed when one attempt in twenty is lost. */
  answeredAtFewLosses: number;
}

const maxAttempts = 4;
const requestCount = 20_000;
const lowLossRate = 0.05;

function runAttempts(
  lossRate: number,
  hasBudget: boolean,
  seed: number,
): { attempts: number; answered: number } {
  const random = createRandom(seed);
  const budget = createRetryBudget(() => ({ getRetryRatio: () => 0.1, maxRetryTokens: 10 }));
  let attempts = 0;
  let answered = 0;
  for (let request = 0; request < requestCount; request += 1) {
    budget.addRequest('account');
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0 && hasBudget && !budget.takeRetry('account')) break;
      attempts += 1;
      if (random.getUniform() < lossRate) continue;
      answered += 1;
      break;
    }
  }
  return { attempts, answered };
}

/** Simulates up to four attempts per request, with the router's retry budget or without one. */
export function runRetries(hasBudget: boolean, seed: number): RetryResult {
  return {
    hasBudget,
    outageLoad: runAttempts(1, hasBudget, seed).attempts / requestCount,
    answeredAtFewLosses: runAttempts(lowLossRate, hasBudget, seed).answered / requestCount,
  };
}
