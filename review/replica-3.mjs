// Replicas as PROTOCOL.md describes them: plain services and engines.
import {setTimeout} from 'node:timers';
import {performance} from 'node:perf_hooks';
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import * as http from 'node:http';

/** Length of the prompt's beginning in the text of its events. */
const PROMPT_START = 24;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Returns the text of an event, which follows from the prompt alone. */
export function getEventText(prompt, event) {
  const digest = createHash('sha256').update(prompt).digest('hex');
  return `${prompt.slice(0, PROMPT_START)} ${digest.slice(0, 8)} token ${event}`;
}

async function readAll(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/**
 * Starts a replica. What it does with a request is told to `onRun` when it
 * begins to run it.
 *
 * @param options.onRun Called with {id, path, headers, replica, isOpen}; may
 *   return 'crash' so that the replica crashes instead of answering.
 */
export async function startReplica(options) {
  const {
    id,
    service,
    zone = 'zone-a',
    slots = 8,
    workMs = 5,
    model = null,
    events = 5,
    paceMs = 20,
    loadMs = 300,
    onRun = () => undefined,
    onCrash = () => undefined,
    port = 0,
  } = options;
  const born = Date.now();
  let version = options.version ?? 1;
  let orderCount = 0;
  let loadingUntil = 0;
  let running = 0;
  let stamps = 0;
  let isClosed = false;
  const orders = [];

  const getHeaders = request => ({
    'Request-Id': request.headers['request-id'] ?? '',
    'Server-Load': `${running},0,${slots}`,
  });
  const refuse = (request, response, status) => {
    response.writeHead(status, {
      ...getHeaders(request),
      'Not-Executed': '1',
      'content-length': 0,
    });
    response.end();
  };
  const createStamp = request =>
    `${id}.${++stamps}.${request.headers['request-id'] ?? ''}`;

  const replica = {
    id,
    orders,
    getVersion: () => version,
    getRunning: () => running,
    getEntry: (state = 'ready') => ({
      service,
      address: replica.address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_left_ms: 0,
      seq: 1,
      born,
      models: model ? [{name: model, version, adapters: []}] : [],
    }),
    /** Ends at once and resets its channels, as a process that is killed. */
    crash: () => {
      isClosed = true;
      for (const socket of sockets) socket.resetAndDestroy();
      server.close();
    },
    close: () => {
      isClosed = true;
      server.close();
      server.closeAllConnections();
    },
  };

  const runPlain = async (request, response) => {
    running++;
    await sleep(workMs);
    running--;
    if (isClosed || response.destroyed) return;
    const text = `${id} ran ${request.headers['request-id']}`;
    response.writeHead(200, {
      ...getHeaders(request),
      'Response-Stamp': createStamp(request),
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };

  const runStream = async (request, response, run) => {
    running++;
    run.isOpen = true;
    response.on('close', () => (run.isOpen = false));
    let told = version;
    const after = Number(request.headers['last-event-id'] ?? 0);
    await sleep(paceMs);
    response.writeHead(200, {
      ...getHeaders(request),
      'Response-Stamp': createStamp(request),
      'Weight-Versions': String(told),
      'content-type': 'text/event-stream',
    });
    for (let event = after + 1; event <= events; event++) {
      if (isClosed || response.destroyed) break;
      const label = told === version ? '' : `weight-versions: ${version}\n`;
      told = version;
      response.write(
        `${label}id: ${event}\ndata: ${getEventText(run.body, event)}\n\n`,
      );
      if (event < events) await sleep(paceMs);
    }
    running--;
    if (!response.destroyed) response.end();
  };

  const order = async (request, response) => {
    const body = JSON.parse(await readAll(request));
    const isBusy = performance.now() < loadingUntil;
    const isExpected =
      body.expected === undefined || body.expected === orderCount;
    const isHeld = body.version === version;
    const status = isHeld ? 200 : isBusy || !isExpected ? 409 : 202;
    orders.push({...body, status, at: performance.now(), replica: id});
    if (status === 202) {
      orderCount++;
      loadingUntil = performance.now() + loadMs;
      setTimeout(() => (version = body.version), loadMs);
    }
    response.writeHead(status, {'content-length': 0});
    response.end();
  };

  const handle = async (request, response) => {
    const path = request.url.split('?')[0];
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      return refuse(request, response, 421);
    }
    if (path === '/vanillacross/report') {
      const text = JSON.stringify({
        stage: 'dual',
        models: model ? [{name: model, version, adapters: []}] : [],
        busy: performance.now() < loadingUntil,
        seq: orderCount,
        queued: 0,
        active: running,
        kv_used: 0,
        kv_total: 60_000,
        handles: 0,
      });
      response.writeHead(200, {'content-length': Buffer.byteLength(text)});
      return response.end(text);
    }
    if (path === '/vanillacross/order') return order(request, response);
    const body = await readAll(request);
    if (path === '/healthz') {
      response.writeHead(200, {'Instance-Id': id, 'content-length': 0});
      return response.end();
    }
    if (request.headers['request-id'] === undefined) {
      return refuse(request, response, 400);
    }
    const isStream = model !== null;
    if (running >= slots) return refuse(request, response, 503);
    if (isStream && performance.now() < loadingUntil) {
      return refuse(request, response, 503);
    }
    const run = {
      id: request.headers['request-id'],
      path,
      body: body.toString('utf8'),
      headers: request.headers,
      replica: id,
      at: performance.now(),
      after: Number(request.headers['last-event-id'] ?? 0),
      version,
      isOpen: true,
    };
    if (onRun(run) === 'crash') {
      replica.crash();
      return onCrash(replica);
    }
    if (isStream) return runStream(request, response, run);
    return runPlain(request, response);
  };

  const server = http.createServer(
    (request, response) =>
      void handle(request, response).catch(() => response.destroy()),
  );
  const sockets = new Set();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  server.keepAliveTimeout = 30_000;
  await new Promise(resolve => server.listen(port, '127.0.0.1', resolve));
  replica.address = `127.0.0.1:${server.address().port}`;
  return replica;
}

/** Starts the platform's API; `calls` lists what it got. */
export async function startCloud() {
  const calls = [];
  const server = http.createServer(async (request, response) => {
    const body = await readAll(request);
    calls.push({
      at: performance.now(),
      path: request.url,
      holder: request.headers['lease-holder'],
      fence: Number(request.headers['fencing-token']),
      body: JSON.parse(body),
    });
    response.writeHead(200, {'content-length': 0});
    response.end();
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    calls,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
