import type {MonotonicMs} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {getMemberName, idleReserve, updateReserve} from './reserve.js';

const PARTITIONS = 6;

/** Returns whether a reserve is needed after checks once a second. */
function isNeededAfter(
  ownersBySecond: ReadonlyArray<readonly string[]>,
): boolean {
  let state = idleReserve;
  ownersBySecond.forEach((members, second) => {
    const owners = new Map<number, string>();
    for (let part = 0; part < PARTITIONS && members.length > 0; part++) {
      owners.set(part, members[part % members.length]);
    }
    const ownership = {partitionCount: PARTITIONS, owners, self: 'small'};
    state = updateReserve(state, ownership, (second * 1_000) as MonotonicMs);
  });
  return state.isNeeded;
}

function repeat(members: readonly string[], seconds: number) {
  return Array.from({length: seconds}, () => members);
}

describe('updateReserve', () => {
  describe('a process on a small machine', () => {
    it('runs no samples while others own all partitions', () => {
      assert.equal(isNeededAfter(repeat(['a', 'b'], 20)), false);
    });

    it('joins if the others are gone (guards against steps that nobody runs)', () => {
      assert.equal(isNeededAfter(repeat([], 4)), true);
    });

    it('joins if one other process owns everything', () => {
      assert.equal(isNeededAfter(repeat(['a'], 4)), true);
    });

    it('joins if a partition of steps has no owner (guards against steps that nobody runs where the stream has more partitions)', () => {
      const owners = new Map(
        Array.from({length: PARTITIONS}, (_, part) => [
          part + 1,
          `${part % 2}`,
        ]),
      );
      const ownership = {partitionCount: PARTITIONS, owners, self: 'small'};
      let state = updateReserve(idleReserve, ownership, 0 as MonotonicMs);
      state = updateReserve(state, ownership, 2_000 as MonotonicMs);
      assert.equal(state.isNeeded, true);
    });

    it('stays away during a restart of the others (guards against partitions that move twice)', () => {
      const owners = [...repeat(['a', 'b'], 3), [], ...repeat(['a', 'b'], 3)];
      assert.equal(isNeededAfter(owners), false);
    });

    it('leaves once the others are back for a while', () => {
      const back = ['a', 'b', 'small'];
      const owners = [...repeat([], 4), ...repeat(back, 8)];
      assert.equal(isNeededAfter(owners), false);
      assert.equal(isNeededAfter(owners.slice(0, 6)), true);
    });
  });

  describe('processes on small machines only', () => {
    it('keep as many owners as are needed (guards against reserves that leave all at once, again and again)', () => {
      const names = Array.from({length: 8}, (_, index) =>
        getMemberName(`small-${index}`, true),
      );
      const states = new Map(names.map(name => [name, idleReserve]));
      const getMembers = () => names.filter(name => states.get(name)!.isNeeded);
      for (let second = 0; second < 40; second++) {
        const members = getMembers();
        const owners = new Map<number, string>();
        for (let part = 0; part < PARTITIONS && members.length > 0; part++) {
          owners.set(part, members[part % members.length]);
        }
        for (const self of names) {
          const ownership = {partitionCount: PARTITIONS, owners, self};
          const now = (second * 1_000) as MonotonicMs;
          states.set(self, updateReserve(states.get(self)!, ownership, now));
        }
        if (second >= 3) assert.notEqual(getMembers().length, 0, `${second} s`);
      }
      assert.equal(getMembers().length, 2);
    });
  });
});
