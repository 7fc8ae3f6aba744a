import assert from 'node:assert/strict';
import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {afterEach, describe, it} from 'node:test';

import type {Epoch, RpcMethods} from '@vanillacross/common';
import {
  Metrics,
  closeServer,
  createLogger,
  createRpcHandler,
  getAuthHeader,
  listen,
  systemClock,
} from '@vanillacross/common';
import type {AgentView} from '@vanillacross/domain';
import {HEADERS, poolSchema} from '@vanillacross/domain';

import type {AgentLimits} from './agentLimits.js';
import type {AgentServer} from './agentServer.js';
import {createAgentServer} from './agentServer.js';
import {getCanonicalHeaders} from './canonicalHeaders.js';

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

const SECRET = 'cluster';
const LOOPBACK = {host: '127.0.0.1', port: 0};
/** Timeout of a wait, ms; long enough for a loaded machine. */
const WAIT_TIMEOUT_MS = 20_000;

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

async function startPeer(methods: RpcMethods): Promise<string> {
  const handle = createRpcHandler(SECRET, methods);
  const server = http.createServer((request, response) => {
    void handle(request, response);
  });
  closers.push(() => {
    server.closeAllConnections();
    return closeServer(server);
  });
  return listen(server, LOOPBACK);
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
  id = 'u1',
): Promise<Fixture> {
  const metrics = new Metrics();
  const view: AgentView = {
    offset: 5,
    fencing: 3,
    pool: poolSchema.parse({kind, ramp: {initial: 4}}),
    // Above the first offset, so the agent knows all keys of the pool.
    poolCreatedAt: 7,
    upstream: null,
    isDomainIn: true,
    windowMs: 1_000,
    members: [],
  };
  const agent = createAgentServer(
    {
      self: {
        id: 'a1',
        role: 'agent',
        domain: 'd1',
        address: '127.0.0.1:0',
        peerAddress: '127.0.0.1:0',
        state: 'live',
        upstream: {id, pool: 'p1'},
      },
      epoch: 'agent-epoch' as Epoch,
      clock: systemClock,
      logger: createLogger('test', 'silent'),
      metrics,
      clusterSecret: SECRET,
    },
    {
      upstream: {id, pool: 'p1', url: `http://${upstream}`},
      getView: () => view,
      getHighestFencing: () => 3,
      limits: {statusIntervalMs: 20, ...limits},
    },
  );
  upstreamIds.set(agent, id);
  await agent.start();
  closers.push(() => agent.stop(AbortSignal.abort()));
  await waitFor(() => agent.isReady());
  return {agent, metrics, view};
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const until = Date.now() + WAIT_TIMEOUT_MS;
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
/** Upstream id of each started agent; the signature in `vc-auth` covers it. */
const upstreamIds = new Map<AgentServer, string>();

function sendRequest(
  agent: AgentServer,
  headers: Record<string, string> = {},
  body = '',
  path = '/work',
): http.ClientRequest {
  const id = `r${++sent}`;
  const method = 'POST';
  const covered: Record<string, string> = {
    [HEADERS.request]: id,
    [HEADERS.attempt]: id,
    [HEADERS.repeat]: 'once',
    [HEADERS.account]: 'acme',
    [HEADERS.window]: '9',
    [HEADERS.entryEpoch]: 'e1',
    ...headers,
  };
  const signedHeaders = getCanonicalHeaders(
    upstreamIds.get(agent) ?? '',
    covered,
  );
  const outgoing = http.request(`http://${agent.getAddress()}${path}`, {
    method,
    agent: false,
    headers: {
      [HEADERS.auth]: getAuthHeader(
        SECRET,
        method,
        path,
        signedHeaders,
        Date.now(),
      ),
      ...covered,
    },
  });
  outgoing.end(body);
  return outgoing;
}

function readAnswer(outgoing: http.ClientRequest): Promise<Answer> {
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
  return readAnswer(sendRequest(agent, headers, body));
}

describe('agent data listener', () => {
  it('forwards a request and its response without private headers', async () => {
    // Guards against leaking credentials or account names to an upstream.
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

  for (const status of ['000', '042', '099', '600', '999']) {
    it(`does not pass on a response with status ${status} (guards against a caller that gets it as an answer)`, async () => {
      const upstream = await startUpstream((request, response) => {
        if (request.method === 'GET') {
          response.end();
          return;
        }
        request.socket.write(
          `HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`,
        );
      });
      const {agent} = await startAgent('plain', upstream);
      const answer = await send(agent);
      assert.equal(answer.status, 502);
      assert.equal(answer.headers[HEADERS.notRun], undefined);
      assert.equal(answer.trailers[HEADERS.outcome], undefined);
    });
  }

  it('refuses unauthenticated requests', async () => {
    // Guards against requests that bypass the entries and their key checks.
    let runs = 0;
    const upstream = await startUpstream((_, response) => {
      runs += 1;
      response.end();
    });
    const {agent, metrics} = await startAgent('plain', upstream);
    const answer = await send(agent, {[HEADERS.auth]: '1.forged'});
    assert.equal(answer.status, 401);
    assert.equal(answer.headers['vc-refusal'], 'bad_auth');
    assert.equal(runs, 0);
    const labels = {reason: 'bad_auth'};
    assert.equal(metrics.getCount('vc_agent_refusals_total', labels), 1);
  });

  it('refuses requests above the limit without sending them', async () => {
    // Guards against sending a cold upstream more load than it can handle.
    const held: ServerResponse[] = [];
    const upstream = await startUpstream((_, response) => held.push(response));
    const {agent} = await startAgent('plain', upstream);
    const running = [1, 2, 3, 4].map(() => send(agent));
    await waitFor(() => held.length === 4);
    const refused = await send(agent);
    assert.equal(refused.headers['vc-refusal'], 'at_limit');
    assert.equal(refused.headers['vc-not-run'], '1');
    const load = JSON.parse(String(refused.headers['vc-load'])) as object;
    assert.deepEqual(load, {...agent.getLoad(), running: 4, limit: 4});
    assert.equal(held.length, 4);
    for (const response of held) response.end('x');
    const answers = await Promise.all(running);
    assert.ok(answers.every(a => a.trailers['vc-outcome'] === 'whole'));
  });

  it('marks responses that the upstream cut off', async () => {
    // Guards against a truncated response that looks complete.
    const cases: Array<[string, (response: ServerResponse) => void]> = [
      ['chunked', response => response.write('part')],
      [
        'with a length',
        response => {
          response.writeHead(200, {'content-length': 100});
          response.write('part');
        },
      ],
    ];
    for (const [name, begin] of cases) {
      const upstream = await startUpstream((_, response) => {
        begin(response);
        setImmediate(() => response.socket?.destroy());
      });
      const {agent} = await startAgent('plain', upstream);
      const answer = await send(agent);
      assert.equal(answer.trailers['vc-outcome'], 'cut', name);
    }
  });

  it('says "not run" only with proof', async () => {
    // Guards against a second execution after a failure that does not prove
    // that the first one did not happen.
    const gone = http.createServer();
    const refusing = await listen(gone, LOOPBACK);
    await closeServer(gone);
    let runs = 0;
    const resetting = await startUpstream((request, response) => {
      runs += 1;
      if (runs === 1) response.end('first');
      else request.socket.destroy();
    });
    const first = await startAgent('plain', refusing);
    const refused = await send(first.agent);
    assert.equal(refused.headers['vc-refusal'], 'upstream_refused');
    assert.equal(refused.headers['vc-not-run'], '1');
    const second = await startAgent('plain', resetting);
    // The second request reuses the keep-alive connection of the first.
    await send(second.agent, {[HEADERS.repeat]: 'idempotent'});
    for (const repeat of ['idempotent', 'once']) {
      const answer = await send(second.agent, {[HEADERS.repeat]: repeat});
      assert.equal(answer.headers['vc-refusal'], 'upstream_failed');
      assert.equal(answer.headers['vc-not-run'], undefined);
    }
  });

  it('runs each attempt id once', async () => {
    // Guards against a duplicated message that runs a request twice.
    let runs = 0;
    const upstream = await startUpstream((_, response) => {
      runs += 1;
      response.end();
    });
    const {agent} = await startAgent('plain', upstream);
    const attempt = {[HEADERS.attempt]: 'same'};
    await send(agent, attempt);
    const answer = await send(agent, attempt);
    assert.equal(answer.headers['vc-refusal'], 'duplicate_attempt');
    assert.equal(answer.headers['vc-not-run'], undefined);
    assert.equal(runs, 1);
  });

  it('cancels the upstream request when the caller disconnects', async () => {
    // Guards against abandoned requests that keep their slots.
    let closed = 0;
    let started = 0;
    const upstream = await startUpstream((_, response) => {
      started += 1;
      response.on('close', () => (closed += 1));
    });
    const {agent} = await startAgent('plain', upstream);
    const outgoing = sendRequest(agent);
    outgoing.on('error', () => {});
    await waitFor(() => started === 1);
    outgoing.destroy();
    await waitFor(() => closed === 1 && agent.getLoad().running === 0);
  });

  it('enforces deadlines before and during a run', async () => {
    // Guards against work for a caller that no longer waits for it.
    const upstream = await startUpstream(() => {});
    const {agent} = await startAgent('plain', upstream);
    const late = await send(agent, {[HEADERS.deadline]: '0'});
    assert.equal(late.headers['vc-refusal'], 'expired');
    assert.equal(late.headers['vc-not-run'], '1');
    const hung = await send(agent, {[HEADERS.deadline]: '50'});
    assert.equal(hung.headers['vc-refusal'], 'deadline');
    assert.equal(hung.headers['vc-not-run'], undefined);
  });

  it('frees the slot of a caller that does not read', async () => {
    // Guards against stalled callers that keep their slots past the deadline.
    const upstream = await startUpstream((_, response) => {
      response.write(Buffer.alloc(32 * 1024 * 1024));
    });
    const {agent} = await startAgent('plain', upstream);
    const outgoing = sendRequest(agent, {[HEADERS.deadline]: '300'});
    outgoing.on('error', () => {});
    outgoing.on('response', answer => answer.pause());
    await waitFor(() => agent.getLoad().running === 1);
    await waitFor(() => agent.getLoad().running === 0);
    outgoing.destroy();
  });

  it('refuses new requests while its failure domain is out of service', async () => {
    // Guards against new work for an upstream that is being removed.
    const upstream = await startUpstream((_, response) => response.end());
    const {agent, view} = await startAgent('plain', upstream);
    view.isDomainIn = false;
    const out = await send(agent);
    assert.equal(out.headers['vc-refusal'], 'draining');
    assert.equal(out.headers['vc-not-run'], '1');
    view.isDomainIn = true;
    assert.equal((await send(agent)).status, 200);
  });

  it('finishes running requests before it stops', async () => {
    // Guards against a shutdown that interrupts running requests.
    const held: ServerResponse[] = [];
    const upstream = await startUpstream((_, response) => held.push(response));
    const {agent} = await startAgent('plain', upstream);
    const running = send(agent);
    await waitFor(() => held.length === 1);
    const stopped = agent.stop(new AbortController().signal);
    const refused = await send(agent);
    assert.equal(refused.headers['vc-refusal'], 'leaving');
    assert.equal(refused.headers['vc-not-run'], '1');
    held[0].end('late');
    assert.equal((await running).trailers['vc-outcome'], 'whole');
    await stopped;
  });
});

describe('agent deduplication by idempotency key', () => {
  it('runs a request once and replays the stored response', async () => {
    // Guards against a double charge when a caller repeats a request.
    let runs = 0;
    const held: ServerResponse[] = [];
    const upstream = await startUpstream((_, response) => {
      runs += 1;
      held.push(response);
    });
    const {agent} = await startAgent('plain', upstream);
    const key = {[HEADERS.idempotencyKey]: 'k1', [HEADERS.fingerprint]: 'f1'};
    const first = send(agent, key);
    await waitFor(() => runs === 1);
    const second = send(agent, key);
    held[0].writeHead(202, {'x-hold': 'h7'});
    held[0].end('held');
    for (const answer of [await first, await second, await send(agent, key)]) {
      assert.equal(answer.status, 202);
      assert.equal(answer.body, 'held');
      assert.equal(answer.headers['x-hold'], 'h7');
      assert.equal(answer.trailers['vc-outcome'], 'whole');
    }
    const other = await send(agent, {...key, [HEADERS.fingerprint]: 'f2'});
    assert.equal(other.headers['vc-refusal'], 'key_reused');
    assert.equal(runs, 1);
  });

  it('answers "outcome unknown" after a truncated response', async () => {
    // Guards against a second execution of a request that may have taken
    // effect.
    let runs = 0;
    const upstream = await startUpstream(request => {
      runs += 1;
      request.socket.destroy();
    });
    const {agent} = await startAgent('plain', upstream);
    const key = {[HEADERS.idempotencyKey]: 'k1'};
    await send(agent, key);
    const answer = await send(agent, key);
    assert.equal(answer.status, 504);
    assert.equal(answer.headers['vc-refusal'], 'outcome_unknown');
    assert.equal(answer.headers['vc-not-run'], undefined);
    assert.equal(runs, 1);
  });

  it('replays the response when another agent gets the repeat', async () => {
    // Guards against a second execution when a repeated request reaches another
    // agent; uses the real RPC between agents.
    let runs = 0;
    const upstream = await startUpstream((_, response) => {
      runs += 1;
      response.end('held');
    });
    const members: AgentView['members'] = [];
    const agents: AgentServer[] = [];
    const views: AgentView[] = [];
    for (const id of ['u1', 'u2', 'u3']) {
      const {agent, view} = await startAgent('plain', upstream, {}, id);
      const peerAddress = await startPeer(agent.rpcMethods);
      members.push({
        id: `agent-${id}`,
        role: 'agent',
        domain: 'd1',
        address: agent.getAddress(),
        peerAddress,
        state: 'live',
        upstream: {id, pool: 'p1'},
      });
      agents.push(agent);
      views.push(view);
    }
    for (const view of views) view.members = [...members];
    for (const agent of [...agents, ...agents]) {
      const answer = await send(agent, {[HEADERS.idempotencyKey]: 'k1'});
      assert.equal(answer.body, 'held');
    }
    assert.equal(runs, 1);
  });

  it('completes a keyed request after the caller disconnects', async () => {
    // Guards against cancelling an execution, after which its outcome could not
    // be determined.
    const held: ServerResponse[] = [];
    const upstream = await startUpstream((_, response) => held.push(response));
    const {agent} = await startAgent('plain', upstream);
    const key = {[HEADERS.idempotencyKey]: 'k1'};
    const outgoing = sendRequest(agent, key);
    outgoing.on('error', () => {});
    await waitFor(() => held.length === 1);
    outgoing.destroy();
    const repeat = send(agent, key);
    held[0].end('held');
    assert.equal((await repeat).body, 'held');
    assert.equal(held.length, 1);
  });
});

describe('agent of an engine', () => {
  const status = {epoch: 'g1', state: 'warm', weightVersion: 1};

  function startEngine(handler: Handler): Promise<string> {
    return startUpstream((request, response, body) => {
      if (request.url !== '/v1/engine/status') {
        handler(request, response, body);
        return;
      }
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(status));
    });
  }

  function writeEvent(response: ServerResponse, version: number, text: string) {
    const event = {weight_version: version, choices: [{text}]};
    response.write(`data: ${JSON.stringify(event)}\n\n`);
  }

  it('reports spans and usage of a stream and sets the priority', async () => {
    // Guards against samples labelled with a version that did not produce them.
    Object.assign(status, {epoch: 'g1', weightVersion: 1});
    let seen: Record<string, unknown> = {};
    let stream: ServerResponse | null = null;
    const engine = await startEngine((_, response, body) => {
      seen = JSON.parse(body) as Record<string, unknown>;
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'x-engine-epoch': 'g1',
      });
      writeEvent(response, 1, 'a');
      stream = response;
    });
    const {agent, metrics} = await startAgent('engine', engine);
    const headers = {[HEADERS.priority]: '7', [HEADERS.repeat]: 'idempotent'};
    const pending = send(agent, headers, '{"prompt":"x"}');
    await waitFor(() => stream !== null);
    status.weightVersion = 2;
    await waitFor(() => agent.getLoad().version === 2);
    const response = stream as unknown as ServerResponse;
    writeEvent(response, 2, 'b');
    writeEvent(response, 2, 'c');
    // A version that was never live contradicts the versions known to the
    // agent.
    writeEvent(response, 9, 'd');
    const usage = {prompt_tokens: 5, completion_tokens: 4};
    response.write(`data: ${JSON.stringify({choices: [], usage})}\n\n`);
    response.end('data: [DONE]\n\n');
    const answer = await pending;
    assert.deepEqual(seen, {prompt: 'x', priority: 7});
    assert.equal(answer.trailers['vc-outcome'], 'whole');
    assert.equal(answer.trailers['vc-spans'], '[[1,1],[2,2],[-1,1]]');
    assert.equal(answer.trailers['vc-usage'], '{"prompt":5,"generated":4}');
    assert.equal(metrics.getCount('vc_agent_label_mismatches_total'), 1);
    const report = agent.getReport('e1');
    assert.deepEqual(report.cells, [
      {
        window: 9,
        entryEpoch: 'e1',
        agentEpoch: 'agent-epoch',
        account: 'acme',
        requests: 1,
        promptTokens: 5,
        generatedTokens: 4,
      },
    ]);
    agent.confirmReport(report, 'e1');
    assert.deepEqual(agent.getReport('e1').cells, []);
    assert.equal(agent.getReport('e2').cells.length, 1);
  });

  it('marks a stream without its end event as truncated', async () => {
    // Guards against an engine that stops early but closes the stream cleanly.
    Object.assign(status, {epoch: 'g1', weightVersion: 1});
    const engine = await startEngine((_, response) => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      writeEvent(response, 1, 'a');
      response.end();
    });
    const {agent} = await startAgent('engine', engine);
    const answer = await send(agent, {}, '{}');
    assert.equal(answer.trailers['vc-outcome'], 'cut');
  });

  it('reports the requests in flight when the engine crashed', async () => {
    // Guards against a request that crashes one engine after another.
    Object.assign(status, {epoch: 'g1', weightVersion: 1});
    const engine = await startEngine(request => {
      status.epoch = 'g2';
      request.socket.destroy();
    });
    const {agent} = await startAgent('engine', engine);
    await send(agent, {[HEADERS.fingerprint]: 'f1'}, '{}');
    await waitFor(() => agent.getReport().crashes.length === 1);
    assert.deepEqual(agent.getReport().crashes, [
      {upstream: 'u1', epoch: 'g1', fingerprints: ['f1']},
    ]);
  });
});
