import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import type {Ramp} from './ramp.js';
import {
  advanceRamp,
  createRamp,
  getRampLimit,
  recordResponse,
  updateEngine,
  recordFirstToken,
  recordRunning,
} from './ramp.js';

const SEED = 20_261_204;
const pool = {
  maxConcurrent: 16,
  ramp: {initial: 2, factor: 2, stepMs: 1_000},
};

/** One step with a load and first-token times, ended at its deadline. */
function step(ramp: Ramp, running: number, times: readonly number[]): Ramp {
  let next = recordRunning(ramp, running);
  for (const time of times) next = recordFirstToken(next, time);
  return advanceRamp(next, pool, next.stepDeadline);
}

describe('ramp', () => {
  it('grows by the factor up to the limit of the pool', () => {
    // Guards against a warm upstream that stays throttled.
    let ramp = createRamp(pool, 'g1', true, 0);
    const limits = [];
    for (let i = 0; i < 5; i++) {
      limits.push(getRampLimit(ramp, pool));
      ramp = step(ramp, getRampLimit(ramp, pool), [100]);
    }
    assert.deepEqual(limits, [2, 4, 8, 16, 16]);
  });

  it('grows only after steps that were used, answered and held', () => {
    // Guards against growth that no measurement supports.
    const warm = step(createRamp(pool, 'g1', true, 0), 2, [100]);
    const cases: Array<[string, Ramp, number]> = [
      ['unused step', step(warm, 3, [100]), 4],
      ['no answers', step(warm, 4, []), 4],
      ['slower first tokens', step(warm, 4, [200, 200, 200]), 4],
      ['used and held', step(warm, 4, [110, 90, 100]), 8],
      ['answers without times', step(recordResponse(warm), 4, []), 8],
      ['jump of first tokens', step(warm, 4, [900, 900, 900]), 2],
      ['one slow request', step(warm, 4, [900]), 4],
    ];
    for (const [name, ramp, limit] of cases) {
      assert.equal(getRampLimit(ramp, pool), limit, name);
    }
  });

  it('restarts for a new engine process or one that is cold again', () => {
    // Guards against full load on an engine that has lost its warm state.
    const warm = updateEngine(
      step(createRamp(pool, 'g1', true, 0), 2, [100]),
      pool,
      'g1',
      false,
      1_000,
    );
    assert.equal(getRampLimit(warm, pool), 4);
    const replaced = updateEngine(warm, pool, 'g2', false, 1_000);
    assert.equal(getRampLimit(replaced, pool), 2);
    assert.equal(replaced.restart, 'epoch_changed');
    const cold = updateEngine(warm, pool, 'g1', true, 1_000);
    assert.equal(getRampLimit(cold, pool), 2);
    // A further cold report must not hold the ramp at its start for ever.
    const grown = step(cold, 2, [100]);
    const again = updateEngine(grown, pool, 'g1', true, 2_000);
    assert.equal(getRampLimit(again, pool), 4);
  });

  it('never admits more than the ramp allows', () => {
    // Guards against any order of events that overloads a cold upstream: the
    // limit at most grows by the factor per step since the last restart.
    const event = fc.oneof(
      fc.record({type: fc.constant('wait' as const), ms: fc.nat(1_500)}),
      fc.record({type: fc.constant('request' as const), ms: fc.nat(500)}),
      fc.record({type: fc.constant('finish' as const)}),
      fc.record({type: fc.constant('status' as const), epoch: fc.nat(1)}),
    );
    fc.assert(
      fc.property(fc.array(event, {maxLength: 200, size: 'max'}), events => {
        let now = 0;
        let running = 0;
        let ramp = createRamp(pool, 'g0', true, now);
        let restartedAt = 0;
        for (const each of events) {
          if (each.type === 'wait') now += each.ms;
          ramp = advanceRamp(ramp, pool, now);
          if (ramp.restart) restartedAt = now;
          ramp = {...ramp, restart: null};
          if (each.type === 'status') {
            ramp = updateEngine(ramp, pool, `g${each.epoch}`, true, now);
            if (ramp.restart) restartedAt = now;
            ramp = {...ramp, restart: null};
          }
          const limit = getRampLimit(ramp, pool);
          const steps = Math.floor((now - restartedAt) / pool.ramp.stepMs);
          assert.ok(limit <= Math.min(16, 2 * 2 ** steps));
          if (each.type === 'finish') running = Math.max(0, running - 1);
          if (each.type === 'request' && running < limit) {
            running += 1;
            ramp = recordRunning(ramp, running);
            ramp = recordFirstToken(ramp, each.ms);
          }
        }
      }),
      {seed: SEED, numRuns: 300},
    );
  });
});
