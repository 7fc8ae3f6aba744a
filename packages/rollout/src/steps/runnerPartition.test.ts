import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {getRunnerPartition} from './runnerPartition.js';

const PARTITIONS = 12;

function getRunners(samples: number, stepPartition: number): Set<number> {
  const positions = Array.from({length: samples}, (_, position) => position);
  return new Set(
    positions.map(p => getRunnerPartition(stepPartition, p, PARTITIONS)),
  );
}

describe('getRunnerPartition', () => {
  it('assigns a small step to one owner (more owners would have to share the connections)', () => {
    assert.deepEqual([...getRunners(36, 7)], [7]);
  });

  it('spreads a large step (a single owner would run out of CPU time)', () => {
    assert.equal(getRunners(64, 7).size, 2);
    assert.equal(getRunners(1_024, 7).size, PARTITIONS);
  });

  it('returns only existing partitions', () => {
    for (const runner of getRunners(10_000, 11)) {
      assert.ok(runner >= 0 && runner < PARTITIONS);
    }
  });
});
