/** Retry budget of one account or one upstream; immutable. */
export interface RetryBudget {
  tokens: number;
}

/** Number of retries allowed before the first success. */
export const INITIAL_RETRY_TOKENS = 10;
/**
 * Maximum number of retries that successes can accumulate; bounds the burst
 * after an outage.
 */
export const MAX_RETRY_TOKENS = 100;
/** Retries credited per success of one upstream. */
export const UPSTREAM_RETRY_RATIO = 0.1;
/** Upper bound of the first backoff, ms. */
const BACKOFF_BASE_MS = 10;
/** Upper bound of any backoff, ms. */
const BACKOFF_MAX_MS = 1_000;

export const initialRetryBudget: RetryBudget = {tokens: INITIAL_RETRY_TOKENS};

/** Credits a success with `ratio` retries. */
export function creditSuccess(budget: RetryBudget, ratio: number): RetryBudget {
  return {tokens: Math.min(MAX_RETRY_TOKENS, budget.tokens + ratio)};
}

export function hasRetry(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Spends one retry; returns null if the budget is exhausted. */
export function takeRetry(budget: RetryBudget): RetryBudget | null {
  return hasRetry(budget) ? {tokens: budget.tokens - 1} : null;
}

/**
 * Returns the backoff before a retry, ms: exponential, with a random delay
 * between half of the interval and all of it.
 * @param retry Number of retries so far, from 0.
 */
export function getBackoffMs(retry: number, random: () => number): number {
  const interval = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** retry);
  return interval * (0.5 + random() / 2);
}
