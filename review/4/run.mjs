// Half of the servers are replaced, one after the other. They don't report that they drain:
// their entries are removed, and they serve on for a while. The node resets all
// its channels to a server as soon as its entry is gone, so that streams which
// the server would have finished are cut at the caller.

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

import {
  BOUNDS,
  HOST,
  createRecord,
  formatAnswer,
  getConfiguration,
  getEntry,
  getPlainService,
  hasTrouble,
  runCase,
  startDeployment,
  startKeptCaller,
  startRawServer,
} from '../deployment.mjs';

const SERVERS = 4;
/** Number of servers that are replaced, one after the other. */
const REPLACED = 2;
const KEPT_CALLERS = 24;
const EVENTS = 10;
const EVENT_INTERVAL_MS = 120;
/** Time for which a server serves on after its entry was removed, ms. */
const SERVE_ON_MS = BOUNDS.drain_ms + 1_000;
/** Time between two servers that are replaced, ms. */
const GAP_MS = 4_000;
/** Channels that a machine may close without an answer. */
const MAX_CLOSED = 3;

const record = createRecord(import.meta.url);
/** When each server ends, monotonic ms. */
const endsAt = new Map();
/** Server that has begun to run each request. */
const begun = new Map();
/** Requests whose channel to the server was closed while it worked on them. */
const cutAtServer = new Set();
/** Kept channels that ended without a whole answer of a sound server. */
const closed = [];
/** Requests that may run once, that a sound server ran, and that got 502. */
const lostAnswers = [];

async function startServer(name) {
  return startRawServer(async ({id, target, socket}) => {
    begun.set(id, name);
    record(`${name} runs ${id}`);
    const handleClose = () => {
      cutAtServer.add(id);
      record(`${name}: the channel of ${id} was closed before the end`);
    };
    socket.once('close', handleClose);
    const answer = target.startsWith('/chat/') ? sendEvents : sendAnswer;
    await answer(id, socket);
    socket.off('close', handleClose);
    if (!socket.destroyed) record(`${name} has answered ${id}`);
  });
}

async function sendEvents(id, socket) {
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp.${id}\r\n` +
      'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  for (let event = 1; event <= EVENTS; event++) {
    await sleep(EVENT_INTERVAL_MS);
    if (socket.destroyed) return;
    const text = `id: ${event}\ndata: text ${event}\n\n`;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  }
  socket.write('0\r\n\r\n');
}

async function sendAnswer(id, socket) {
  await sleep(EVENTS * EVENT_INTERVAL_MS);
  if (socket.destroyed) return;
  const headers = {'Request-Id': id, 'Response-Stamp': `stamp.${id}`};
  socket.write(formatAnswer('200 OK', headers, 'done'));
}

function isSound(id) {
  const endAt = endsAt.get(begun.get(id)) ?? Infinity;
  return begun.has(id) && performance.now() < endAt;
}

await runCase(async () => {
  const limits = {
    host: HOST,
    service: 'plain',
    timeout_ms: 8_000,
    max_attempts: 2,
  };
  const configuration = getConfiguration(1, {
    routes: [
      {
        ...limits,
        name: 'chat',
        path_prefix: '/chat/',
        kind: 'stream',
        target_latency_ms: 400,
      },
      {
        ...limits,
        name: 'charge',
        path_prefix: '/charge/',
        kind: 'non_idempotent',
        target_latency_ms: 2_000,
      },
    ],
    services: [getPlainService('plain')],
  });
  const servers = new Map();
  const addServer = async name => {
    const server = await startServer(name);
    servers.set(name, server);
    return getEntry('plain', server.address, {slots: 20});
  };
  const entries = [];
  for (let index = 0; index < SERVERS; index++) {
    entries.push([`s-${index}`, await addServer(`s-${index}`)]);
  }
  const deployment = await startDeployment(record, configuration, entries);
  const node = await deployment.startNode('node-0');
  await sleep(1_000);
  const headers = {'Request-Deadline': '8000'};
  const startCaller = (name, path, onEnd) =>
    startKeptCaller(record, node, name, {path, headers}, onEnd);
  const stops = [];
  for (let index = 0; index < KEPT_CALLERS; index++) {
    const stop = startCaller(`stream caller ${index}`, '/chat/1', end => {
      const isWhole = typeof end.how === 'number';
      if (!isWhole && end.isKept && isSound(end.id)) closed.push(end.id);
    });
    stops.push(stop);
  }
  for (let index = 0; index < KEPT_CALLERS / 2; index++) {
    const stop = startCaller(`charge caller ${index}`, '/charge/1', end => {
      if (end.how === 502 && isSound(end.id)) lostAnswers.push(end.id);
    });
    stops.push(stop);
  }
  await sleep(5_000);
  for (let index = 0; index < REPLACED; index++) {
    if (hasTrouble) {
      const [old, fresh] = [`s-${index}`, `s-${index + SERVERS}`];
      deployment.store.put('keyed.servers', fresh, await addServer(fresh));
      record(`${fresh} is listed`);
      await sleep(500);
      deployment.store.put('keyed.servers', old, null);
      endsAt.set(old, performance.now() + SERVE_ON_MS);
      record(`the entry of ${old} is removed; it serves on`);
    }
    await sleep(GAP_MS);
    if (hasTrouble) servers.get(`s-${index}`).close();
  }
  await Promise.all(stops.map(stop => stop()));
  await deployment.close();
  for (const server of servers.values()) server.close();
  const summary = {
    closed: closed.length,
    lostAnswers: lostAnswers.length,
    cutAtServer: cutAtServer.size,
  };
  record(JSON.stringify(summary));
  console.log(JSON.stringify(summary));
  return closed.length > MAX_CLOSED;
});
