import {ManualClock, createLogger, ok} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';

import type {SharedLog} from '../model/index.js';
import {MembershipTask} from './membershipTask.js';

const TICK_MS = 10;
/** Time after which the store reports a new assignment, ms. */
const CHANGE_AT_MS = 3_000;

function createTask(log: SharedLog, clock: ManualClock, isReserve: boolean) {
  return new MembershipTask({
    log,
    group: 'g',
    member: 'm',
    stream: 's',
    partitionCount: 1,
    minTtlMs: 1_000,
    isReserve,
    clock,
    logger: createLogger('test', 'silent'),
    onPartitions: () => {},
  });
}

/** Plays a member; returns the times at which it joined, ms. */
async function play(durationMs: number): Promise<number[]> {
  const clock = new ManualClock();
  const joins: number[] = [];
  const log = {
    getOwners: () => Promise.resolve(ok(new Map())),
    join: () => {
      joins.push(clock.now());
      const generation = clock.now() < CHANGE_AT_MS ? 1 : 2;
      return Promise.resolve(ok({generation, partitions: [0]}));
    },
  } as unknown as SharedLog;
  const task = createTask(log, clock, false);
  task.start();
  for (let elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) {
    await setImmediate();
    clock.advance(TICK_MS);
  }
  task.halt();
  return joins;
}

describe('MembershipTask', () => {
  it('does not join if it is stopped while it reads the owners', async () => {
    // Guards against partitions of a process that has ended.
    const clock = new ManualClock();
    const calls: string[] = [];
    const pending: Array<() => void> = [];
    const answer = <T>(call: string, value: T) => {
      calls.push(call);
      return Promise.resolve(ok(value));
    };
    const log = {
      getOwners: () =>
        new Promise(resolve => pending.push(() => resolve(ok(new Map())))),
      join: () => answer('join', {generation: 1, partitions: [0]}),
      leave: () => answer('leave', null),
    } as unknown as SharedLog;
    const task = createTask(log, clock, true);
    task.start();
    for (let check = 0; check < 3; check++) {
      pending.shift()!();
      await setImmediate();
      clock.advance(1_000);
      await setImmediate();
    }
    assert.deepEqual(calls, ['join']);
    await task.stop();
    pending.shift()!();
    await setImmediate();
    assert.deepEqual(calls, ['join', 'leave']);
  });

  it('joins rarely while the assignment is stable', async () => {
    // Guards against store calls that grow with the number of processes.
    const stable = (await play(CHANGE_AT_MS)).filter(at => at >= 2_000);
    assert.ok(stable.length <= 2, `${stable.length} joins in a second`);
  });

  it('joins often while partitions move', async () => {
    // Guards against samples that stand still between two owners.
    const joins = await play(CHANGE_AT_MS + 1_500);
    const noticedAt = joins.find(at => at >= CHANGE_AT_MS)!;
    const moving = joins.filter(
      at => at > noticedAt && at <= noticedAt + 1_000,
    );
    assert.ok(moving.length >= 8, `${moving.length} joins in a second`);
  });
});
