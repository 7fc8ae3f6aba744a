import {ManualClock, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LongPollReader} from './longPollReader.js';
import {StoreHealth} from './storeHealth.js';

const WAIT_MS = 2_000;

function createFixture() {
  const clock = new ManualClock();
  const health = new StoreHealth(clock, createLogger('test', 'silent'));
  const stopping = new AbortController();
  const reader = new LongPollReader(health, stopping.signal);
  return {clock, health, stopping, reader};
}

/** A read that ends only when it is aborted, as with an unresponsive store. */
function sendUnanswered(reader: LongPollReader): Promise<string | null> {
  return reader.send(
    WAIT_MS,
    (_waitMs, signal) =>
      new Promise(resolve => {
        signal.addEventListener('abort', () => resolve('aborted'));
      }),
  );
}

describe('LongPollReader', () => {
  it('aborts an unanswered read when the store is reachable again (otherwise recovery would be delayed until the read times out)', async () => {
    const {clock, health, reader} = createFixture();
    const read = sendUnanswered(reader);
    health.recordFailure('another read timed out');
    clock.advance(1_000);
    health.recordSuccess();
    assert.equal(await read, null);
  });

  it('aborts a held read on request (guards against a new owner that waits for a connection that went silent)', async () => {
    const {reader} = createFixture();
    const read = sendUnanswered(reader);
    reader.abort();
    assert.equal(await read, null);
  });

  it('does not abort a read after a single lost response', async () => {
    const {clock, health, stopping, reader} = createFixture();
    let isEnded = false;
    const read = sendUnanswered(reader).then(() => (isEnded = true));
    health.recordFailure('one response was lost');
    clock.advance(100);
    health.recordSuccess();
    await Promise.resolve();
    assert.equal(isEnded, false);
    stopping.abort();
    await read;
  });

  it('does not long-poll while the store is unreachable', async () => {
    const {clock, health, reader} = createFixture();
    const getSentWaitMs = () =>
      reader.send(WAIT_MS, waitMs => Promise.resolve(waitMs));
    assert.equal(await getSentWaitMs(), WAIT_MS);
    health.recordFailure('read timed out');
    assert.equal(await getSentWaitMs(), 0);
    clock.advance(1_000);
    health.recordSuccess();
    assert.equal(await getSentWaitMs(), WAIT_MS);
  });
});
