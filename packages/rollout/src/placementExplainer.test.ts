import type {
  DomainId,
  InstanceId,
  MonotonicMs,
  RequestId,
  UpstreamId,
} from '@vanillacross/common';
import {createLogger, toBranded} from '@vanillacross/common';
import {noText} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ConfigurationState} from './configuration/index.js';
import type {ForwardContext} from './forwarding/index.js';
import {AdmissionQueue, chooseForRequest} from './forwarding/index.js';
import type {QueueMember} from './forwarding/poolQueue.js';
import type {Route, SchedulingPolicy} from './model/index.js';
import {PlacementExplainer} from './placementExplainer.js';
import type {SampleTask, TrackedStep} from './steps/index.js';
import {SampleText, explainSample} from './steps/index.js';
import {EngineSelector} from './steps/engineSelector.js';
import {
  MODEL,
  POOL_ID,
  createDirectoryFixture,
  testPool,
} from './testing/directoryFixture.js';
import {createForwardContext} from './testing/forwardFixture.js';
import type {Upstream} from './upstreams/index.js';

const TIMEOUT_MS = 1_000;
const FULL = {running: 4, waiting: 9, slots: 4, pace: null};
const pool = {...testPool, models: []};
const REQUEST = new URLSearchParams({host: 'h', path: '/a/b'});

type Policy = Partial<SchedulingPolicy>;

function createFixture(policy: Policy) {
  const fixture = createDirectoryFixture();
  const {clock, directory} = fixture;
  const base = createForwardContext([]);
  let demands = 0;
  directory.recordDemand = () => void demands++;
  const queue = new AdmissionQueue({...base, directory, clock});
  const forwarding: ForwardContext = {
    ...base,
    directory,
    clock,
    queue,
    policy: {...base.policy, ...policy},
    getColdShare: () => 0.5,
  };
  const logger = createLogger('test', 'silent');
  const configuration = new ConfigurationState(clock, logger, 5_000);
  const route = {
    name: 'r',
    host: 'h',
    prefix: '/a',
    kind: 'idempotent',
    timeoutMs: TIMEOUT_MS,
    priority: 0,
    sampleRetentionMs: 0,
    targets: [{pool: POOL_ID, weight: 1}],
  } as unknown as Route;
  configuration.apply({
    version: 1,
    routes: [route, {...route, name: 'steps', prefix: '/s', kind: 'rollout'}],
    pools: new Map([[POOL_ID, pool]]),
    accounts: [],
    limits: {} as never,
  });
  const explainer = new PlacementExplainer({
    self: {
      id: toBranded<InstanceId>('front-a'),
      incarnation: '1',
      domain: toBranded<DomainId>('a'),
    },
    configuration,
    forwarding,
    explainSample: () => null,
  });
  const ask = () => {
    const answer = explainer.explain(REQUEST);
    assert.ok(answer.ok);
    const [explained] = answer.value.pools;
    const find = (id: string) =>
      explained.upstreams.find(upstream => upstream.id === id);
    return {...explained, find};
  };
  const choose = () =>
    chooseForRequest(
      forwarding,
      {pool, isBackground: false} as never,
      directory.getUsable(POOL_ID),
      new Set(),
      forwarding.policy.admission === 'queue'
        ? {hasSlot: upstream => queue.hasSlot(pool, upstream, 'caller')}
        : {},
    )?.id ?? null;
  const get = (id: string) => directory.get(toBranded<UpstreamId>(id))!;
  const getDemands = () => demands;
  const parts = {forwarding, configuration, explainer, queue};
  return {...fixture, ...parts, ask, choose, get, getDemands};
}

type Fixture = ReturnType<typeof createFixture>;

/** States of the upstream `u` beside a worse one, and why it is excluded. */
const cases: Array<[string, (upstream: Upstream, f: Fixture) => void]> = [
  ['', () => {}],
  ['draining', (_, {list}) => list('u', {isDraining: true})],
  ['leaving', u => u.notices.markLeaving()],
  ['evacuated', ({entry}, f) => f.directory.setEvacuated(entry.domain, true)],
  ['request_limit', u => u.notices.applyLimit(0.1)],
  ['connections', u => (u.inFlight = pool.maxConnections)],
  [
    'cold_limit',
    u => {
      u.markCold(3_000);
      u.recordStart();
      u.recordEnd();
    },
  ],
  [
    'ejected',
    u => {
      for (let i = 0; i < 10; i++) u.recordFailure();
    },
  ],
];

const policies: Policy[] = [
  {},
  {placement: 'concentrated'},
  {placement: 'concentrated', admission: 'queue'},
];

describe('PlacementExplainer', () => {
  for (const policy of policies) {
    describe(`with ${JSON.stringify(policy)}`, () => {
      for (const [reason, change] of cases) {
        // Guards against an explanation that names another upstream or reason
        // than the choice, and one that changes what is chosen next.
        it(`agrees with the choice (${reason || 'two candidates'})`, () => {
          const f = createFixture(policy);
          f.list('u');
          f.list('worse', {domain: toBranded<DomainId>('b')});
          f.get('worse').inFlight = 1;
          change(f.get('u'), f);
          const before = f.ask();
          assert.deepEqual(before.find('u')?.obstacles, reason ? [reason] : []);
          assert.equal(before.find('u')?.cost === null, reason !== '');
          assert.equal(f.getDemands(), 0);
          assert.equal(f.choose(), before.chosen);
          assert.deepEqual(before.decision, {tag: 'start'});
        });
      }

      it('names all upstreams that chance may choose', () => {
        const f = createFixture(policy);
        for (const id of ['b', 'a', 'c']) f.list(id);
        f.get('c').inFlight = 3;
        const {chosen, tied} = f.ask();
        const seen = new Set(Array.from({length: 60}, () => f.choose()));
        assert.deepEqual([chosen, [...tied]], ['a', ['a', 'b']]);
        assert.deepEqual([...seen].sort(), ['a', 'b']);
      });
    });
  }

  it('states the refusal that the next request gets, without a change', () => {
    const f = createFixture({admission: 'queue'});
    f.list('u');
    const refusals: unknown[] = [];
    const join = () => {
      const member: QueueMember = {
        id: 'm',
        account: null,
        priority: 0,
        unfinishedInGroup: 0,
        isBackground: false,
        deadline: (f.clock.now() + TIMEOUT_MS) as MonotonicMs,
        tryStart: () => {
          if (!f.queue.hasSlot(pool, f.get('u'), 'caller')) return 'no_room';
          f.queue.recordStart(pool, member, f.get('u'));
          return 'left';
        },
        getEndReason: () => null,
        refuse: (reason, retryAfterMs) =>
          refusals.push({tag: 'refuse', reason, retryAfterMs}),
      };
      f.queue.join(pool, member);
    };
    const expected: unknown[] = [];
    // Requests join until the wait of the next ones is too long.
    while (refusals.length < 2) {
      const {decision, queueLength} = f.ask();
      f.ask();
      assert.equal(queueLength, f.queue.count(POOL_ID));
      if (decision.tag === 'refuse') expected.push(decision);
      join();
      assert.deepEqual(refusals, expected);
    }
  });

  it('explains a refusal by polling', () => {
    const {ask} = createFixture({});
    assert.deepEqual(ask().decision, {
      tag: 'refuse',
      reason: 'no upstream is listed',
      retryAfterMs: TIMEOUT_MS / 4,
    });
  });

  it('keeps starts that count for the limit of another kind of requests', () => {
    const f = createFixture({});
    f.list('u');
    const upstream = f.get('u');
    upstream.markCold(60_000);
    upstream.recordStart();
    f.clock.advance(1_500);
    assert.ok(upstream.wouldBeWithinColdLimit(pool, 1));
    assert.ok(!upstream.isWithinColdLimit(pool, 0.5));
  });

  for (const [query, status, reason] of [
    ['host=h', 400, /either host and path, or step and sample/],
    ['host=h&path=/a&step=s', 400, /either/],
    ['host=other&path=/a', 404, /no route for other/],
    ['host=h&path=/s', 400, /submit steps/],
    ['step=s&sample=x', 404, /front-a does not run sample x of step s/],
  ] as const) {
    it(`fails with a reason for ${query}`, () => {
      const {explainer} = createFixture({});
      const answer = explainer.explain(new URLSearchParams(query));
      assert.ok(!answer.ok);
      assert.equal(answer.error.status, status);
      assert.match(answer.error.reason, reason);
    });
  }
});

describe('explainSample', () => {
  const states: Array<[string, (u: Upstream, task: SampleTask) => void]> = [
    ['', () => {}],
    ['loading', u => u.loadingUntil.set(MODEL, Infinity as MonotonicMs)],
    ['full', u => u.recordLoad(FULL)],
    ['version', u => (u.entry = {...u.entry, versions: new Map()})],
    ['avoided', (u, task) => (task.avoidedUpstream = u)],
  ];
  const explain = (change: (typeof states)[0][1], isOpen = false) => {
    const f = createFixture({placement: 'concentrated'});
    f.list('u');
    f.list('worse', {domain: toBranded<DomainId>('b')});
    const id = toBranded<RequestId>('s');
    const step = {id, route: 'r', model: MODEL, minVersion: 1};
    const samples = new Map([['x', {}]]);
    const tracked = {step, partition: 0, samples, listedSamples: new Set()};
    const trackedStep = tracked as unknown as TrackedStep;
    const task = {
      trackedStep,
      sample: {prompt: null},
      stage: 'queued',
      generation: null,
      avoidedUpstream: null,
      advancedAt: f.clock.now(),
      text: new SampleText(),
      isPastRetention: () => false,
    } as unknown as SampleTask;
    change(f.get('u'), task);
    const options = {
      ...f.forwarding,
      configuration: f.configuration,
      forwarding: f.forwarding,
      registry: {getAll: () => (isOpen ? [trackedStep] : [])} as never,
      layout: {partitionCount: 1, samplesPerOwner: 40},
      getOwnedPartitions: () => new Set<number>(),
      tasks: [task],
    };
    const selector = new EngineSelector({...options, hasShare: () => true});
    const route = selector.getRoute(trackedStep)!;
    const engine = selector.chooseForStart(task, route, noText, 1);
    return {explained: explainSample(task, options).pools[0], engine};
  };

  for (const [reason, change] of states) {
    // Guards against an explanation that names another engine than the start.
    it(`agrees with the start (${reason || 'two candidates'})`, () => {
      const {explained, engine} = explain(change);
      assert.equal(explained.chosen, engine?.id);
      assert.equal(engine?.id, reason ? 'worse' : 'u');
      const u = explained.upstreams.find(({id}) => id === 'u');
      assert.deepEqual(u?.obstacles, reason ? [reason] : []);
    });
  }

  it('states that engines are left to other processes', () => {
    const {decision, upstreams} = explain(() => {}, true).explained;
    assert.equal(decision.tag, 'wait');
    for (const {obstacles} of upstreams) assert.deepEqual(obstacles, ['share']);
  });
});
