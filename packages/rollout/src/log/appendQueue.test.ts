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

type Answer = Result<AppendedRange, LogFailure>;

const stored: Answer = ok({offset: 0, end: 1});
const unknown: Answer = fail({tag: 'unknown', detail: 'lost'});
const unavailable: Answer = fail({tag: 'unavailable', detail: 'down'});

function createQueue(answers: Answer[]) {
  const appends: AppendRequest[] = [];
  const log = {
    append: (append: AppendRequest) => {
      appends.push(append);
      return Promise.resolve(answers.shift() ?? stored);
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

function getTime(spanMs: number): MonotonicMs {
  return getDeadline(systemClock.now(), spanMs);
}

describe('AppendQueue', () => {
  it('repeats a lost append under its number (guards doubled entries)', async () => {
    const {queue, appends} = createQueue([unknown, unavailable, stored]);
    const first = await queue.append(Buffer.from('x'), null);
    assert.equal(first.tag, 'stored');
    const numbers = appends.map(append => append.producer?.sequence);
    assert.deepEqual(numbers, [0, 0, 0]);
    await queue.append(Buffer.from('y'), null);
    assert.equal(appends.at(-1)?.producer?.sequence, 1);
  });

  it('takes a number that is gone after a lost answer as stored', async () => {
    const gone: Answer = fail({tag: 'out_of_sequence', expected: 1});
    const {queue, appends} = createQueue([unknown, gone]);
    const outcome = await queue.append(Buffer.from('x'), null);
    assert.deepEqual(outcome, {tag: 'stored', offset: null});
    assert.equal(appends.length, 2);
  });

  it('withdraws at the deadline what was never stored (guards "not run")', async () => {
    const down = Array.from({length: 50}, () => unavailable);
    const {queue, appends} = createQueue(down);
    const outcome = await queue.append(Buffer.from('x'), getTime(200));
    assert.equal(outcome.tag, 'not_stored');
    const before = appends.length;
    await systemClock.waitUntil(getTime(600));
    assert.ok(appends.length <= before + 1, 'it must not be sent any more');
  });

  it('calls an entry unknown whose answer was lost', async () => {
    const lost = Array.from({length: 50}, () => unknown);
    const {queue} = createQueue(lost);
    const outcome = await queue.append(Buffer.from('x'), getTime(200));
    assert.equal(outcome.tag, 'unknown');
    queue.close();
  });
});

describe('entries', () => {
  it('are put together again from records of a limited size', () => {
    for (const size of [0, 1, 62, 63, 64, 200]) {
      const entry = Buffer.alloc(size, 'e');
      const records = splitEntry(entry, 64);
      assert.ok(records.every(record => record.length <= 64));
      const assembly = new EntryAssembler();
      const whole = records.map(record => assembly.push(record));
      assert.deepEqual(whole.at(-1), entry);
      assert.ok(whole.slice(0, -1).every(part => part === null));
    }
  });
});
