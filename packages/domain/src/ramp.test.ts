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

/** Runs one step with a load and first-token times, up to its deadline. */
function step(ramp: Ramp, running: number, times: readonly number[]): Ramp {
  let next = recordRunning(ramp, running);
  for (const time of times) next = recordFirstToken(next, time);
  return advanceRamp(next, pool, next.stepDeadline);
}

describe('ramp', () => {
  it('grows by the factor up to the limit of the pool', () => {
    // Guards against throttling a warm upstream.
    let ramp = createRamp(pool, 'g1', true, 0);
    const limits = [];
    for (let i = 0; i < 5; i++) {
      limits.push(getRampLimit(ramp, pool));
      ramp = step(ramp, getRampLimit(ramp, pool), [100]);
    }
    assert.deepEqual(limits, [2, 4, 8, 16, 16]);
  });

  it('grows only after steps that reached the limit while the time to first token was stable', () => {
    // Guards against growth without measurements that support it.
    const warm = step(createRamp(pool, 'g1', true, 0), 2, [100]);
    const cases: Array<[string, Ramp, number]> = [
      ['step below the limit', step(warm, 3, [100]), 4],
      ['no responses', step(warm, 4, []), 4],
      ['longer times to first token', step(warm, 4, [200, 200, 200]), 4],
      [
        'limit reached with a stable time to first token',
        step(warm, 4, [110, 90, 100]),
        8,
      ],
      [
        'responses without first-token times',
        step(recordResponse(warm), 4, []),
        8,
      ],
      ['jump of the first-token time', step(warm, 4, [900, 900, 900]), 2],
      ['one slow request', step(warm, 4, [900]), 4],
    ];
    for (const [name, ramp, limit] of cases) {
      assert.equal(getRampLimit(ramp, pool), limit, name);
    }
  });

  it('restarts for a new engine process or one that is cold again', () => {
    // Guards against full load on an engine that is no longer warm.
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
    // Further cold reports must not keep the ramp at its initial limit.
    const grown = step(cold, 2, [100]);
    const again = updateEngine(grown, pool, 'g1', true, 2_000);
    assert.equal(getRampLimit(again, pool), 4);
  });

  it('never admits more than the ramp allows', () => {
    // Guards against overloading a cold upstream in any order of events: the
    // limit grows at most by the factor per step since the last restart.
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
