import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LengthRatios} from './sampleLength.js';
import {getLengthRatio, recordLength} from './sampleLength.js';

const cases = [
  {load: 'samples of twice the estimate', events: [40], low: 1.9, high: 2.1},
  // Guards against steps that seem late because of a few very long samples.
  {
    load: 'one in 20 far longer',
    events: [135, ...Array(19).fill(20)],
    low: 0.9,
    high: 1.2,
  },
  {load: 'estimates far too low', events: [10_000], low: 3.5, high: 4},
  {load: 'estimates far too high', events: [1], low: 0.25, high: 0.3},
];

describe('recordLength', () => {
  for (const {load, events, low, high} of cases) {
    it(`learns a ratio from ${low} to ${high}: ${load}`, () => {
      const ratios: LengthRatios = new Map();
      for (let sample = 0; sample < 100; sample++) {
        recordLength(ratios, 'm', 20, events[sample % events.length]);
      }
      const ratio = getLengthRatio(ratios, 'm');
      assert.ok(ratio >= low && ratio <= high, `${ratio}`);
    });
  }
});
