// A server that is full refuses a request that may run once, and repeats that
// refusal late, at the point where its next response is expected. If the node
// has sent the same request again on that channel, it takes the repeated
// refusal for the answer and sends the request a third time, while it runs.

import {performance} from 'node:perf_hooks';
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
  startRawServer,
} from '../deployment.mjs';

const PLAY_MS = 60_000;
/** Periods of the disruption, ms from the start. */
const GARBLE = {everyMs: 10_000, forMs: 5_000};
/** Share of its answers that the faulty server repeats. */
const EXTRA_SHARE = 0.03;
const SLOTS = 2;
const WORK_MS = 60;
const BUSY_CALLERS = 6;
const QUIET_NODES = 3;

const record = createRecord(import.meta.url);
const startedAt = performance.now();
/** Number of runs of each request. */
const runs = new Map();
const answers = {};
/** Requests that were answered 503 though a server has run them. */
const refusedAndRan = [];
let extras = 0;

function isGarbling() {
  if (!hasTrouble) return false;
  return (performance.now() - startedAt) % GARBLE.everyMs < GARBLE.forMs;
}

/** Starts a server; a faulty one repeats some of its answers late. */
async function startServer(name, isFaulty) {
  let busy = 0;
  const repeated = new Map();
  return startRawServer(async ({id, socket}) => {
    const extra = repeated.get(socket);
    if (extra) {
      repeated.delete(socket);
      extras++;
      record(`${name} repeats its answer to ${extra.id} before that to ${id}`);
      socket.write(extra.answer);
    }
    const answer = await run(id);
    if (socket.destroyed) return;
    socket.write(answer);
    if (!isFaulty || !isGarbling() || Math.random() >= EXTRA_SHARE) return;
    repeated.set(socket, {id, answer});
  });

  async function run(id) {
    if (busy >= SLOTS) {
      record(`${name} refuses ${id}`);
      return formatAnswer('503 Busy', {'Request-Id': id, 'Not-Executed': 1});
    }
    busy++;
    runs.set(id, (runs.get(id) ?? 0) + 1);
    record(`${name} runs ${id}, run ${runs.get(id)}`);
    await sleep(WORK_MS);
    busy--;
    const headers = {'Request-Id': id, 'Response-Stamp': `stamp.${id}`};
    return formatAnswer('200 OK', headers, 'done');
  }
}

/** Sends one request after the other, each on a new channel. */
async function call(node) {
  while (performance.now() - startedAt < PLAY_MS) {
    const id = createRequestId();
    record(`caller sends ${id} to ${node.name}`);
    const {status} = await send(node.address, {
      method: 'POST',
      path: '/charge/1',
      id,
      headers: {'Request-Deadline': '2000'},
      body: 'seat 1',
    });
    record(`caller gets ${status} for ${id}`);
    answers[status] = (answers[status] ?? 0) + 1;
    if (status === 503 && runs.has(id)) refusedAndRan.push(id);
    await sleep(20);
  }
}

await runCase(async () => {
  const servers = [
    await startServer('s-1', true),
    await startServer('s-2', false),
  ];
  const route = {
    name: 'charge',
    host: HOST,
    path_prefix: '/charge/',
    kind: 'non_idempotent',
    service: 'plain',
    timeout_ms: 2_000,
    target_latency_ms: 500,
    max_attempts: 2,
  };
  const configuration = getConfiguration(1, {
    routes: [route],
    services: [getPlainService('plain')],
  });
  const entries = servers.map(({address}, index) => [
    `s-${index + 1}`,
    getEntry('plain', address, {slots: SLOTS}),
  ]);
  const deployment = await startDeployment(record, configuration, entries);
  const busyNode = await deployment.startNode('node-0');
  const quietNodes = [];
  for (let index = 1; index <= QUIET_NODES; index++) {
    quietNodes.push(await deployment.startNode(`node-${index}`));
  }
  const callers = Array.from({length: BUSY_CALLERS}, () => call(busyNode));
  await Promise.all([...callers, ...quietNodes.map(node => call(node))]);
  await deployment.close();
  for (const server of servers) server.close();
  const twice = [...runs].filter(([, count]) => count > 1);
  const summary = {answers, extras, ranTwice: twice, refusedAndRan};
  record(JSON.stringify(summary));
  console.log(JSON.stringify(summary));
  return twice.length > 0;
});
