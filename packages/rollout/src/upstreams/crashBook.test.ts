import type {UpstreamId} from '@vanillacross/common';
import {ManualClock, as, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CrashBook} from './crashBook.js';

const REQUEST = 'request';

function createFixture() {
  const clock = new ManualClock();
  const told: string[] = [];
  const book = new CrashBook(
    clock,
    createLogger('test', 'silent'),
    (fingerprint, upstream) => told.push(`${fingerprint}@${upstream}`),
  );
  return {clock, told, book};
}

describe('CrashBook', () => {
  it('refuses a request after three upstreams (guards against a crash of all)', () => {
    const {book, told} = createFixture();
    book.note(REQUEST, as<UpstreamId>('a'));
    book.apply(REQUEST, 'b');
    assert.ok(!book.isQuarantined(REQUEST));
    book.apply(REQUEST, 'c');
    assert.ok(book.isQuarantined(REQUEST));
    assert.deepEqual(told, ['request@a'], 'only own crashes are told');
  });

  it('counts an upstream once and spares others (guards bystanders)', () => {
    const {book} = createFixture();
    for (let round = 0; round < 5; round++) book.apply(REQUEST, 'a');
    for (const upstream of ['a', 'b', 'c']) book.apply('other', upstream);
    assert.ok(!book.isQuarantined(REQUEST));
    assert.ok(book.isQuarantined('other'));
  });

  it('lets a request go again after a while', () => {
    const {clock, book} = createFixture();
    for (const upstream of ['a', 'b', 'c']) book.apply(REQUEST, upstream);
    clock.advance(60_000);
    assert.ok(!book.isQuarantined(REQUEST));
    book.apply(REQUEST, 'a');
    assert.ok(!book.isQuarantined(REQUEST), 'old crashes must not count');
  });
});
