/** Retries of one account or to one upstream; immutable. */
export interface RetryBudget {
  tokens: number;
}

/** Retries that are allowed before the first success. */
export const INITIAL_RETRY_TOKENS = 10;
/** Retries that successes can save up; bounds the burst after an outage. */
export const MAX_RETRY_TOKENS = 100;
/** Retries allowed per success of one upstream. */
export const UPSTREAM_RETRY_RATIO = 0.1;
/** Upper end of the first backoff interval, ms. */
const BACKOFF_BASE_MS = 10;
/** Upper end of the longest backoff interval, ms. */
const BACKOFF_MAX_MS = 1_000;

export const initialRetryBudget: RetryBudget = {tokens: INITIAL_RETRY_TOKENS};

/** Credits a success with `ratio` retries. */
export function creditSuccess(budget: RetryBudget, ratio: number): RetryBudget {
  return {tokens: Math.min(MAX_RETRY_TOKENS, budget.tokens + ratio)};
}

export function hasRetry(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Takes one retry; null if the budget has none. */
export function takeRetry(budget: RetryBudget): RetryBudget | null {
  return hasRetry(budget) ? {tokens: budget.tokens - 1} : null;
}

/**
 * Time to wait before a retry, ms: uniform between half and all of an
 * interval that doubles with each retry. `retry` counts from 0.
 */
export function getBackoffMs(retry: number, random: () => number): number {
  const interval = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** retry);
  return interval * (0.5 + random() / 2);
}
