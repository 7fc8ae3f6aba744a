import assert from 'node:assert/strict';
import * as http from 'node:http';
import {afterEach, describe, it} from 'node:test';

import {
  ManualClock,
  Metrics,
  closeServer,
  createLogger,
  listen,
} from '@vanillacross/common';
import type {
  AgentView,
  OrderAction,
  OrderOutcome,
  RolloutState,
} from '@vanillacross/domain';
import {poolSchema} from '@vanillacross/domain';

import {AgentRollout} from './agentRollout.js';
import type {EngineStatus} from './healthChecker.js';
import {
  MAX_WEIGHT_FETCHES,
  createWeightProxy,
  getWeightSourceUrl,
} from './weightProxy.js';
import {
  advance,
  createAgentInstance,
  createTestContext,
} from './controlFakes.test.js';
import {WeightSourceSelector} from './weightSources.js';

const closers: Array<() => Promise<void> | void> = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

function createView(version: number, changed: Partial<RolloutState> = {}) {
  const rollout: RolloutState = {
    fencing: 3,
    model: 'm',
    version,
    phase: 'activate',
    wave: 1,
    waves: 1,
    steps: [],
    completed: version,
    ...changed,
  };
  const pool = poolSchema.parse({kind: 'engine', model: 'm'});
  return {pool, rollout} as AgentView;
}

/** Starts the rollout task of an agent with a fake engine. */
function startRollout() {
  const clock = new ManualClock();
  const status: EngineStatus = {
    epoch: 'g1',
    state: 'warm',
    weightVersion: 1,
    running: 0,
    waiting: 0,
  };
  const orders: Array<OrderAction & {type: 'stage' | 'activate'}> = [];
  const engine = {
    status,
    staged: new Set<number>(),
    failingActivations: 0,
    isUp: true,
  };
  const link = {
    contact: clock.now(),
    view: createView(1),
    isDisconnected: false,
  };
  const execute = (
    action: OrderAction & {type: 'stage' | 'activate'},
  ): OrderOutcome => {
    orders.push(action);
    if (action.type === 'stage') {
      engine.staged.add(action.version);
    } else if (engine.failingActivations-- > 0) {
      return {tag: 'failed', detail: 'swap failed'};
    } else {
      if (!engine.staged.has(action.version)) {
        return {tag: 'failed', detail: 'not staged'};
      }
      engine.status = {...engine.status, weightVersion: action.version};
    }
    return {tag: 'done'};
  };
  const rollout = new AgentRollout({
    clock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
    upstream: 'u1',
    orders: {executeDeclared: async (_id, action) => execute(action)},
    getView: () => link.view,
    getStatus: () => (engine.isUp ? engine.status : null),
    getLastContact: () => link.contact,
    getSourceUrl: address => `http://${address}`,
    checkStatus: async () => {},
    onProgress: () => {},
  });
  const stopped = new AbortController();
  const loop = rollout.run(stopped.signal);
  closers.push(async () => {
    stopped.abort();
    await loop;
  });
  const applyView = (view: AgentView) => {
    link.view = view;
    rollout.applyView(view);
  };
  const run = async (spanMs: number) => {
    for (let passed = 0; passed < spanMs; passed += 250) {
      if (!link.isDisconnected) link.contact = clock.now();
      await advance(clock, 250, 250);
    }
  };
  const offerSources = (
    version: number,
    addresses: string[],
    mayUseStore = false,
  ) => rollout.setSources({version, addresses, mayUseStore});
  return {rollout, engine, link, orders, applyView, run, offerSources};
}

describe('agent rollout', () => {
  it('stages first and activates when its wave is declared', async () => {
    // Guards against activations outside the waves of a rollout.
    const {engine, orders, applyView, run, offerSources} = startRollout();
    const staging = {phase: 'stage', wave: 0, completed: 1} as const;
    applyView(createView(2, staging));
    offerSources(2, ['peer:1']);
    await run(2_000);
    assert.deepEqual(orders, [
      {type: 'stage', model: 'm', version: 2, source: 'http://peer:1'},
    ]);
    applyView(createView(2));
    await run(1_000);
    assert.equal(engine.status.weightVersion, 2);
  });

  it('retries a failed activation with backoff and reports it', async () => {
    // Guards against giving up a failed activation and against retries without
    // backoff.
    const {rollout, engine, orders, applyView, run, offerSources} =
      startRollout();
    engine.failingActivations = 3;
    applyView(createView(2));
    offerSources(2, [], true);
    await run(500);
    assert.equal(rollout.getFailedVersion(), 2);
    assert.equal(rollout.mayServe(), true);
    await run(10_000);
    const activations = orders.filter(order => order.type === 'activate');
    assert.equal(activations.length, 4);
    assert.equal(engine.status.weightVersion, 2);
    assert.equal(rollout.getFailedVersion(), undefined);
  });

  it('retries a failed activation only after the waves are complete', async () => {
    // Guards against a retry that leaves less than 75% of a pool serving.
    const {engine, orders, applyView, run, offerSources} = startRollout();
    engine.failingActivations = 1;
    applyView(createView(2, {phase: 'stage', wave: 0, completed: 1}));
    offerSources(2, [], true);
    await run(1_000);
    applyView(createView(2, {wave: 0, waves: 1, completed: 1}));
    await run(8_000);
    const countActivations = () =>
      orders.filter(order => order.type === 'activate').length;
    assert.equal(countActivations(), 1);
    applyView(createView(2));
    await run(2_000);
    assert.equal(countActivations(), 2);
    assert.equal(engine.status.weightVersion, 2);
  });

  it('defers activation until the waves are complete if the version was staged too late', async () => {
    // Guards against late activations that overlap with a later wave.
    const {engine, applyView, run, offerSources} = startRollout();
    applyView(createView(2, {wave: 0, waves: 1, completed: 1}));
    offerSources(2, [], true);
    await run(5_000);
    assert.equal(engine.status.weightVersion, 1);
    applyView(createView(2));
    await run(1_000);
    assert.equal(engine.status.weightVersion, 2);
  });

  it('updates an engine that restarted with old weights', async () => {
    // Guards against samples of an old version after an engine restart.
    const {rollout, engine, applyView, run, offerSources} = startRollout();
    applyView(createView(9));
    assert.equal(rollout.mayServe(), false);
    offerSources(9, ['peer:1']);
    await run(1_000);
    assert.equal(rollout.mayServe(), true);
    engine.staged.clear();
    engine.status = {...engine.status, epoch: 'g2', weightVersion: 1};
    assert.equal(rollout.mayServe(), false);
    await run(500);
    assert.equal(rollout.getWantedVersion(), 9);
    offerSources(9, ['peer:2']);
    await run(1_000);
    assert.equal(engine.status.weightVersion, 9);
    assert.equal(rollout.mayServe(), true);
  });

  it('falls back to the store only after a timeout', async () => {
    // Guards against overloading the store when all engines fetch from it.
    const {rollout, orders, applyView, run} = startRollout();
    applyView(createView(2));
    assert.equal(rollout.getWantedVersion(), 2);
    await run(4_000);
    assert.deepEqual(orders, []);
    await run(14_000);
    assert.deepEqual(orders[0], {type: 'stage', model: 'm', version: 2});
  });

  it('waits for an answer from an entry before it resumes after a disconnection', async () => {
    // Guards against a paused agent that activates a version outside its wave.
    const {engine, link, orders, applyView, run, offerSources} = startRollout();
    applyView(createView(2, {phase: 'stage', wave: 0, completed: 1}));
    offerSources(2, ['peer:1']);
    link.isDisconnected = true;
    await run(60_000);
    orders.length = 0;
    applyView(createView(3));
    offerSources(3, ['peer:1']);
    await run(1_000);
    assert.deepEqual(orders, []);
    link.isDisconnected = false;
    await run(1_000);
    assert.equal(engine.status.weightVersion, 3);
  });

  it('ignores views with an older version or wave', async () => {
    // Guards against applying a stale view from an entry that lags behind.
    const {engine, orders, applyView, run, offerSources} = startRollout();
    applyView(createView(5));
    applyView(createView(4));
    offerSources(4, ['peer:1']);
    offerSources(5, ['peer:2']);
    await run(1_000);
    applyView(createView(4));
    await run(1_000);
    assert.equal(engine.status.weightVersion, 5);
    assert.ok(orders.every(action => action.version === 5));
  });
});

describe('weight sources', () => {
  it('limit fetches per address and from the store', () => {
    // Guards against a single staged engine, or the store, serving all fetches.
    const clock = new ManualClock();
    const choice = new WeightSourceSelector(clock);
    const load = {running: 0, limit: 1, waiting: 0, epoch: '', cold: false};
    const holders = Array.from({length: 12}, (_, index) => ({
      instance: createAgentInstance(`u${index}`, `d${index % 2}`),
      load: {...load, version: 1, ...(index === 0 ? {staged: 2} : {})},
      isReachable: true,
    }));
    const chosen = holders
      .slice(1)
      .map(({instance}) => choice.choose(instance, 2, holders));
    const handed = chosen.filter(({addresses}) => addresses.length > 0);
    assert.equal(handed.length, 4);
    assert.ok(chosen.filter(({mayUseStore}) => mayUseStore).length <= 4);
    clock.advance(1_001);
    const again = choice.choose(holders[5].instance, 2, holders);
    assert.deepEqual(again.addresses, ['u0:80']);
  });
});

describe('weight proxy', () => {
  it('requires the path token and limits concurrent fetches', async () => {
    // Guards against unauthorized reads and against an engine that is fully
    // occupied with fetches of its peers.
    const held: http.ServerResponse[] = [];
    const upstream = http.createServer((_request, response) => {
      held.push(response);
    });
    const base = await listen(upstream, {host: '127.0.0.1', port: 0});
    const context = createTestContext(createAgentInstance('u1'));
    const agent = new http.Agent({keepAlive: true});
    const weightProxy = createWeightProxy(
      context,
      new URL(`http://${base}`),
      agent,
    );
    const server = http.createServer((request, response) => {
      assert.ok(weightProxy.matches(request));
      void weightProxy.handle(request, response);
    });
    const address = await listen(server, {host: '127.0.0.1', port: 0});
    closers.push(async () => {
      agent.destroy();
      for (const item of [server, upstream]) {
        item.closeAllConnections();
        await closeServer(item);
      }
    });
    const get = (secret: string, version: number, asked = version) =>
      fetch(
        `${getWeightSourceUrl(secret, address, 'm', version)}/v1/weights/m/${asked}`,
      );
    assert.equal((await get('other', 2)).status, 403);
    assert.equal((await get('cluster', 2, 3)).status, 403);
    const running = Array.from({length: MAX_WEIGHT_FETCHES}, () =>
      get('cluster', 2),
    );
    while (held.length < MAX_WEIGHT_FETCHES) {
      await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal((await get('cluster', 2)).status, 503);
    for (const response of held) response.end('weights');
    for (const answer of await Promise.all(running)) {
      assert.equal(await answer.text(), 'weights');
    }
  });
});
