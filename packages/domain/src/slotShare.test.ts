import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {SlotContest} from './slotShare.js';
import {getSlotShare} from './slotShare.js';

const SLOTS = 6;
const ENGINES = 20;

/** One of the processes that run the samples of a step. */
interface TestOwner {
  unfinished: number;
  ownUnfinished: number;
  otherSteps: readonly number[];
}

/** Returns the samples that each engine gets if all owners use their shares. */
function getLoads(owners: readonly TestOwner[]): number[] {
  const loads = Array.from({length: ENGINES}, () => 0);
  owners.forEach(({unfinished, ownUnfinished, otherSteps}, owner) => {
    let left = ownUnfinished;
    for (let engine = 0; engine < ENGINES; engine++) {
      const contest: SlotContest = {
        slots: SLOTS,
        own: {unfinished, ownUnfinished, engineCount: ENGINES},
        others: otherSteps.map(other => ({
          unfinished: other,
          engineCount: ENGINES,
        })),
        // Evenly distributed, as the hash of a process and an engine is.
        rounding: ((engine * 7 + owner * 11) % ENGINES) / ENGINES,
      };
      const placed = Math.min(left, getSlotShare(contest));
      left -= placed;
      loads[engine] += placed;
    }
  });
  return loads;
}

describe('getSlotShare', () => {
  describe('with two steps that arrive at the same time', () => {
    const owner = {unfinished: 80, ownUnfinished: 40, otherSteps: [80]};
    const loads = getLoads([owner, owner, owner, owner]);

    it('places few samples above the slots (guards against samples that wait at a full engine while another one has room)', () => {
      const above = loads.reduce(
        (sum, load) => sum + Math.max(0, load - SLOTS),
        0,
      );
      assert.ok(above <= 12, `${above} samples wait`);
    });

    it('uses most slots (guards against engines that are left idle)', () => {
      const used = loads.reduce((sum, load) => sum + Math.min(load, SLOTS), 0);
      assert.ok(used >= 0.85 * SLOTS * ENGINES, `${used} slots are used`);
    });
  });

  describe('with a step that is alone', () => {
    it('places all its samples at once', () => {
      const owner = {unfinished: 80, ownUnfinished: 40, otherSteps: []};
      const placed = getLoads([owner, owner]).reduce((a, b) => a + b, 0);
      assert.equal(placed, 80);
    });
  });

  describe('with the last samples of another step', () => {
    it('leaves their slots to them alone', () => {
      const owner = {unfinished: 100, ownUnfinished: 100, otherSteps: [10]};
      const loads = getLoads([owner]);
      assert.equal(
        loads.reduce((a, b) => a + b, 0),
        100,
      );
      assert.ok(Math.max(...loads) <= SLOTS);
    });
  });
});
