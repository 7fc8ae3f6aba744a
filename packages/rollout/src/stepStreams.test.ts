import {
  ManualClock,
  Metrics,
  createLogger,
  fail,
  ok,
} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';

import type {AppendQueue} from './log/index.js';
import {StoreHealth} from './log/index.js';
import type {ReadRequest, SharedLog} from './model/index.js';
import {defaultSchedulingPolicy} from './model/index.js';
import {StepStreams} from './stepStreams.js';
import {StepRegistry} from './steps/index.js';

const PARTITIONS = 8;
const layout = {partitionCount: PARTITIONS, samplesPerOwner: 40};
const PARTITION = 0;
const RECORDS = 100;
/** Interval at which another process appends a record, ms. */
const APPEND_INTERVAL_MS = 10;
/** Turns of the event loop after which a read has been handled. */
const TURNS = 5;

/** Plays a second of appends and returns how often the partition was read. */
async function countReads(owned: number[], isWatched: boolean) {
  const clock = new ManualClock();
  const logger = createLogger('test', 'silent');
  let end = 0;
  let reads = 0;
  const held = new Set<() => void>();
  const read = async ({partition, from, waitMs}: ReadRequest) => {
    if (partition !== PARTITION) {
      return new Promise<never>(() => {});
    }
    reads++;
    if (waitMs > 0 && from >= end) {
      await new Promise<void>(resolve => held.add(resolve));
    }
    const records = Array.from({length: end - from}, (_, index) => ({
      offset: from + index,
      bytes: Buffer.from('{}'),
    }));
    return ok({end, records});
  };
  const log = {
    read,
    append: () => Promise.resolve(fail({tag: 'unavailable', detail: ''})),
  } as unknown as SharedLog;
  const streams = new StepStreams({
    log,
    registry: new StepRegistry(clock, logger, 1_000, layout),
    health: new StoreHealth(clock, logger),
    layout,
    policy: defaultSchedulingPolicy,
    getOwnedPartitions: () => new Set(owned),
    isLeaseHeld: () => false,
    createQueue: () => ({size: 0, close: () => {}}) as unknown as AppendQueue,
    clock,
    logger,
    metrics: new Metrics(),
  });
  const {tail} = streams.partitions[PARTITION];
  tail.start();
  if (isWatched) tail.watch();
  for (let record = 0; record < RECORDS; record++) {
    end++;
    for (const answer of held) answer();
    held.clear();
    for (let turn = 0; turn < TURNS; turn++) await setImmediate();
    clock.advance(APPEND_INTERVAL_MS);
  }
  streams.close();
  return reads;
}

describe('StepStreams', () => {
  describe('while another process appends a hundred records a second', () => {
    // Guards against reads of the store that grow with the number of processes
    // times the number of records.
    it('reads twice at most if nobody here needs the records', async () => {
      assert.ok((await countReads([], false)) <= 3);
    });

    it('reads each record at once if a caller waits here', async () => {
      assert.ok((await countReads([], true)) >= RECORDS);
    });

    it('reads soon if this process runs samples of the partition', async () => {
      const reads = await countReads([3], false);
      assert.ok(reads >= 25 && reads <= 40, `${reads} reads`);
    });

    it('reads a few times if this process runs samples of others', async () => {
      const reads = await countReads([4], false);
      assert.ok(reads <= 6, `${reads} reads`);
    });
  });
});
