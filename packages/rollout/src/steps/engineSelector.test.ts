import type {
  DomainId,
  RequestId,
  SampleId,
  UpstreamId,
} from '@vanillacross/common';
import {toBranded, createLogger, Metrics} from '@vanillacross/common';
import {noText} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ConfigurationState} from '../configuration/index.js';
import type {Route, SchedulingPolicy} from '../model/index.js';
import {defaultSchedulingPolicy} from '../model/index.js';
import {
  MODEL,
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from '../testing/directoryFixture.js';
import {EngineSelector} from './engineSelector.js';
import {forgetSentPrompt, recordSentPrompt} from './samplePrompt.js';
import {SampleTask} from './sampleTask.js';

const SLOW_EVENT_INTERVAL_MS = 108;
const FAST_EVENT_INTERVAL_MS = 37;
const PART = {id: 'a', tokens: 1_000};

function createFixture(
  placement: SchedulingPolicy['placement'] = 'spread',
  cacheTokens: number | null = null,
) {
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
    pools: new Map([[POOL_ID, {...testPool, cacheTokens}]]),
    accounts: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  const policy = {...defaultSchedulingPolicy, placement};
  const options = {configuration, metrics: new Metrics(), policy};
  const selector = new EngineSelector({
    ...options,
    directory,
    domain: toBranded<DomainId>('a'),
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
    prompt: {model: null, parts: [PART], outputTokens: 15},
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
  const send = () => {
    const route = {targets: [{pool: POOL_ID, weight: 1}]} as unknown as Route;
    const engine = selector.chooseForStart(task, route, noText, 10)!;
    engine.recordStart();
    return {engine, fields: recordSentPrompt(task, engine, options)};
  };
  return {...fixture, selector, task, get, send};
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

  describe('chooseForStart', () => {
    for (const [placement, cacheTokens, cachedTokens] of [
      ['concentrated', 116_448, [0, 1_000, 1_000]],
      ['concentrated', null, [undefined, undefined, undefined]],
      ['spread', 116_448, [undefined, undefined, undefined]],
    ] as const) {
      it(`keeps a prompt at one engine up to the fill level with ${placement} placement and a memory of ${cacheTokens} tokens (guards against a read at each engine, and a change of other deployments)`, () => {
        const {list, send} = createFixture(placement, cacheTokens);
        for (const id of ['e1', 'e2', 'e3']) list(id);
        const sent = [send(), send(), send()];
        const cached = sent.map(({fields}) => fields.cachedPromptTokens);
        assert.deepEqual(cached, cachedTokens);
      });
    }

    const losses: Array<
      [string, (f: ReturnType<typeof createFixture>) => void]
    > = [
      ['loads another version', ({get}) => get('e1').recordVersion(MODEL, 2)],
      ['starts anew', ({list}) => list('e1', {bornAt: 50_000})],
      ['refuses it', ({get, task}) => forgetSentPrompt(task, get('e1'))],
    ];
    for (const [name, lose] of losses) {
      it(`expects no cached prompt at an engine that ${name} (guards against groups that follow a discarded prompt)`, () => {
        const fixture = createFixture('concentrated', 116_448);
        fixture.list('e1');
        fixture.send();
        lose(fixture);
        assert.equal(fixture.send().fields.cachedPromptTokens, 0);
      });
    }
  });
});
