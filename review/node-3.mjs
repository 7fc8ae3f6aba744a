// Starts the project's program as the deploy file does.
import {clearTimeout, setTimeout} from 'node:timers';
import {performance} from 'node:perf_hooks';
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import {URL, fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const READY_TIMEOUT_MS = 15_000;
/** Port of the metrics (deploy/system.toml). */
const METRICS_PORT = 9_464;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The bounds of wfat-pumps. */
export const BOUNDS = {
  contact_ms: 3_000,
  ack_ms: 4_000,
  drain_ms: 2_000,
  grace_s: 8,
  config_ms: 2_000,
  downgrade_slack_ms: 250,
  strict_revoke: true,
  revoke_ms: 5_000,
  require_fence: false,
  lease_ms: 3_000,
  report_window_s: 5,
  usage_late_s: 10,
  cold_overage: 1.5,
  cold_slack: 5,
  evacuate_ms: 5_000,
  status_s: 120,
  cancel_ms: 3_000,
  settle_ms: 1_000,
};

/** Returns the words of the deploy file's run line. */
function getRunWords() {
  const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
}

/** Returns a free port of an address; null if `port` is given and taken. */
async function getFreePort(host, port = 0) {
  const server = net.createServer();
  const isBound = await new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => resolve(true));
  });
  if (!isBound) return null;
  const {port: bound} = server.address();
  await new Promise(resolve => server.close(resolve));
  return bound;
}

/** Returns two different free ports of an address. */
async function getFreePorts(host) {
  const front = await getFreePort(host);
  let ready = front;
  while (ready === front) ready = await getFreePort(host);
  return {front, ready};
}

/** Returns a loopback address of its own, as the port of metrics is fixed. */
async function getFreeHost() {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${part()}.${part()}.${part()}`;
    if ((await getFreePort(host, METRICS_PORT)) !== null) return host;
  }
}

function getSettings(machine) {
  const {name, zone, host, ports, store, cloud, isFirst} = machine;
  const bounds = Object.entries({...BOUNDS, ...machine.bounds}).map(
    ([key, bound]) => `${key} = ${bound}`,
  );
  return `node_name = "${name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "${host}"
zone = "${zone}"
region = "region-a"
internal_ports = [7360,7375]
bootstrap = ${isFirst}
discovery = "platform"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
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
${bounds.join('\n')}
[platform]
address = "${store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
record_bytes = 262144
call_bytes = 2097152
retention_s = ${machine.retentionS}
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = "${cloud}"
duties = ["usage_report"]
duty_per_s = 50.0
`;
}

/** A front machine: its process can be stopped and started again. */
export class Machine {
  child = null;
  isFirst = true;

  constructor({zone = 'zone-a', retentionS = 300, bounds = {}, ...rest}) {
    Object.assign(this, {zone, retentionS, bounds, ...rest});
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-3-'));
    this.settings = path.join(this.folder, 'node.toml');
  }

  async start() {
    this.host ??= await getFreeHost();
    const {host} = this;
    this.ports ??= await getFreePorts(host);
    fs.writeFileSync(this.settings, getSettings(this));
    this.isFirst = false;
    const [program, ...words] = getRunWords();
    const log = fs.openSync(path.join(this.folder, 'log'), 'a');
    const command = program === 'node' ? process.execPath : program;
    this.child = spawn(command, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        VANILLACROSS_SETTINGS: this.settings,
      },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.exited = new Promise(resolve => this.child.once('exit', resolve));
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadline) {
      if (await this.isReady()) {
        this.startedAt = performance.now();
        return;
      }
      if (this.hasEnded()) throw new Error(`${this.name} ended at its start`);
      await sleep(50);
    }
    throw new Error(`${this.name} did not become ready`);
  }

  get address() {
    return `${this.host}:${this.ports.front}`;
  }

  async isReady() {
    const address = `${this.host}:${this.ports.ready}`;
    const answer = await call({
      address,
      method: 'GET',
      path: '/vanillacross/ready',
      timeoutMs: 500,
    });
    return answer.status === 200;
  }

  hasEnded() {
    const {exitCode, signalCode} = this.child;
    return exitCode !== null || signalCode !== null;
  }

  signal(name) {
    this.child?.kill(name);
  }

  /** Ends the process and removes its folder. */
  async close() {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.exited;
    if (process.env.KEEP_LOGS) process.stderr.write(`log: ${this.folder}\n`);
    else fs.rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Sends one request on a new channel; status 0 if there is no answer. */
export function call({
  address,
  method = 'POST',
  path: target,
  headers = {},
  body = '',
  timeoutMs = 5_000,
}) {
  const sentAt = performance.now();
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const finish = (status, text, answer = {}) => {
      clearTimeout(timer);
      resolve({
        status,
        text,
        headers: answer.headers ?? {},
        sentAt,
        endedAt: performance.now(),
      });
    };
    const request = http.request(
      {host, port, method, path: target, headers, agent: false},
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', error => finish(0, error.message));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          if (response.complete) finish(response.statusCode, text, response);
          else finish(0, 'cut');
        });
      },
    );
    const timer = setTimeout(() => {
      finish(0, 'timeout');
      request.destroy();
    }, timeoutMs);
    request.on('error', error => finish(0, error.message));
    request.end(body);
  });
}

let idCount = 0;

/** Returns a request id that no other request has. */
export function createId(prefix = 'r') {
  return `${prefix}${process.pid.toString(36)}${(++idCount).toString(36)}`;
}
