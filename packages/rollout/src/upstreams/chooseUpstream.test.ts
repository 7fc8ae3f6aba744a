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
});
