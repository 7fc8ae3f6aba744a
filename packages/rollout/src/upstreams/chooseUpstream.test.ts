import type {DomainId, SoftwareVersion} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {createKnownOrigin, noText} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from '../testing/directoryFixture.js';
import type {UpstreamCriteria} from './chooseUpstream.js';
import {chooseUpstream} from './chooseUpstream.js';

const V1 = toBranded<SoftwareVersion>('v1');
const V2 = toBranded<SoftwareVersion>('v2');
const FULL = {running: 4, waiting: 9, slots: 4, pace: null};

const callerCriteria: UpstreamCriteria = {
  pool: testPool,
  coldShare: 10,
  domain: toBranded<DomainId>('a'),
  tried: new Set(),
  weights: null,
  origin: noText,
  maxInFlight: 100,
  isBackground: false,
  placement: null,
};
const backgroundCriteria: UpstreamCriteria = {
  ...callerCriteria,
  isBackground: true,
};

describe('chooseUpstream', () => {
  describe('with a text that has begun', () => {
    const choose = (origin: TextOrigin) => {
      const {directory, list, clock} = createDirectoryFixture();
      list('old', {software: V1});
      list('new', {software: V2});
      // The other version is the better choice in all other respects.
      directory.getUsable(POOL_ID)[0].recordLoad(FULL);
      clock.advance(1);
      const usable = directory.getUsable(POOL_ID);
      return chooseUpstream(usable, {...callerCriteria, origin})?.id ?? null;
    };

    it('takes only an upstream of its software version', () => {
      assert.equal(choose(createKnownOrigin(V1)), 'old');
    });

    it('takes none if its software version is gone', () => {
      const v3 = toBranded<SoftwareVersion>('v3');
      assert.equal(choose(createKnownOrigin(v3)), null);
    });

    it('takes none if its software version is unknown', () => {
      assert.equal(choose({tag: 'unknown'}), null);
    });

    it('takes any without a text', () => {
      assert.equal(choose(noText), 'new');
    });
  });

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

  describe('with concentrated placement', () => {
    const placement = {waitingCount: 1, getSavedWork: () => 0};
    /** Sends requests one by one; returns how many each upstream gets. */
    const send = (serviceMs: Record<string, number>, requests: number) => {
      const {directory, list, clock} = createDirectoryFixture();
      for (const id of Object.keys(serviceMs)) list(id);
      const counts: Record<string, number> = {};
      for (let request = 0; request < requests; request++) {
        const usable = directory.getUsable(POOL_ID);
        const criteria = {...callerCriteria, placement};
        const {id} = chooseUpstream(usable, criteria)!;
        counts[id] = (counts[id] ?? 0) + 1;
        directory.get(id)!.recordServiceTime(serviceMs[id]);
        clock.advance(10);
      }
      return counts;
    };

    it('gives few requests to an upstream that has become slow (guards against calls that wait there while others have room)', () => {
      const counts = send({fast1: 40, fast2: 45, slow: 220}, 60);
      assert.ok((counts.slow ?? 0) <= 6, JSON.stringify(counts));
    });

    it('uses a slow upstream if it is alone', () => {
      assert.deepEqual(send({slow: 220}, 3), {slow: 3});
    });
  });
});
