import type {RetryBudget} from '@vanillacross/domain';
import {
  creditSuccess,
  initialRetryBudget,
  takeRetry,
  UPSTREAM_RETRY_RATIO,
} from '@vanillacross/domain';

/** Retry budgets of the accounts and upstreams of one entry. */
export interface RetryBudgets {
  /** Credits a complete response; `ratio` is the retry ratio of the account. */
  credit(account: string, ratio: number, upstream: string): void;
  /** Spends a retry of the account; false if its budget is exhausted. */
  takeAccountRetry(account: string): boolean;
  /** Spends a retry to the upstream; false if its budget is exhausted. */
  takeUpstreamRetry(upstream: string): boolean;
}

/**
 * Limit of account budgets, and of upstream budgets; those created first are
 * evicted first.
 */
const MAX_BUDGETS = 8_192;

export function createRetryBudgets(): RetryBudgets {
  const accounts = new Map<string, RetryBudget>();
  const upstreams = new Map<string, RetryBudget>();

  function put(
    budgets: Map<string, RetryBudget>,
    id: string,
    budget: RetryBudget,
  ): void {
    budgets.set(id, budget);
    if (budgets.size <= MAX_BUDGETS) return;
    for (const oldest of budgets.keys()) {
      budgets.delete(oldest);
      return;
    }
  }

  function credit(
    budgets: Map<string, RetryBudget>,
    id: string,
    ratio: number,
  ): void {
    put(
      budgets,
      id,
      creditSuccess(budgets.get(id) ?? initialRetryBudget, ratio),
    );
  }

  function take(budgets: Map<string, RetryBudget>, id: string): boolean {
    const taken = takeRetry(budgets.get(id) ?? initialRetryBudget);
    if (taken) put(budgets, id, taken);
    return taken !== null;
  }

  return {
    credit: (account, ratio, upstream) => {
      credit(accounts, account, ratio);
      credit(upstreams, upstream, UPSTREAM_RETRY_RATIO);
    },
    takeAccountRetry: account => take(accounts, account),
    takeUpstreamRetry: upstream => take(upstreams, upstream),
  };
}
