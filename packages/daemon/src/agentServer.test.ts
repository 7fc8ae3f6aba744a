import assert from 'node:assert/strict';
import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {afterEach, describe, it} from 'node:test';

import type {Epoch} from '@vanillacross/common';
import {
  Metrics,
  closeServer,
  createLogger,
  getAuth,
  listen,
  systemClock,
} from '@vanillacross/common';
import type {AgentView} from '@vanillacross/domain';
import {HEADERS, poolSchema} from '@vanillacross/domain';

import type {AgentLimits} from './agentLimits.js';
import type {AgentServer} from './agentServer.js';
import {createAgentServer} from './agentServer.js';

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

const SECRET = 'cluster';
const LOOPBACK = {host: '127.0.0.1', port: 0};
/** Far above any delay of a loaded machine, ms. */
const WIDE_MS = 20_000;

const closers: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function startUpstream(handler: Handler): Promise<string> {
  const server = http.createServer((request, response) => {
    let body = '';
    request.on('data', chunk => (body += chunk));
    request.on('end', () => handler(request, response, body));
  });
  const address = await listen(server, LOOPBACK);
  closers.push(() => {
    server.closeAllConnections();
    return closeServer(server);
  });
  return address;
}

interface Fixture {
  agent: AgentServer;
  metrics: Metrics;
  view: AgentView;
}

async function startAgent(
  kind: 'engine' | 'plain',
  upstream: string,
  limits: Partial<AgentLimits> = {},
): Promise<Fixture> {
  const metrics = new Metrics();
  const view: AgentView = {
    offset: 5,
    fencing: 3,
    pool: poolSchema.parse({kind, ramp: {initial: 4}}),
    poolCreatedAt: 7,
    upstream: null,
    isDomainIn: true,
    windowMs: 1_000,
    members: [],
  };
  // The pool record appears after the agent's first view.
  let reads = 0;
  const agent = createAgentServer(
    {
      self: {
        id: 'a1',
        role: 'agent',
        domain: 'd1',
        address: '127.0.0.1:0',
        peerAddress: '127.0.0.1:0',
        state: 'live',
        upstream: {id: 'u1', pool: 'p1'},
      },
      epoch: 'agent-epoch' as Epoch,
      clock: systemClock,
      logger: createLogger('test', 'silent'),
      metrics,
      clusterSecret: SECRET,
    },
    {
      upstream: {id: 'u1', pool: 'p1', url: `http://${upstream}`},
      getView: () => (reads++ === 0 ? {...view, poolCreatedAt: 5} : view),
      getHighestFencing: () => 3,
      limits: {statusIntervalMs: 20, ...limits},
    },
  );
  await agent.start();
  closers.push(() => agent.stop(AbortSignal.abort()));
  await waitFor(() => agent.isReady());
  return {agent, metrics, view};
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const until = Date.now() + WIDE_MS;
  while (!isDone()) {
    assert.ok(Date.now() < until, 'the condition did not come true');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

interface Answer {
  status: number;
  headers: http.IncomingHttpHeaders;
  trailers: NodeJS.Dict<string>;
  body: string;
  isComplete: boolean;
}

let sent = 0;

function open(
  agent: AgentServer,
  headers: Record<string, string> = {},
  body = '',
  path = '/work',
): http.ClientRequest {
  const id = `r${++sent}`;
  const method = 'POST';
  const outgoing = http.request(`http://${agent.getAddress()}${path}`, {
    method,
    agent: false,
    headers: {
      [HEADERS.request]: id,
      [HEADERS.attempt]: id,
      [HEADERS.auth]: getAuth(SECRET, method, path, id, Date.now()),
      [HEADERS.repeat]: 'once',
      [HEADERS.account]: 'acme',
      [HEADERS.window]: '9',
      [HEADERS.entryEpoch]: 'e1',
      ...headers,
    },
  });
  outgoing.end(body);
  return outgoing;
}

function read(outgoing: http.ClientRequest): Promise<Answer> {
  return new Promise((resolve, reject) => {
    outgoing.on('error', reject);
    outgoing.on('response', answer => {
      let body = '';
      answer.on('data', chunk => (body += chunk));
      answer.on('error', () => {});
      answer.on('close', () =>
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          trailers: answer.trailers,
          body,
          isComplete: answer.complete,
        }),
      );
    });
  });
}

function send(
  agent: AgentServer,
  headers: Record<string, string> = {},
  body = '',
): Promise<Answer> {
  return read(open(agent, headers, body));
}

describe('agent data listener', () => {
  it('forwards a request and its answer without private headers', async () => {
    // Guards against a key or an account name reaching an upstream.
    let seen: http.IncomingHttpHeaders = {};
    let seenBody = '';
    const upstream = await startUpstream((request, response, body) => {
      seen = request.headers;
      seenBody = body;
      response.writeHead(201, {'x-kind': 'plain', 'vc-outcome': 'forged'});
      response.end('done');
    });
    const {agent} = await startAgent('plain', upstream);
    const answer = await send(
      agent,
      {
        authorization: 'Bearer secret',
        cookie: 'a=b',
        'x-account-id': 'acme',
        'x-api-key': 'secret',
        'x-kept': 'yes',
      },
      'payload',
    );
    assert.equal(answer.status, 201);
    assert.equal(answer.body, 'done');
    assert.equal(answer.headers['x-kind'], 'plain');
    assert.equal(answer.headers['vc-outcome'], undefined);
    assert.equal(answer.trailers['vc-outcome'], 'whole');
    assert.equal(seenBody, 'payload');
    assert.equal(seen['x-kept'], 'yes');
    const leaked = Object.keys(seen).filter(name =>
      /^vc-|authorization|cookie|account|api-key/.test(name),
    );
    assert.deepEqual(leaked, []);
  });
});
