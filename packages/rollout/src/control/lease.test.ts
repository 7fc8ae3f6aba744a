import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LeaseRecord, LeaseView} from './lease.js';
import {
  decodeLeaseRecord,
  encodeLeaseRecord,
  mayClaim,
  noLease,
  reduceLease,
} from './lease.js';

const WAIT_MS = 3_300;

function getRecord(type: LeaseRecord['type'], holder: string): LeaseRecord {
  return {type, holder, instance: holder.split('.')[0]};
}

function apply(records: Array<[LeaseRecord, number]>): LeaseView {
  let view = noLease;
  records.forEach(([record, at], offset) => {
    view = reduceLease(view, record, offset, at);
  });
  return view;
}

describe('lease', () => {
  describe('reduceLease', () => {
    it('uses the offset of the claim as the fencing token', () => {
      const view = apply([
        [getRecord('claim', 'a.1'), 0],
        [getRecord('renewal', 'a.1'), 600],
        [getRecord('claim', 'b.1'), 5_000],
      ]);
      assert.equal(view.holder, 'b.1');
      assert.equal(view.fencingToken, 2);
    });

    it('ignores renewals and releases by processes that do not hold the lease', () => {
      const view = apply([
        [getRecord('claim', 'a.1'), 0],
        [getRecord('renewal', 'b.1'), 900],
        [getRecord('release', 'b.1'), 950],
      ]);
      assert.equal(view.holder, 'a.1');
      assert.equal(view.seenAt, 0);
    });
  });

  describe('mayClaim', () => {
    const held = apply([[getRecord('claim', 'a.1'), 1_000]]);

    it('refuses a claim until the lease has expired (guards against two holders at once)', () => {
      assert.ok(!mayClaim(held, 'b.1', 'b', 1_000 + WAIT_MS - 1, WAIT_MS));
      assert.ok(mayClaim(held, 'b.1', 'b', 1_000 + WAIT_MS, WAIT_MS));
    });

    it('lets the next process on the same instance claim immediately', () => {
      assert.ok(mayClaim(held, 'a.2', 'a', 1_001, WAIT_MS));
      assert.ok(!mayClaim(held, 'a.1', 'a', 1_001, WAIT_MS));
    });

    it('lets any process claim a released lease', () => {
      const released = reduceLease(held, getRecord('release', 'a.1'), 1, 1_100);
      assert.ok(mayClaim(released, 'b.1', 'b', 1_101, WAIT_MS));
    });
  });

  describe('records', () => {
    it('round-trip through encoding, and malformed ones are rejected', () => {
      const record = getRecord('claim', 'a.1');
      const decoded = decodeLeaseRecord(encodeLeaseRecord(record));
      assert.deepEqual(decoded, {ok: true, value: record});
      assert.equal(decodeLeaseRecord(Buffer.from('{"type":1}')).ok, false);
    });
  });
});
