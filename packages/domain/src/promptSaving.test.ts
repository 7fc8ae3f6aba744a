import type {MonotonicMs} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {getFillLevel, getPlacementCost} from './placement.js';
import {createPromptCache, getKeptTokens, recordPrompt} from './promptCache.js';
import {getPromptSaving} from './promptSaving.js';

const NOW = 0 as MonotonicMs;

/** Places samples in groups of 16 that are submitted together. */
function placeSamples(count: number, usesCache: boolean) {
  const engines = Array.from({length: 39}, () => ({
    occupancy: 0,
    read: new Set<number>(),
    estimate: createPromptCache(116_448),
  }));
  let readTokens = 0;
  for (let position = 0; position < count; position++) {
    const group = Math.floor(position / 16);
    const own = {id: `sample ${position}`, tokens: 16};
    const prompt = [{id: `group ${group}`, tokens: 1_000}, own];
    const free = engines.filter(({occupancy}) => occupancy < 6);
    const occupancies = free.map(({occupancy}) => occupancy);
    const level = getFillLevel(occupancies, count - position);
    const getCost = ({occupancy, estimate}: (typeof engines)[0]) => {
      const kept = getKeptTokens(estimate, prompt, 'm', 1, NOW);
      const work = {promptTokens: 1_016, expectedOutputTokens: 15};
      const keptTokens = usesCache ? kept : 0;
      const savedWork = getPromptSaving({...work, keptTokens});
      const place = {pace: 1, isOtherDomain: false, hasIdleConnection: true};
      return getPlacementCost({...place, occupancy, savedWork}, level).total;
    };
    // Equal costs are decided by a rotation instead of chance.
    const start = (position * 7) % free.length;
    const order = [...free.slice(start), ...free.slice(0, start)];
    const best = order.reduce((a, b) => (getCost(b) < getCost(a) ? b : a));
    readTokens += 16 + (best.read.has(group) ? 0 : 1_000);
    best.read.add(group);
    best.estimate = recordPrompt(best.estimate, prompt, 'm', 1, NOW);
    best.occupancy++;
  }
  const occupancies = engines.map(({occupancy}) => occupancy);
  const difference = Math.max(...occupancies) - Math.min(...occupancies);
  return {readTokens, difference};
}

describe('the saving of a cached prompt', () => {
  for (const [count, maxTokens] of [
    [64, 41_000],
    [128, 46_000],
    [234, 60_000],
  ] as const) {
    it(`lets few engines read the prompts of ${count} samples, evenly loaded (guards against a read for each sample, and against groups that wait for one engine)`, () => {
      const {readTokens, difference} = placeSamples(count, true);
      const without = placeSamples(count, false);
      assert.ok(without.readTokens > 1.5 * maxTokens, `${without.readTokens}`);
      assert.ok(readTokens <= maxTokens, `${readTokens} tokens were read`);
      assert.ok(difference <= without.difference);
    });
  }
});
