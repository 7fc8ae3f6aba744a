import {
  getAbuseSeed,
  getSha256,
  ok,
  parseAddress,
  parseJson,
} from '@vanillacross/common';
import {createAccessTable, getPathRoutes} from '@vanillacross/domain';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, describe, it} from 'node:test';

import {checkBody} from './callerRequest.js';
import {createCallerServer, defaultCallerLimits} from './callerServer.js';
import {createDispatcher} from './dispatcher.js';
import {
  baseRecords,
  createContext,
  createFakeControl,
  createFakeMembership,
  KEY,
  sendWhole,
  startAgent,
} from './entryFakes.test.js';
import {createOperatorActions} from './operatorActions.js';
import {createTrainerActions} from './trainerActions.js';
import type {EntryMembership} from './membership.js';
import type {ControlFollower} from './types.js';

const TOKEN = 'operator-token';
const options = {seed: getAbuseSeed(), numRuns: 60};
const TRAINER_KEY = 'sk-two';

const cleanups: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Starts one caller listener with all three interfaces of an entry. */
async function startEntry() {
  const agent = await startAgent('u1', response => sendWhole(response, 'ok'));
  const context = createContext();
  const control = createFakeControl({
    ...baseRecords,
    'trainer/t1': {account: 'two', model: 'm', maxVersionAge: 1},
  });
  let appends = 0;
  const follower: ControlFollower = {
    ...control,
    append: async () => {
      appends += 1;
      return ok({tag: 'accepted' as const, offset: 0});
    },
  };
  const membership = createFakeMembership([
    {id: 'u1', address: agent.address},
    {id: 'u2', address: agent.address, pool: 'engine'},
  ]);
  const dispatcher = createDispatcher(context, control, membership);
  const operator = createOperatorActions(
    context,
    follower,
    membership as unknown as EntryMembership,
    {tokenHash: getSha256(TOKEN)},
  );
  const trainer = createTrainerActions(context, control, dispatcher, {
    logPort: {
      append: async () => ok([0]),
      read: async () => ok({records: [], earliest: 0, next: 0}),
    } as never,
    scoring: null,
    getNewestVersion: () => 1,
  });
  const server = createCallerServer(
    context,
    control,
    membership,
    dispatcher,
    [...operator, ...trainer.actions],
    defaultCallerLimits,
  );
  await dispatcher.start();
  await server.start();
  cleanups.push(async () => {
    await trainer.part.stop(AbortSignal.abort());
    await server.stop(AbortSignal.abort());
    await dispatcher.stop(AbortSignal.abort());
    await agent.close();
  });
  const send = (path: string, key: string, body: string, method = 'POST') =>
    new Promise<{status: number; text: string}>((resolve, reject) => {
      const request = http.request(
        {
          ...parseAddress(server.getAddress()),
          path,
          method,
          headers: {authorization: `Bearer ${key}`},
        },
        response => {
          let text = '';
          response.on('data', chunk => (text += chunk));
          response.on('end', () =>
            resolve({status: response.statusCode ?? 0, text}),
          );
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  return {agent, control, send, server, context, getAppends: () => appends};
}

function getCode(text: string): string {
  const parsed = parseJson(text);
  assert.ok(parsed.ok, `not JSON: ${text.slice(0, 200)}`);
  return (parsed.value as {error: {code: string}}).error.code;
}

const DEEP = '['.repeat(20_000) + ']'.repeat(20_000);
const body = fc.oneof(
  fc.string(),
  fc.json(),
  fc.constantFrom('', 'null', '[]', '{', DEEP, `{"puts":${DEEP}}`),
  fc
    .record({
      model: fc.constantFrom('m', 1, null),
      prompt: fc.jsonValue({maxDepth: 2}),
      max_tokens: fc.constantFrom(-1, 1e308, 'x', 5),
      operator: fc.constantFrom('ana', '', 7),
      puts: fc.jsonValue({maxDepth: 2}),
      groups: fc.jsonValue({maxDepth: 2}),
      received: fc.jsonValue({maxDepth: 2}),
    })
    .map(value => JSON.stringify(value)),
);

describe('malformed bodies', () => {
  it('of operators are refused and change nothing', async () => {
    const {send, getAppends} = await startEntry();
    await fc.assert(
      fc.asyncProperty(body, async text => {
        const answer = await send('/operator/v1/records', TOKEN, text);
        assert.equal(answer.status, 400);
        assert.equal(getCode(answer.text), 'bad_request');
      }),
      options,
    );
    assert.equal(getAppends(), 0);
  });

  it('of operators above the limit are told so', async () => {
    const {send} = await startEntry();
    const text = 'x'.repeat(1_100_000);
    const answer = await send('/operator/v1/records', TOKEN, text);
    assert.equal(getCode(answer.text), 'too_large');
  });

  it('of trainers are refused and start nothing', async () => {
    const {agent, send} = await startEntry();
    const rest = fc.constantFrom('', '/deliveries', '/acknowledgements');
    await fc.assert(
      fc.asyncProperty(rest, body, async (end, text) => {
        const path = `/v1/trainers/t1/steps/s1${end}`;
        const answer = await send(path, TRAINER_KEY, text);
        assert.match(getCode(answer.text), /^(bad_request|step_unknown)$/);
      }),
      options,
    );
    assert.equal(agent.seen.length, 0);
  });

  it('of callers are refused or passed on, never a fault', async () => {
    const {context, send} = await startEntry();
    await fc.assert(
      fc.asyncProperty(body, async text => {
        const answer = await send('/v1/completions', KEY, text);
        if (answer.status === 200) return;
        assert.match(getCode(answer.text), /^(bad_request|route_unknown)$/);
      }),
      options,
    );
    const {metrics} = context;
    assert.equal(metrics.getCount('vc_refusals', {reason: 'internal'}), 0);
  });

  it('with a huge max_tokens keep fair shares exact', () => {
    const state = createFakeControl(baseRecords).getState();
    const table = createAccessTable(state);
    const path = '/v1/completions';
    const head = {
      method: 'POST',
      path,
      key: {key: KEY, hash: getSha256(KEY)},
      routes: getPathRoutes(table, 'POST', path),
      needsModel: true,
    };
    const text = '{"model":"m","prompt":"p","max_tokens":1e308}';
    const checked = checkBody(table, state, head, Buffer.from(text));
    // A virtual time of 1e308 would no longer grow by any request's cost.
    assert.ok(checked.ok && checked.value.cost <= 2_000_000);
  });

  it('with a deeply nested prompt are refused as not run', async () => {
    const {agent, send} = await startEntry();
    const text = `{"model":"m","messages":${DEEP}}`;
    const answer = await send('/v1/completions', KEY, text);
    assert.equal(getCode(answer.text), 'bad_request');
    assert.match(answer.text, /"notRun":true/);
    assert.equal(agent.seen.length, 0);
  });
});

describe('malformed bytes on the caller listener', () => {
  it('are refused, and the listener keeps serving', async () => {
    const {send, server} = await startEntry();
    const {host, port} = parseAddress(server.getAddress()) ?? {};
    assert.ok(port);
    const token = fc.constantFrom(
      'GET /seats/1 HTTP/1.1\r\n',
      'POST /v1/completions HTTP/1.1\r\n',
      'host: x\r\n',
      'content-length: 5\r\n',
      'content-length: -1\r\n',
      'transfer-encoding: chunked\r\n',
      'transfer-encoding: xchunked\r\n',
      '\r\n',
      '\n',
      'ffffffffffffffff\r\n',
      '\u0000',
      ' folded: x\r\n',
    );
    const part = fc.oneof(token, fc.string());
    await fc.assert(
      fc.asyncProperty(fc.array(part, {maxLength: 12}), async parts => {
        await new Promise<void>(resolve => {
          const socket = net.connect(port, host, () =>
            socket.end(parts.join('')),
          );
          socket.on('error', () => {});
          socket.on('close', () => resolve());
          socket.resume();
        });
      }),
      options,
    );
    const answer = await send('/seats/1', KEY, '', 'GET');
    assert.equal(answer.status, 200);
  });
});
