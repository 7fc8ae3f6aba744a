import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Epoch, Result, RpcClient, RpcMethods} from '@vanillacross/common';
import {
  ManualClock,
  Metrics,
  createLogger,
  fail,
  ok,
} from '@vanillacross/common';
import type {
  AppendOutcome,
  ControlPayload,
  ControlState,
  CrashReport,
  Instance,
  Load,
  LogRecord,
  Order,
  OrderOutcome,
  UsageCell,
} from '@vanillacross/domain';
import {
  applyControlRecords,
  emptyControlState,
  isActivationDue,
} from '@vanillacross/domain';
import type {
  MayWrite,
  OrderedUpstream,
  OrderingPort,
  PlatformFailure,
  UpstreamOrder,
} from '@vanillacross/platform';

import type {Controller, ControllerPorts} from './controller.js';
import {createController} from './controller.js';
import type {LeaseTask} from './leaseTask.js';
import {createLeaseTask} from './leaseTask.js';
import type {OrderSender} from './orderSender.js';
import {createOrderSender} from './orderSender.js';
import type {
  AgentPresence,
  AppendFailure,
  Context,
  ControlFollower,
  Membership,
} from './types.js';

const TAKEOVER_MS = 15_000;
const idleLoad: Load = {
  running: 0,
  limit: 4,
  waiting: 0,
  epoch: '',
  version: 0,
  cold: false,
};

async function flushAsyncWork(): Promise<void> {
  for (let i = 0; i < 5; i++) await new Promise(setImmediate);
}

class FakeLog {
  readonly records: LogRecord[] = [];
  readonly followers: FakeFollower[] = [];
  isDown = false;
  /** Payload types whose next append succeeds but loses its response. */
  readonly lostResponseTypes = new Set<string>();

  append(payload: ControlPayload): string {
    const offset = this.records.length;
    const appendId = `append-${offset}`;
    this.records.push({offset, appendId, payload});
    for (const follower of this.followers) follower.sync();
    return appendId;
  }
}

class FakeFollower implements ControlFollower {
  readonly name = 'control';
  readonly rpcMethods = {};
  isPaused = false;
  private state: ControlState = {...emptyControlState, isComplete: true};
  private readonly listeners = new Set<
    (state: ControlState, previous: ControlState) => void
  >();

  constructor(private readonly log: FakeLog) {
    log.followers.push(this);
    this.sync();
  }

  sync(): void {
    if (this.isPaused || this.log.isDown) return;
    const previous = this.state;
    this.state = applyControlRecords(previous, this.log.records);
    for (const listener of this.listeners) listener(this.state, previous);
  }

  start(): void {}
  async stop(): Promise<void> {}
  getState = () => this.state;
  getLastLogContact = () => null;
  recordHighestOffset(): void {}

  subscribe(listener: (s: ControlState, p: ControlState) => void) {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  async append(
    payload: ControlPayload,
  ): Promise<Result<AppendOutcome, AppendFailure>> {
    if (this.log.isDown) return fail({tag: 'log_unavailable', detail: 'down'});
    const appendId = this.log.append(payload);
    if (this.log.lostResponseTypes.delete(payload.type)) {
      return fail({tag: 'append_unknown', detail: 'lost', appendId});
    }
    return ok(this.state.outcomes.get(appendId) as AppendOutcome);
  }
}

function createInstance(id: string, pool?: string): Instance {
  return {
    id,
    role: pool ? 'agent' : 'entry',
    domain: 'd1',
    address: `${id}-data`,
    peerAddress: id,
    state: 'live',
    ...(pool ? {upstream: {id, pool}} : {}),
  };
}

/** An entry with its own clock, so that its process can be paused. */
class FakeEntry {
  readonly clock = new ManualClock();
  readonly metrics = new Metrics();
  readonly control: FakeFollower;
  readonly context: Context;
  readonly membership: Membership;
  readonly loads = new Map<string, Partial<Load>>();
  readonly leaving = new Set<string>();
  isPaused = false;
  report: (cells: UsageCell[], crashes: CrashReport[]) => void = () => {};

  constructor(id: string, log: FakeLog, peers: string[], agents: Instance[]) {
    this.control = new FakeFollower(log);
    this.context = {
      self: createInstance(id),
      epoch: `epoch-${id}` as Epoch,
      clock: this.clock,
      logger: createLogger(id, 'silent'),
      metrics: this.metrics,
      clusterSecret: 'secret',
    };
    const others = peers
      .filter(peer => peer !== id)
      .map(p => createInstance(p));
    const presences = () =>
      agents.map(instance => ({
        instance,
        epoch: 'e',
        offset: 0,
        lastSeenAt: this.clock.now(),
        polledAt: this.clock.now(),
        isLeaving: this.leaving.has(instance.id),
        load: {...idleLoad, ...this.loads.get(instance.id)},
      })) as unknown as AgentPresence[];
    this.membership = {
      name: 'membership',
      start: () => {},
      stop: async () => {},
      getInstances: () => [this.context.self, ...others],
      getPeers: () => others,
      getPoolMembers: () => presences(),
      getCandidates: () => presences(),
      getAgent: upstream =>
        presences().find(p => p.instance.upstream.id === upstream) ?? null,
      recordLoad: () => {},
      recordFailure: () => {},
      onReport: listener => {
        this.report = listener;
      },
      hasAuthority: () => true,
      rpcMethods: {},
    };
  }

  pause(): void {
    this.isPaused = this.control.isPaused = true;
  }
}

async function advance(entries: FakeEntry[], spanMs: number): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += 250) {
    for (const entry of entries) if (!entry.isPaused) entry.clock.advance(250);
    await flushAsyncWork();
  }
}

/** Suspends a process at one await until `release` is called. */
class PausePoint {
  private open: () => void = () => {};
  isReached = false;
  constructor(private readonly location: string) {}

  async pauseAt(point: string): Promise<void> {
    if (point !== this.location || this.isReached) return;
    this.isReached = true;
    await new Promise<void>(resolve => (this.open = resolve));
  }

  release = () => this.open();
}

/**
 * An ordering interface that records the fencing of orders that take effect.
 */
class FakePlatform {
  readonly effects: number[] = [];
  readonly orders = new Map<string, {status: string}>();
  listed: OrderedUpstream[] = [];
  versions: number[] = [];
  lostResponses = 0;
  dropped = 0;
  private highest = -1;

  constructor(private readonly checksFencing: boolean) {}

  getPort(pausePoint?: PausePoint): OrderingPort {
    return {
      placeOrder: async (order, _timeoutMs, mayWrite) => {
        await pausePoint?.pauseAt('connect');
        const result = this.write(order, mayWrite);
        await pausePoint?.pauseAt('answer');
        return result;
      },
      getOrder: async orderId => {
        await pausePoint?.pauseAt('query');
        const known = this.orders.get(orderId) ?? null;
        await pausePoint?.pauseAt('query answer');
        return ok(known);
      },
      getUpstreams: async () => ok(this.listed),
    };
  }

  private write(
    order: UpstreamOrder,
    mayWrite?: MayWrite,
  ): Result<{status: string}, PlatformFailure> {
    if (mayWrite && !mayWrite()) {
      return fail({tag: 'unavailable', detail: 'no'});
    }
    if (this.dropped-- > 0) return fail({tag: 'unknown', detail: 'dropped'});
    if (this.checksFencing && order.fencing < this.highest) {
      return fail({tag: 'stale_fencing', highest: this.highest});
    }
    this.highest = Math.max(this.highest, order.fencing);
    if (!this.orders.has(order.orderId)) this.effects.push(order.fencing);
    this.orders.set(order.orderId, {status: 'started'});
    if (this.lostResponses-- > 0) return fail({tag: 'unknown', detail: 'lost'});
    return ok({status: 'started'});
  }
}

/** An agent that checks fencing and expiry; it shares the clock of an entry. */
class FakeAgent {
  readonly effects: number[] = [];
  lostResponses = 0;
  private readonly outcomes = new Map<string, OrderOutcome>();
  private highest = -1;

  constructor(private readonly clock: ManualClock) {}

  getClient(pausePoint?: PausePoint): RpcClient {
    return {
      call: async (method, params) => {
        if (method === 'order.prepare') {
          const answer = {
            agentEpoch: 'a',
            monotonicMs: this.clock.now() + 5_000_000,
            highestFencing: this.highest,
            load: idleLoad,
          };
          await pausePoint?.pauseAt('prepared');
          return ok(answer);
        }
        await pausePoint?.pauseAt('write');
        const outcome = this.execute(params as Order);
        if (this.lostResponses-- > 0) {
          return fail({tag: 'unknown', detail: 'lost'});
        }
        await pausePoint?.pauseAt('answer');
        return ok(outcome);
      },
    };
  }

  private execute(order: Order): OrderOutcome {
    const known = this.outcomes.get(order.orderId);
    if (known) return known;
    const highestFencing = this.highest;
    const refuse = (reason: 'stale_fencing' | 'expired'): OrderOutcome => ({
      tag: 'refused',
      reason,
      highestFencing,
    });
    if (order.fencing < this.highest) return refuse('stale_fencing');
    if (this.clock.now() + 5_000_000 >= order.validUntilAgentMs) {
      return refuse('expired');
    }
    this.highest = order.fencing;
    this.effects.push(order.fencing);
    this.outcomes.set(order.orderId, {tag: 'done'});
    return {tag: 'done'};
  }
}

interface EntryPair {
  log: FakeLog;
  entries: FakeEntry[];
  leases: LeaseTask[];
  getHolder(): number;
  createOrders(index: number, client?: RpcClient): OrderSender;
}

const agent = createInstance('u1', 'p') as AgentPresence['instance'];

async function createEntryPair(): Promise<EntryPair> {
  const log = new FakeLog();
  const ids = ['e1', 'e2'];
  const entries = ids.map(id => new FakeEntry(id, log, ids, []));
  const leases = entries.map(entry =>
    createLeaseTask(entry.context, entry.control, entry.membership),
  );
  for (const lease of leases) await lease.start();
  await advance(entries, 1_000);
  return {
    log,
    entries,
    leases,
    getHolder: () => leases.findIndex(lease => lease.getTenure() !== null),
    createOrders: (index, client) =>
      createOrderSender(
        entries[index].context,
        leases[index],
        () => client ?? new FakeAgent(entries[index].clock).getClient(),
      ),
  };
}

/**
 * Sends an order from the holder, pauses the holder at a pause point until the
 * other entry has taken over and sent its order, then resumes it.
 */
async function runWithPausedHolder(
  pausePoint: PausePoint,
  send: (
    pair: EntryPair,
    index: number,
    pausePoint?: PausePoint,
  ) => Promise<unknown>,
): Promise<unknown> {
  const pair = await createEntryPair();
  const old = pair.getHolder();
  const other = 1 - old;
  const {entries} = pair;
  const outcome = send(pair, old, pausePoint);
  await advance(entries, 2_000);
  assert.ok(pausePoint.isReached, 'the order must reach the pause point');
  entries[old].pause();
  await advance(entries, TAKEOVER_MS);
  assert.notEqual(pair.leases[other].getTenure(), null);
  const sent = send(pair, other);
  await advance(entries, 2_000);
  assert.deepEqual(await sent, ok(await getValue(sent)));
  // The paused order resumes before any timer of its process fires.
  pausePoint.release();
  entries[old].clock.advance(TAKEOVER_MS + 2_000);
  await flushAsyncWork();
  entries[old].isPaused = entries[old].control.isPaused = false;
  entries[old].control.sync();
  await advance(entries, 70_000);
  return outcome;
}

async function getValue(sent: Promise<unknown>): Promise<unknown> {
  return ((await sent) as {value: unknown}).value;
}

function assertAscending(effects: number[]): void {
  assert.deepEqual(
    effects,
    [...effects].sort((a, b) => a - b),
    'no order of an old holder takes effect after one of its successor',
  );
  assert.equal(
    new Set(effects).size,
    effects.length,
    'no order takes effect twice',
  );
}

describe('controller lease', () => {
  it('is held by only one of two entries that claim at once', async () => {
    const {leases, log, entries} = await createEntryPair();
    await advance(entries, 30_000);
    assert.equal(leases.filter(lease => lease.getTenure()).length, 1);
    const claims = log.records.filter(
      ({payload}) => (payload as ControlPayload).type === 'claim',
    );
    assert.equal(claims.length, 1);
  });

  it('expires while the log is down, and orders are refused', async () => {
    // A renewal that the log did not confirm must not extend the lease.
    const pair = await createEntryPair();
    const old = pair.getHolder();
    pair.log.isDown = true;
    await advance(pair.entries, 11_000);
    assert.equal(pair.getHolder(), -1);
    const refused = await pair.leases[old].runFenced(1, async () => 1);
    assert.deepEqual(refused, fail({tag: 'not_holder'}));
    pair.log.isDown = false;
    for (const follower of pair.log.followers) follower.sync();
    await advance(pair.entries, TAKEOVER_MS);
    assert.notEqual(pair.getHolder(), -1);
  });

  it('recognizes a claim and a renewal whose responses were lost', async () => {
    // After a lost response, an entry must not wait for its own lease to expire.
    const log = new FakeLog();
    log.lostResponseTypes.add('claim').add('renew');
    const entry = new FakeEntry('e1', log, ['e1'], []);
    entry.control.isPaused = true;
    const {context, control, membership} = entry;
    const lease = createLeaseTask(context, control, membership);
    lease.start();
    await advance([entry], 750);
    assert.equal(lease.getTenure(), null);
    control.isPaused = false;
    control.sync();
    await flushAsyncWork();
    assert.equal(lease.getTenure()?.deadline, 10_000);
    await advance([entry], 750);
    assert.equal(log.lostResponseTypes.size, 0);
    assert.ok((lease.getTenure()?.deadline ?? 0) > 10_500);
  });

  it('is released only after orders in flight have ended', async () => {
    // A successor must not act while an order of the old holder is in flight.
    const pair = await createEntryPair();
    const old = pair.getHolder();
    let end = () => {};
    const blocked = new Promise<void>(resolve => (end = resolve));
    const order = pair.leases[old].runFenced(2_000, () => blocked);
    const stopped = pair.leases[old].stop(new AbortController().signal);
    await advance(pair.entries, 1_000);
    assert.equal(pair.getHolder(), -1);
    end();
    await Promise.all([order, stopped]);
    await advance(pair.entries, 1_000);
    assert.equal(pair.getHolder(), 1 - old);
  });
});

describe('orders of a paused holder', () => {
  const points: Array<[string, Partial<FakePlatform>]> = [
    ['connect', {}],
    ['answer', {}],
    ['answer', {lostResponses: 1}],
    ['query', {dropped: 1}],
    ['query answer', {dropped: 1}],
  ];
  for (const checksFencing of [true, false]) {
    for (const [point, faults] of points) {
      it(`do not interleave with orders of the successor if the holder is paused at ${point} (platform checks fencing numbers: ${checksFencing})`, async () => {
        // The old holder is paused at each await of an order while a successor acts.
        const platform = new FakePlatform(checksFencing);
        Object.assign(platform, faults);
        await runWithPausedHolder(
          new PausePoint(point),
          (pair, index, pausePoint) =>
            pair
              .createOrders(index)
              .sendPlatformOrder(platform.getPort(pausePoint), `s${index}`, {
                pool: 'p',
                action: 'start',
                count: 1,
              }),
        );
        assertAscending(platform.effects);
        assert.ok(platform.effects.length > 0);
      });
    }
  }

  for (const point of ['prepared', 'write', 'answer']) {
    it(`sent to an agent do not interleave with orders of the successor if the holder is paused at ${point}`, async () => {
      const agents: FakeAgent[] = [];
      await runWithPausedHolder(
        new PausePoint(point),
        (pair, index, pausePoint) => {
          agents[0] ??= new FakeAgent(pair.entries[1 - index].clock);
          const client = agents[0].getClient(pausePoint);
          const orders = pair.createOrders(index, client);
          return orders.sendAgentOrder(agent, `s${index}`, {type: 'drain'});
        },
      );
      assertAscending(agents[0].effects);
    });
  }

  it('expire at an agent that has no order of the successor yet', async () => {
    // The agent knows no higher fencing number, so only the expiry helps.
    const pair = await createEntryPair();
    const old = pair.getHolder();
    const pausePoint = new PausePoint('write');
    const fake = new FakeAgent(pair.entries[1 - old].clock);
    const orders = pair.createOrders(old, fake.getClient(pausePoint));
    void orders.sendAgentOrder(agent, 's', {type: 'drain'});
    await flushAsyncWork();
    pair.entries[old].pause();
    await advance(pair.entries, TAKEOVER_MS);
    pausePoint.release();
    await flushAsyncWork();
    assert.deepEqual(fake.effects, []);
  });
});

describe('orders with lost responses', () => {
  it('are queried, and resent with the same id', async () => {
    // A retry under a new id would start upstreams twice.
    const pair = await createEntryPair();
    const platform = new FakePlatform(false);
    Object.assign(platform, {lostResponses: 1, dropped: 1});
    const fake = new FakeAgent(pair.entries[pair.getHolder()].clock);
    fake.lostResponses = 2;
    const orders = pair.createOrders(pair.getHolder(), fake.getClient());
    const content = {pool: 'p', action: 'start', count: 2} as const;
    const sent = Promise.all([
      orders.sendPlatformOrder(platform.getPort(), 's', content),
      orders.sendAgentOrder(agent, 's', {type: 'drain'}),
    ]);
    await advance(pair.entries, 10_000);
    assert.deepEqual(
      (await sent).map(result => result.ok),
      [true, true],
    );
    assert.equal(platform.effects.length, 1);
    assert.equal(fake.effects.length, 1);
  });
});

class FakeReports {
  readonly received: string[] = [];
  lostResponses = 0;
  private readonly known = new Map<number, string>();

  port = {
    report: async (window: number, figures: unknown, sealOffset: number) => {
      const text = JSON.stringify({window, figures, sealOffset});
      this.received.push(text);
      const first = this.known.get(window) ?? text;
      this.known.set(window, first);
      if (this.lostResponses-- > 0) {
        return fail({tag: 'unknown' as const, detail: 'lost'});
      }
      if (first === text) return ok(null);
      return fail({tag: 'rejected' as const, detail: 'other figures'});
    },
  };
}

async function createControllers(
  reports: FakeReports,
  agents: Instance[] = [],
  agentClient?: RpcClient,
) {
  const log = new FakeLog();
  const ids = ['e1', 'e2'];
  const entries = ids.map(id => new FakeEntry(id, log, ids, agents));
  const methods = new Map<string, RpcMethods>();
  const createClient = (address: string): RpcClient => ({
    call: async (name, params) => {
      const index = ids.indexOf(address);
      if (index < 0 && agentClient) {
        return agentClient.call(name, {...(params as object), address}, 0);
      }
      const method = methods.get(address)?.[name];
      if (!method || entries[index].isPaused) {
        return fail({tag: 'unknown', detail: 'no answer'});
      }
      const parsed = method.params.parse(params) as never;
      const answer = await method.perform(parsed);
      return ok(JSON.parse(JSON.stringify(answer)) as unknown);
    },
  });
  const platform = new FakePlatform(false);
  const ports: ControllerPorts = {
    ordering: {d1: platform.getPort()},
    reports: reports.port,
    weights: {
      getVersions: async () =>
        ok(
          platform.versions.map(version => ({
            version,
            bytes: 1,
            publishedAtMs: 0,
          })),
        ),
    },
  };
  const controllers: Controller[] = entries.map((entry, index) => {
    const controller = createController(
      entry.context,
      entry.control,
      entry.membership,
      ports,
      {getUsageCells: () => [], retentionMs: 600_000, createClient},
    );
    methods.set(ids[index], controller.rpcMethods);
    return controller;
  });
  for (const controller of controllers) await controller.start();
  await advance(entries, 1_000);
  const getHolder = () => controllers.findIndex(c => c.getTenure() !== null);
  return {log, entries, controllers, platform, getHolder};
}

function createCell(window: number, requests: number, agentEpoch = 'a') {
  const tokens = {promptTokens: 0, generatedTokens: 0};
  return {
    window,
    entryEpoch: 'x',
    agentEpoch,
    account: 'c',
    requests,
    ...tokens,
  };
}

describe('usage reports', () => {
  it('are resent unchanged until the platform confirms them, even if another entry takes over the lease', async () => {
    // After lost responses, a window must not be reported with other figures.
    const reports = new FakeReports();
    const {log, entries, getHolder} = await createControllers(reports);
    log.append({
      type: 'put',
      key: 'reporting/main',
      baseRevision: 0,
      schemaVersion: 1,
      body: {windowMs: 10_000},
      operator: 'o',
    });
    log.lostResponseTypes.add('seal');
    reports.lostResponses = 3;
    entries[0].report([createCell(0, 5)], []);
    // Agents report the same cells to several entries.
    entries[1].report([createCell(0, 3), createCell(0, 4, 'b')], []);
    entries[0].report([createCell(0, 2, 'b')], []);
    await advance(entries, 28_000);
    const first = reports.received[0];
    assert.match(first, /"window":0,"figures":\{"c":\{"requests":9/);
    // Late cells belong to a later window, whoever holds the lease then.
    const late = [createCell(0, 7), createCell(0, 4, 'b')];
    entries[1 - getHolder()].report(late, []);
    entries[getHolder()].pause();
    await advance(entries, 60_000);
    const texts = new Set(reports.received);
    const windows = [...texts].map(
      text => (JSON.parse(text) as {window: number}).window,
    );
    assert.equal(new Set(windows).size, windows.length);
    assert.ok(reports.received.filter(text => text === first).length > 1);
    const sum = [...texts].reduce((total, text) => {
      const {figures} = JSON.parse(text) as {
        figures: Record<string, {requests: number}>;
      };
      return total + (figures['c']?.requests ?? 0);
    }, 0);
    assert.equal(sum, 11);
    assert.deepEqual(
      entries.map(e =>
        e.metrics.getCount('vc_report_failures', {reason: 'rejected'}),
      ),
      [0, 0],
    );
  });
});

describe('crash reports', () => {
  it('reach the lease holder, which quarantines a request after it has crashed two upstreams', async () => {
    // A request that crashes upstreams must not be retried on one after another.
    const {entries, getHolder} = await createControllers(new FakeReports());
    const other = entries[1 - getHolder()];
    const crash = {epoch: 'e', fingerprints: ['f', 'g']};
    other.report([], [{...crash, upstream: 'u1'}]);
    other.report([], [{...crash, upstream: 'u1'}]);
    await advance(entries, 3_000);
    assert.equal(other.control.getState().quarantine.size, 0);
    other.report([], [{epoch: 'e', fingerprints: ['f'], upstream: 'u2'}]);
    await advance(entries, 3_000);
    const {quarantine} = other.control.getState();
    assert.deepEqual([...quarantine.keys()], ['f']);
  });
});

describe('controller', () => {
  it('orders missing upstreams once and writes all live records to checkpoints', async () => {
    // A lagging list must not cause repeated starts, and no record may be lost.
    const {log, entries, platform} = await createControllers(new FakeReports());
    const put = {type: 'put', baseRevision: 0, schemaVersion: 1} as const;
    const domain = {region: 'r'};
    log.append({...put, key: 'domain/d1', body: domain, operator: 'o'});
    const pool = {kind: 'plain', minUpstreams: 2};
    log.append({...put, key: 'pool/p', body: pool, operator: 'o'});
    await advance(entries, 20_000);
    assert.equal(platform.effects.length, 1);
    await advance(entries, 110_000);
    const last = log.records
      .map(({payload}) => payload as ControlPayload)
      .filter(payload => payload.type === 'checkpoint')
      .at(-1);
    assert.deepEqual(
      last?.entries.map(({key, offset}) => [key, offset]),
      [...entries[0].control.getState().records.values()].map(r => [
        r.key,
        r.offset,
      ]),
    );
    assert.ok(last?.cycleStart !== undefined);
  });
});

describe('controller weight rollout and scale-down', () => {
  /** Simulates the agents in a rollout; returns those that are due to swap. */
  function swapWeights(
    entries: FakeEntry[],
    ids: string[],
    maySwap: (id: string) => boolean,
  ): string[] {
    const rollout = entries[0].control.getState().rollouts.get('m');
    if (!rollout) return [];
    const {version} = rollout;
    const due = ids.filter(
      id =>
        isActivationDue(rollout, id) &&
        entries[0].loads.get(id)?.version !== version,
    );
    for (const id of ids) {
      const isDone = due.includes(id) && maySwap(id);
      const isFailed = due.includes(id) && !isDone;
      for (const {loads} of entries) {
        const load = {...loads.get(id), staged: version};
        if (isDone) load.version = version;
        loads.set(id, {
          ...load,
          failedVersion: isFailed ? version : undefined,
        });
      }
    }
    return due;
  }

  async function startPool(ids: string[], client?: RpcClient) {
    const agents = ids.map(id => createInstance(id, 'p'));
    const reports = new FakeReports();
    const started = await createControllers(reports, agents, client);
    const {platform, log} = started;
    platform.listed = ids.map(id => ({id, pool: 'p', state: 'running'}));
    const put = {type: 'put', baseRevision: 0, schemaVersion: 1} as const;
    const domain = {region: 'r'};
    log.append({...put, key: 'domain/d1', body: domain, operator: 'o'});
    const pool = {kind: 'engine', model: 'm', coldStartMs: 0};
    log.append({...put, key: 'pool/p', body: pool, operator: 'o'});
    return started;
  }

  function getDeclared(log: FakeLog) {
    return log.records
      .map(({payload}) => payload as ControlPayload)
      .flatMap(payload => (payload.type === 'rollout' ? [payload] : []));
  }

  it('completes a rollout despite failures, and stops only drained idle upstreams', async () => {
    // A failed swap must be retried, and no running request may be stopped.
    const ids = ['u1', 'u2', 'u3'];
    const drained: string[] = [];
    const client: RpcClient = {
      call: async (method, params) => {
        const {action, address} = params as Order & {address: string};
        if (method === 'order.prepare') {
          const prepared = {agentEpoch: 'a', monotonicMs: 0, load: idleLoad};
          return ok({...prepared, highestFencing: -1});
        }
        assert.equal(action.type, 'drain');
        drained.push(address);
        for (const entry of entries) entry.leaving.add(address);
        return ok({tag: 'done'});
      },
    };
    const {entries, platform, log} = await startPool(ids, client);
    platform.versions = [7, 6];
    let failures = 20;
    const swapped = new Set<string>();
    for (let round = 0; round < 240; round++) {
      const due = swapWeights(entries, ids, id => {
        if (id === 'u2' && failures-- > 0) return false;
        swapped.add(id);
        return true;
      });
      const swapping = due.filter(id => id !== 'u2');
      assert.ok(
        swapping.length <= 1,
        'a small pool swaps one upstream at a time',
      );
      if (failures === 1) assert.equal(swapped.size, 2, 'others swapped');
      await advance(entries, 250);
    }
    const versions = ids.map(id => entries[0].loads.get(id)?.version);
    assert.deepEqual(versions, [7, 7, 7]);
    assert.ok(getDeclared(log).every(({version}) => version === 7));
    const setRunning = (running: number) => {
      for (const {loads} of entries) {
        for (const id of ids) loads.set(id, {version: 7, running});
      }
    };
    setRunning(1);
    await advance(entries, 130_000);
    assert.ok(drained.length > 0);
    assert.equal(platform.effects.length, 0);
    setRunning(0);
    await advance(entries, 10_000);
    const stopped = [...platform.orders.keys()].join();
    assert.match(stopped, /\.p\.stop\.u\d\.\d/);
  });

  it('continues after the deadline when an agent neither stages nor fails', async () => {
    // A dead or hung engine must not block new weights for the others.
    const ids = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6', 'u7', 'u8'];
    const {entries, platform, log} = await startPool(ids);
    platform.versions = [2];
    for (let round = 0; round < 160; round++) {
      swapWeights(
        entries,
        ids.filter(id => id !== 'u4'),
        () => true,
      );
      await advance(entries, 250);
      if (round === 30) assert.equal(getDeclared(log).length, 1);
    }
    const rollout = entries[0].control.getState().rollouts.get('m');
    assert.equal(rollout?.completed, 2);
  });

  it('continues a rollout under a successor, never with an older version', async () => {
    // Two holders must not declare different versions.
    const ids = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6', 'u7', 'u8'];
    const {entries, platform, log, getHolder} = await startPool(ids);
    platform.versions = [5];
    const run = async (rounds: number, live: FakeEntry[]) => {
      for (let round = 0; round < rounds; round++) {
        swapWeights(live, ids, () => true);
        await advance(entries, 250);
      }
    };
    for (let round = 0; round < 100; round++) {
      const last = getDeclared(log).at(-1);
      if (last?.phase === 'activate') break;
      await run(1, entries);
    }
    const holder = entries[getHolder()];
    holder.pause();
    platform.versions = [4];
    const others = entries.filter(entry => entry !== holder);
    await run(200, others);
    const declared = getDeclared(log);
    const fencings = [...new Set(declared.map(({fencing}) => fencing))];
    assert.equal(fencings.length, 2);
    assert.ok(declared.every(({version}) => version === 5));
    const rollout = others[0].control.getState().rollouts.get('m');
    assert.equal(rollout?.completed, 5);
    assert.equal(rollout.steps.length, declared.length);
  });
});
