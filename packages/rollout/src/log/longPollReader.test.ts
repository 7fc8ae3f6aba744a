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
  const held = new LongPollReader(health, stopping.signal);
  return {clock, health, stopping, held};
}

/** A read that ends only when it is given up, as at a silent store. */
function sendSilent(held: LongPollReader): Promise<string | null> {
  return held.send(
    WAIT_MS,
    (_waitMs, signal) =>
      new Promise(resolve => {
        signal.addEventListener('abort', () => resolve('aborted'));
      }),
  );
}

describe('HeldRead', () => {
  it('gives a silent read up when the store is heard again (guards slow recovery)', async () => {
    const {clock, health, held} = createFixture();
    const read = sendSilent(held);
    health.recordFailure('another read had no answer');
    clock.advance(1_000);
    health.recordSuccess();
    assert.equal(await read, null);
  });

  it('leaves a read alone through a single lost answer', async () => {
    const {clock, health, stopping, held} = createFixture();
    let isEnded = false;
    const read = sendSilent(held).then(() => (isEnded = true));
    health.recordFailure('one answer was lost');
    clock.advance(100);
    health.recordSuccess();
    await Promise.resolve();
    assert.equal(isEnded, false);
    stopping.abort();
    await read;
  });

  it('does not have reads held while the store is away', async () => {
    const {clock, health, held} = createFixture();
    const getWait = () => held.send(WAIT_MS, waitMs => Promise.resolve(waitMs));
    assert.equal(await getWait(), WAIT_MS);
    health.recordFailure('no answer');
    assert.equal(await getWait(), 0);
    clock.advance(1_000);
    health.recordSuccess();
    assert.equal(await getWait(), WAIT_MS);
  });
});
