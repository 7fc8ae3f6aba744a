import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MAX_PUTS_PER_REQUEST} from './constants.js';
import {getPutBatches} from './putBatches.js';
import type {RecordChange} from './types.js';

function createChange(key: string, body: unknown = {}): RecordChange {
  return {key, baseRevision: 0, schemaVersion: 1, body, previous: null};
}

describe('batches of puts', () => {
  // Guards against an apply request that an entry refuses because of its size.
  it('stay within the limits of an entry and keep every change', () => {
    const changes = Array.from(
      {length: 2 * MAX_PUTS_PER_REQUEST + 1},
      (_, index) => createChange(`account/a${index}`),
    );
    const batches = getPutBatches(changes);
    assert.deepEqual(
      batches.map(batch => batch.length),
      [MAX_PUTS_PER_REQUEST, MAX_PUTS_PER_REQUEST, 1],
    );
    assert.deepEqual(batches.flat(), changes);
    const largeBody = {text: 'x'.repeat(400_000)};
    const largeChanges = ['a', 'b', 'c'].map(id =>
      createChange(`pool/${id}`, largeBody),
    );
    assert.deepEqual(getPutBatches(largeChanges).flat(), largeChanges);
    assert.ok(getPutBatches(largeChanges).length > 1);
  });

  // Guards against a route that is put before its pool or account, or deleted
  // after them.
  it('create referenced records first and delete them last', () => {
    const changes = [
      createChange('domain/old', null),
      createChange('route/old', null),
      createChange('route/r'),
      createChange('pool/p'),
      createChange('account/a'),
    ];
    assert.deepEqual(
      getPutBatches(changes)
        .flat()
        .map(({key}) => key),
      ['account/a', 'pool/p', 'route/r', 'route/old', 'domain/old'],
    );
  });
});
