import type {MonotonicMs} from '@vanillacross/common';
import {systemClock} from '@vanillacross/common';
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout} from 'node:timers/promises';

import {createDirectoryFixture, testPool} from '../testing/directoryFixture.js';
import {
  createForwardContext,
  createForwardRequest,
} from '../testing/forwardFixture.js';
import {startRawUpstream} from '../testing/rawUpstream.js';
import {AdmissionQueue} from './admissionQueue.js';
import type {QueueMember, StartResult} from './poolQueue.js';
import {RequestForwarder} from './requestForwarder.js';
import type {ForwardRequest} from './types.js';

const pool = {...testPool, models: []};
/** Requests that fill the upstream with 4 slots. */
const ROOM = 5;
const ANSWER = 'HTTP/1.1 200 OK\r\nproof: p\r\ncontent-length: 0\r\n\r\n';

async function waitFor(isTrue: () => boolean): Promise<void> {
  const until = systemClock.now() + 3_000;
  while (!isTrue()) {
    assert.ok(systemClock.now() < until, 'waited in vain');
    await setTimeout(2);
  }
}

/** Fills an upstream with requests that it answers when the test says so. */
async function fillUpstream() {
  const held: Socket[] = [];
  let received = 0;
  const raw = await startRawUpstream(socket => {
    received++;
    held.push(socket);
  });
  const context = createForwardContext([raw.upstream]);
  context.policy = {...context.policy, admission: 'queue'};
  const forward = (overrides: Partial<ForwardRequest> = {}) => {
    const request = createForwardRequest('non_idempotent', overrides);
    return new RequestForwarder(context, {...request, pool}).run();
  };
  for (let i = 0; i < ROOM; i++) void forward();
  await waitFor(() => received === ROOM);
  return {
    queue: context.queue,
    forward,
    answer: () => held.shift()?.write(ANSWER),
    getReceived: () => received,
    close: () => raw.close(),
  };
}

describe('AdmissionQueue', () => {
  it('starts the highest priority when an exchange ends', async () => {
    // Guards against requests that are served in no order by a full pool.
    const upstream = await fillUpstream();
    const ended: string[] = [];
    const forward = async (name: string, priority: number) => {
      const queueOrder = {priority, unfinishedInGroup: 0};
      ended.push(`${name} ${(await upstream.forward({queueOrder})).tag}`);
    };
    const waiting = [forward('low', 5), forward('high', 0)];
    assert.equal(upstream.getReceived(), ROOM);
    for (let i = 1; i <= ROOM + 2; i++) {
      upstream.answer();
      await waitFor(
        () => upstream.getReceived() >= Math.min(ROOM + i, ROOM + 2),
      );
    }
    await Promise.all(waiting);
    await upstream.close();
    assert.deepEqual(ended, ['high answered', 'low answered']);
  });

  describe('refuses waiting requests, which never run,', () => {
    const refuse = async (
      withdraw: (queue: AdmissionQueue) => void,
      overrides: Partial<ForwardRequest> = {},
    ) => {
      const upstream = await fillUpstream();
      const outcome = upstream.forward(overrides);
      withdraw(upstream.queue);
      const ended = await outcome;
      for (let i = 0; i < ROOM; i++) upstream.answer();
      // Longer than the wake interval.
      await setTimeout(80);
      assert.equal(upstream.getReceived(), ROOM);
      await upstream.close();
      assert.ok(ended.tag === 'not_run');
      assert.ok(ended.retryAfterMs >= 60);
      return ended.reason;
    };

    it('when the process stops', async () => {
      const reason = await refuse(queue => queue.stop());
      assert.equal(reason, 'the process stops');
    });

    for (const [name, reason] of [
      ['isPermitted', 'the request is no longer permitted'],
      ['isRouted', 'the route has changed'],
    ]) {
      it(`when ${name} no longer holds`, async () => {
        let holds = true;
        const withdraw = (queue: AdmissionQueue) => {
          holds = false;
          queue.recheck();
        };
        const refused = await refuse(withdraw, {[name]: () => holds});
        assert.equal(refused, reason);
      });
    }
  });

  it('wakes scoring calls by a new upstream and by the timer', async () => {
    // Guards against requests that wait although a slot is free, when no
    // exchange of this process ends.
    const {directory, list, clock} = createDirectoryFixture();
    const context = createForwardContext([]);
    const queue = new AdmissionQueue({...context, directory, clock});
    list('u');
    const [upstream] = directory.getUsable(pool.id);
    let starts = 0;
    const join = () => {
      const member: QueueMember = {
        id: 'm',
        account: null,
        priority: 0,
        unfinishedInGroup: 0,
        isBackground: true,
        deadline: (clock.now() + 1_000) as MonotonicMs,
        tryStart: (): StartResult => {
          const usable = directory.getUsable(pool.id);
          const free = usable.find(u => queue.hasSlot(pool, u, 'scoring'));
          if (!free) return 'no_room';
          queue.recordStart(pool, member, free);
          free.recordStart();
          starts++;
          return 'left';
        },
        getEndReason: () => null,
        refuse: () => assert.fail('refused'),
      };
      queue.join(pool, member);
    };
    upstream.recordLoad({running: 4, waiting: 9, slots: 4, pace: null});
    join();
    join();
    assert.equal(starts, 0);
    list('new');
    await Promise.resolve();
    assert.equal(starts, 2);
    join();
    join();
    // Scoring calls leave one of the 4 slots to callers.
    assert.equal(starts, 3);
    upstream.recordLoad({running: 0, waiting: 0, slots: 4, pace: null});
    clock.advance(50);
    await Promise.resolve();
    assert.equal(starts, 4);
  });
});
