import type {
  DomainId,
  RequestId,
  SampleId,
  UpstreamId,
} from '@vanillacross/common';
import {toBranded, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ConfigurationState} from '../configuration/index.js';
import {defaultSchedulingPolicy} from '../model/index.js';
import {
  MODEL,
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from '../testing/directoryFixture.js';
import {EngineSelector} from './engineSelector.js';
import {SampleTask} from './sampleTask.js';

const SLOW_EVENT_INTERVAL_MS = 108;
const FAST_EVENT_INTERVAL_MS = 37;

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
  const selector = new EngineSelector({
    configuration,
    directory,
    domain: toBranded<DomainId>('a'),
    policy: defaultSchedulingPolicy,
    hasShare: () => true,
    getColdShare: () => 1,
  });
  const sample = {
    id: toBranded<SampleId>('s'),
    path: '/',
    headers: {},
    body: '',
    tokens: 1,
    expectedTokens: null,
    prompt: null,
    group: 'g',
    scoring: null,
  };
  const step = {
    id: toBranded<RequestId>('step'),
    account: null,
    route: 'steps',
    host: 'h',
    model: MODEL,
    minVersion: 1,
    targetGroups: 1,
    acceptedAt: 0,
    samples: [sample],
  };
  const tracked = {
    step,
    partition: 0,
    samples: new Map([[sample.id, sample]]),
    results: [],
    listedSamples: new Set<SampleId>(),
    unlistedByGroup: new Map(),
    isEnded: false,
  };
  const task = new SampleTask(tracked, sample, 0, 0, 'chain', clock.now());
  const get = (id: string) => directory.get(toBranded<UpstreamId>(id))!;
  return {...fixture, selector, task, get};
}

describe('EngineSelector', () => {
  describe('chooseFaster', () => {
    it('skips an idle engine of unknown speed (if it were down, it would be chosen instead of a faster working engine)', () => {
      const {list, get, selector, task} = createFixture();
      for (const id of ['slow', 'down', 'fast']) list(id);
      get('slow').recordEventInterval(SLOW_EVENT_INTERVAL_MS);
      get('fast').recordEventInterval(FAST_EVENT_INTERVAL_MS);
      get('fast').recordStart();
      const chosen = selector.chooseFaster(task, get('slow'));
      assert.equal(chosen?.id, 'fast');
    });

    it('returns null if no engine is much faster', () => {
      const {list, get, selector, task} = createFixture();
      for (const id of ['here', 'other']) list(id);
      get('here').recordEventInterval(FAST_EVENT_INTERVAL_MS);
      get('other').recordEventInterval(FAST_EVENT_INTERVAL_MS - 1);
      assert.equal(selector.chooseFaster(task, get('here')), null);
    });

    it('returns null if the faster engine is full', () => {
      const {list, get, selector, task} = createFixture();
      list('slow');
      list('fast', {slots: 1});
      get('slow').recordEventInterval(SLOW_EVENT_INTERVAL_MS);
      get('fast').recordEventInterval(FAST_EVENT_INTERVAL_MS);
      get('fast').recordStart();
      assert.equal(selector.chooseFaster(task, get('slow')), null);
    });
  });
});
