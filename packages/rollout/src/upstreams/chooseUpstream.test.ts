import type {DomainId} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from '../testing/directoryFixture.js';
import type {UpstreamCriteria} from './chooseUpstream.js';
import {chooseUpstream} from './chooseUpstream.js';

const callerCriteria: UpstreamCriteria = {
  pool: testPool,
  coldShare: 10,
  domain: toBranded<DomainId>('a'),
  tried: new Set(),
  weights: null,
  maxInFlight: 100,
  isBackground: false,
};
const backgroundCriteria: UpstreamCriteria = {
  ...callerCriteria,
  isBackground: true,
};

describe('chooseUpstream', () => {
  it('reserves slots for callers (guards against slow lookups during a burst of background scoring)', () => {
    const {directory, list} = createDirectoryFixture();
    list('u', {slots: 6});
    const [upstream] = directory.getUsable(POOL_ID);
    let taken = 0;
    while (chooseUpstream([upstream], backgroundCriteria)) {
      upstream.recordStart();
      taken++;
    }
    assert.equal(taken, 4);
    assert.equal(chooseUpstream([upstream], callerCriteria), upstream);
  });

  it('allows background requests on an upstream with a single slot', () => {
    const {directory, list} = createDirectoryFixture();
    list('u', {slots: 1});
    const [upstream] = directory.getUsable(POOL_ID);
    assert.equal(chooseUpstream([upstream], backgroundCriteria), upstream);
  });

  it('prefers the upstream in its own failure domain if both are idle', () => {
    const {directory, list} = createDirectoryFixture();
    list('far', {domain: toBranded<DomainId>('b')});
    list('near');
    const chosen = chooseUpstream(directory.getUsable(POOL_ID), callerCriteria);
    assert.equal(chosen?.id, 'near');
  });

  describe('with more upstreams than the process needs', () => {
    const UPSTREAMS = 12;
    const ROUNDS = 200;
    const CONCURRENT = 4;

    /** Plays rounds of concurrent requests; returns the connections opened. */
    const play = (concurrent: number) => {
      const {directory, list} = createDirectoryFixture();
      for (let i = 0; i < UPSTREAMS; i++) list(`u${i}`);
      const usable = directory.getUsable(POOL_ID);
      const idle = new Map(usable.map(upstream => [upstream, 0]));
      for (const upstream of usable) {
        upstream.hasIdleConnection = () => idle.get(upstream)! > 0;
      }
      let opened = 0;
      let mostAtOne = 0;
      for (let round = 0; round < ROUNDS; round++) {
        const busy = [];
        for (let i = 0; i < concurrent; i++) {
          const upstream = chooseUpstream(usable, callerCriteria)!;
          if (idle.get(upstream) === 0) opened++;
          else idle.set(upstream, idle.get(upstream)! - 1);
          upstream.recordStart();
          mostAtOne = Math.max(mostAtOne, upstream.inFlight);
          busy.push(upstream);
        }
        for (const upstream of busy) {
          upstream.recordEnd();
          idle.set(upstream, idle.get(upstream)! + 1);
        }
      }
      return {opened, mostAtOne};
    };

    it('reuses its connections instead of opening one to each upstream', () => {
      // Guards against connections that grow with processes times upstreams.
      assert.ok(play(CONCURRENT).opened <= CONCURRENT * 2);
    });

    it('still spreads a burst over all upstreams', () => {
      // Guards against callers that wait at a busy upstream beside idle ones.
      assert.equal(play(UPSTREAMS * 2).mostAtOne, 2);
    });
  });
});
