import type {DomainId} from '@vanillacross/common';
import {as} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from '../testing/directoryFixture.js';
import type {UpstreamCriteria} from './chooseUpstream.js';
import {chooseUpstream} from './chooseUpstream.js';

const callers: UpstreamCriteria = {
  pool: testPool,
  coldShare: 10,
  domain: as<DomainId>('a'),
  tried: new Set(),
  weights: null,
  maxInFlight: 100,
  isBackground: false,
};
const background: UpstreamCriteria = {...callers, isBackground: true};

describe('chooseUpstream', () => {
  it('leaves slots to callers that background requests may not take (guards lookups in a burst of scoring)', () => {
    const {directory, list} = createDirectoryFixture();
    list('u', {slots: 6});
    const [upstream] = directory.getUsable(POOL_ID);
    let taken = 0;
    while (chooseUpstream([upstream], background)) {
      upstream.recordStart();
      taken++;
    }
    assert.equal(taken, 4);
    assert.equal(chooseUpstream([upstream], callers), upstream);
  });

  it('lets background requests go on where an upstream has one slot', () => {
    const {directory, list} = createDirectoryFixture();
    list('u', {slots: 1});
    const [upstream] = directory.getUsable(POOL_ID);
    assert.equal(chooseUpstream([upstream], background), upstream);
  });

  it('prefers the nearer of two idle upstreams', () => {
    const {directory, list} = createDirectoryFixture();
    list('far', {domain: as<DomainId>('b')});
    list('near');
    const chosen = chooseUpstream(directory.getUsable(POOL_ID), callers);
    assert.equal(chosen?.id, 'near');
  });
});
