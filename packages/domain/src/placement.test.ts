import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {PlacementCandidate} from './placement.js';
import {getExpectedPace, getFillLevel, getPlacementCost} from './placement.js';

/** An upstream on which a test places requests. */
interface TestUpstream extends PlacementCandidate {
  connections: number;
  prompts: Set<string>;
}

function createUpstreams(count: number): TestUpstream[] {
  return Array.from({length: count}, () => ({
    occupancy: 0,
    pace: 1,
    isOtherDomain: false,
    hasIdleConnection: false,
    savedWork: 0,
    connections: 0,
    prompts: new Set<string>(),
  }));
}

/** Places a burst of requests, given by their prompts, and returns their costs. */
function placeBurst(
  upstreams: readonly TestUpstream[],
  prompts: readonly string[],
  promptWork = 0,
): void {
  prompts.forEach((prompt, index) => {
    const level = getFillLevel(
      upstreams.map(upstream => upstream.occupancy),
      prompts.length - index,
    );
    const getTotal = (upstream: TestUpstream) => {
      const savedWork = upstream.prompts.has(prompt) ? promptWork : 0;
      const hasIdleConnection = upstream.connections > upstream.occupancy;
      const candidate = {...upstream, savedWork, hasIdleConnection};
      return getPlacementCost(candidate, level).total;
    };
    const best = upstreams.reduce((a, b) =>
      getTotal(b) < getTotal(a) ? b : a,
    );
    best.occupancy++;
    best.connections = Math.max(best.connections, best.occupancy);
    best.prompts.add(prompt);
  });
}

function getGroups(groups: number, size: number): string[] {
  return Array.from({length: groups * size}, (_, index) =>
    String(Math.floor(index / size)),
  );
}

describe('placement', () => {
  describe('the samples of a step, placed one by one', () => {
    it('load all engines alike (guards against samples that wait for a crowded engine)', () => {
      const upstreams = createUpstreams(10);
      placeBurst(upstreams, getGroups(5, 8), 0.1);
      assert.ok(upstreams.every(({occupancy}) => occupancy === 4));
    });

    it('read each prompt at few engines (guards against prompts that every engine reads)', () => {
      const upstreams = createUpstreams(10);
      placeBurst(upstreams, getGroups(5, 8), 0.1);
      const reads = upstreams.reduce((sum, {prompts}) => sum + prompts.size, 0);
      assert.ok(reads <= 15, `${reads} prompts were read`);
    });

    it('open no connection that an earlier step has left (guards against a connection a sample)', () => {
      const upstreams = createUpstreams(10);
      placeBurst(upstreams, getGroups(5, 8));
      for (const upstream of upstreams) upstream.occupancy = 0;
      placeBurst(upstreams, getGroups(4, 8));
      const connections = upstreams.map(upstream => upstream.connections);
      assert.equal(Math.max(...connections), 4);
    });

    it('avoid a slow machine while others have room', () => {
      const upstreams = createUpstreams(4);
      upstreams[0].pace = 3;
      placeBurst(upstreams, getGroups(1, 9));
      assert.ok(upstreams[0].occupancy < 2);
    });
  });

  describe('the fill level', () => {
    const cases = [
      {occupancies: [], waiting: 3, level: 0},
      {occupancies: [2], waiting: 3, level: 5},
      {occupancies: [0, 4], waiting: 2, level: 2},
      {occupancies: [0, 4], waiting: 6, level: 5},
      {occupancies: [3, 0, 1], waiting: 3, level: 2},
    ];
    for (const {occupancies, waiting, level} of cases) {
      it(`is ${level} for ${waiting} requests at [${occupancies.join()}]`, () => {
        assert.equal(getFillLevel(occupancies, waiting), level);
      });
    }
  });

  describe('a pace that was stated some time ago', () => {
    it('returns to the usual one (guards against a machine that is avoided for ever)', () => {
      assert.equal(getExpectedPace(4, 0), 4);
      assert.ok(getExpectedPace(4, 5_000) < 1.01);
    });
  });
});
