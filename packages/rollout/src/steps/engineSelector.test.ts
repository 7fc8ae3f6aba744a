import type {
  DomainId,
  RequestId,
  SampleId,
  UpstreamId,
} from '@vanillacross/common';
import {as, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ConfigurationState} from '../configuration/index.js';
import {
  MODEL,
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from '../testing/directoryFixture.js';
import {EngineSelector} from './engineSelector.js';
import {SampleTask} from './sampleTask.js';

const SLOW_PACE_MS = 108;
const FAST_PACE_MS = 37;

function createFixture() {
  const fixture = createDirectoryFixture();
  const {clock, directory} = fixture;
  const configuration = new ConfigurationState(
    clock,
    createLogger('test', 'silent'),
    5_000,
  );
  configuration.apply({
    version: 1,
    routes: [],
    pools: new Map([[POOL_ID, testPool]]),
    accounts: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  const engines = new EngineSelector({
    configuration,
    directory,
    domain: as<DomainId>('a'),
    getColdShare: () => 1,
  });
  const sample = {
    id: as<SampleId>('s'),
    path: '/',
    headers: {},
    body: '',
    tokens: 1,
    expectedTokens: null,
    group: 'g',
    scoring: null,
  };
  const step = {
    id: as<RequestId>('step'),
    account: null,
    route: 'steps',
    host: 'h',
    model: MODEL,
    minVersion: 1,
    targetGroups: 1,
    acceptedAt: 0,
    samples: [sample],
  };
  const open = {
    step,
    partition: 0,
    samples: new Map([[sample.id, sample]]),
    results: [],
    listedSamples: new Set<SampleId>(),
    isEnded: false,
  };
  const task = new SampleTask(open, sample, 0, 0, 'chain', clock.now());
  const get = (id: string) => directory.get(as<UpstreamId>(id))!;
  return {...fixture, engines, task, get};
}

describe('EngineChoice', () => {
  describe('chooseFaster', () => {
    it('passes over an idle engine whose pace is unknown (guards a sample at a slow engine while another is down)', () => {
      const {list, get, engines, task} = createFixture();
      for (const id of ['slow', 'down', 'fast']) list(id);
      get('slow').recordEventInterval(SLOW_PACE_MS);
      get('fast').recordEventInterval(FAST_PACE_MS);
      get('fast').recordStart();
      const chosen = engines.chooseFaster(task, get('slow'));
      assert.equal(chosen?.id, 'fast');
    });

    it('stays where no engine is much faster', () => {
      const {list, get, engines, task} = createFixture();
      for (const id of ['here', 'other']) list(id);
      get('here').recordEventInterval(FAST_PACE_MS);
      get('other').recordEventInterval(FAST_PACE_MS - 1);
      assert.equal(engines.chooseFaster(task, get('here')), null);
    });

    it('stays where the faster engine is full', () => {
      const {list, get, engines, task} = createFixture();
      list('slow');
      list('fast', {slots: 1});
      get('slow').recordEventInterval(SLOW_PACE_MS);
      get('fast').recordEventInterval(FAST_PACE_MS);
      get('fast').recordStart();
      assert.equal(engines.chooseFaster(task, get('slow')), null);
    });
  });
});
