import {ManualClock} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {TimeConsensus} from './timeConsensus.js';

/** A manual clock whose wall clock can be stepped. */
class SteppedClock extends ManualClock {
  stepMs = 0;

  override wallNow(): number {
    return super.wallNow() + this.stepMs;
  }
}

describe('TimeConsensus', () => {
  it('follows the majority when the local clock is stepped (guards against usage in the wrong window)', () => {
    const clock = new SteppedClock();
    const time = new TimeConsensus(clock);
    clock.advance(10_000);
    for (const process of ['a', 'b', 'c']) time.addReading(process, 10_000);
    clock.stepMs = 3_000;
    assert.equal(time.now(), 10_000);
    clock.advance(500);
    assert.equal(time.now(), 10_500);
  });

  it('ignores readings that were delayed in transit', () => {
    const clock = new SteppedClock();
    const time = new TimeConsensus(clock);
    clock.advance(10_000);
    for (const process of ['a', 'b', 'c']) {
      time.addReading(process, 10_000);
      time.addReading(process, 6_000);
    }
    assert.equal(time.now(), 10_000);
  });

  it('uses the local clock while too few readings are known', () => {
    const clock = new SteppedClock();
    const time = new TimeConsensus(clock);
    clock.advance(1_000);
    time.addReading('a', 50_000);
    assert.equal(time.now(), 1_000);
  });

  it('expires old readings (guards against stale time after a suspension)', () => {
    const clock = new SteppedClock();
    const time = new TimeConsensus(clock);
    clock.advance(1_000);
    for (const process of ['a', 'b', 'c']) time.addReading(process, 1_000);
    clock.stepMs = 60_000;
    clock.advance(5_000);
    assert.equal(time.now(), 66_000);
  });
});
