import {
  Metrics,
  createLogger,
  fail,
  ok,
  systemClock,
} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {SharedLog, TextLocation} from '../model/index.js';
import {splitEntry} from './entries.js';
import {TextStore} from './textStore.js';

const RECORD_BYTES = 1_024;

/** Creates a store that contains the texts and counts the reads. */
function createStore(texts: string[], isUnreachable = false) {
  let reads = 0;
  const records = texts.flatMap(text =>
    splitEntry(Buffer.from(text), RECORD_BYTES),
  );
  const log = {
    read: ({from}: {from: number}) => {
      reads++;
      if (isUnreachable) {
        return Promise.resolve(fail({tag: 'unknown', detail: 'timeout'}));
      }
      const page = records
        .slice(from)
        .map((bytes, index) => ({offset: from + index, bytes}));
      return Promise.resolve(ok({end: records.length, records: page}));
    },
  } as unknown as SharedLog;
  const store = new TextStore({
    log,
    stream: 'texts',
    queues: [],
    clock: systemClock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
  });
  return {store, getReads: () => reads};
}

function getLocations(texts: string[]): TextLocation[] {
  return texts.map((text, offset) => ({
    partition: 0,
    offset,
    bytes: text.length,
  }));
}

describe('TextStore', () => {
  const texts = ['one', 'two', 'three', 'four'];

  it('reads adjacent texts in one call (separate reads would saturate the network link of a small instance)', async () => {
    const {store, getReads} = createStore(texts);
    const read = await Promise.all(getLocations(texts).map(p => store.get(p)));
    assert.deepEqual(
      read.map(text => text?.toString()),
      texts,
    );
    assert.equal(getReads(), 1);
  });

  it('sends an unreachable store one read for all queued texts (otherwise their timeouts would add up)', async () => {
    const {store, getReads} = createStore(texts, true);
    const locations = getLocations(texts);
    const read = await Promise.all(locations.map(p => store.get(p)));
    assert.deepEqual(read, [null, null, null, null]);
    assert.equal(getReads(), 1);
    await store.get(locations[0]);
    assert.equal(getReads(), 2, 'a later request reads again');
  });
});
