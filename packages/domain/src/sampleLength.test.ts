import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LengthRatios} from './sampleLength.js';
import {getLengthRatio, recordLength} from './sampleLength.js';

function learn(lengths: readonly number[]): number {
  const ratios: LengthRatios = new Map();
  for (const events of lengths) recordLength(ratios, 'm', 20, events);
  return getLengthRatio(ratios, 'm');
}

describe('recordLength', () => {
  it('follows a model whose samples are twice the estimate', () => {
    const ratio = learn(Array(40).fill(40));
    assert.ok(Math.abs(ratio - 2) < 0.1, `${ratio}`);
  });

  // Guards against steps that seem late because a few samples are very long.
  it('is hardly changed by one sample in 20 of the tail', () => {
    const ratio = learn(
      Array.from({length: 60}, (_, i) => (i % 20 ? 20 : 135)),
    );
    assert.ok(ratio > 0.9 && ratio < 1.2, `${ratio}`);
  });

  it('stays within 0.25 and 4 whatever the estimates are', () => {
    assert.ok(learn(Array(500).fill(10_000)) <= 4);
    assert.ok(learn(Array(500).fill(1)) >= 0.25);
  });
});
