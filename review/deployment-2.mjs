// Starts the project's program as separate processes, with the run line of the
// deploy file, beside stand-ins on loopback addresses.

import {spawn} from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';

import {listen, send, splitAddress} from './http-2.mjs';

export const HOST = 'ficu95.example';
export const MODEL = 'daka510000';
const REPOSITORY = fileURLToPath(new URL('../', import.meta.url));
const START_TIMEOUT_MS = 20_000;
const RESTART_DELAY_MS = 300;

/** Returns the words of the run line of the deploy file. */
function getRunLine() {
  const text = fs.readFileSync(
    path.join(REPOSITORY, 'deploy/system.toml'),
    'utf8',
  );
  const [, line] = /^run = "(.*)"$/m.exec(text);
  return line.split(' ');
}

async function getFreePort(host) {
  const server = net.createServer();
  const address = await listen(server, host);
  await new Promise(resolve => server.close(resolve));
  return splitAddress(address).port;
}

/** A loopback address of its own, as the port of metrics is the same for all. */
function createHost() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

/** The settings of DEPLOY.md with the figures of a small deployment. */
function getSettings(node, {storeAddress, cloudAddress, isFirst, platform}) {
  return `node_name = "${node.name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "${node.host}"
zone = "zone-a"
region = "region-a"
internal_ports = [7780, 7795]
seeds = []
bootstrap = ${isFirst}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "${node.address}"
ready = "${node.readyAddress}"
[limits]
cpu_share = 0.675
cores = 2
memory_mb = 360
max_fds = 8200
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
config_ms = 2000
revoke_ms = 5000
lease_ms = 3000
thaw_ms = 300
report_window_s = 5
usage_late_s = 10
cold_overage = 1.5
cold_slack = 5
cancel_ms = 3000
settle_ms = 1000
status_s = 120
[platform]
address = "${storeAddress}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = ${platform.parts}
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = ${platform.recordBytes}
call_bytes = ${platform.callBytes}
retention_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = "${cloudAddress}"
`;
}

export const PLATFORM = {parts: 12, recordBytes: 262_144, callBytes: 2_097_152};

/** A configuration with one route of each kind that the sites have. */
export function getConfiguration(version, {tenants, overrides = {}}) {
  const base = {host: HOST, priority: 2, public: false};
  return {
    version,
    routes: [
      {
        ...base,
        name: 'lookup',
        path_prefix: '/lookup/',
        kind: 'idempotent',
        timeout_ms: 800,
        target_latency_ms: 186,
        service: 'plain',
        max_attempts: 2,
      },
      {
        ...base,
        name: 'score',
        path_prefix: '/score/',
        kind: 'idempotent',
        timeout_ms: 1_500,
        target_latency_ms: 193,
        service: 'plain',
        max_attempts: 4,
        public: true,
      },
      {
        ...base,
        name: 'steps',
        path_prefix: '/steps/',
        kind: 'rollout',
        timeout_ms: 10_000,
        target_latency_ms: 400,
        run_deadline_ms: 7_500,
        retention_s: 40,
        service: 'engines',
        max_attempts: 3,
      },
    ],
    services: [
      {name: 'plain', health_path: '/healthz', max_conns: 100, cold_s: 0},
      {
        name: 'engines',
        health_path: '/healthz',
        max_conns: 140,
        cold_s: 0,
        cold_per_s: 0,
        engine: {slots: 8, kv_capacity: 61_731, models: [{name: MODEL}]},
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 33_554_432,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants,
    ...overrides,
  };
}

/**
 * Starts node processes. A process that ends by itself or is killed is started
 * again after a short delay, as the platform does.
 */
export class Nodes {
  nodes = [];
  folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  isClosed = false;

  constructor({store, record, platform = PLATFORM, logsDir = null}) {
    this.store = store;
    this.record = record;
    this.platform = platform;
    this.logsDir = logsDir;
  }

  async add(name, {storeAddress = this.store.address, isFirst = true} = {}) {
    const host = createHost();
    const node = {
      name,
      host,
      address: `${host}:${await getFreePort(host)}`,
      readyAddress: `${host}:${await getFreePort(host)}`,
      exits: [],
      child: null,
      storeAddress,
    };
    this.nodes.push(node);
    this.start(node, isFirst);
    return node;
  }

  start(node, isFirst) {
    const settings = path.join(this.folder, `${node.name}.toml`);
    const text = getSettings(node, {
      storeAddress: node.storeAddress,
      cloudAddress: this.store.address,
      isFirst,
      platform: this.platform,
    });
    fs.writeFileSync(settings, text);
    const [, ...words] = getRunLine();
    const child = spawn(process.execPath, words, {
      cwd: REPOSITORY,
      env: {PATH: process.env.PATH, VANILLACROSS_SETTINGS: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    node.startedAt = performance.now();
    if (this.logsDir) {
      const log = fs.createWriteStream(
        path.join(this.logsDir, `${node.name}.log`),
        {flags: 'a'},
      );
      child.stdout.pipe(log);
    } else {
      child.stdout.resume();
    }
    child.stderr.on('data', chunk => {
      const line = /^.*FATAL ERROR.*$/m.exec(String(chunk));
      if (line) node.fatalError = line[0];
    });
    child.on('exit', (code, signal) => {
      node.exits.push({at: performance.now(), code, signal});
      this.record('process ended', {node: node.name, code, signal});
      if (this.isClosed || node.isRemoved) return;
      setTimeout(() => {
        if (!this.isClosed && !node.isRemoved) this.start(node, false);
      }, RESTART_DELAY_MS);
    });
  }

  /** Resident memory, MB. */
  getMemoryMb(node) {
    try {
      const status = fs.readFileSync(`/proc/${node.child.pid}/status`, 'utf8');
      return Math.round(Number(/^VmRSS:\s+(\d+)/m.exec(status)[1]) / 1_024);
    } catch {
      return 0;
    }
  }

  async isReady(node) {
    const path = '/vanillacross/ready';
    const answer = await send(node.readyAddress, {
      method: 'GET',
      path,
      timeoutMs: 1_000,
    });
    return answer.status === 200;
  }

  /** Resolves when all nodes are ready; false at the timeout. */
  async whenReady() {
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < deadline) {
      const states = await Promise.all(this.nodes.map(n => this.isReady(n)));
      if (states.every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  }

  /** Ends all processes that were started. */
  async close() {
    this.isClosed = true;
    await Promise.all(
      this.nodes.map(({child}) => {
        if (child.exitCode !== null || child.signalCode !== null) return null;
        const ended = new Promise(resolve => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        return ended;
      }),
    );
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Writes the record of a script, with the time since its start. */
export function createRecord(file) {
  const startedAt = performance.now();
  const stream = fs.createWriteStream(file);
  const record = (event, fields = {}) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    stream.write(`${seconds} ${event} ${JSON.stringify(fields)}\n`);
  };
  record.close = () => new Promise(resolve => stream.end(resolve));
  return record;
}

/**
 * Runs a script: exit status 1 if the rule was broken, 0 if it held and 2 if the
 * case could not run.
 *
 * @param run Gets the record; returns whether the rule held, or null.
 */
export async function runScript(file, run) {
  const record = createRecord(file);
  const timer = setTimeout(() => {
    record('the script took too long');
    process.exit(2);
  }, 118_000);
  let status = 2;
  try {
    const hasHeld = await run(record);
    if (hasHeld !== null) status = hasHeld ? 0 : 1;
  } catch (error) {
    record('the case could not run', {error: String(error.stack)});
  }
  clearTimeout(timer);
  record('result', {status});
  await record.close();
  process.exit(status);
}

/** A client of one tenant: submits, reads and ends batch jobs. */
export class Trainer {
  constructor(tenant, key) {
    this.tenant = tenant;
    this.key = key;
  }

  call(node, {method, path, headers = {}, body, timeoutMs}) {
    return send(node.address, {
      method,
      path,
      headers: {Host: HOST, Authorization: `Token ${this.key}`, ...headers},
      body,
      timeoutMs,
    });
  }

  /** Returns the body of a batch job whose items are all alike. */
  createJob(id, {items, itemBytes = 600, groups = 1, minVersion = 1}) {
    const body = 'A'.repeat(Math.ceil(itemBytes / 3) * 4);
    return JSON.stringify({
      step: 0,
      model: MODEL,
      min_version: minVersion,
      target_count: groups,
      items: Array.from({length: items}, (_, index) => ({
        instance_id: `${id}-${index}`,
        path: `/steps/${index}`,
        headers: {Model: MODEL, 'Token-Count': '270,100'},
        body,
        tokens: 370,
        group: `${id}-g${index % groups}`,
        scorer: {
          instance_id: `${id}-${index}-s`,
          host: HOST,
          path: `/score/${index}`,
          body: 'AAAA',
        },
      })),
    });
  }

  submit(node, id, body, timeoutMs = 12_000) {
    return this.call(node, {
      method: 'POST',
      path: '/steps/job',
      headers: {'Request-Id': id, 'content-type': 'application/json'},
      body,
      timeoutMs,
    });
  }

  async read(node, id, after, waitMs = 1_000) {
    const answer = await this.call(node, {
      method: 'GET',
      path: `/vanillacross/lots/${id}?after=${after}`,
      headers: waitMs > 0 ? {'Wait-Ms': String(waitMs)} : {},
      timeoutMs: waitMs + 1_500,
    });
    if (answer.status !== 200) return {status: answer.status};
    return {status: 200, ...JSON.parse(answer.body.toString('utf8'))};
  }

  end(node, id) {
    return this.call(node, {
      method: 'DELETE',
      path: `/vanillacross/lots/${id}`,
      timeoutMs: 5_000,
    });
  }
}
