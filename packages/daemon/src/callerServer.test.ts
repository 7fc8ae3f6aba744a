import {parseAddress, parseJson} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as http from 'node:http';
import {afterEach, describe, it} from 'node:test';

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
  createContext,
  createFakeControl,
  createFakeMembership,
  KEY,
  sendWhole,
  startAgent,
} from './entryFakes.test.js';
import type {Context, Dispatcher, HttpAction} from './types.js';

interface Answer {
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
  const agent = await startAgent('u1', handler);
  const context = createContext();
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

function open(
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

async function readAnswer(request: http.ClientRequest): Promise<Answer> {
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch {
    // The cut shows in `complete`.
  }
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
): Promise<Answer> {
  return readAnswer(open(entry, path, options, body));
}

export function getError(answer: Answer): {code: string; notRun: boolean} {
  const parsed = parseJson(answer.text);
  assert.ok(parsed.ok, `not JSON: ${answer.text}`);
  return (parsed.value as {error: {code: string; notRun: boolean}}).error;
}

const keyed = {authorization: `Bearer ${KEY}`};

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

describe('caller server', () => {
  it('forwards a request and its answer', async () => {
    const entry = await startEntry((response, request) =>
      sendWhole(response, `got ${request.body}`),
    );
    const answer = await send(
      entry,
      '/private/x?a=1',
      {method: 'POST', headers: keyed},
      'hello',
    );
    assert.equal(answer.status, 200);
    assert.equal(answer.text, 'got hello');
    assert.equal(entry.agent.seen[0].url, '/private/x?a=1');
    assert.equal(entry.agent.seen[0].headers['vc-account'], 'one');
    assert.deepEqual(
      entry.dispatcher.getCells().map(cell => [cell.account, cell.requests]),
      [['one', 1]],
    );
  });
});
