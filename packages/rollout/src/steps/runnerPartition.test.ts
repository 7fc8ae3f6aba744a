import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {defaultSchedulingPolicy} from '../model/index.js';
import {createRunnerLayout, getRunnerPartition} from './runnerPartition.js';

const PARTITIONS = 12;
const layout = createRunnerLayout(PARTITIONS, defaultSchedulingPolicy);

function getRunnerPartitions(
  samples: number,
  stepPartition: number,
): Set<number> {
  const positions = Array.from({length: samples}, (_, position) => position);
  return new Set(
    positions.map(p => getRunnerPartition(stepPartition, p, layout)),
  );
}

describe('getRunnerPartition', () => {
  it('assigns a small step to one owner (several owners would have to share the connections of the engines)', () => {
    assert.deepEqual([...getRunnerPartitions(36, 7)], [7]);
  });

  it('spreads a large step (a single owner would run out of CPU time)', () => {
    assert.equal(getRunnerPartitions(64, 7).size, 2);
    assert.equal(getRunnerPartitions(1_024, 7).size, PARTITIONS);
  });

  it('returns only existing partitions', () => {
    for (const partition of getRunnerPartitions(10_000, 11)) {
      assert.ok(partition >= 0 && partition < PARTITIONS);
    }
  });
});
