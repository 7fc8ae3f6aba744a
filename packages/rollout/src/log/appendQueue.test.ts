import type {MonotonicMs, Result} from '@vanillacross/common';
import {
  Metrics,
  createLogger,
  fail,
  getDeadline,
  ok,
  systemClock,
} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {
  AppendRequest,
  AppendedRange,
  LogFailure,
  SharedLog,
} from '../model/index.js';
import {AppendQueue} from './appendQueue.js';
import {EntryAssembler, splitEntry} from './entries.js';

type AppendResult = Result<AppendedRange, LogFailure>;

const storedResult: AppendResult = ok({offset: 0, end: 1});
const unknownResult: AppendResult = fail({tag: 'unknown', detail: 'lost'});
const unavailableResult: AppendResult = fail({
  tag: 'unavailable',
  detail: 'down',
});

function createQueue(answers: AppendResult[]) {
  const appends: AppendRequest[] = [];
  const log = {
    append: (append: AppendRequest) => {
      appends.push(append);
      return Promise.resolve(answers.shift() ?? storedResult);
    },
  } as unknown as SharedLog;
  const queue = new AppendQueue({
    log,
    stream: 's',
    partition: 0,
    producerId: 'p',
    recordBytes: 64,
    callBytes: 1_024,
    clock: systemClock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
  });
  return {queue, appends};
}

function getTimeAfter(spanMs: number): MonotonicMs {
  return getDeadline(systemClock.now(), spanMs);
}

describe('AppendQueue', () => {
  it('retries a lost append under the same sequence number (a new number would store the entry twice)', async () => {
    const {queue, appends} = createQueue([
      unknownResult,
      unavailableResult,
      storedResult,
    ]);
    const first = await queue.append(Buffer.from('x'), null);
    assert.equal(first.tag, 'stored');
    const sequences = appends.map(append => append.producer?.sequence);
    assert.deepEqual(sequences, [0, 0, 0]);
    await queue.append(Buffer.from('y'), null);
    assert.equal(appends.at(-1)?.producer?.sequence, 1);
  });

  it('treats an append as stored if, after a lost response, the store already expects a higher sequence number', async () => {
    const outOfSequence: AppendResult = fail({
      tag: 'out_of_sequence',
      expected: 1,
    });
    const {queue, appends} = createQueue([unknownResult, outOfSequence]);
    const outcome = await queue.append(Buffer.from('x'), null);
    assert.deepEqual(outcome, {tag: 'stored', offset: null});
    assert.equal(appends.length, 2);
  });

  it('resolves an entry as not stored at its deadline and no longer sends it, if it cannot have been stored', async () => {
    const down = Array.from({length: 50}, () => unavailableResult);
    const {queue, appends} = createQueue(down);
    const outcome = await queue.append(Buffer.from('x'), getTimeAfter(200));
    assert.equal(outcome.tag, 'not_stored');
    const before = appends.length;
    await systemClock.waitUntil(getTimeAfter(600));
    assert.ok(
      appends.length <= before + 1,
      'an entry resolved as not stored must not be sent',
    );
  });

  it('resolves an entry as unknown at its deadline if a response was lost', async () => {
    const lost = Array.from({length: 50}, () => unknownResult);
    const {queue} = createQueue(lost);
    const outcome = await queue.append(Buffer.from('x'), getTimeAfter(200));
    assert.equal(outcome.tag, 'unknown');
    queue.close();
  });
});

describe('entries', () => {
  it('are reassembled from records of a limited size', () => {
    for (const size of [0, 1, 62, 63, 64, 200]) {
      const entry = Buffer.alloc(size, 'e');
      const records = splitEntry(entry, 64);
      assert.ok(records.every(record => record.length <= 64));
      const assembler = new EntryAssembler();
      const entries = records.map(record => assembler.push(record));
      assert.deepEqual(entries.at(-1), entry);
      assert.ok(entries.slice(0, -1).every(part => part === null));
    }
  });

  it('ends after it was closed (guards against a process that does not exit because it retries without pause)', async () => {
    const {queue, appends} = createQueue([]);
    queue.close();
    const outcome = await queue.append(Buffer.from('late'), null);
    assert.deepEqual(outcome, {tag: 'not_stored'});
    assert.equal(appends.length, 0);
  });
});
