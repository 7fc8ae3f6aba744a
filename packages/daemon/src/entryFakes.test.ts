import type {MonotonicMs} from '@vanillacross/common';
import {
  toBranded,
  createLogger,
  getSha256,
  Metrics,
  ok,
  systemClock,
} from '@vanillacross/common';
import type {ControlState, Load, LogRecord} from '@vanillacross/domain';
import {applyControlRecords, emptyControlState} from '@vanillacross/domain';
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {
  AgentPresence,
  Context,
  ControlFollower,
  Membership,
} from './types.js';

// Test doubles shared by the tests of the request path of an entry.

export const SECRET = 'cluster';
export const KEY = 'sk-caller-one';
export const DEADLINE_MS = 10_000;

export function createTestContext(): Context {
  return {
    self: {
      id: 'e1',
      role: 'entry',
      domain: 'd1',
      address: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      state: 'live',
    },
    epoch: toBranded('entry-epoch'),
    clock: systemClock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
    clusterSecret: SECRET,
  };
}

let nextOffset = 0;

export function createPutRecord(
  state: ControlState,
  key: string,
  body: unknown,
): LogRecord {
  const offset = nextOffset++;
  return {
    offset,
    appendId: `append-${offset}`,
    payload: {
      type: 'put',
      key,
      baseRevision: state.records.get(key)?.revision ?? 0,
      schemaVersion: 1,
      body,
      operator: 'test',
    },
  };
}

export interface FakeControl extends ControlFollower {
  put(key: string, body: unknown): void;
  apply(record: LogRecord): void;
}

export function createFakeControl(
  records: Record<string, unknown>,
): FakeControl {
  let state: ControlState = {...emptyControlState, isComplete: true};
  const listeners = new Set<
    (state: ControlState, previous: ControlState) => void
  >();
  const apply = (record: LogRecord) => {
    const previous = state;
    state = applyControlRecords(state, [record]);
    for (const listener of listeners) listener(state, previous);
  };
  const put = (key: string, body: unknown) =>
    apply(createPutRecord(state, key, body));
  for (const [key, body] of Object.entries(records)) put(key, body);
  return {
    name: 'control',
    start: () => {},
    stop: async () => {},
    getState: () => state,
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    append: async () => ok({tag: 'accepted' as const, offset: 0}),
    getLastLogContact: () => null,
    recordHighestOffset: () => {},
    rpcMethods: {},
    put,
    apply,
  };
}

export const idleLoad: Load = {
  running: 0,
  limit: 8,
  waiting: 0,
  epoch: 'engine-epoch',
  version: 1,
  cold: false,
};

export interface FakeMembership extends Membership {
  agents: AgentPresence[];
  failures: string[];
  authority: boolean;
}

export function createFakeMembership(
  agents: Array<{id: string; address: string; pool?: string}>,
): FakeMembership {
  const presences = agents.map(({id, address, pool = 'plain'}) => ({
    instance: {
      id: `agent-${id}`,
      role: 'agent' as const,
      domain: 'd1',
      address,
      peerAddress: '127.0.0.1:1',
      state: 'live' as const,
      upstream: {id, pool},
    },
    epoch: toBranded<AgentPresence['epoch'] & string>(`epoch-${id}`),
    load: {...idleLoad},
    offset: 0,
    lastSeenAt: 0 as MonotonicMs,
    isLeaving: false,
  }));
  const getMembers = (pool: string) =>
    fake.agents.filter(agent => agent.instance.upstream.pool === pool);
  const fake: FakeMembership = {
    name: 'membership',
    agents: presences,
    failures: [],
    authority: true,
    start: () => {},
    stop: async () => {},
    getInstances: () => fake.agents.map(agent => agent.instance),
    getPeers: () => [],
    getPoolMembers: getMembers,
    getCandidates: pool => getMembers(pool).filter(agent => !agent.isLeaving),
    getAgent: id =>
      fake.agents.find(agent => agent.instance.upstream.id === id) ?? null,
    recordLoad: () => {},
    recordFailure: id => fake.failures.push(id),
    onReport: () => {},
    hasAuthority: () => fake.authority,
    rpcMethods: {},
  };
  return fake;
}

export interface ReceivedRequest {
  method: string;
  url: string;
  headers: http.IncomingHttpHeaders;
  body: string;
}

export interface FakeAgent {
  id: string;
  address: string;
  received: ReceivedRequest[];
  handler: AgentHandler;
  close(): Promise<void>;
}

export type AgentHandler = (
  response: http.ServerResponse,
  request: ReceivedRequest,
  incoming: http.IncomingMessage,
) => void;

/** Sends a response as an agent does, with the outcome in a trailer. */
export function sendComplete(
  response: http.ServerResponse,
  body: string,
  headers: http.OutgoingHttpHeaders = {},
): void {
  response.writeHead(200, {
    'content-type': 'text/plain',
    'vc-load': JSON.stringify(idleLoad),
    trailer: 'vc-outcome, vc-usage, vc-spans',
    ...headers,
  });
  response.write(body);
  endComplete(response);
}

export function endComplete(response: http.ServerResponse): void {
  response.addTrailers({
    'vc-outcome': 'whole',
    'vc-usage': JSON.stringify({prompt: 3, generated: 2}),
    'vc-spans': JSON.stringify([[7, 2]]),
  });
  response.end();
}

export function sendNotRun(
  response: http.ServerResponse,
  reason: string,
  load: Load = idleLoad,
): void {
  response.writeHead(503, {
    'vc-not-run': '1',
    'vc-refusal': reason,
    'vc-load': JSON.stringify(load),
  });
  response.end();
}

export async function startFakeAgent(
  id: string,
  handler: AgentHandler,
): Promise<FakeAgent> {
  const agent: FakeAgent = {
    id,
    address: '',
    received: [],
    handler,
    close: async () => {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('end', () => {
      const seen: ReceivedRequest = {
        method: request.method ?? '',
        url: request.url ?? '',
        headers: request.headers,
        body: Buffer.concat(chunks).toString(),
      };
      agent.received.push(seen);
      agent.handler(response, seen, request);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  agent.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return agent;
}

/** Returns an address that refuses connections. */
export async function getClosedAddress(): Promise<string> {
  const agent = await startFakeAgent('gone', () => {});
  await agent.close();
  return agent.address;
}

export const baseRecords: Record<string, unknown> = {
  'account/one': {},
  'account/two': {},
  'key/k1': {account: 'one', hash: getSha256(KEY), state: 'active'},
  'key/k2': {account: 'two', hash: getSha256('sk-two'), state: 'active'},
  'pool/plain': {kind: 'plain'},
  'pool/engine': {kind: 'engine', model: 'm'},
  'route/seats': {
    pathPrefix: '/seats',
    pool: 'plain',
    access: 'open',
    repeat: 'idempotent',
  },
  'route/holds': {
    pathPrefix: '/holds',
    pool: 'plain',
    access: ['one'],
    repeat: 'once',
  },
  'route/private': {
    pathPrefix: '/private',
    pool: 'plain',
    access: ['one'],
    repeat: 'idempotent',
  },
  'route/completions': {
    pathPrefix: '/v1/completions',
    model: 'm',
    pool: 'engine',
    access: ['one'],
    repeat: 'idempotent',
  },
};
