import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {getModelHomes} from '@vanillacross/domain';
import type {AnnouncedModel, PlannedUpstream} from './weightPlan.js';
import type {WeightPlanInput} from './weightPlan.js';
import {planWeightUpdates as planWithHomes} from './weightPlan.js';

function getUpstream(
  id: string,
  versions: Record<string, number>,
  overrides: Partial<PlannedUpstream> = {},
): PlannedUpstream {
  return {
    id,
    domain: id,
    versions: new Map(Object.entries(versions)),
    updatingModel: null,
    isBackingOff: false,
    ...overrides,
  };
}

function getAnnounced(
  models: Record<string, Partial<AnnouncedModel> & {version: number}>,
): Map<string, AnnouncedModel> {
  return new Map(
    Object.entries(models).map(([model, announced]) => [
      model,
      {ageMs: 10_000, neededVersion: 0, expectedVersion: 0, ...announced},
    ]),
  );
}

/** Plans for a pool whose models have no home engines. */
function planWeightUpdates(input: Omit<WeightPlanInput, 'homes'>) {
  return planWithHomes({...input, homes: null});
}

describe('planWeightUpdates', () => {
  describe('a pool with one model', () => {
    const two = [getUpstream('a', {m: 1}), getUpstream('b', {m: 1})];
    const base = {modelCount: 1, upstreams: two};

    it('updates one of two engines at a time (guards against a pool that serves nothing)', () => {
      const announced = getAnnounced({m: {version: 2}});
      const updates = planWeightUpdates({...base, announced});
      assert.equal(updates.length, 1);
      const upstreams = [
        getUpstream('a', {m: 1}, {updatingModel: 'm'}),
        two[1],
      ];
      assert.deepEqual(planWeightUpdates({...base, announced, upstreams}), []);
    });

    it('limits concurrent updates in a large pool (guards against slow loads)', () => {
      const upstreams = Array.from({length: 10}, (_, index) =>
        getUpstream(`u${index}`, {m: 1}),
      );
      const announced = getAnnounced({m: {version: 2}});
      assert.equal(
        planWeightUpdates({...base, announced, upstreams}).length,
        3,
      );
    });

    it('delays the update while engines with the previous version can serve the open steps', () => {
      const announced = getAnnounced({
        m: {version: 2, ageMs: 1_000, neededVersion: 1},
      });
      assert.deepEqual(planWeightUpdates({...base, announced}), []);
    });

    it('updates engines without delay if all are too old for the open step (guards against a step that waits for two loads in a row)', () => {
      const announced = getAnnounced({
        m: {version: 2, ageMs: 0, neededVersion: 2},
      });
      assert.deepEqual(
        planWeightUpdates({...base, announced}).map(update => update.upstream),
        ['a', 'b'],
      );
    });

    it('updates another engine while one is backing off', () => {
      const announced = getAnnounced({m: {version: 2}});
      const upstreams = [
        getUpstream('a', {m: 1}, {isBackingOff: true}),
        getUpstream('b', {m: 1}),
      ];
      const updates = planWeightUpdates({...base, announced, upstreams});
      assert.deepEqual(updates, [{upstream: 'b', model: 'm', version: 2}]);
    });
  });

  describe('a pool with several models', () => {
    it("loads a version on no more than its model's share of the engines (guards against needless loads)", () => {
      const upstreams = Array.from({length: 6}, (_, index) =>
        getUpstream(`u${index}`, {m0: 1, m1: 1, m2: 1}),
      );
      const reached = upstreams.map((upstream, index) =>
        index < 2 ? getUpstream(upstream.id, {m0: 2, m1: 1, m2: 1}) : upstream,
      );
      const announced = getAnnounced({m0: {version: 2}});
      const first = planWeightUpdates({
        modelCount: 3,
        announced,
        upstreams,
      });
      assert.equal(first.length, 2);
      const nextUpdates = planWeightUpdates({
        modelCount: 3,
        announced,
        upstreams: reached,
      });
      assert.deepEqual(nextUpdates, []);
    });

    it('prefers engines whose version is too old for the open steps (guards against a pause in sampling at each update)', () => {
      const upstreams = [
        getUpstream('a', {m0: 4, m1: 3}),
        getUpstream('b', {m0: 4, m1: 3}),
        getUpstream('c', {m0: 3, m1: 4}),
        getUpstream('d', {m0: 3, m1: 4}),
      ];
      const announced = getAnnounced({
        m0: {version: 5, ageMs: 400, neededVersion: 4},
        m1: {version: 4, ageMs: 400, neededVersion: 3},
      });
      const updates = planWeightUpdates({
        modelCount: 2,
        announced,
        upstreams,
      });
      assert.deepEqual(
        updates.map(({upstream, model}) => `${model}/${upstream}`),
        ['m0/c', 'm0/d'],
      );
    });

    it('prefers engines that do not serve the newest version of any other model (guards against two models displacing each other)', () => {
      const upstreams = [
        getUpstream('a', {m0: 4, m1: 4}),
        getUpstream('b', {m0: 3, m1: 4}),
        getUpstream('c', {m0: 3, m1: 2}),
        getUpstream('d', {m0: 3, m1: 2}),
      ];
      const announced = getAnnounced({
        m0: {version: 5, ageMs: 400, neededVersion: 4},
        m1: {version: 4},
      });
      const updates = planWeightUpdates({
        modelCount: 2,
        announced,
        upstreams,
      });
      assert.deepEqual(
        updates.map(update => update.upstream),
        ['c', 'd'],
      );
    });
  });

  describe('any set of engines', () => {
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
      expectedVersion: fc.constant(0),
    });

    it('never exceeds its limits or orders a version twice', () => {
      fc.assert(
        fc.property(
          fc.array(upstreamArbitrary, {maxLength: 12}),
          modelArbitrary,
          modelArbitrary,
          (states, m0, m1) => {
            const upstreams = states.map((state, index) =>
              getUpstream(`u${index}`, {m0: state.m0, m1: state.m1}, state),
            );
            const announced = new Map([
              ['m0', m0],
              ['m1', m1],
            ]);
            const updates = planWeightUpdates({
              modelCount: 2,
              announced,
              upstreams,
            });
            const updatingCount = upstreams.filter(
              u => u.updatingModel !== null,
            ).length;
            const limit = Math.max(2, Math.floor(upstreams.length * 0.3));
            assert.ok(updates.length <= Math.max(0, limit - updatingCount));
            const ids = new Set(updates.map(update => update.upstream));
            assert.equal(ids.size, updates.length);
            for (const update of updates) {
              const target = upstreams.find(u => u.id === update.upstream)!;
              assert.equal(target.updatingModel, null);
              assert.equal(target.isBackingOff, false);
              assert.ok(target.versions.get(update.model)! < update.version);
            }
          },
        ),
      );
    });

    it('keeps at least one engine serving a model if two or more serve it', () => {
      fc.assert(
        fc.property(
          fc.array(upstreamArbitrary, {minLength: 1, maxLength: 12}),
          modelArbitrary,
          (states, m0) => {
            const upstreams = states.map((state, index) =>
              getUpstream(`u${index}`, {m0: state.m0}, state),
            );
            const announced = new Map([['m0', m0]]);
            const updates = planWeightUpdates({
              modelCount: 1,
              announced,
              upstreams,
            });
            const serving = upstreams.filter(
              u =>
                u.updatingModel !== 'm0' &&
                u.versions.get('m0')! >= m0.neededVersion,
            );
            const remaining = serving.filter(
              u => !updates.some(update => update.upstream === u.id),
            );
            if (serving.length > 1) assert.ok(remaining.length > 0);
          },
        ),
      );
    });
  });

  describe('a pool whose models have home engines', () => {
    const MODELS = ['m0', 'm1', 'm2', 'm3'];
    const upstreams = Array.from({length: 20}, (_, index) =>
      getUpstream(`u${index}`, {m0: 2, m1: 2, m2: 1, m3: 1}),
    );
    const homes = getModelHomes(
      MODELS,
      upstreams.map(({id}) => id),
    );
    const plan = (models: Parameters<typeof getAnnounced>[0]) =>
      planWithHomes({
        modelCount: MODELS.length,
        announced: getAnnounced(models),
        upstreams,
        homes,
      });

    it('loads models first whose open steps have no engines (guards against steps that wait while others load)', () => {
      const updates = plan({
        m0: {version: 3, neededVersion: 2},
        m1: {version: 3, neededVersion: 2},
        m2: {version: 3, neededVersion: 2},
        m3: {version: 3, neededVersion: 2},
      });
      const models = updates.map(({model}) => model).sort();
      assert.deepEqual(models, ['m2', 'm2', 'm2', 'm3', 'm3', 'm3']);
    });

    it('loads at once what the next step can not use any more (guards against steps that wait for the settling time)', () => {
      const announced = {version: 3, ageMs: 0, neededVersion: 0};
      assert.deepEqual(plan({m2: announced}), []);
      const updates = plan({m2: {...announced, expectedVersion: 2}});
      assert.equal(updates.length, 5);
    });

    it('loads a model at its home engines (guards against connections to all engines)', () => {
      const updates = plan({m3: {version: 3}});
      assert.equal(updates.length, 5);
      for (const {upstream} of updates) {
        assert.ok(homes.get('m3')!.has(upstream));
      }
    });
  });
});
