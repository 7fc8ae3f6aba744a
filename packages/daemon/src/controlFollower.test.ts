import {ManualClock} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {createControlFollower} from './controlFollower.js';
import {
  FakeLog,
  FakeNetwork,
  advance,
  createEntryInstance,
  createPutRecord,
  createTestContext,
  runUntilSettled,
  flushAsyncWork,
} from './controlFakes.test.js';
import type {ControlFollower} from './types.js';

describe('control follower', () => {
  const running: ControlFollower[] = [];
  const network = new FakeNetwork();
  let clock = new ManualClock();
  beforeEach(() => {
    clock = new ManualClock();
  });
  afterEach(async () => {
    for (const follower of running.splice(0)) {
      await follower.stop(AbortSignal.timeout(1));
    }
    network.methods.clear();
  });

  /** Starts a follower with the given peers and a known highest offset. */
  async function start(
    id: string,
    log: FakeLog,
    peers: string[] = [],
    knownOffset = -1,
  ) {
    const context = createTestContext(createEntryInstance(id), clock);
    const follower = createControlFollower(context, log, {
      getPeers: () => peers.map(peer => createEntryInstance(peer)),
      callPeer: network.callPeer,
    });
    network.methods.set(context.self.peerAddress, follower.rpcMethods);
    running.push(follower);
    follower.recordHighestOffset(knownOffset);
    await follower.start();
    await flushAsyncWork();
    return {follower, ...context};
  }

  it('appends once and reports one outcome when the response is lost', async () => {
    const log = new FakeLog();
    const {follower} = await start('e1', log);
    log.lostResponses = 1;
    const outcome = await runUntilSettled(
      clock,
      follower.append(createPutRecord('a', 0)),
    );
    assert.deepEqual(outcome, {
      ok: true,
      value: {tag: 'accepted', offset: 0, revision: 1},
    });
    await advance(clock, 2_000);
    assert.equal(log.records.length, 1);
  });

  it('ignores a second record with the same append id', async () => {
    const log = new FakeLog();
    const {follower} = await start('e1', log);
    log.addRecord(createPutRecord('a', 0, 1), 'same');
    log.addRecord(createPutRecord('a', 1, 9), 'same');
    await flushAsyncWork();
    assert.equal(follower.getState().records.get('account/a')?.revision, 1);
    assert.equal(follower.getState().highest, 1);
  });

  it('accepts only one of two concurrent puts with the same base revision', async () => {
    const log = new FakeLog();
    const a = await start('e1', log);
    const b = await start('e2', log);
    const both = Promise.all([
      a.follower.append({...createPutRecord('x', 0, 2), operator: 'ana'}),
      b.follower.append({...createPutRecord('x', 0, 3), operator: 'ben'}),
    ]);
    const results = await runUntilSettled(clock, both);
    const tags = results.map(result => result.ok && result.value.tag);
    assert.deepEqual(tags.sort(), ['accepted', 'conflict']);
    const lost = results.find(r => r.ok && r.value.tag === 'conflict');
    const winner = a.follower.getState().records.get('account/x')?.operator;
    assert.ok(lost?.ok && lost.value.tag === 'conflict');
    assert.equal(lost.value.winner, winner);
    assert.equal(lost.value.revision, 1);
  });

  it('rebuilds a complete state from a peer after a gap in the log', async () => {
    const log = new FakeLog();
    const peer = await start('e1', log);
    // The same log over a separate connection that can fail.
    const lateLog = new FakeLog();
    lateLog.records = log.records;
    const late = await start('e2', lateLog, ['e1']);
    log.addRecord(createPutRecord('a', 0));
    lateLog.wake();
    await flushAsyncWork();
    assert.equal(late.follower.getState().highest, 0);
    lateLog.isDown = true;
    lateLog.wake();
    log.addRecord(createPutRecord('a', 1, 5));
    log.addRecord(createPutRecord('b', 0));
    await advance(clock, 500);
    assert.equal(late.follower.getState().highest, 0);
    lateLog.earliest = 3;
    lateLog.isDown = false;
    await advance(clock, 3_000);
    assert.equal(late.metrics.getCount('vc_control_gaps_total'), 1);
    assert.equal(late.metrics.getCount('vc_control_log_outages_total'), 1);
    assert.deepEqual(
      [...late.follower.getState().records],
      [...peer.follower.getState().records],
    );
    assert.ok(late.follower.getState().isComplete);
  });

  it('starts from a snapshot of a peer while the log is unreachable', async () => {
    const log = new FakeLog();
    await start('e1', log);
    log.addRecord(createPutRecord('a', 0), 'first');
    await flushAsyncWork();
    log.isDown = true;
    const late = await start('e2', log, ['gone', 'e1']);
    await advance(clock, 2_000);
    assert.ok(late.follower.getState().isComplete);
    assert.equal(late.follower.getState().highest, 0);
    assert.equal(late.follower.getLastLogContact(), null);
    const refused = await runUntilSettled(
      clock,
      late.follower.append(createPutRecord('b', 0)),
    );
    assert.equal(!refused.ok && refused.error.tag, 'log_unavailable');
    // A duplicate of a record before the snapshot must still be detected.
    log.isDown = false;
    log.addRecord(createPutRecord('a', 1), 'first');
    await advance(clock, 3_000);
    assert.equal(late.follower.getState().highest, 1);
    const stored = late.follower.getState().records.get('account/a');
    assert.equal(stored?.revision, 1);
  });

  it('does not use a snapshot below the highest known offset', async () => {
    const log = new FakeLog();
    await start('e1', log);
    log.addRecord(createPutRecord('a', 0));
    await flushAsyncWork();
    log.isDown = true;
    // An agent has already reported an offset that no peer has reached.
    const late = await start('e2', log, ['e1'], 1);
    await advance(clock, 3_000);
    assert.equal(late.follower.getState().isComplete, false);
    assert.equal(late.follower.getState().highest, -1);
    log.isDown = false;
    log.addRecord(createPutRecord('a', 1, 4));
    await advance(clock, 3_000);
    assert.equal(late.follower.getState().isComplete, true);
    assert.equal(late.follower.getState().highest, 1);
  });

  it('stays incomplete on a trimmed log until a checkpoint completes it', async () => {
    const log = new FakeLog();
    for (let i = 0; i < 4; i++) log.addRecord(createPutRecord('a', i));
    log.earliest = 3;
    const {follower} = await start('e1', log);
    await advance(clock, 1_000);
    assert.equal(follower.getState().isComplete, false);
    const refused = await follower.append(createPutRecord('b', 0));
    assert.equal(!refused.ok && refused.error.tag, 'log_unavailable');
    log.addRecord({
      type: 'checkpoint',
      fencing: 0,
      asOf: 3,
      entries: [
        {
          key: 'account/a',
          revision: 4,
          offset: 3,
          schemaVersion: 1,
          body: {weight: 2},
          operator: 'o',
        },
      ],
      lastSealed: -1,
      cycleStart: 4,
      // Lease records after the checkpoint are evaluated against this lease.
      lease: {holder: 'e1', fencing: 0, lastOffset: 2, isReleased: false},
    });
    await advance(clock, 1_000);
    assert.equal(follower.getState().isComplete, true);
    assert.equal(follower.getState().highest, 4);
    assert.equal(follower.getState().lease.lastOffset, 2);
  });

  it('retries with backoff and stops promptly while the log is down', async () => {
    const log = new FakeLog();
    log.isDown = true;
    const {follower} = await start('e1', log);
    await advance(clock, 5_000);
    await follower.stop(AbortSignal.timeout(1));
    const reads = log.reads;
    assert.ok(reads < 30, `${reads} reads in 5 s`);
  });
});
