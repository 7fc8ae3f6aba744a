import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {formatChange, planChanges} from './recordPlan.js';

const shown = {
  key: 'domain/fd-a',
  revision: 3,
  offset: 9,
  schemaVersion: 1,
  body: {region: 'r1', state: 'in'},
  operator: 'ana',
};

describe('record plan', () => {
  describe('comparison', () => {
    // Guards against a plan that never becomes empty.
    it('ignores defaults that a declaration leaves out', () => {
      const declared = [
        {key: 'domain/fd-a', schemaVersion: 1, body: {region: 'r1'}},
      ];
      assert.deepEqual(planChanges(declared, [shown], false), []);
    });

    // Guards against overwriting what another operator published.
    it('carries the revision that was seen', () => {
      const body = {region: 'r1', state: 'out'};
      const declared = [{key: 'domain/fd-a', schemaVersion: 1, body}];
      const [change] = planChanges(declared, [shown], false);
      assert.equal(change.baseRevision, 3);
      assert.match(formatChange(change), /state: "in" -> "out"/);
    });
  });

  describe('pruning', () => {
    // Guards against deleting records that are managed elsewhere.
    it('deletes only records of the declared kinds', () => {
      const other = {...shown, key: 'trainer/t1', body: {}};
      const gone = {...shown, key: 'domain/fd-b'};
      const declared = [
        {key: 'domain/fd-a', schemaVersion: 1, body: {region: 'r1'}},
      ];
      const changes = planChanges(declared, [shown, other, gone], true);
      assert.deepEqual(
        changes.map(change => change.key),
        ['domain/fd-b'],
      );
      assert.equal(planChanges(declared, [shown, gone], false).length, 0);
    });
  });
});
