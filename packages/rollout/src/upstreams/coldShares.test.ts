import type {
  DomainId,
  PoolId,
  SoftwareVersion,
  UpstreamId,
} from '@vanillacross/common';
import {ManualClock, toBranded} from '@vanillacross/common';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {DeploymentLimits, Pool} from '../model/index.js';
import {ColdShares} from './coldShares.js';
import {Upstream} from './upstream.js';

const limits = {coldOverage: 1.5, coldSlack: 5} as DeploymentLimits;

function getPool(coldPerSecond: number, models: string[] = []): Pool {
  return {
    id: toBranded<PoolId>('p'),
    healthPath: '/',
    maxConnections: 10,
    coldMs: 3_000,
    coldPerSecond,
    models,
    cacheTokens: null,
    scaling: null,
  };
}

describe('ColdShares', () => {
  it('add up to no more than the limit of a cold upstream (guards against overload after a cold start)', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 100}),
        fc.integer({min: 0, max: 12}),
        fc.integer({min: 1, max: 400}),
        (coldPerSecond, partitions, processes) => {
          const shares = new ColdShares({
            limits,
            getOpenRunnerCount: () => partitions,
            getProcessCount: () => processes,
          });
          const pool = getPool(coldPerSecond, ['m']);
          const samples = shares.getSampleShare(pool) * partitions;
          const callers = shares.getCallerShare(pool) * processes;
          assert.ok(samples + callers <= coldPerSecond * 1.5 + 5);
        },
      ),
    );
  });
});

describe('Upstream', () => {
  it('limits its rate to a share below one request per second while it is cold', () => {
    const clock = new ManualClock();
    const entry = {
      id: toBranded<UpstreamId>('u'),
      pool: toBranded<PoolId>('p'),
      address: '127.0.0.1:1',
      domain: toBranded<DomainId>('a'),
      software: toBranded<SoftwareVersion>('v1'),
      slots: 4,
      isDraining: false,
      coldLeftMs: 0,
      bornAt: 0,
      versions: new Map(),
    };
    const upstream = new Upstream(entry, clock, 60_000);
    const pool = getPool(1);
    assert.ok(upstream.isWithinColdLimit(pool, 0.5));
    upstream.recordStart();
    clock.advance(1_500);
    assert.ok(!upstream.isWithinColdLimit(pool, 0.5));
    clock.advance(600);
    assert.ok(upstream.isWithinColdLimit(pool, 0.5));
    upstream.close();
  });
});
