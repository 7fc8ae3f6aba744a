// A server spoils one byte in the head of some of its streams. The node that
// forwards such a stream ends by itself, and with it the requests of all its
// other callers, which sound servers are working on.

import {setInterval, clearInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {
  HOST,
  createRecord,
  createRequestId,
  formatAnswer,
  getConfiguration,
  getEntry,
  getPlainService,
  hasTrouble,
  runCase,
  send,
  startDeployment,
  startKeptCaller,
  startRawServer,
} from '../deployment.mjs';

const PLAY_MS = 30_000;
/** When the faulty server spoils answers, ms from the start of the callers. */
const GARBLE_MS = {from: 5_000, to: 10_000};
/** One in so many answers of the faulty server is spoiled. */
const SPOIL_EVERY = 50;
const STREAM_INTERVAL_MS = 12;
/** Time for which a server works on a stream, ms. */
const STREAM_MS = 80;
const NODES = 3;
const KEPT_CALLERS = 6;
/** Time for which a sound server works on a request, ms. */
const WORK_MS = 400;

/** Channels that a machine may close without an answer. */
const MAX_CLOSED = 3;

const record = createRecord(import.meta.url);
let isGarbling = false;
let streams = 0;
let spoiled = 0;
/** Requests that a sound server has begun to run. */
const begun = new Set();
/**
 * Number of requests of kept channels that a sound server ran and that got no
 * answer, by node.
 */
const closed = {};

function startSoundServer() {
  return startRawServer(async ({id, socket}) => {
    begun.add(id);
    record(`sound server runs ${id}`);
    await sleep(WORK_MS);
    const headers = {'Request-Id': id, 'Response-Stamp': `stamp.${id}`};
    socket.write(formatAnswer('200 OK', headers, 'done'));
  });
}

/** Starts a server of streams; a faulty one spoils some heads. */
function startStreamServer(name, isFaulty) {
  const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
  return startRawServer(async ({id, socket}) => {
    record(`${name} runs ${id}`);
    await sleep(STREAM_MS);
    const headers = {
      'Request-Id': id,
      'Response-Stamp': `stamp.${id}`,
      'Content-Type': 'text/event-stream',
    };
    let answer = formatAnswer('200 OK', headers, events);
    if (isFaulty && isGarbling && ++streams % SPOIL_EVERY === 0) {
      spoiled++;
      record(`${name} spoils a byte of its answer to ${id}`);
      answer = answer.replace('Response-Stamp', 'Response Stamp');
    }
    socket.write(answer);
  });
}

/** Begins streams at all nodes in turn until it is stopped. */
function startStreams(nodes) {
  let count = 0;
  const timer = setInterval(async () => {
    const node = nodes[count++ % nodes.length];
    if (node.exit) return;
    const id = createRequestId();
    record(`caller sends stream ${id} to ${node.name}`);
    const request = {method: 'POST', path: '/chat/1', id, body: 'x'};
    const {status, error} = await send(node.address, request);
    record(`caller gets ${status ?? error} for stream ${id}`);
  }, STREAM_INTERVAL_MS);
  return () => clearInterval(timer);
}

await runCase(async () => {
  const sound = await startSoundServer();
  const faulty = await startStreamServer('s-2', true);
  const other = await startStreamServer('s-3', false);
  const limits = {timeout_ms: 4_000, max_attempts: 2};
  const configuration = getConfiguration(1, {
    routes: [
      {
        ...limits,
        name: 'board',
        host: HOST,
        path_prefix: '/board/',
        kind: 'non_idempotent',
        service: 'board',
        target_latency_ms: 1_000,
      },
      {
        ...limits,
        name: 'chat',
        host: HOST,
        path_prefix: '/chat/',
        kind: 'stream',
        service: 'chat',
        target_latency_ms: 400,
      },
    ],
    services: [getPlainService('board'), getPlainService('chat')],
  });
  const deployment = await startDeployment(record, configuration, [
    ['s-1', getEntry('board', sound.address, {slots: 50})],
    ['s-2', getEntry('chat', faulty.address, {slots: 50})],
    ['s-3', getEntry('chat', other.address, {slots: 50})],
  ]);
  const {nodes} = deployment;
  for (let index = 0; index < NODES; index++) {
    await deployment.startNode(`node-${index}`);
  }
  deployment.restartEndedNodes();
  await sleep(1_000);
  const request = {path: '/board/1', headers: {'Request-Deadline': '4000'}};
  const stops = nodes.flatMap(node =>
    Array.from({length: KEPT_CALLERS}, (_, index) =>
      startKeptCaller(record, node, `caller ${index}`, request, end => {
        const isAnswered = typeof end.how === 'number';
        if (isAnswered || !end.isKept || !begun.has(end.id)) return;
        closed[node.name] = (closed[node.name] ?? 0) + 1;
      }),
    ),
  );
  stops.push(startStreams(nodes));
  await sleep(GARBLE_MS.from);
  isGarbling = hasTrouble;
  await sleep(GARBLE_MS.to - GARBLE_MS.from);
  isGarbling = false;
  await sleep(PLAY_MS - GARBLE_MS.to);
  await Promise.all(stops.map(stop => stop()));
  const ownEnds = nodes.map(node => node.ownEnds);
  await deployment.close();
  for (const server of [sound, faulty, other]) server.close();
  const summary = {spoiled, ownEnds, closed};
  record(JSON.stringify(summary));
  console.log(JSON.stringify(summary));
  return Object.values(closed).some(count => count > MAX_CLOSED);
});
