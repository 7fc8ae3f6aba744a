import type {PoolId, RequestId, SoftwareVersion} from '@vanillacross/common';
import {ManualClock, Metrics, toBranded} from '@vanillacross/common';
import {createKnownOrigin} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ServedVersionsTask} from './servedVersionsTask.js';
import {StreamOrigins} from './streamOrigins.js';

const POOL = toBranded<PoolId>('p');
const V1 = toBranded<SoftwareVersion>('v1');
const PROCESSES = 100;
const PLAY_MS = 10_000;
const STREAM_INTERVAL_MS = 20;
/** Appends per second that all processes may make for streams. */
const MAX_APPENDS_PER_S = 200;

/** The origins of one process, and the ids that it publishes. */
function createOrigins(processes: number) {
  const clock = new ManualClock();
  const published: RequestId[][] = [];
  let isClear = false;
  let notify: (pool: PoolId) => void = () => undefined;
  const served = {
    getSoleVersion: () => (isClear ? V1 : null),
    mustPublish: () => !isClear,
    onChange: (listener: (pool: PoolId) => void) => (notify = listener),
  } as unknown as ServedVersionsTask;
  const origins = new StreamOrigins({
    served,
    publisher: {
      publishStreams: (_pool, _software, ids) => published.push([...ids]),
    },
    getProcessCount: () => processes,
    clock,
    metrics: new Metrics(),
  });
  let count = 0;
  return {
    origins,
    clock,
    published,
    begin: () => {
      const id = toBranded<RequestId>(`r${count++}`);
      origins.recordStream(POOL, id, V1);
      return id;
    },
    setClear: (value: boolean) => {
      isClear = value;
      notify(POOL);
    },
  };
}

describe('StreamOrigins', () => {
  it('publishes all streams within the append rate of the deployment (guards against appends that grow with the processes)', () => {
    const {begin, clock, published} = createOrigins(PROCESSES);
    let began = 0;
    for (let at = 0; at < PLAY_MS; at += STREAM_INTERVAL_MS) {
      begin();
      began++;
      clock.advance(STREAM_INTERVAL_MS);
    }
    clock.advance(1_000);
    assert.equal(published.flat().length, began);
    const perSecond = (published.length * PROCESSES) / (PLAY_MS / 1_000);
    assert.ok(perSecond <= MAX_APPENDS_PER_S, `${perSecond} appends/s`);
  });

  it('publishes streams that began while it was clear where, once it is in doubt', () => {
    const {begin, clock, published, setClear} = createOrigins(1);
    setClear(true);
    const id = begin();
    clock.advance(1_000);
    assert.deepEqual(published, []);
    setClear(false);
    clock.advance(1_000);
    assert.deepEqual(published, [[id]]);
  });

  it('knows a stream of this process or of another one, and no other in doubt', () => {
    const {begin, origins} = createOrigins(1);
    const other = toBranded<RequestId>('other');
    const id = begin();
    assert.deepEqual(origins.getOrigin(POOL, id), createKnownOrigin(V1));
    assert.equal(origins.getOrigin(POOL, other).tag, 'unknown');
    assert.equal(origins.getOrigin(POOL, null).tag, 'unknown');
    origins.applyStreams(POOL, V1, [other]);
    assert.deepEqual(origins.getOrigin(POOL, other), createKnownOrigin(V1));
  });

  it('forgets streams that no caller takes up any more', () => {
    const {begin, clock, origins} = createOrigins(1);
    const id = begin();
    clock.advance(61_000);
    origins.removeExpired();
    assert.equal(origins.getOrigin(POOL, id).tag, 'unknown');
  });
});
