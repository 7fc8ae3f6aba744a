import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {
  creditSuccess,
  getBackoffMs,
  INITIAL_RETRY_TOKENS,
  initialRetryBudget,
  takeRetry,
} from './retryBudget.js';

const SEED = 20_261_204;

describe('retry budget', () => {
  it('never allows more retries than successes have earned', () => {
    const property = fc.property(
      fc.array(fc.boolean(), {maxLength: 2_000}),
      fc.double({min: 0, max: 1, noNaN: true}),
      (events, ratio) => {
        let budget = initialRetryBudget;
        let successes = 0;
        let retries = 0;
        for (const isSuccess of events) {
          if (isSuccess) {
            successes += 1;
            budget = creditSuccess(budget, ratio);
            continue;
          }
          const taken = takeRetry(budget);
          if (!taken) continue;
          budget = taken;
          retries += 1;
        }
        const earned = INITIAL_RETRY_TOKENS + successes * ratio;
        assert.ok(retries <= earned + 1e-6);
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 200});
  });

  it('doubles the backoff with each retry, up to a maximum', () => {
    const spans = [0, 1, 2, 20].map(retry => getBackoffMs(retry, () => 0.5));
    assert.deepEqual(spans, [7.5, 15, 30, 750]);
  });
});
