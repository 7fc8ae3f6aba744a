import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {rebuildControlState} from './controlReplay.js';
import type {ControlPayload, LogRecord} from './controlRecords.js';
import type {ControlState} from './controlState.js';
import {applyControlRecords, emptyControlState} from './controlState.js';

/** A log together with the state of a process that has read all of it. */
function createLog() {
  const records: LogRecord[] = [];
  let state: ControlState = {...emptyControlState, isComplete: true};
  const add = (payload: ControlPayload) => {
    const offset = records.length;
    records.push({offset, appendId: `a${offset}`, payload});
    state = applyControlRecords(state, records.slice(-1));
  };
  const put = (id: string, baseRevision: number, weight: number | null) =>
    add({
      type: 'put',
      key: `account/${id}`,
      baseRevision,
      schemaVersion: 1,
      body: weight === null ? null : {weight},
      operator: 'o',
    });
  const checkpoint = (
    from: ControlState,
    keys: string[],
    cycleStart?: number,
  ) => {
    const entries = keys.map(key => {
      const {raw, ...record} = from.records.get(`account/${key}`)!;
      return {...record, body: raw};
    });
    const {highest: asOf, lastSealed, lease} = from;
    const {fencing} = lease;
    const type = 'checkpoint';
    add({type, fencing, asOf, entries, lastSealed, lease, cycleStart});
  };
  return {records, add, put, checkpoint, getState: () => state};
}

describe('checkpoint cycle', () => {
  const log = createLog();
  log.add({type: 'claim', holder: 'e1', expects: -1});
  log.put('a', 0, 1);
  log.put('b', 0, 1);
  log.put('c', 0, 1);
  log.put('c', 1, null);
  log.add({type: 'renew', fencing: 0});
  const start = log.records.length;
  log.put('a', 1, 2);
  const from = log.getState();
  const cycleStart = log.records.length;
  log.checkpoint(from, ['a', 'b']);
  const cycleMiddle = log.records.length;
  log.put('b', 1, 3);
  log.add({type: 'renew', fencing: 0});
  log.add({type: 'seal', window: 4, fencing: 0, figures: {}, sources: []});
  log.checkpoint(from, ['c'], cycleStart);
  log.add({type: 'claim', holder: 'e2', expects: from.lease.lastOffset});
  log.add({
    type: 'claim',
    holder: 'e3',
    expects: log.getState().lease.lastOffset,
  });
  log.put('a', 2, 5);
  const expected = log.getState();

  it('lets a reader of a truncated log rebuild the same state', () => {
    const rebuilt = rebuildControlState(start, log.records.slice(start));
    assert.ok(rebuilt?.isComplete);
    assert.equal(rebuilt.highest, expected.highest);
    assert.deepEqual(rebuilt.lease, expected.lease);
    assert.equal(rebuilt.lease.holder, 'e3');
    assert.equal(rebuilt.lastSealed, 4);
    assert.deepEqual(
      new Map([...rebuilt.records].sort()),
      new Map([...expected.records].sort()),
    );
  });

  it('does not count as complete if it was read only in part', () => {
    const part = log.records.slice(start, cycleMiddle);
    assert.equal(rebuildControlState(start, part), null);
    const late = cycleStart + 1;
    assert.equal(rebuildControlState(late, log.records.slice(late)), null);
  });

  it('is not needed if the log is read from offset 0', () => {
    const rebuilt = rebuildControlState(0, log.records);
    assert.deepEqual(rebuilt, expected);
    assert.equal(rebuildControlState(0, [])?.isComplete, true);
  });
});
