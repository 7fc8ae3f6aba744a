import {ManualClock, fail, ok} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {createLogClient} from './logClient.js';
import type {
  AppendRecord,
  LogPort,
  PlatformFailure,
  StreamRecord,
} from './types.js';

type Fault =
  'response lost' | 'request lost' | 'busy' | 'bad payload rejected' | 'none';

/**
 * Creates an in-memory log. `faults` holds one fault for each of the next
 * appends, but `bad payload rejected` applies to all later appends too: it
 * rejects those that contain the payload `bad`. The first `failedReads` reads
 * after an append fail.
 */
function createFaultyLog(faults: Fault[], failedReads = 0) {
  const records: StreamRecord[] = [];
  const appends: string[][] = [];
  const lost: PlatformFailure = {tag: 'unknown', detail: 'lost'};
  const port: LogPort = {
    append: async (_stream, batch: AppendRecord[]) => {
      appends.push(batch.map(record => record.appendId));
      const fault = faults.shift() ?? 'none';
      if (fault === 'request lost') return fail(lost);
      if (fault === 'busy') return fail({tag: 'unavailable', detail: 'busy'});
      if (fault === 'bad payload rejected') faults.unshift(fault);
      if (
        fault === 'bad payload rejected' &&
        batch.some(r => r.payload === 'bad')
      ) {
        return fail({tag: 'rejected', detail: 'bad payload'});
      }
      const start = records.length;
      batch.forEach((record, i) =>
        records.push({...record, offset: start + i}),
      );
      if (fault === 'response lost') return fail(lost);
      return ok(batch.map((_, i) => start + i));
    },
    read: async (_stream, from) => {
      if (appends.length > 0 && failedReads-- > 0) return fail(lost);
      const range = records.slice(from, from + 2);
      return ok({records: range, earliest: 0, next: records.length});
    },
  };
  return {port, records, appends};
}

/** Advances the clock until the promise settles. */
async function runUntilSettled<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
): Promise<Value> {
  let isSettled = false;
  void promise.then(() => (isSettled = true));
  for (let i = 0; i < 1_000 && !isSettled; i++) {
    await new Promise(resolve => setImmediate(resolve));
    if (!isSettled) clock.advance(100);
  }
  return promise;
}

describe('log client', () => {
  const cases: Array<{
    title: string;
    faults: Fault[];
    failedReads?: number;
    expected: 'ok' | PlatformFailure['tag'];
    appends: number;
    records: number;
  }> = [
    {
      title: 'does not append a record twice if the response is lost',
      faults: ['response lost'],
      expected: 'ok',
      appends: 1,
      records: 1,
    },
    {
      title:
        'retries if reading back shows that the first attempt had no effect',
      faults: ['request lost'],
      expected: 'ok',
      appends: 2,
      records: 1,
    },
    {
      title: 'does not retry before reading back has succeeded',
      faults: ['response lost'],
      failedReads: 3,
      expected: 'ok',
      appends: 1,
      records: 1,
    },
    {
      title: 'reports an unknown outcome if the record may be in the log',
      faults: ['request lost', 'busy', 'busy', 'busy', 'busy'],
      expected: 'unknown',
      appends: 5,
      records: 0,
    },
    {
      title: 'does not retry if reading back fails',
      faults: ['response lost'],
      failedReads: 1_000,
      expected: 'unknown',
      appends: 1,
      records: 1,
    },
    {
      title: 'gives up after the maximum number of attempts if the log is busy',
      faults: Array.from({length: 50}, () => 'busy'),
      expected: 'unavailable',
      appends: 5,
      records: 0,
    },
  ];
  for (const test of cases) {
    it(`append ${test.title}`, async () => {
      const clock = new ManualClock();
      const log = createFaultyLog([...test.faults], test.failedReads);
      const client = createLogClient(log.port, clock);
      const result = await runUntilSettled(
        clock,
        client.append('s', [{appendId: 'a', payload: 1}]),
      );
      assert.equal(result.ok ? 'ok' : result.error.tag, test.expected);
      assert.equal(log.appends.length, test.appends);
      assert.equal(log.records.length, test.records);
    });
  }

  it('combines many queued records into few appends', async () => {
    const clock = new ManualClock();
    const log = createFaultyLog([]);
    const client = createLogClient(log.port, clock);
    const promises = Array.from({length: 20}, (_, i) =>
      client.append('s', [{appendId: `a${i}`, payload: i}]),
    );
    const results = await runUntilSettled(clock, Promise.all(promises));
    assert.ok(log.appends.length <= 2, `${log.appends.length} appends`);
    results.forEach((result, i) => {
      const offset = result.ok ? result.value[0] : -1;
      assert.equal(log.records[offset].appendId, `a${i}`);
    });
  });

  it('fails only the rejected record of a batch', async () => {
    const clock = new ManualClock();
    const log = createFaultyLog(['bad payload rejected']);
    const client = createLogClient(log.port, clock);
    const payloads = ['first', 'good', 'bad', 'good'];
    const promises = payloads.map((payload, i) =>
      client.append('s', [{appendId: `a${i}`, payload}]),
    );
    const results = await runUntilSettled(clock, Promise.all(promises));
    assert.deepEqual(
      results.map(result => result.ok),
      [true, true, false, true],
    );
  });

  it('limits the rate of appends', async () => {
    const clock = new ManualClock();
    const log = createFaultyLog([]);
    const options = {appendsPerSecond: 2, burst: 3};
    const client = createLogClient(log.port, clock, options);
    const promises = Array.from({length: 7}, (_, i) =>
      client.append(`s${i}`, [{appendId: `a${i}`, payload: i}]),
    );
    for (let i = 0; i < 20; i++) {
      await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(log.appends.length, 3);
    await runUntilSettled(clock, Promise.all(promises));
    assert.ok(clock.now() >= 2_000, `done at ${clock.now()}`);
  });
});
