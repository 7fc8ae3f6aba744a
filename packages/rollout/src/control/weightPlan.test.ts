import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {NamedModel, PlannedUpstream} from './weightPlan.js';
import {assignModels, planMoves} from './weightPlan.js';

function getUpstream(
  id: string,
  versions: Record<string, number>,
  change: Partial<PlannedUpstream> = {},
): PlannedUpstream {
  return {
    id,
    domain: id,
    versions: new Map(Object.entries(versions)),
    isMoving: false,
    isPostponed: false,
    ...change,
  };
}

function getNamed(
  models: Record<string, Partial<NamedModel> & {version: number}>,
): Map<string, NamedModel> {
  return new Map(
    Object.entries(models).map(([model, named]) => [
      model,
      {ageMs: 10_000, neededVersion: 0, ...named},
    ]),
  );
}

describe('the plan of versions', () => {
  describe('assignModels', () => {
    it('gives each model an equal share', () => {
      const upstreams = ['a', 'b', 'c', 'd', 'e', 'f'].map(id =>
        getUpstream(id, {m0: 1, m1: 1, m2: 1}),
      );
      const named = getNamed({
        m0: {version: 2},
        m1: {version: 2},
        m2: {version: 2},
      });
      const assigned = assignModels({named, upstreams});
      for (const share of assigned.values()) assert.equal(share.length, 2);
    });

    it('leaves engines with the model that they were moved for', () => {
      const upstreams = [
        getUpstream('a', {m0: 1, m1: 9}),
        getUpstream('b', {m0: 4, m1: 1}),
      ];
      const named = getNamed({m0: {version: 5}, m1: {version: 10}});
      const assigned = assignModels({named, upstreams});
      assert.deepEqual(
        assigned.get('m0')!.map(u => u.id),
        ['b'],
      );
      assert.deepEqual(
        assigned.get('m1')!.map(u => u.id),
        ['a'],
      );
    });
  });

  describe('planMoves', () => {
    const two = [getUpstream('a', {m: 1}), getUpstream('b', {m: 1})];

    it('moves one engine of a model at a time', () => {
      const named = getNamed({m: {version: 2}});
      const moves = planMoves({named, upstreams: two});
      assert.equal(moves.length, 1);
      const moving = [getUpstream('a', {m: 1}, {isMoving: true}), two[1]];
      const next = planMoves({named, upstreams: moving});
      assert.deepEqual(next, []);
    });

    it('moves half of many engines at a time (guards a slow fleet)', () => {
      const upstreams = Array.from({length: 10}, (_, index) =>
        getUpstream(`u${index}`, {m: 1}),
      );
      const named = getNamed({m: {version: 2}});
      assert.equal(planMoves({named, upstreams}).length, 3);
    });

    it('waits after the naming while the engines can serve', () => {
      const fresh = getNamed({m: {version: 2, ageMs: 100, neededVersion: 1}});
      assert.deepEqual(planMoves({named: fresh, upstreams: two}), []);
    });

    it('moves all engines at once that no open step can use (guards a step that waits for half of them)', () => {
      const urgent = getNamed({m: {version: 2, ageMs: 100, neededVersion: 2}});
      const moves = planMoves({named: urgent, upstreams: two});
      assert.deepEqual(
        moves.map(move => move.upstream),
        ['a', 'b'],
      );
    });

    it('keeps an engine that serves while one that is too old moves', () => {
      const named = getNamed({m: {version: 3, neededVersion: 2}});
      const upstreams = [getUpstream('a', {m: 1}), getUpstream('b', {m: 2})];
      const moves = planMoves({named, upstreams});
      assert.deepEqual(
        moves.map(move => move.upstream),
        ['a'],
      );
    });

    it('moves another engine while one is postponed', () => {
      const named = getNamed({m: {version: 2}});
      const upstreams = [
        getUpstream('a', {m: 1}, {isPostponed: true}),
        getUpstream('b', {m: 1}),
      ];
      const moves = planMoves({named, upstreams});
      assert.deepEqual(moves, [{upstream: 'b', model: 'm', version: 2}]);
    });

    it('never exceeds its limit nor orders a version twice', () => {
      const upstreamArbitrary = fc.record({
        m0: fc.integer({min: 1, max: 5}),
        m1: fc.integer({min: 1, max: 5}),
        isMoving: fc.boolean(),
      });
      fc.assert(
        fc.property(
          fc.array(upstreamArbitrary, {maxLength: 12}),
          fc.integer({min: 1, max: 5}),
          (states, version) => {
            const upstreams = states.map(({m0, m1, isMoving}, index) =>
              getUpstream(`u${index}`, {m0, m1}, {isMoving}),
            );
            const named = getNamed({m0: {version}, m1: {version}});
            const moves = planMoves({named, upstreams});
            const moving = upstreams.filter(u => u.isMoving).length;
            const most = Math.max(2, Math.floor(upstreams.length * 0.3));
            assert.ok(moves.length <= Math.max(0, most - moving));
            for (const move of moves) {
              const target = upstreams.find(u => u.id === move.upstream)!;
              assert.ok(!target.isMoving);
              assert.ok(target.versions.get(move.model)! < version);
            }
          },
        ),
      );
    });
  });
});
