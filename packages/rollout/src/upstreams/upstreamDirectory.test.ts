import type {UpstreamId} from '@vanillacross/common';
import {as} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {POOL_ID, createDirectoryFixture} from '../testing/directoryFixture.js';

const ID = as<UpstreamId>('u1');

describe('Directory', () => {
  describe('an upstream that is new here', () => {
    const cases = [
      {
        name: 'is cold after its start, whatever it states',
        isStarting: false,
        ageMs: 1_000,
        coldLeftMs: 0,
        isCold: true,
      },
      {
        name: 'is warm if it has run for long (guards slow recovery)',
        isStarting: false,
        ageMs: 60_000,
        coldLeftMs: 0,
        isCold: false,
      },
      {
        name: 'is cold if it turned cold again',
        isStarting: false,
        ageMs: 60_000,
        coldLeftMs: 500,
        isCold: true,
      },
      {
        name: 'is as it states where all start together',
        isStarting: true,
        ageMs: 1_000,
        coldLeftMs: 0,
        isCold: false,
      },
    ];
    for (const {name, isStarting, ageMs, coldLeftMs, isCold} of cases) {
      it(name, () => {
        const {clock, directory, list} = createDirectoryFixture(isStarting);
        list(ID, {bornAt: clock.wallNow() - ageMs, coldLeftMs});
        assert.equal(directory.get(ID)!.isCold(), isCold);
      });
    }
  });

  describe('an upstream whose entry is removed', () => {
    it('gets nothing more while the store is steady', () => {
      const {directory, list, unlist} = createDirectoryFixture();
      list(ID);
      unlist(ID);
      assert.deepEqual(directory.getUsable(POOL_ID), []);
    });

    it('is kept while the store is away and a moment longer', () => {
      const {clock, health, directory, list, unlist} = createDirectoryFixture();
      list(ID);
      health.recordFailure('no answer');
      unlist(ID);
      assert.equal(directory.getUsable(POOL_ID).length, 1);
      clock.advance(1_000);
      health.recordSuccess();
      assert.equal(directory.getUsable(POOL_ID).length, 1);
      clock.advance(3_000);
      directory.sweep();
      assert.deepEqual(directory.getUsable(POOL_ID), []);
    });
  });
});
