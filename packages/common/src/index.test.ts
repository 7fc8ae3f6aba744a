import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

describe('placeholder', () => {
  it('runs', () => {
    assert.equal(1, 1);
  });
});
