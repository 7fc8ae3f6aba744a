import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {formatChange, planChanges} from './recordPlan.js';

const record = {
  key: 'domain/fd-a',
  revision: 3,
  offset: 9,
  schemaVersion: 1,
  body: {region: 'r1', state: 'in'},
  operator: 'ana',
};

describe('record plan', () => {
  describe('comparison', () => {
    // Guards against a plan that still lists changes after they were applied.
    it('ignores defaults that a declaration omits', () => {
      const declared = [
        {key: 'domain/fd-a', schemaVersion: 1, body: {region: 'r1'}},
      ];
      assert.deepEqual(planChanges(declared, [record], false), []);
    });

    // Guards against overwriting another operator's change.
    it('bases a change on the revision of the compared record', () => {
      const body = {region: 'r1', state: 'out'};
      const declared = [{key: 'domain/fd-a', schemaVersion: 1, body}];
      const [change] = planChanges(declared, [record], false);
      assert.equal(change.baseRevision, 3);
      assert.match(formatChange(change), /state: "in" -> "out"/);
    });
  });

  describe('pruning', () => {
    // Guards against deleting records of kinds that the directory does not
    // declare.
    it('deletes only records of the declared kinds', () => {
      const other = {...record, key: 'trainer/t1', body: {}};
      const undeclared = {...record, key: 'domain/fd-b'};
      const declared = [
        {key: 'domain/fd-a', schemaVersion: 1, body: {region: 'r1'}},
      ];
      const changes = planChanges(declared, [record, other, undeclared], true);
      assert.deepEqual(
        changes.map(change => change.key),
        ['domain/fd-b'],
      );
      assert.equal(
        planChanges(declared, [record, undeclared], false).length,
        0,
      );
    });
  });
});
