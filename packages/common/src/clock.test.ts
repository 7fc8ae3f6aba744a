import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {describe, it} from 'node:test';

import type {MonotonicMs} from './brand.js';
import {ManualClock, getDeadline, systemClock} from './clock.js';

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

describe('systemClock', () => {
  describe('with a deadline at a fraction of a millisecond', () => {
    const ROUNDS = 100;
    const SPAN_MS = 2.9;

    const waits: Record<string, (deadline: MonotonicMs) => Promise<void>> = {
      callAt: deadline =>
        new Promise(resolve => systemClock.callAt(deadline, resolve)),
      waitUntil: deadline => systemClock.waitUntil(deadline),
    };

    for (const [name, wait] of Object.entries(waits)) {
      // Guards against a request that ends at its deadline and is reported with
      // another reason, because the clock is still before the deadline.
      it(`does not end ${name} before the deadline`, async () => {
        for (let round = 0; round < ROUNDS; round++) {
          const deadline = getDeadline(systemClock.now(), SPAN_MS);
          await wait(deadline);
          const earlyMs = deadline - systemClock.now();
          assert.ok(earlyMs <= 0, `${earlyMs} ms early in round ${round}`);
        }
      });
    }
  });
});
