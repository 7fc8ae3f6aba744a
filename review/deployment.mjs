// A small deployment for the scripts of this review: the project's node
// program as separate processes, and stand-ins of the platform, on loopback
// addresses and the real clock.

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {createMetadataStore} from '../packages/standins/dist/index.js';

const ROOT = path.resolve(fileURLToPath(import.meta.url), '../..');
export const HOST = 'desk.example';
export const KEY = 'key-of-desk';
export const MODEL = 'prices';
export const READY_PATH = '/vanillacross/ready';
/** Bounds of the site file of the cases. */
export const BOUNDS = {
  contact_ms: 3_000,
  ack_ms: 4_000,
  drain_ms: 2_000,
  grace_s: 8,
  config_ms: 2_000,
  revoke_ms: 5_000,
  lease_ms: 3_000,
  report_window_s: 5,
  usage_late_s: 10,
  cold_overage: 1.5,
  cold_slack: 5,
  settle_ms: 1_000,
  status_s: 120,
};

/** Delay after which the platform starts a process again, ms. */
const RESTART_DELAY_MS = 1_000;

/** Time after which a script gives up, ms. */
const MAX_PLAY_MS = 115_000;

/** Whether the disruption of the case is played; TROUBLE=0 leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run to the record of a case. */
export function createRecord(caseUrl) {
  const file = path.join(path.dirname(fileURLToPath(caseUrl)), 'record.txt');
  fs.writeFileSync(file, '');
  const startedAt = performance.now();
  return text => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    fs.appendFileSync(file, `${seconds.padStart(8)} s  ${text}\n`);
  };
}

/** Returns the command by which the deploy file starts the role. */
function getRunCommand() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

async function getFreePort(host) {
  const server = net.createServer();
  await new Promise(resolve => server.listen(0, host, resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Returns a loopback address of its own, as the metrics port is fixed. */
function getLoopbackHost() {
  const part = () => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

function getSettings(node, storeAddress, cloudAddress, isFirstStart) {
  const lines = Object.entries(BOUNDS).map(
    ([key, value]) => `${key} = ${value}`,
  );
  return `node_name = "${node.name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "${node.host}"
zone = "zone-a"
region = "region-a"
internal_ports = [7780, 7795]
seeds = []
bootstrap = ${isFirstStart}
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
[bounds]
${lines.join('\n')}
[platform]
address = "${storeAddress}"
form = "log"
parts = 4
record_bytes = 262144
call_bytes = 2097152
ttl_min_ms = 1000
[cloud]
address = "${cloudAddress}"
`;
}

/** A service of the configuration with plain servers. */
export function getPlainService(name) {
  return {name, health_path: '/healthz', max_conns: 100, cold_s: 0};
}

export function getConfiguration(version, overrides = {}) {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: 'desk', api_keys: [KEY]}],
    ...overrides,
  };
}

/** An entry of the instance list as a server writes it. */
export function getEntry(service, address, overrides = {}) {
  return {
    service,
    address,
    zone: 'zone-a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
    born: Date.now() - 60_000,
    ...overrides,
  };
}

/** Starts stand-ins of the store and of the platform's API. */
export async function startDeployment(record, configuration, entries) {
  const store = await createMetadataStore({parts: 4});
  const cloudCalls = [];
  const cloud = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const {headers, url} = request;
      const body = Buffer.concat(chunks).toString('utf8');
      cloudCalls.push({at: performance.now(), url, headers, body});
      response.writeHead(200, {'content-type': 'application/json'}).end('{}');
    });
  });
  await new Promise(resolve => cloud.listen(0, '127.0.0.1', resolve));
  const cloudAddress = `127.0.0.1:${cloud.address().port}`;
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const nodes = [];
  let isClosing = false;
  const clean = () => {
    for (const node of nodes) if (!node.exit) node.process.kill('SIGKILL');
    fs.rmSync(folder, {recursive: true, force: true});
  };
  process.on('exit', clean);
  store.put('keyed.op', 'config', configuration);
  for (const [id, entry] of entries) store.put('keyed.servers', id, entry);

  const spawnNode = (node, isFirstStart) => {
    const settings = path.join(folder, `${node.name}.toml`);
    const text = getSettings(node, store.address, cloudAddress, isFirstStart);
    fs.writeFileSync(settings, text);
    const [program, ...args] = getRunCommand();
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, VANILLACROSS_SETTINGS: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.process = child;
    node.exit = null;
    const log = fs.createWriteStream(
      path.join(process.env.REVIEW_LOGS ?? folder, `${node.name}.log`),
      {flags: 'a'},
    );
    child.stdout.pipe(log, {end: false});
    let errors = '';
    child.stderr.on('data', chunk => {
      errors += String(chunk);
      log.write(chunk);
    });
    child.on('exit', (code, signal) => {
      node.exit = {code, signal};
      if (signal === null && code !== 0) node.ownEnds++;
      record(`${node.name} ended: code ${code}, signal ${signal}`);
      const line = errors.split('\n').find(text => /Error/.test(text));
      if (line) record(`${node.name} wrote: ${line.trim().slice(0, 200)}`);
      node.onExit?.(node.exit);
    });
  };

  const startNode = async (name, isFirstStart = true) => {
    const host = getLoopbackHost();
    const node = {
      name,
      host,
      address: `${host}:${await getFreePort(host)}`,
      readyAddress: `${host}:${await getFreePort(host)}`,
      ownEnds: 0,
      process: null,
      exit: null,
      onExit: null,
    };
    nodes.push(node);
    spawnNode(node, isFirstStart);
    await waitUntil(() => isReady(node), 10_000, `${name} is ready`);
    record(`${name} is ready at ${node.address}`);
    return node;
  };

  /** Starts processes again as the platform does after they have ended. */
  const restartEndedNodes = () => {
    for (const node of nodes) {
      node.onExit = async () => {
        await sleep(RESTART_DELAY_MS);
        if (!isClosing) spawnNode(node, false);
      };
    }
  };

  const close = async () => {
    isClosing = true;
    for (const node of nodes) {
      node.onExit = null;
      if (!node.exit) node.process.kill('SIGKILL');
    }
    await waitUntil(() => nodes.every(node => node.exit), 5_000, 'all ended');
    cloud.close();
    cloud.closeAllConnections();
    await store.close();
  };
  return {store, nodes, cloudCalls, startNode, restartEndedNodes, close};
}

export function isReady(node) {
  const [host, port] = node.readyAddress.split(':');
  return new Promise(resolve => {
    const options = {host, port: Number(port), path: READY_PATH, agent: false};
    const request = http.get({...options, timeout: 500}, response => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

export async function waitUntil(condition, timeoutMs, what) {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await sleep(20);
  }
  throw new Error(`did not happen within ${timeoutMs} ms: ${what}`);
}

let requestCount = 0;
export function createRequestId() {
  const random = Math.random().toString(16).slice(2, 14);
  return `${random}${(++requestCount).toString(16).padStart(4, '0')}`;
}

/** Sends one request on a new channel. Resolves also if it has no answer. */
export function send(address, {method, path: target, id, headers, body}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request({
      host,
      port: Number(port),
      method,
      path: target,
      agent: false,
      headers: {
        Host: HOST,
        Authorization: `Token ${KEY}`,
        'Request-Id': id ?? createRequestId(),
        ...headers,
      },
    });
    request.on('error', error => resolve({status: null, error: error.code}));
    request.on('response', response => {
      const chunks = [];
      const finish = isWhole =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
          isWhole,
        });
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', () => finish(false));
      response.on('close', () => finish(response.complete));
    });
    request.end(body);
  });
}

/**
 * A raw server whose answers a case writes itself, byte by byte. `handle` gets
 * each whole request; requests of one channel are handled in turn.
 */
export async function startRawServer(handle) {
  const sockets = new Set();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let received = '';
    let turn = Promise.resolve();
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      for (;;) {
        const headEnd = received.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        const head = received.slice(0, headEnd);
        const bytes = Number(getHeader(head, 'content-length') ?? 0);
        const end = headEnd + 4 + bytes;
        if (received.length < end) return;
        const body = received.slice(headEnd + 4, end);
        received = received.slice(end);
        const id = getHeader(head, 'request-id');
        const target = head.split(' ')[1];
        turn = turn.then(() => handle({id, target, body, socket}));
      }
    });
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

function getHeader(head, name) {
  const match = new RegExp(`^${name}: *(.*)$`, 'im').exec(head);
  return match ? match[1].trim() : null;
}

/** Formats an answer with a length as a server sends it. */
export function formatAnswer(status, headers, body = '') {
  const fields = {...headers, 'Content-Length': Buffer.byteLength(body)};
  const lines = Object.entries(fields).map(
    ([key, value]) => `${key}: ${value}`,
  );
  return `HTTP/1.1 ${status}\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/**
 * A caller that keeps its channel for many requests. It sends a request once the
 * one before is answered, and tells how each request of a channel that was used
 * before ended: with a status, or a text if the channel ended without a whole
 * answer. The returned function stops it after its last request.
 */
export function startKeptCaller(record, node, name, request, onEnd) {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  let isStopped = false;
  const [host, port] = node.address.split(':');
  const sendNext = id =>
    new Promise(resolve => {
      const outgoing = http.request({
        host,
        port: Number(port),
        agent,
        method: 'POST',
        path: request.path,
        headers: {
          Host: HOST,
          Authorization: `Token ${KEY}`,
          'Request-Id': id,
          ...request.headers,
        },
      });
      outgoing.on('error', error => {
        resolve({isKept: outgoing.reusedSocket, how: error.code});
      });
      outgoing.on('response', response => {
        response.on('error', () => undefined);
        response.resume();
        response.on('close', () => {
          const how = response.complete ? response.statusCode : 'closed';
          resolve({isKept: outgoing.reusedSocket, how});
        });
      });
      outgoing.end('x');
    });
  const run = async () => {
    while (!isStopped) {
      const id = createRequestId();
      record(`${name} sends ${id} to ${node.name}`);
      const {isKept, how} = await sendNext(id);
      const channel = isKept ? 'kept' : 'new';
      record(`${name} gets ${how} for ${id} on a ${channel} channel`);
      onEnd({id, isKept, how});
      if (how === 'ECONNREFUSED' || how === 503) await sleep(200);
    }
  };
  const done = run().finally(() => agent.destroy());
  return async () => {
    isStopped = true;
    await done;
  };
}

/** Ends the script: 1 if the rule was broken, 0 if it held, 2 if it failed. */
export async function runCase(play) {
  const fail = error => {
    console.error(error);
    process.exit(2);
  };
  process.on('uncaughtException', fail);
  setTimeout(() => fail(new Error('took too long')), MAX_PLAY_MS).unref();
  try {
    const isBroken = await play();
    console.log(isBroken ? 'rule broken' : 'rule held');
    process.exit(isBroken ? 1 : 0);
  } catch (error) {
    fail(error);
  }
}
