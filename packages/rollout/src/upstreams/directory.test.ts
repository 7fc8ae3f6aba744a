import type {DomainId, PoolId, UpstreamId} from '@vanillacross/common';
import {ManualClock, as, createLogger, ok} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {StoreHealth} from '../log/index.js';
import type {Pool, RecordDialect, UpstreamEntry} from '../model/index.js';
import {Directory} from './directory.js';

const POOL = as<PoolId>('engines');
const ID = as<UpstreamId>('u1');
const COLD_MS = 3_000;
const LONG_MS = 100_000;

const pool: Pool = {
  id: POOL,
  healthPath: '/',
  maxConnections: 10,
  coldMs: COLD_MS,
  coldPerSecond: 10,
  models: [],
  scaling: null,
};

const dialect: RecordDialect = {
  operatorStream: 'op',
  upstreamStream: 'servers',
  readOperatorRecord: () => ({tag: 'ignored', reason: ''}),
  readUpstream: (_key, value) =>
    ok(JSON.parse(value.toString('utf8'), reviveVersions) as UpstreamEntry),
};

function reviveVersions(key: string, value: unknown): unknown {
  return key === 'versions' ? new Map() : value;
}

interface Fixture {
  clock: ManualClock;
  health: StoreHealth;
  directory: Directory;
  list(entry: Partial<UpstreamEntry>): void;
}

function createFixture(isStarting: boolean): Fixture {
  const clock = new ManualClock();
  clock.advance(LONG_MS);
  const logger = createLogger('test', 'silent');
  const health = new StoreHealth(clock, logger);
  const directory = new Directory({
    dialect,
    clock,
    logger,
    health,
    getPool: () => pool,
    isStarting: () => isStarting,
  });
  const list = (change: Partial<UpstreamEntry>) => {
    const entry = {
      id: ID,
      pool: POOL,
      address: '127.0.0.1:1',
      domain: as<DomainId>('a'),
      slots: 4,
      isDraining: false,
      coldLeftMs: 0,
      bornAt: clock.wallNow(),
      ...change,
    };
    const value = Buffer.from(JSON.stringify({...entry, versions: {}}));
    directory.apply({offset: 0, key: ID, value});
  };
  return {clock, health, directory, list};
}

describe('Directory', () => {
  describe('an upstream that is new here', () => {
    const cases = [
      {
        name: 'is cold after its start, whatever it states',
        isStarting: false,
        ageMs: 1_000,
        coldLeftMs: 0,
        isCold: true,
      },
      {
        name: 'is warm if it has run for long (guards slow recovery)',
        isStarting: false,
        ageMs: 60_000,
        coldLeftMs: 0,
        isCold: false,
      },
      {
        name: 'is cold if it turned cold again',
        isStarting: false,
        ageMs: 60_000,
        coldLeftMs: 500,
        isCold: true,
      },
      {
        name: 'is as it states where all start together',
        isStarting: true,
        ageMs: 1_000,
        coldLeftMs: 0,
        isCold: false,
      },
    ];
    for (const {name, isStarting, ageMs, coldLeftMs, isCold} of cases) {
      it(name, () => {
        const {clock, directory, list} = createFixture(isStarting);
        list({bornAt: clock.wallNow() - ageMs, coldLeftMs});
        assert.equal(directory.get(ID)!.isCold(), isCold);
      });
    }
  });

  describe('an upstream whose entry is removed', () => {
    it('gets nothing more while the store is steady', () => {
      const {directory, list} = createFixture(false);
      list({});
      directory.apply({offset: 1, key: ID, value: null});
      assert.deepEqual(directory.getUsable(POOL), []);
    });

    it('is kept while the store is away and a moment longer', () => {
      const {clock, health, directory, list} = createFixture(false);
      list({});
      health.noteFailure('no answer');
      directory.apply({offset: 1, key: ID, value: null});
      assert.equal(directory.getUsable(POOL).length, 1);
      clock.advance(1_000);
      health.noteSuccess();
      assert.equal(directory.getUsable(POOL).length, 1);
      clock.advance(3_000);
      directory.sweep();
      assert.deepEqual(directory.getUsable(POOL), []);
    });
  });
});
