import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';

import {PartitionAssignment} from './partitionAssignment.js';

function createFixture() {
  const owned = new Set<number>();
  let finishReading = () => {};
  let restarts = 0;
  const assignment = new PartitionAssignment({
    partitionCount: 4,
    runner: {
      getOwnedPartitions: () => owned,
      setOwnedPartitions: partitions => {
        owned.clear();
        for (const partition of partitions) owned.add(partition);
      },
    },
    streams: {
      catchUpAll: () => new Promise(resolve => (finishReading = resolve)),
      restart: () => restarts++,
    },
    onAcquiring: () => {},
  });
  const read = async () => {
    finishReading();
    await setImmediate();
  };
  const getOwned = () => [...owned];
  return {assignment, read, getOwned, getRestarts: () => restarts};
}

describe('PartitionAssignment', () => {
  it('acquires partitions when the steps are known', async () => {
    // Guards against samples that run again although their result is stored.
    const {assignment, read, getOwned, getRestarts} = createFixture();
    assignment.apply([0, 1]);
    assert.deepEqual(getOwned(), []);
    await read();
    assert.deepEqual(getOwned(), [0, 1]);
    assert.equal(getRestarts(), 1);
  });

  it('releases partitions at once', async () => {
    // Guards against two processes that run the same samples for long.
    const {assignment, read, getOwned} = createFixture();
    assignment.apply([0, 1]);
    await read();
    assignment.apply([1, 2]);
    assert.deepEqual(getOwned(), [1]);
    await read();
    assert.deepEqual(getOwned(), [1, 2]);
  });

  it('acquires what is assigned when the steps are known, not before', async () => {
    const {assignment, read, getOwned} = createFixture();
    assignment.apply([0, 1]);
    assignment.apply([1]);
    await read();
    assert.deepEqual(getOwned(), [1]);
  });

  it('ignores partitions beyond those for steps', async () => {
    // Guards against processes that count as runners and run nothing.
    const {assignment, read, getOwned} = createFixture();
    assignment.apply([4, 5]);
    await read();
    assert.deepEqual(getOwned(), []);
  });

  it('acquires nothing after it was stopped', async () => {
    const {assignment, read, getOwned} = createFixture();
    assignment.apply([0]);
    assignment.stop();
    await read();
    assert.deepEqual(getOwned(), []);
  });
});
