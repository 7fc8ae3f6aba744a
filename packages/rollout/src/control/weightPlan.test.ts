import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {AnnouncedModel, PlannedUpstream} from './weightPlan.js';
import {planWeightUpdates} from './weightPlan.js';

function getUpstream(
  id: string,
  versions: Record<string, number>,
  change: Partial<PlannedUpstream> = {},
): PlannedUpstream {
  return {
    id,
    domain: id,
    versions: new Map(Object.entries(versions)),
    updatingModel: null,
    isBackingOff: false,
    ...change,
  };
}

function getNamed(
  models: Record<string, Partial<AnnouncedModel> & {version: number}>,
): Map<string, AnnouncedModel> {
  return new Map(
    Object.entries(models).map(([model, named]) => [
      model,
      {ageMs: 10_000, neededVersion: 0, ...named},
    ]),
  );
}

describe('planMoves', () => {
  describe('a pool with one model', () => {
    const two = [getUpstream('a', {m: 1}), getUpstream('b', {m: 1})];
    const base = {modelCount: 1, upstreams: two};

    it('moves one of two engines at a time (guards a pool without service)', () => {
      const named = getNamed({m: {version: 2}});
      const moves = planWeightUpdates({...base, announced: named});
      assert.equal(moves.length, 1);
      const upstreams = [
        getUpstream('a', {m: 1}, {updatingModel: 'm'}),
        two[1],
      ];
      assert.deepEqual(
        planWeightUpdates({...base, announced: named, upstreams}),
        [],
      );
    });

    it('moves half of many engines at a time (guards a slow fleet)', () => {
      const upstreams = Array.from({length: 10}, (_, index) =>
        getUpstream(`u${index}`, {m: 1}),
      );
      const named = getNamed({m: {version: 2}});
      assert.equal(
        planWeightUpdates({...base, announced: named, upstreams}).length,
        3,
      );
    });

    it('waits after the naming while the engines can serve', () => {
      const named = getNamed({m: {version: 2, ageMs: 1_000, neededVersion: 1}});
      assert.deepEqual(planWeightUpdates({...base, announced: named}), []);
    });

    it('moves all engines at once that no open step can use (guards a step that waits for half of them)', () => {
      const named = getNamed({m: {version: 2, ageMs: 0, neededVersion: 2}});
      assert.deepEqual(
        planWeightUpdates({...base, announced: named}).map(
          move => move.upstream,
        ),
        ['a', 'b'],
      );
    });

    it('moves another engine while one is postponed', () => {
      const named = getNamed({m: {version: 2}});
      const upstreams = [
        getUpstream('a', {m: 1}, {isBackingOff: true}),
        getUpstream('b', {m: 1}),
      ];
      const moves = planWeightUpdates({...base, announced: named, upstreams});
      assert.deepEqual(moves, [{upstream: 'b', model: 'm', version: 2}]);
    });
  });

  describe('a pool with several models', () => {
    it('gives each version an equal share (guards paid loads)', () => {
      const upstreams = Array.from({length: 6}, (_, index) =>
        getUpstream(`u${index}`, {m0: 1, m1: 1, m2: 1}),
      );
      const reached = upstreams.map((upstream, index) =>
        index < 2 ? getUpstream(upstream.id, {m0: 2, m1: 1, m2: 1}) : upstream,
      );
      const named = getNamed({m0: {version: 2}});
      const first = planWeightUpdates({
        modelCount: 3,
        announced: named,
        upstreams,
      });
      assert.equal(first.length, 2);
      const next = planWeightUpdates({
        modelCount: 3,
        announced: named,
        upstreams: reached,
      });
      assert.deepEqual(next, []);
    });

    it('loads where no open step is served (guards a stall at each version)', () => {
      const upstreams = [
        getUpstream('a', {m0: 4, m1: 3}),
        getUpstream('b', {m0: 4, m1: 3}),
        getUpstream('c', {m0: 3, m1: 4}),
        getUpstream('d', {m0: 3, m1: 4}),
      ];
      const named = getNamed({
        m0: {version: 5, ageMs: 400, neededVersion: 4},
        m1: {version: 4, ageMs: 400, neededVersion: 3},
      });
      const moves = planWeightUpdates({
        modelCount: 2,
        announced: named,
        upstreams,
      });
      assert.deepEqual(
        moves.map(({upstream, model}) => `${model}/${upstream}`),
        ['m0/c', 'm0/d'],
      );
    });

    it('rather loads where no other model is newest (guards shared slots)', () => {
      const upstreams = [
        getUpstream('a', {m0: 4, m1: 4}),
        getUpstream('b', {m0: 3, m1: 4}),
        getUpstream('c', {m0: 3, m1: 2}),
        getUpstream('d', {m0: 3, m1: 2}),
      ];
      const named = getNamed({
        m0: {version: 5, ageMs: 400, neededVersion: 4},
        m1: {version: 4},
      });
      const moves = planWeightUpdates({
        modelCount: 2,
        announced: named,
        upstreams,
      });
      assert.deepEqual(
        moves.map(move => move.upstream),
        ['c', 'd'],
      );
    });
  });

  describe('any fleet', () => {
    const upstreamArbitrary = fc.record({
      m0: fc.integer({min: 1, max: 5}),
      m1: fc.integer({min: 1, max: 5}),
      updatingModel: fc.constantFrom('m0', 'm1', null),
      isBackingOff: fc.boolean(),
    });
    const modelArbitrary = fc.record({
      version: fc.integer({min: 1, max: 5}),
      ageMs: fc.integer({min: 0, max: 3_000}),
      neededVersion: fc.integer({min: 0, max: 5}),
    });

    it('never exceeds its limits nor orders a version twice', () => {
      fc.assert(
        fc.property(
          fc.array(upstreamArbitrary, {maxLength: 12}),
          modelArbitrary,
          modelArbitrary,
          (states, m0, m1) => {
            const upstreams = states.map((state, index) =>
              getUpstream(`u${index}`, {m0: state.m0, m1: state.m1}, state),
            );
            const named = new Map([
              ['m0', m0],
              ['m1', m1],
            ]);
            const moves = planWeightUpdates({
              modelCount: 2,
              announced: named,
              upstreams,
            });
            const moving = upstreams.filter(
              u => u.updatingModel !== null,
            ).length;
            const most = Math.max(2, Math.floor(upstreams.length * 0.3));
            assert.ok(moves.length <= Math.max(0, most - moving));
            const ids = new Set(moves.map(move => move.upstream));
            assert.equal(ids.size, moves.length);
            for (const move of moves) {
              const target = upstreams.find(u => u.id === move.upstream)!;
              assert.equal(target.updatingModel, null);
              assert.equal(target.isBackingOff, false);
              assert.ok(target.versions.get(move.model)! < move.version);
            }
          },
        ),
      );
    });

    it('keeps an engine that serves a model unless it is the only one', () => {
      fc.assert(
        fc.property(
          fc.array(upstreamArbitrary, {minLength: 1, maxLength: 12}),
          modelArbitrary,
          (states, m0) => {
            const upstreams = states.map((state, index) =>
              getUpstream(`u${index}`, {m0: state.m0}, state),
            );
            const named = new Map([['m0', m0]]);
            const moves = planWeightUpdates({
              modelCount: 1,
              announced: named,
              upstreams,
            });
            const serving = upstreams.filter(
              u =>
                u.updatingModel !== 'm0' &&
                u.versions.get('m0')! >= m0.neededVersion,
            );
            const left = serving.filter(
              u => !moves.some(move => move.upstream === u.id),
            );
            if (serving.length > 1) assert.ok(left.length > 0);
          },
        ),
      );
    });
  });
});
