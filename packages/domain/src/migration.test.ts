import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {isWorthMigrating} from './migration.js';

const CROWDED = {intervalMs: 60, occupancy: 6};
const IDLE = {intervalMs: null, occupancy: 0};

describe('isWorthMigrating', () => {
  const cases = [
    {
      name: 'moves a long sample from a crowded engine to an idle one (guards against steps that wait for it)',
      events: 100,
      engine: CROWDED,
      other: IDLE,
      isWorth: true,
    },
    {
      name: 'leaves shorter samples where they are (guards against starts that cost more than they save)',
      events: 40,
      engine: CROWDED,
      other: IDLE,
      isWorth: false,
    },
    {
      name: 'moves a sample soon from a machine that has become slow',
      events: 6,
      engine: {intervalMs: 170, occupancy: 3},
      other: {intervalMs: 45, occupancy: 2},
      isWorth: true,
    },
    {
      name: 'does not move to an engine as crowded (guards against samples that change places)',
      events: 100,
      engine: CROWDED,
      other: {intervalMs: 58, occupancy: 5},
      isWorth: false,
    },
  ];
  for (const {name, events, engine, other, isWorth} of cases) {
    it(name, () => {
      assert.equal(isWorthMigrating({events, engine}, other), isWorth);
    });
  }
});
