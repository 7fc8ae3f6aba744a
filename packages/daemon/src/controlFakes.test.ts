import type {RpcMethods} from '@vanillacross/common';
import {
  ManualClock,
  Metrics,
  toBranded,
  createLogger,
  fail,
  ok,
} from '@vanillacross/common';
import type {
  AgentInstance,
  ControlPayload,
  Instance,
} from '@vanillacross/domain';
import type {
  InstanceChanges,
  InstanceListPort,
  LogPort,
  StreamRecord,
} from '@vanillacross/platform';

import type {CallPeer} from './peerCalls.js';
import type {Context} from './types.js';

/** In-memory log with long polls, retention and outages. */
export class FakeLog implements LogPort {
  records: StreamRecord[] = [];
  earliest = 0;
  isDown = false;
  /** How many of the next appends take effect but lose their response. */
  lostResponses = 0;
  appends = 0;
  reads = 0;
  private readonly waiters = new Set<() => void>();

  wake(): void {
    for (const waiter of this.waiters) waiter();
  }

  /** Adds a record as if another process had appended it. */
  addRecord(payload: ControlPayload, appendId?: string): number {
    const offset = this.records.length;
    const id = appendId ?? `other-${offset}`;
    this.records.push({offset, appendId: id, payload});
    this.wake();
    return offset;
  }

  append: LogPort['append'] = async (_stream, records) => {
    this.appends += 1;
    if (this.isDown) return fail({tag: 'unavailable', detail: 'down'});
    const offsets = records.map(record =>
      this.addRecord(record.payload as ControlPayload, record.appendId),
    );
    if (this.lostResponses-- > 0) return fail({tag: 'unknown', detail: 'lost'});
    return ok(offsets);
  };

  read: LogPort['read'] = async (_stream, from, waitMs, signal) => {
    this.reads += 1;
    const next = this.records.length;
    if (waitMs > 0 && !this.isDown && from >= next && from >= this.earliest) {
      await new Promise<void>(resolve => {
        const done = () => {
          this.waiters.delete(done);
          resolve();
        };
        this.waiters.add(done);
        signal?.addEventListener('abort', done);
      });
    }
    if (this.isDown) return fail({tag: 'unavailable', detail: 'down'});
    const range = {earliest: this.earliest, next: this.records.length};
    if (from < this.earliest) return fail({tag: 'gap', ...range});
    return ok({records: this.records.slice(from), ...range});
  };
}

/** In-memory instance list. */
export class FakeInstanceList implements InstanceListPort {
  private changes: InstanceChanges[] = [];
  isDown = false;

  set(instances: Instance[], removed: string[] = []): void {
    const version = this.changes.length + 1;
    this.changes.push({version, full: false, instances, removed});
  }

  /** Discards all versions, like a restarted list service. */
  restart(instances: Instance[]): void {
    this.changes = [];
    this.set(instances);
  }

  getChanges: InstanceListPort['getChanges'] = async since => {
    if (this.isDown) return fail({tag: 'unavailable', detail: 'down'});
    const newChanges = this.changes.slice(since);
    return ok({
      version: this.changes.length,
      full: since === 0,
      instances: newChanges.flatMap(change => change.instances),
      removed: newChanges.flatMap(change => change.removed),
    });
  };
}

/** Calls RPC methods in memory; unknown addresses refuse the connection. */
export class FakeNetwork {
  readonly methods = new Map<string, RpcMethods>();
  /** Addresses that refuse connections. */
  readonly unreachable = new Set<string>();
  readonly calls: string[] = [];

  callPeer: CallPeer = async (address, method, params, _timeoutMs, signal) => {
    this.calls.push(`${method} ${address}`);
    const found = this.methods.get(address)?.[method];
    if (!found || this.unreachable.has(address)) {
      return fail({tag: 'refused', detail: 'refused'});
    }
    const copy = JSON.parse(JSON.stringify(params)) as unknown;
    const parsed = found.params.parse(copy);
    const aborted = new Promise<null>(resolve =>
      signal?.addEventListener('abort', () => resolve(null)),
    );
    const performed = Promise.resolve(found.perform(parsed));
    const response: unknown = await Promise.race([performed, aborted]);
    if (response === null) return fail({tag: 'unknown', detail: 'aborted'});
    return ok(JSON.parse(JSON.stringify(response)) as unknown);
  };
}

export function createEntryInstance(id: string, domain = 'd0'): Instance {
  return {
    id,
    role: 'entry',
    domain,
    address: `${id}:80`,
    peerAddress: `${id}:90`,
    state: 'live',
  };
}

export function createAgentInstance(
  upstream: string,
  domain = 'd0',
  pool = 'p',
): AgentInstance {
  return {
    id: `agent-${upstream}`,
    role: 'agent',
    domain,
    address: `${upstream}:80`,
    peerAddress: `${upstream}:90`,
    state: 'live',
    upstream: {id: upstream, pool},
  };
}

export function createTestContext(
  self: Instance,
  clock = new ManualClock(),
): Context & {clock: ManualClock} {
  return {
    self,
    epoch: toBranded(`epoch of ${self.id}`),
    clock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
    clusterSecret: 'cluster',
  };
}

/** Runs all asynchronous work that does not wait for the clock. */
export async function flushAsyncWork(): Promise<void> {
  for (let i = 0; i < 20; i++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** Advances the clock in steps and flushes asynchronous work after each. */
export async function advance(
  clock: ManualClock,
  spanMs: number,
  stepMs = 100,
): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += stepMs) {
    clock.advance(stepMs);
    await flushAsyncWork();
  }
}

/** Advances the clock until a promise is settled. */
export async function runUntilSettled<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
): Promise<Value> {
  let isSettled = false;
  const done = () => (isSettled = true);
  void promise.then(done, done);
  for (let i = 0; i < 400; i++) {
    await flushAsyncWork();
    if (isSettled) break;
    clock.advance(100);
  }
  return promise;
}

/** A put of an account, the smallest record kind. */
export function createPutRecord(id: string, baseRevision: number, weight = 1) {
  return {
    type: 'put' as const,
    key: `account/${id}`,
    baseRevision,
    schemaVersion: 1,
    body: {weight},
    operator: 'other',
  };
}
