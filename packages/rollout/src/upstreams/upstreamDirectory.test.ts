import type {UpstreamId} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {POOL_ID, createDirectoryFixture} from '../testing/directoryFixture.js';

const ID = toBranded<UpstreamId>('u1');

describe('UpstreamDirectory', () => {
  describe('an upstream that is not known yet', () => {
    const cases = [
      {
        name: 'is cold after its start, whatever it reports',
        isStarting: false,
        ageMs: 1_000,
        coldLeftMs: 0,
        isCold: true,
      },
      {
        name: 'is warm if it has run for a long time (guards against rate limits after a restart of this process)',
        isStarting: false,
        ageMs: 60_000,
        coldLeftMs: 0,
        isCold: false,
      },
      {
        name: 'is cold if it reports that it is cold again',
        isStarting: false,
        ageMs: 60_000,
        coldLeftMs: 500,
        isCold: true,
      },
      {
        name: 'is as cold as it reports if the whole deployment starts',
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
    it('gets no more work while the store is available', () => {
      const {directory, list, removeEntry} = createDirectoryFixture();
      list(ID);
      removeEntry(ID);
      assert.deepEqual(directory.getUsable(POOL_ID), []);
    });

    it('is kept during a store outage and the grace period after it', () => {
      const {clock, health, directory, list, removeEntry} =
        createDirectoryFixture();
      list(ID);
      health.recordFailure('no answer');
      removeEntry(ID);
      assert.equal(directory.getUsable(POOL_ID).length, 1);
      clock.advance(1_000);
      health.recordSuccess();
      assert.equal(directory.getUsable(POOL_ID).length, 1);
      clock.advance(3_000);
      directory.sweep();
      assert.deepEqual(directory.getUsable(POOL_ID), []);
    });
  });

  describe('an upstream whose entry lapses and returns', () => {
    const relist = (bornAfterMs: number) => {
      const fixture = createDirectoryFixture();
      const bornAt = fixture.clock.wallNow() - 50_000;
      fixture.list(ID, {bornAt});
      const before = fixture.directory.get(ID)!;
      before.recordStart();
      fixture.removeEntry(ID);
      fixture.list(ID, {bornAt: bornAt + bornAfterMs});
      return {...fixture, before, after: fixture.directory.get(ID)!};
    };

    it('keeps its requests in flight (guards against more work than it has slots for)', () => {
      const {before, after, directory} = relist(0);
      assert.equal(after, before);
      assert.equal(after.inFlight, 1);
      assert.deepEqual(directory.getUsable(POOL_ID), [after]);
    });

    it('is another one after a restart', () => {
      assert.equal(relist(1).after.inFlight, 0);
    });

    it('is forgotten once its requests have ended (guards against state that grows with each upstream that leaves)', () => {
      const {before, directory, list, removeEntry} = relist(0);
      removeEntry(ID);
      before.recordEnd();
      directory.sweep();
      list(ID, {bornAt: before.entry.bornAt});
      assert.notEqual(directory.get(ID), before);
    });
  });

  describe('an entry of an earlier start', () => {
    const listTwice = (renewalMs: number) => {
      const {directory, list, clock} = createDirectoryFixture();
      const bornAt = clock.wallNow();
      list('u1', {bornAt});
      clock.advance(renewalMs);
      list('u1', {bornAt: bornAt - 1});
      return directory.get(ID)!.entry.bornAt - bornAt;
    };

    it('is ignored while the later one is renewed (guards against requests to a leaving upstream)', () => {
      assert.equal(listTwice(1_000), 0);
    });

    it('counts once the later one is no longer renewed (guards against an upstream that is never used because its clock was set back)', () => {
      assert.equal(listTwice(10_000), -1);
    });
  });
});
