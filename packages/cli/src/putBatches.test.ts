import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MAX_PUTS_PER_REQUEST} from './constants.js';
import {getPutBatches} from './putBatches.js';
import type {RecordChange} from './types.js';

function createChange(key: string, body: unknown = {}): RecordChange {
  return {key, baseRevision: 0, schemaVersion: 1, body, previous: null};
}

describe('batches of puts', () => {
  // Guards against an apply that an entry refuses for its size.
  it('are no larger than an entry takes and lose nothing', () => {
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
    const large = {text: 'x'.repeat(400_000)};
    const wide = ['a', 'b', 'c'].map(id => createChange(`pool/${id}`, large));
    assert.deepEqual(getPutBatches(wide).flat(), wide);
    assert.ok(getPutBatches(wide).length > 1);
  });

  // Guards against routes whose pool or account arrives later or goes earlier.
  it('put referenced records first and delete them last', () => {
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
