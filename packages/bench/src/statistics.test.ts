import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {fitLine, getMedian, getQuantile} from './statistics.js';

describe('statistics', () => {
  // Guards against an off-by-one error in the rank of a quantile.
  it('selects the right rank for quantiles and medians', () => {
    const values = [5, 1, 4, 2, 3];
    assert.equal(getMedian(values), 3);
    assert.equal(getQuantile(values, 0.99), 5);
    assert.equal(getQuantile(values, 0.2), 1);
  });

  // Guards against capacity estimates that are based on a wrong slope.
  it('recovers the line on which the points lie', () => {
    const line = fitLine([
      [1, 5],
      [2, 7],
      [4, 11],
    ]);
    assert.ok(Math.abs(line.slope - 2) < 1e-9);
    assert.ok(Math.abs(line.intercept - 3) < 1e-9);
  });
});
