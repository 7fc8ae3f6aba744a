import type {UpstreamId} from '@vanillacross/common';
import {ManualClock, as, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CrashTracker} from './crashTracker.js';

const REQUEST = 'request';

function createFixture() {
  const clock = new ManualClock();
  const told: string[] = [];
  const book = new CrashTracker(
    clock,
    createLogger('test', 'silent'),
    (fingerprint, upstream) => told.push(`${fingerprint}@${upstream}`),
  );
  return {clock, told, book};
}

describe('CrashBook', () => {
  it('refuses a request after three upstreams (guards against a crash of all)', () => {
    const {book, told} = createFixture();
    book.reportCrash(REQUEST, as<UpstreamId>('a'));
    book.applyCrash(REQUEST, 'b');
    assert.ok(!book.isQuarantined(REQUEST));
    book.applyCrash(REQUEST, 'c');
    assert.ok(book.isQuarantined(REQUEST));
    assert.deepEqual(told, ['request@a'], 'only own crashes are told');
  });

  it('counts an upstream once and spares others (guards bystanders)', () => {
    const {book} = createFixture();
    for (let round = 0; round < 5; round++) book.applyCrash(REQUEST, 'a');
    for (const upstream of ['a', 'b', 'c']) book.applyCrash('other', upstream);
    assert.ok(!book.isQuarantined(REQUEST));
    assert.ok(book.isQuarantined('other'));
  });

  it('lets a request go again after a while', () => {
    const {clock, book} = createFixture();
    for (const upstream of ['a', 'b', 'c']) book.applyCrash(REQUEST, upstream);
    clock.advance(60_000);
    assert.ok(!book.isQuarantined(REQUEST));
    book.applyCrash(REQUEST, 'a');
    assert.ok(!book.isQuarantined(REQUEST), 'old crashes must not count');
  });
});
