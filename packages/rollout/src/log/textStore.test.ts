import {Metrics, createLogger, fail, ok} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {SharedLog, TextLocation} from '../model/index.js';
import {splitEntry} from './entries.js';
import {TextStore} from './textStore.js';

const RECORD_BYTES = 1_024;

/** A store that holds the texts and counts the reads. */
function createStore(texts: string[], isAway = false) {
  let reads = 0;
  const records = texts.flatMap(text =>
    splitEntry(Buffer.from(text), RECORD_BYTES),
  );
  const log = {
    read: ({from}: {from: number}) => {
      reads++;
      if (isAway) {
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
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
  });
  return {store, getReads: () => reads};
}

function getPlaces(texts: string[]): TextLocation[] {
  return texts.map((text, offset) => ({
    partition: 0,
    offset,
    bytes: text.length,
  }));
}

describe('TextStore', () => {
  const texts = ['one', 'two', 'three', 'four'];

  it('reads texts that lie together once (guards the link of a small instance)', async () => {
    const {store, getReads} = createStore(texts);
    const read = await Promise.all(getPlaces(texts).map(p => store.get(p)));
    assert.deepEqual(
      read.map(text => text?.toString()),
      texts,
    );
    assert.equal(getReads(), 1);
  });

  it('asks a store that is away once for all (guards a queue of time limits)', async () => {
    const {store, getReads} = createStore(texts, true);
    const places = getPlaces(texts);
    const read = await Promise.all(places.map(p => store.get(p)));
    assert.deepEqual(read, [null, null, null, null]);
    assert.equal(getReads(), 1);
    await store.get(places[0]);
    assert.equal(getReads(), 2, 'a later request asks again');
  });
});
