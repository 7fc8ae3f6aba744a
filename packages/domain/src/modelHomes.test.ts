import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {getModelHomes} from './modelHomes.js';

const MODELS = ['m0', 'm1', 'm2', 'm3'];

function getEngines(count: number): string[] {
  return Array.from({length: count}, (_, index) => `engine-${index}`);
}

describe('getModelHomes', () => {
  describe('for a pool with four models', () => {
    it('makes each engine the home of two models (guards against engines without work)', () => {
      for (const count of [4, 8, 39, 100]) {
        const engines = getEngines(count);
        const homes = [...getModelHomes(MODELS, engines).values()];
        for (const engine of engines) {
          const models = homes.filter(home => home.has(engine)).length;
          assert.ok(models >= 1 && models <= 3, `${models} of ${count}`);
        }
      }
    });

    it('keeps most homes when an engine leaves (guards against connections that are opened anew)', () => {
      const engines = getEngines(39);
      const before = getModelHomes(MODELS, engines);
      const after = getModelHomes(MODELS, engines.slice(1));
      for (const model of MODELS) {
        const kept = [...after.get(model)!].filter(engine =>
          before.get(model)!.has(engine),
        );
        assert.ok(kept.length >= after.get(model)!.size - 3);
      }
    });

    it('does not depend on the order of the list (guards against processes that disagree)', () => {
      const engines = getEngines(10);
      assert.deepEqual(
        getModelHomes([...MODELS].reverse(), [...engines].reverse()),
        getModelHomes(MODELS, engines),
      );
    });
  });

  describe('for a pool with fewer engines than a model needs', () => {
    it('makes all engines homes', () => {
      assert.deepEqual(getModelHomes(['m'], ['a']).get('m'), new Set(['a']));
      assert.deepEqual(getModelHomes(['m'], []).get('m'), new Set());
    });
  });
});
