import type {UpstreamId} from '@vanillacross/common';
import {ManualClock, toBranded, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CrashTracker} from './crashTracker.js';

const REQUEST = 'request';

function createFixture() {
  const clock = new ManualClock();
  const published: string[] = [];
  const tracker = new CrashTracker(
    clock,
    createLogger('test', 'silent'),
    (fingerprint, upstream) => published.push(`${fingerprint}@${upstream}`),
  );
  return {clock, published, tracker};
}

describe('CrashTracker', () => {
  it('quarantines a request after three crashed upstreams (guards against crashes of further upstreams)', () => {
    const {tracker, published} = createFixture();
    tracker.reportCrash(REQUEST, toBranded<UpstreamId>('a'));
    tracker.applyCrash(REQUEST, 'b');
    assert.ok(!tracker.isQuarantined(REQUEST));
    tracker.applyCrash(REQUEST, 'c');
    assert.ok(tracker.isQuarantined(REQUEST));
    assert.deepEqual(
      published,
      ['request@a'],
      'only local crashes are published',
    );
  });

  it('counts each upstream once per request (guards against quarantine because of one faulty upstream)', () => {
    const {tracker} = createFixture();
    for (let round = 0; round < 5; round++) tracker.applyCrash(REQUEST, 'a');
    for (const id of ['a', 'b', 'c']) tracker.applyCrash('other', id);
    assert.ok(!tracker.isQuarantined(REQUEST));
    assert.ok(tracker.isQuarantined('other'));
  });

  it('releases a request when its quarantine expires', () => {
    const {clock, tracker} = createFixture();
    for (const id of ['a', 'b', 'c']) tracker.applyCrash(REQUEST, id);
    clock.advance(60_000);
    assert.ok(!tracker.isQuarantined(REQUEST));
    tracker.applyCrash(REQUEST, 'a');
    assert.ok(!tracker.isQuarantined(REQUEST), 'old crashes must not count');
  });
});
