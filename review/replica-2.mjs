// Stand-in of a replica: a model replica or a plain service.

import * as http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {clearInterval, setInterval} from 'node:timers';
import {URL} from 'node:url';

import {listen, readAll, sendJson} from './http-2.mjs';

const HEARTBEAT_MS = 1_200;

/** Returns a whole answer with a JSON body. */
function encode(body) {
  const text = JSON.stringify(body);
  return (
    'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n' +
    `Content-Length: ${text.length}\r\n\r\n${text}`
  );
}

/** Text of an event; the same at every replica and in every run. */
export function getEventData(id, event, bytes = 24) {
  return `${id}:${event};`.padEnd(bytes, 'x');
}

/** The whole text of a request for tokens. */
export function getText(id, events, bytes) {
  const data = [];
  for (let event = 1; event <= events; event++) {
    data.push(getEventData(id, event, bytes));
  }
  return data.join('\n');
}

/**
 * @param options.store Stand-in of the store, in which the replica lists itself.
 * @param options.getEvents Returns the number of events of a request.
 */
export async function createReplica(options) {
  const {
    store,
    id,
    service,
    zone = 'zone-a',
    slots = 8,
    model = null,
  } = options;
  const born = Date.now();
  const arrivals = [];
  const orders = [];
  const state = {
    paceMs: options.paceMs ?? 20,
    workMs: options.workMs ?? 20,
    loadMs: options.loadMs ?? 900,
    entryState: 'ready',
    isListed: true,
    version: options.version ?? 1,
    sequence: 0,
    orderCount: 0,
    active: 0,
    loadingUntil: 0,
    onRequest: null,
    /** Whether the report that is given now is answered twice. */
    mayRepeatReport: null,
  };
  let stamps = 0;

  const isLoading = () => performance.now() < state.loadingUntil;

  const refuse = (request, response, status) => {
    const own = status === 421 ? {'Instance-Id': id} : {'Not-Executed': '1'};
    response.writeHead(status, {
      ...own,
      'Request-Id': request.headers['request-id'] ?? '',
      'content-length': 0,
    });
    response.end();
  };

  const receiveOrder = (request, response, body) => {
    const order = JSON.parse(body.toString('utf8'));
    orders.push({at: performance.now(), ...order});
    const {expected, version} = order;
    if (isLoading() || (expected ?? state.orderCount) !== state.orderCount) {
      return sendJson(response, 409, {});
    }
    if (version <= state.version) return sendJson(response, 200, {});
    state.orderCount++;
    state.loadingUntil = performance.now() + state.loadMs;
    void sleep(state.loadMs).then(() => (state.version = version));
    return sendJson(response, 202, {});
  };

  const run = async (request, response, arrival) => {
    const requestId = request.headers['request-id'];
    const after = Number(request.headers['last-event-id'] ?? 0);
    const headers = {
      'Request-Id': requestId,
      'Response-Stamp': `${id}.${++stamps}.${requestId}`,
      'Server-Load': `${state.active},0,${slots}`,
    };
    arrival.stamp = headers['Response-Stamp'];
    if (model === null) {
      await sleep(state.workMs);
      arrival.endedAt = performance.now();
      return sendJson(response, 200, {id: requestId}, headers);
    }
    let named = state.version;
    response.writeHead(200, {
      ...headers,
      'content-type': 'text/event-stream',
      'Weight-Versions': String(named),
    });
    const events = options.getEvents(requestId);
    for (let event = after + 1; event <= events; event++) {
      await sleep(state.paceMs);
      if (response.destroyed) return undefined;
      const line =
        named === state.version ? '' : `weight-versions: ${state.version}\n`;
      named = state.version;
      arrival.versions.add(named);
      const data = getEventData(requestId, event, options.eventBytes);
      response.write(`${line}id: ${event}\ndata: ${data}\n\n`);
    }
    arrival.endedAt = performance.now();
    response.end();
    return undefined;
  };

  /** Second answers, which go out when the next answer is expected. */
  const extras = new Map();

  const handle = async (request, response) => {
    const extra = extras.get(request.socket);
    if (extra) {
      extras.delete(request.socket);
      request.socket.write(extra.bytes);
      extra.onSent(request);
    }
    const url = new URL(request.url, 'http://replica');
    const expected = request.headers['expect-instance'];
    if (url.pathname === '/healthz') {
      return sendJson(response, 200, {}, {'Instance-Id': id});
    }
    if (expected !== undefined && expected !== id) {
      request.resume();
      return refuse(request, response, 421);
    }
    const body = await readAll(request);
    if (url.pathname === '/vanillacross/report') {
      const models =
        model === null
          ? []
          : [{name: model, version: state.version, adapters: []}];
      const report = {
        stage: 'dual',
        models,
        busy: isLoading(),
        seq: state.orderCount,
        queued: 0,
        active: state.active,
        kv_used: 0,
        kv_total: 60_000,
        handles: 0,
      };
      const onSent = state.mayRepeatReport?.();
      if (onSent) extras.set(request.socket, {bytes: encode(report), onSent});
      return sendJson(response, 200, report);
    }
    if (url.pathname === '/vanillacross/order') {
      return receiveOrder(request, response, body);
    }
    const arrival = {
      at: performance.now(),
      id: request.headers['request-id'],
      tenant: request.headers.tenant,
      path: request.url,
      body: body.toString('utf8'),
      after: Number(request.headers['last-event-id'] ?? 0),
      versions: new Set(),
      hasRun: false,
    };
    arrivals.push(arrival);
    if (state.onRequest && !(await state.onRequest(arrival, response))) {
      return undefined;
    }
    if (state.active >= slots || isLoading()) {
      return refuse(request, response, 503);
    }
    arrival.hasRun = true;
    state.active++;
    try {
      return await run(request, response, arrival);
    } finally {
      state.active--;
    }
  };

  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  const bound = await listen(server);
  const address = options.through ? await options.through(bound) : bound;

  const writeEntry = () => {
    if (!state.isListed) return;
    store.put('keyed.servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: state.entryState,
      cold_left_ms: 0,
      stage: 'dual',
      models:
        model === null
          ? []
          : [{name: model, version: state.version, adapters: []}],
      seq: ++state.sequence,
      born,
    });
  };
  writeEntry();
  const heartbeat = setInterval(writeEntry, HEARTBEAT_MS);
  return {
    id,
    address,
    arrivals,
    orders,
    state,
    writeEntry,
    unlist() {
      state.isListed = false;
      store.put('keyed.servers', id, null);
    },
    close() {
      clearInterval(heartbeat);
      server.close();
      server.closeAllConnections();
    },
  };
}
