import {Metrics, createLogger, ok, systemClock} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ReadRequest, SharedLog} from '../model/index.js';
import {KeyedTail} from './keyedTail.js';
import {StoreHealth} from './storeHealth.js';
import {StreamTail} from './streamTail.js';

const LAST = 3;
const value = Buffer.from('\0x');
/** Records 0 to 3, one per read; the later reads wait. */
const readOne = ({from, signal}: ReadRequest) =>
  from > LAST
    ? new Promise(resolve => signal?.addEventListener('abort', resolve))
    : ok({
        end: LAST + 1,
        records: [{offset: from, key: String(from), bytes: value, value}],
      });
const log = {
  read: readOne,
  readKeyed: readOne,
  readNewest: () => ok({end: 0, records: []}),
} as unknown as SharedLog;

describe('a tail', () => {
  // Guards against a record that ends every process that follows its stream.
  for (const Tail of [KeyedTail, StreamTail]) {
    it(`skips a record whose processing throws (${Tail.name})`, async () => {
      const logger = createLogger('test', 'silent');
      const metrics = new Metrics();
      const seen: number[] = [];
      await new Promise<void>(resolve => {
        const handle = (offset: number) => {
          seen.push(offset);
          if (offset === LAST) {
            tail.stop();
            resolve();
          }
          if (offset === 1) throw new Error('can not be processed');
        };
        const tail = new Tail({
          log,
          stream: 's',
          partition: 0,
          waitMs: 0,
          pauseMs: 0,
          getWaitMs: () => 0,
          getPauseMs: () => 0,
          clock: systemClock,
          logger,
          metrics,
          health: new StoreHealth(systemClock, logger),
          onRecord: record => handle(record.offset),
          onEntry: (_entry, offset) => handle(offset),
        });
        tail.start();
      });
      assert.deepEqual(seen, [0, 1, 2, 3]);
      assert.match(metrics.render(), /vc_internal_errors 1/);
    });
  }
});
