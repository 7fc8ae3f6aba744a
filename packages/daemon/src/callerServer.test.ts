import {getSha256, parseAddress, parseJson} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';

import type {CallerServer} from './callerServer.js';
import {createCallerServer, defaultCallerLimits} from './callerServer.js';
import {createDispatcher} from './dispatcher.js';
import type {
  AgentHandler,
  FakeAgent,
  FakeControl,
  FakeMembership,
} from './entryFakes.test.js';
import {
  baseRecords,
  createTestContext,
  createFakeControl,
  createFakeMembership,
  createPutRecord,
  endComplete,
  KEY,
  sendComplete,
  startFakeAgent,
} from './entryFakes.test.js';
import type {Context, Dispatcher, HttpAction} from './types.js';

interface ReceivedResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  text: string;
  isComplete: boolean;
}

interface Entry {
  agent: FakeAgent;
  context: Context;
  control: FakeControl;
  membership: FakeMembership;
  server: CallerServer;
  dispatcher: Dispatcher;
}

const cleanups: Array<() => Promise<void>> = [];

async function startEntry(
  handler: AgentHandler,
  actions: HttpAction[] = [],
  limits = {},
): Promise<Entry> {
  const agent = await startFakeAgent('u1', handler);
  const context = createTestContext();
  const control = createFakeControl(baseRecords);
  const membership = createFakeMembership([
    {id: 'u1', address: agent.address},
    {id: 'u2', address: agent.address, pool: 'engine'},
  ]);
  const dispatcher = createDispatcher(context, control, membership);
  const server = createCallerServer(
    context,
    control,
    membership,
    dispatcher,
    actions,
    {...defaultCallerLimits, ...limits},
  );
  await dispatcher.start();
  await server.start();
  cleanups.push(async () => {
    await server.stop(AbortSignal.abort());
    await dispatcher.stop(AbortSignal.abort());
    await agent.close();
  });
  return {agent, context, control, membership, server, dispatcher};
}

function startRequest(
  entry: Entry,
  path: string,
  options: http.RequestOptions = {},
  body?: string,
): http.ClientRequest {
  const address = parseAddress(entry.server.getAddress());
  const request = http.request({...address, path, agent: false, ...options});
  request.on('error', () => {});
  request.end(body);
  return request;
}

async function readResponse(
  request: http.ClientRequest,
): Promise<ReceivedResponse> {
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  // Truncation is reported by `response.complete`, so the error is ignored.
  response.on('error', () => {});
  await new Promise(resolve => response.on('close', resolve));
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    text: Buffer.concat(chunks).toString(),
    isComplete: response.complete,
  };
}

function send(
  entry: Entry,
  path: string,
  options: http.RequestOptions = {},
  body?: string,
): Promise<ReceivedResponse> {
  return readResponse(startRequest(entry, path, options, body));
}

function getError(answer: ReceivedResponse): {code: string; notRun: boolean} {
  const parsed = parseJson(answer.text);
  assert.ok(parsed.ok, `not JSON: ${answer.text}`);
  return (parsed.value as {error: {code: string; notRun: boolean}}).error;
}

function withdrawKey(entry: Entry): void {
  const hash = getSha256(KEY);
  entry.control.put('key/k1', {account: 'one', hash, state: 'withdrawn'});
}

/** Polls until a condition holds; the test timeout bounds the wait. */
async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await delay(5);
}

const keyed = {authorization: `Bearer ${KEY}`};

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

describe('caller server', () => {
  it('forwards a request and its response', async () => {
    const entry = await startEntry((response, request) =>
      sendComplete(response, `got ${request.body}`),
    );
    const answer = await send(
      entry,
      '/private/x?a=1',
      {method: 'POST', headers: keyed},
      'hello',
    );
    assert.equal(answer.status, 200);
    assert.equal(answer.text, 'got hello');
    assert.equal(entry.agent.received[0].url, '/private/x?a=1');
    assert.equal(entry.agent.received[0].headers['vc-account'], 'one');
    assert.deepEqual(
      entry.dispatcher
        .getUsageCells()
        .map(cell => [cell.account, cell.requests]),
      [['one', 1]],
    );
  });

  it('never forwards a key or an account header (guards R5)', async () => {
    const entry = await startEntry(response => sendComplete(response, 'ok'));
    await send(entry, `/private/x?api_key=${KEY}&q=1&note=${KEY}`, {
      headers: {
        ...keyed,
        'x-api-key': KEY,
        cookie: `session=${KEY}`,
        'x-account-id': 'two',
        'vc-account': 'two',
        'vc-not-run': '1',
        'x-note': `see ${KEY}`,
        'x-harmless': 'kept',
      },
    });
    const [seen] = entry.agent.received;
    assert.equal(seen.url, '/private/x?q=1');
    assert.equal(JSON.stringify(seen).includes(KEY), false);
    assert.equal(seen.headers['vc-account'], 'one');
    assert.equal(seen.headers['vc-not-run'], undefined);
    assert.equal(seen.headers['x-account-id'], undefined);
    assert.equal(seen.headers['x-harmless'], 'kept');
  });

  const completion = JSON.stringify({model: 'm', prompt: 'p', stream: true});
  const post = {method: 'POST', headers: keyed};
  const refusals: Array<{
    code: string;
    status: number;
    path: string;
    options?: http.RequestOptions;
    body?: string;
    prepare?: (entry: Entry) => void;
  }> = [
    {code: 'unauthorized', status: 401, path: '/private/x'},
    {
      code: 'unauthorized',
      status: 401,
      path: '/private/x',
      options: {headers: {authorization: 'Bearer other'}},
    },
    {
      code: 'forbidden',
      status: 403,
      path: '/private/x',
      options: {headers: {authorization: 'Bearer sk-two'}},
    },
    {code: 'route_unknown', status: 404, path: '/nowhere'},
    {code: 'route_unknown', status: 404, path: '/privateer'},
    {code: 'bad_request', status: 400, path: '/seats/../private/x'},
    {code: 'bad_request', status: 400, path: '/seats/%2e%2e/private/x'},
    {
      code: 'too_large',
      status: 413,
      path: '/private/x',
      options: post,
      body: 'x'.repeat(2_000),
    },
    {
      code: 'bad_request',
      status: 400,
      path: '/v1/completions',
      options: post,
      body: '{',
    },
    {
      code: 'route_unknown',
      status: 404,
      path: '/v1/completions',
      options: post,
      body: JSON.stringify({model: 'other'}),
    },
    {
      code: 'authority_lost',
      status: 503,
      path: '/private/x',
      options: {headers: keyed},
      prepare: entry => {
        entry.membership.authority = false;
      },
    },
    {
      code: 'key_withdrawn',
      status: 401,
      path: '/private/x',
      options: {headers: keyed},
      prepare: entry => withdrawKey(entry),
    },
    {
      code: 'no_upstream',
      status: 503,
      path: '/private/x',
      options: {headers: keyed},
      prepare: entry => {
        entry.membership.agents = [];
      },
    },
    {
      code: 'quarantined',
      status: 422,
      path: '/seats/deadly',
      prepare: entry => {
        const fingerprint = createHash('sha256')
          .update('GET\n/seats/deadly\n')
          .digest('hex');
        entry.control.apply({
          ...createPutRecord(entry.control.getState(), 'x', null),
          payload: {type: 'quarantine', fingerprint, reason: 'crashes'},
        });
      },
    },
  ];
  for (const {code, status, path, options, body, prepare} of refusals) {
    it(`refuses ${path} with ${code} and does not forward it (guards R12)`, async () => {
      const entry = await startEntry(
        response => sendComplete(response, 'ran'),
        [],
        {maxBodyBytes: 1_000},
      );
      prepare?.(entry);
      const answer = await send(entry, path, options, body);
      assert.equal(answer.status, status);
      const error = getError(answer);
      assert.equal(error.code, code);
      assert.equal(error.notRun, true);
      assert.equal(entry.agent.received.length, 0);
      assert.equal(
        entry.context.metrics.getCount('vc_refusals', {reason: code}),
        1,
      );
    });
  }

  it('treats callers of open routes as anonymous while it cannot validate keys', async () => {
    const entry = await startEntry(response => sendComplete(response, 'ok'));
    entry.membership.authority = false;
    const answer = await send(entry, '/seats/1', {headers: keyed});
    assert.equal(answer.status, 200);
    assert.equal(entry.agent.received[0].headers['vc-account'], '-');
  });

  function startStream(response: http.ServerResponse): void {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      trailer: 'vc-outcome',
    });
    response.write('data: {"text":"a"}\n\n');
  }

  it('ends an open stream when its key is withdrawn (guards R6)', async () => {
    let closed = false;
    const entry = await startEntry((response, _request, incoming) => {
      startStream(response);
      incoming.socket.on('close', () => (closed = true));
    });
    const request = startRequest(entry, '/v1/completions', post, completion);
    const answer = readResponse(request);
    const [response] = (await once(request, 'response')) as [
      http.IncomingMessage,
    ];
    await once(response, 'data');
    withdrawKey(entry);
    const {text} = await answer;
    assert.match(text, /event: error\ndata: .*"key_withdrawn"/);
    assert.equal(text.includes('[DONE]'), false);
    await waitFor(() => closed);
  });

  it('closes idle connections of a withdrawn key (guards R6)', async () => {
    const entry = await startEntry(response => sendComplete(response, 'ok'));
    const agent = new http.Agent({keepAlive: true});
    const request = startRequest(entry, '/private/x', {headers: keyed, agent});
    await readResponse(request);
    const closed = once(request.socket!, 'close');
    withdrawKey(entry);
    await closed;
    agent.destroy();
  });

  // `isClosed`: the connection of the caller is closed without an error event.
  const cuts: Array<{name: string; handler: AgentHandler; isClosed: boolean}> =
    [
      {
        name: 'a stream whose connection breaks',
        handler: response => {
          startStream(response);
          setTimeout(() => response.destroy(), 50);
        },
        isClosed: false,
      },
      {
        name: 'a stream that ends without the outcome trailer',
        handler: response => {
          startStream(response);
          response.end('data: {"text":"b"}\n\ndata: [DONE]\n\n');
        },
        isClosed: false,
      },
      {
        name: 'a stream with the outcome trailer "cut"',
        handler: response => {
          startStream(response);
          response.write('data: {"te');
          response.addTrailers({'vc-outcome': 'cut'});
          response.end();
        },
        isClosed: false,
      },
      {
        name: 'a large response whose connection breaks',
        handler: response => {
          response.writeHead(200, {'content-type': 'text/plain'});
          response.write('x'.repeat(3 * 1024 * 1024));
          setTimeout(() => response.destroy(), 50);
        },
        isClosed: true,
      },
    ];
  for (const {name, handler, isClosed} of cuts) {
    it(`reports ${name} as truncated (guards R11)`, async () => {
      const entry = await startEntry(handler);
      const answer = await send(entry, '/v1/completions', post, completion);
      if (isClosed) {
        assert.equal(answer.isComplete, false);
        return;
      }
      assert.match(answer.text, /\n\nevent: error\ndata: .*"notRun":false/);
      assert.equal(answer.text.includes('[DONE]'), false);
      assert.equal(answer.text.includes('data: {"te\n'), false);
    });
  }

  it('forwards a complete stream with its end event', async () => {
    const entry = await startEntry(response => {
      startStream(response);
      response.write('data: [DONE]\n\n');
      endComplete(response);
    });
    const answer = await send(entry, '/v1/completions', post, completion);
    assert.equal(answer.text, 'data: {"text":"a"}\n\ndata: [DONE]\n\n');
  });

  it('cancels the attempt when the caller disconnects', async () => {
    let closed = false;
    const entry = await startEntry((response, _request, incoming) => {
      startStream(response);
      incoming.socket.on('close', () => (closed = true));
    });
    const request = startRequest(entry, '/v1/completions', post, completion);
    await once(request, 'response');
    request.destroy();
    await waitFor(() => closed);
  });

  it('finishes running requests before it stops (guards R15)', async () => {
    const held: http.ServerResponse[] = [];
    const entry = await startEntry(response => held.push(response));
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    const request = startRequest(entry, '/private/x', {headers: keyed, agent});
    const answer = readResponse(request);
    await waitFor(() => held.length === 1);
    let isStopped = false;
    const stopped = entry.server
      .stop(new AbortController().signal)
      .then(() => (isStopped = true));
    await assert.rejects(once(startRequest(entry, '/seats/1'), 'response'));
    assert.equal(isStopped, false);
    sendComplete(held[0], 'late but whole');
    assert.equal((await answer).text, 'late but whole');
    await stopped;
    agent.destroy();
  });

  it('accepts no further requests on open connections while draining', async () => {
    const held: http.ServerResponse[] = [];
    const entry = await startEntry(response => held.push(response));
    const address = parseAddress(entry.server.getAddress())!;
    const socket = net.connect(address.port, address.host);
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    socket.write('GET /seats/1 HTTP/1.1\r\nhost: x\r\n\r\n');
    await waitFor(() => held.length === 1);
    const stopped = entry.server.stop(new AbortController().signal);
    socket.write('GET /seats/2 HTTP/1.1\r\nhost: x\r\n\r\n');
    sendComplete(held[0], 'first');
    await once(socket, 'close');
    await stopped;
    assert.match(text, /first/);
    assert.equal(entry.agent.received.length, 1);
  });

  it('rejects a request whose body arrives too slowly', async () => {
    const entry = await startEntry(
      response => sendComplete(response, 'ok'),
      [],
      {
        headerTimeoutMs: 50,
        bodyTimeoutMs: 100,
        checkIntervalMs: 20,
      },
    );
    const address = parseAddress(entry.server.getAddress())!;
    const socket = net.connect(address.port, address.host);
    socket.write('POST /seats/1 HTTP/1.1\r\ncontent-length: 9\r\n\r\nslow');
    let text = '';
    socket.on('data', chunk => (text += String(chunk)));
    await once(socket, 'close');
    assert.match(text, /^HTTP\/1.1 40[08]/);
    assert.equal(entry.agent.received.length, 0);
  });

  it('closes the response of an action when its key is withdrawn', async () => {
    const action: HttpAction = {
      name: 'deliveries',
      matches: (_method, path) => path === '/v1/trainers/t',
      perform: async (_request, response) => {
        response.writeHead(200);
        response.write('{"sampleId":"s"}\n');
        await once(response, 'close');
      },
    };
    const entry = await startEntry(() => {}, [action]);
    const request = startRequest(entry, '/v1/trainers/t', post);
    const answer = readResponse(request);
    await once(request, 'response');
    withdrawKey(entry);
    assert.equal((await answer).isComplete, false);
  });
});
