import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {describe, it} from 'node:test';

import type {MonotonicMs} from './brand.js';
import {ManualClock} from './clock.js';

const at = (ms: number) => ms as MonotonicMs;

describe('ManualClock', () => {
  it('removes its abort listener after each wait', async () => {
    // Guards against listeners that accumulate on a long-lived signal.
    const clock = new ManualClock();
    const {signal} = new AbortController();
    const wait = clock.waitUntil(at(10), signal);
    clock.advance(10);
    await wait;
    assert.equal(getEventListeners(signal, 'abort').length, 0);
  });

  it('ends a wait early when its signal aborts', async () => {
    // Guards against waits that outlive their request.
    const clock = new ManualClock();
    const controller = new AbortController();
    const wait = clock.waitUntil(at(10), controller.signal);
    controller.abort('ended');
    await wait;
    assert.equal(clock.now(), 0);
  });

  it('calls back at the deadline, but not after cancellation', async () => {
    // Guards against a deadline that aborts a request that has already ended.
    const clock = new ManualClock();
    const called: string[] = [];
    let cancelSecond = () => {};
    clock.callAt(at(5), () => {
      called.push('first');
      cancelSecond();
    });
    cancelSecond = clock.callAt(at(10), () => called.push('second'));
    clock.callAt(at(0), () => called.push('passed'));
    assert.deepEqual(called, []);
    await Promise.resolve();
    clock.advance(20);
    assert.deepEqual(called, ['passed', 'first']);
  });
});
