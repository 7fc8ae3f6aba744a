// A small deployment: store, services, the operator's records and machines.
import {performance} from 'node:perf_hooks';
import {Buffer} from 'node:buffer';
import {startCloud, startReplica} from './replica-3.mjs';
import {startProxy} from './proxy-3.mjs';
import {startStore} from './store-3.mjs';
import {Machine, call, createId, sleep} from './node-3.mjs';

export const HOST = 'desk.example';
export const MODEL = 'coach';
export const KEYS = {desk: 'key-of-desk', pumps: 'key-of-pumps', gate: 'key-g'};

const baseRoute = {host: HOST, timeout_ms: 10_000, max_attempts: 3};

/** Returns a valid configuration; `overrides` replaces top-level fields. */
export function createConfiguration(version, overrides = {}) {
  return {
    version,
    routes: [
      {
        ...baseRoute,
        name: 'lookup',
        path_prefix: '/lookup/',
        kind: 'idempotent',
        timeout_ms: 800,
        target_latency_ms: 150,
        priority: 2,
        service: 'jobboard',
      },
      {
        ...baseRoute,
        name: 'check',
        path_prefix: '/check/',
        kind: 'idempotent',
        timeout_ms: 1_500,
        target_latency_ms: 150,
        max_attempts: 4,
        priority: 2,
        service: 'jobboard',
        public: true,
      },
      {
        ...baseRoute,
        name: 'coach-step',
        path_prefix: '/coach/',
        kind: 'rollout',
        target_latency_ms: 400,
        run_deadline_ms: 7_500,
        retention_s: 40,
        priority: 1,
        service: 'coach',
      },
    ],
    services: [
      {name: 'jobboard', health_path: '/healthz', max_conns: 100, cold_s: 0},
      {name: 'spare', health_path: '/healthz', max_conns: 100, cold_s: 0},
      {
        name: 'coach',
        health_path: '/healthz',
        max_conns: 140,
        cold_s: 3,
        cold_per_s: 16,
        engine: {models: [{name: MODEL}], kv_capacity: 61_731},
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 2_097_152,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: Object.entries(KEYS).map(([name, key]) => ({
      name,
      api_keys: [key],
    })),
    ...overrides,
  };
}

/** Starts the stand-ins of the platform; machines are added by `addMachine`. */
export async function startPlatform(onClose, options = {}) {
  const {retentionS = 300, bounds} = options;
  const store = await startStore({retentionS});
  const cloud = await startCloud();
  onClose(() => store.close());
  onClose(() => cloud.close());
  const platform = {
    store,
    cloud,
    configure: configuration => store.put('keyed.op', 'config', configuration),
    addReplica: async options => {
      const replica = await startReplica(options);
      store.put('keyed.servers', replica.id, replica.getEntry());
      onClose(() => replica.close());
      return replica;
    },
    /** Starts a machine that reaches the store through a proxy of its own. */
    addMachine: async name => {
      const proxy = await startProxy(store.address);
      onClose(() => proxy.close());
      const machine = new Machine({
        name,
        store: proxy.address,
        cloud: cloud.address,
        retentionS,
        bounds,
      });
      onClose(() => machine.close());
      machine.proxy = proxy;
      await machine.start();
      return machine;
    },
  };
  return platform;
}

/** Lists three replicas of the plain service and six engines. */
export async function addServices(platform, options = {}) {
  const {events = 12, paceMs = 30, workMs = 30} = options;
  const {onRun, onPlainRun, plainReplicas = 3} = options;
  for (let index = 1; index <= plainReplicas; index++) {
    const id = `job-${index}`;
    const rest = {workMs, onRun: onPlainRun};
    await platform.addReplica({id, service: 'jobboard', ...rest});
  }
  for (let index = 1; index <= 6; index++) {
    const id = `coach-${index}`;
    const rest = {model: MODEL, events, paceMs, onRun};
    await platform.addReplica({id, service: 'coach', ...rest});
  }
}

export function lookup(machine, {key = KEYS.desk, ...options} = {}) {
  const id = options.id ?? createId();
  return call({
    address: machine.address,
    path: options.path ?? `/lookup/${id}`,
    headers: {
      Host: HOST,
      Authorization: `Token ${key}`,
      'Request-Id': id,
      'Request-Deadline': '800',
    },
    body: options.body ?? 'seat',
    timeoutMs: 1_500,
  });
}

/** Returns the items of a batch job. */
export function createItems(count, groupSize = 4) {
  return Array.from({length: count}, (_, index) => {
    const id = createId('i');
    return {
      instance_id: id,
      path: `/coach/${id}`,
      headers: {
        Model: MODEL,
        'Token-Count': '271,400',
        'Prompt-Prefix': `a1:255,${index.toString(16)}:16`,
      },
      body: Buffer.from(`prompt of ${id}`).toString('base64'),
      tokens: 671,
      group: `g${Math.floor(index / groupSize)}`,
      scorer: {
        instance_id: createId('s'),
        host: HOST,
        path: `/check/${id}`,
        body: Buffer.from('score').toString('base64'),
      },
    };
  });
}

function jobCall(machine, method, path, {key = KEYS.desk, ...rest} = {}) {
  return call({
    address: machine.address,
    method,
    path,
    ...rest,
    headers: {
      Host: HOST,
      Authorization: `Token ${key}`,
      ...rest.headers,
    },
  });
}

export function submitJob(machine, id, items, options = {}) {
  const body = {
    step: options.step ?? 0,
    model: MODEL,
    min_version: options.minVersion ?? 1,
    target_count: options.targetCount ?? 1,
    items,
  };
  return jobCall(machine, 'POST', `/coach/${id}`, {
    ...options,
    headers: {'Request-Id': id, 'Content-Type': 'application/json'},
    body: JSON.stringify(body),
  });
}

export function readJob(machine, id, after, options = {}) {
  return jobCall(machine, 'GET', `/vanillacross/lots/${id}?after=${after}`, {
    ...options,
    headers: {'Wait-Ms': String(options.waitMs ?? 0)},
  });
}

export function readItem(machine, id, item, options = {}) {
  const path = `/vanillacross/items/${id}?instance_id=${item}`;
  return jobCall(machine, 'GET', path, options);
}

export function endJob(machine, id, options = {}) {
  return jobCall(machine, 'DELETE', `/vanillacross/lots/${id}`, options);
}

/** Reads a batch job until all its items are listed or the time is up. */
export async function readWholeJob(machine, id, total, options = {}) {
  const results = [];
  const deadline = performance.now() + (options.limitMs ?? 12_000);
  while (results.length < total && performance.now() < deadline) {
    const answer = await readJob(machine, id, results.length, {
      ...options,
      waitMs: 1_000,
    });
    if (answer.status === 200) results.push(...JSON.parse(answer.text).results);
    else await sleep(500);
  }
  return results;
}
