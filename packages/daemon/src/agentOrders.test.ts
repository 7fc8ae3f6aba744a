import assert from 'node:assert/strict';
import * as http from 'node:http';
import type {ServerResponse} from 'node:http';
import {afterEach, describe, it} from 'node:test';

import type {Epoch} from '@vanillacross/common';
import {
  ManualClock,
  Metrics,
  closeServer,
  createLogger,
  listen,
} from '@vanillacross/common';
import type {Order, OrderAction, Pool} from '@vanillacross/domain';
import {LEASE_MARGIN_MS, LEASE_MS, poolSchema} from '@vanillacross/domain';

import {LocalUpstream} from './localUpstream.js';
import {DEFAULT_AGENT_LIMITS} from './agentLimits.js';
import {AgentOrders} from './agentOrders.js';
import {HealthChecker} from './healthChecker.js';

const READY_MS = LEASE_MS + LEASE_MARGIN_MS;

const closers: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

/** Engine that answers each order with the next queued reply. */
class Engine {
  version = 1;
  received: Array<Record<string, unknown>> = [];
  replies: Array<(response: ServerResponse, apply: () => void) => void> = [];

  async start(): Promise<string> {
    const server = http.createServer((request, response) => {
      let body = '';
      request.on('data', chunk => (body += chunk));
      request.on('end', () => this.respond(request.url ?? '', body, response));
    });
    const address = await listen(server, {host: '127.0.0.1', port: 0});
    closers.push(() => {
      server.closeAllConnections();
      return closeServer(server);
    });
    return `http://${address}`;
  }

  private respond(path: string, body: string, response: ServerResponse) {
    if (path === '/v1/engine/status') {
      const weightVersion = this.version;
      const status = {epoch: 'g1', state: 'warm', weightVersion, model: 'm'};
      response.end(JSON.stringify(status));
      return;
    }
    const order = JSON.parse(body) as Record<string, unknown>;
    this.received.push(order);
    const apply = () => {
      this.version = Number(order.version);
    };
    const reply = this.replies.shift();
    if (reply) return reply(response, apply);
    apply();
    response.end('{"status":"done"}');
  }
}

async function startOrders(
  kind: 'engine' | 'plain' = 'engine',
  passedMs = READY_MS,
) {
  const engine = new Engine();
  const url = await engine.start();
  const clock = new ManualClock();
  const metrics = new Metrics();
  const pool: Pool = poolSchema.parse({kind});
  const localUpstream = new LocalUpstream(clock, metrics, () => pool);
  const healthChecker = new HealthChecker({
    upstream: 'u1',
    url,
    clock,
    intervalMs: 1_000,
    timeoutMs: 10_000,
    getKind: () => kind,
    onCheckStart: () => {},
    onStatus: status =>
      localUpstream.applyStatus(status, localUpstream.getActivationSequence()),
    onCrash: () => {},
  });
  const controlState = {fencing: 7 as number | null, isDrained: false};
  const orders = new AgentOrders({
    context: {
      self: {
        id: 'a1',
        role: 'agent',
        domain: 'd1',
        address: '127.0.0.1:1',
        peerAddress: '127.0.0.1:1',
        state: 'live',
      },
      epoch: 'agent-epoch' as Epoch,
      clock,
      logger: createLogger('test', 'silent'),
      metrics,
      clusterSecret: '',
    },
    url,
    limits: DEFAULT_AGENT_LIMITS,
    localUpstream,
    healthChecker,
    getPool: () => pool,
    getHighestFencing: () => controlState.fencing,
    onDrain: () => (controlState.isDrained = true),
  });
  clock.advance(passedMs);
  await healthChecker.check();
  let written = 0;
  const write = (action: OrderAction, changed: Partial<Order> = {}): Order => {
    const {agentEpoch, monotonicMs, highestFencing} = orders.prepare();
    return {
      orderId: `o${++written}`,
      fencing: highestFencing,
      agentEpoch,
      validUntilAgentMs: monotonicMs + 5_000,
      action,
      ...changed,
    };
  };
  return {engine, localUpstream, orders, clock, controlState, write};
}

function activate(version: number): OrderAction {
  return {type: 'activate', model: 'm', version};
}

describe('agent orders', () => {
  it('sends an order to the engine once', async () => {
    // Guards against a repeated order that undoes a newer one.
    const {engine, localUpstream, orders, write} = await startOrders();
    const order = write(activate(2));
    const both = [orders.execute(order), orders.execute(order)];
    assert.deepEqual(await Promise.all(both), [{tag: 'done'}, {tag: 'done'}]);
    assert.deepEqual(await orders.execute(order), {tag: 'done'});
    assert.deepEqual(engine.received, [
      {orderId: 'o1', fencing: 7, action: 'activate', model: 'm', version: 2},
    ]);
    assert.equal(localUpstream.getLoad().version, 2);
  });

  it('reads the status before it resends an order', async () => {
    // Guards against a swap that runs twice, or is reported as failed, because
    // the engine's response was lost.
    const {engine, localUpstream, orders, write} = await startOrders();
    engine.replies.push((response, apply) => {
      apply();
      response.destroy();
    });
    assert.deepEqual(await orders.execute(write(activate(2))), {tag: 'done'});
    assert.equal(engine.received.length, 1);
    engine.replies.push(response => response.destroy());
    assert.deepEqual(await orders.execute(write(activate(3))), {tag: 'done'});
    assert.deepEqual(
      engine.received.map(order => order.orderId),
      ['o1', 'o2', 'o2'],
    );
    assert.equal(localUpstream.getLoad().version, 3);
  });

  it('does not resend an order that has expired', async () => {
    // Guards against sending an order of a controller that has lost its lease.
    const {engine, localUpstream, orders, clock, write} = await startOrders();
    engine.replies.push(response => {
      clock.advance(6_000);
      response.destroy();
    });
    const outcome = await orders.execute(write(activate(2)));
    assert.equal(outcome.tag, 'failed');
    assert.equal(engine.received.length, 1);
    assert.equal(localUpstream.getLoad().version, 1);
  });

  it('keeps the live version when the engine fails or rejects an order', async () => {
    // Guards against labelling tokens with a version that never went live.
    const {engine, localUpstream, orders, write} = await startOrders();
    engine.replies.push(response => {
      response.statusCode = 500;
      response.end('{}');
    });
    const failed = await orders.execute(write(activate(2)));
    assert.equal(failed.tag, 'failed');
    engine.replies.push(response => {
      response.statusCode = 409;
      response.end('{"highest":12}');
    });
    assert.deepEqual(await orders.execute(write(activate(2))), {
      tag: 'refused',
      reason: 'stale_fencing',
      highestFencing: 12,
    });
    assert.equal(localUpstream.getLoad().version, 1);
  });

  it('refuses a queued order after a newer one was accepted', async () => {
    // Guards against running an older order after a newer one, when orders of
    // two controllers are queued at the agent at the same time.
    const {engine, orders, write} = await startOrders();
    const release: Array<() => void> = [];
    engine.replies.push((response, apply) => {
      release.push(() => {
        apply();
        response.end('{}');
      });
    });
    const running = orders.execute(write(activate(2)));
    const waiting = orders.execute(write(activate(3)));
    const newest = orders.execute(write(activate(4), {fencing: 9}));
    while (release.length === 0) await new Promise(setImmediate);
    release[0]();
    assert.equal((await running).tag, 'done');
    assert.equal((await waiting).tag, 'refused');
    assert.equal((await newest).tag, 'done');
    assert.equal(engine.version, 4);
  });

  it('executes a declared step during the startup delay', async () => {
    // Guards against a restarted agent that serves old weights for the 12 s of
    // the startup delay, and against rollout steps with a fencing number that
    // the engine rejects.
    const {engine, orders, controlState} = await startOrders('engine', 0);
    const stage = {type: 'activate' as const, model: 'm', version: 2};
    controlState.fencing = null;
    const early = await orders.executeDeclared('r1', stage);
    assert.deepEqual([early.tag, engine.received.length], ['refused', 0]);
    controlState.fencing = 9;
    const outcome = await orders.executeDeclared('r2', stage);
    assert.equal(outcome.tag, 'done');
    assert.equal(engine.received[0].fencing, 9);
  });

  it('reports a failed swap in a 200 response as failed', async () => {
    // Guards against reporting a version as live after a failed swap.
    const {engine, localUpstream, orders, write} = await startOrders();
    engine.replies.push(response => {
      response.end('{"status":"failed","detail":"no memory"}');
    });
    const outcome = await orders.execute(write(activate(2)));
    assert.deepEqual(outcome, {tag: 'failed', detail: 'no memory'});
    assert.equal(localUpstream.getLoad().version, 1);
  });

  it('drains any upstream but sends no order to a plain service', async () => {
    // Guards against sending engine orders to a plain service.
    const {engine, orders, controlState, write} = await startOrders('plain');
    const drained = await orders.execute(write({type: 'drain'}));
    assert.deepEqual(drained, {tag: 'done'});
    assert.equal(controlState.isDrained, true);
    const outcome = await orders.execute(write(activate(2)));
    assert.equal(outcome.tag, 'failed');
    assert.deepEqual(engine.received, []);
  });
});
