import type {
  DomainId,
  PoolId,
  SoftwareVersion,
  UpstreamId,
} from '@vanillacross/common';
import {ManualClock, toBranded, createLogger, ok} from '@vanillacross/common';

import {StoreHealth} from '../log/index.js';
import type {Pool, RecordDialect, UpstreamEntry} from '../model/index.js';
import {defaultSchedulingPolicy} from '../model/index.js';
import {UpstreamDirectory} from '../upstreams/index.js';
import {createNoticeRegistry} from './noticeFixture.js';

export const POOL_ID = toBranded<PoolId>('engines');
export const MODEL = 'm';
/** Uptime of the process and its upstreams at the start of a test, ms. */
const UPTIME_MS = 100_000;

export const testPool: Pool = {
  id: POOL_ID,
  healthPath: '/',
  maxConnections: 10,
  coldMs: 3_000,
  coldPerSecond: 10,
  models: [MODEL],
  cacheTokens: null,
  scaling: null,
};

const dialect: RecordDialect = {
  operatorStream: 'op',
  upstreamStream: 'servers',
  readOperatorRecord: () => ({tag: 'ignored', reason: ''}),
  readUpstream: (_key, value) => {
    const entry = JSON.parse(value.toString('utf8')) as UpstreamEntry;
    return ok({...entry, versions: new Map([[MODEL, 1]])});
  },
};

/** A directory whose entries are set by the test. */
export interface DirectoryFixture {
  clock: ManualClock;
  health: StoreHealth;
  directory: UpstreamDirectory;
  /** Adds the entry of a long-running upstream, with the given overrides. */
  list(id: string, overrides?: Partial<UpstreamEntry>): void;
  removeEntry(id: string): void;
}

export function createDirectoryFixture(isStarting = false): DirectoryFixture {
  const clock = new ManualClock();
  clock.advance(UPTIME_MS);
  const logger = createLogger('test', 'silent');
  const health = new StoreHealth(clock, logger);
  const directory = new UpstreamDirectory({
    dialect,
    notices: createNoticeRegistry(clock),
    clock,
    logger,
    health,
    getPool: () => testPool,
    isStarting: () => isStarting,
    policy: defaultSchedulingPolicy,
  });
  return {
    clock,
    health,
    directory,
    list: (id, overrides = {}) => {
      const entry = {
        id: toBranded<UpstreamId>(id),
        pool: POOL_ID,
        address: '127.0.0.1:1',
        domain: toBranded<DomainId>('a'),
        software: toBranded<SoftwareVersion>('v1'),
        slots: 4,
        isDraining: false,
        coldLeftMs: 0,
        bornAt: clock.wallNow() - UPTIME_MS + 1,
        ...overrides,
      };
      const value = Buffer.from(JSON.stringify(entry));
      directory.apply({offset: 0, key: id, value});
    },
    removeEntry: id => directory.apply({offset: 1, key: id, value: null}),
  };
}
