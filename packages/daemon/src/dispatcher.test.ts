import {getRendezvousOrder, systemClock} from '@vanillacross/common';
import type {MonotonicMs, Result} from '@vanillacross/common';
import {isAuthHeaderValid} from '@vanillacross/common';
import {poolSchema} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import type * as http from 'node:http';
import {afterEach, describe, it} from 'node:test';

import type {DispatcherOptions} from './dispatcher.js';
import {createDispatcher} from './dispatcher.js';
import type {
  AgentHandler,
  FakeAgent,
  FakeMembership,
} from './entryFakes.test.js';
import {
  baseRecords,
  createTestContext,
  createFakeControl,
  createFakeMembership,
  DEADLINE_MS,
  getClosedAddress,
  idleLoad,
  SECRET,
  sendNotRun,
  sendComplete,
  startFakeAgent,
} from './entryFakes.test.js';
import type {
  ResponseSummary,
  Context,
  Dispatcher,
  DispatchRequest,
  Refusal,
} from './types.js';
import {getCanonicalHeaders} from './canonicalHeaders.js';

interface Fixture {
  agents: FakeAgent[];
  context: Context;
  membership: FakeMembership;
  dispatcher: Dispatcher;
}

const cleanups: Array<() => Promise<void>> = [];

/**
 * Starts one agent per handler; 'gone' is an address that refuses connections.
 */
async function startFixture(
  handlers: Array<AgentHandler | 'gone'>,
  options: DispatcherOptions = {},
): Promise<Fixture> {
  const agents: FakeAgent[] = [];
  const endpoints: Array<{id: string; address: string}> = [];
  for (const [index, handler] of handlers.entries()) {
    const id = `u${index}`;
    if (handler === 'gone') {
      endpoints.push({id, address: await getClosedAddress()});
      continue;
    }
    const agent = await startFakeAgent(id, handler);
    agents.push(agent);
    endpoints.push(agent);
  }
  const context = createTestContext();
  const membership = createFakeMembership(endpoints);
  const control = createFakeControl(baseRecords);
  const dispatcher = createDispatcher(context, control, membership, {
    policy: 'roundRobin',
    random: () => 0,
    ...options,
  });
  await dispatcher.start();
  cleanups.push(async () => {
    await dispatcher.stop(AbortSignal.abort());
    for (const agent of agents) await agent.close();
  });
  return {agents, context, membership, dispatcher};
}

let nextRequest = 0;

function createRequest(
  changes: Partial<DispatchRequest> = {},
): DispatchRequest {
  return {
    requestId: `r${nextRequest++}`,
    account: 'one',
    poolId: 'plain',
    pool: poolSchema.parse({kind: 'plain'}),
    method: 'POST',
    path: '/holds/7',
    headers: {},
    body: Buffer.from('seat 7'),
    repeat: 'once',
    fingerprint: 'f',
    priority: 5,
    cost: 1,
    affinity: '',
    deadline: (systemClock.now() + DEADLINE_MS) as MonotonicMs,
    signal: new AbortController().signal,
    ...changes,
  };
}

async function run(
  fixture: Fixture,
  request: DispatchRequest,
): Promise<{text: string; end: Result<ResponseSummary, Refusal>} | Refusal> {
  const answer = await fixture.dispatcher.dispatch(request);
  if (!answer.ok) return answer.error;
  let text = '';
  for await (const chunk of answer.value.body) text += chunk.toString();
  return {text, end: await answer.value.finished};
}

function countSends(fixture: Fixture): number {
  return fixture.agents.reduce((sum, agent) => sum + agent.received.length, 0);
}

const respondOk: AgentHandler = response => sendComplete(response, 'ok');
const resetConnection: AgentHandler = (_response, _request, incoming) =>
  incoming.socket.destroy();
const truncateResponse: AgentHandler = response => {
  response.writeHead(200, {'content-type': 'text/plain'});
  response.write('part');
  setTimeout(() => response.destroy(), 20);
};
const refuseNotRun: AgentHandler = response =>
  sendNotRun(response, 'engine_down');
const refuseUnknownOutcome: AgentHandler = response => {
  response.writeHead(504, {'vc-refusal': 'outcome_unknown'});
  response.end();
};
const respondToOther: AgentHandler = response =>
  sendComplete(response, 'of another request', {'vc-attempt': 'other'});

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

describe('dispatcher', () => {
  it('signs each attempt and forwards the request id and idempotency key', async () => {
    const fixture = await startFixture([respondOk]);
    const request = createRequest({idempotencyKey: 'hash'});
    const outcome = await run(fixture, request);
    assert.ok('text' in outcome && outcome.end.ok);
    assert.deepEqual(outcome.end.value, {
      spans: [[7, 2]],
      usage: {prompt: 3, generated: 2},
      engineEpoch: 'engine-epoch',
    });
    const {headers} = fixture.agents[0].received[0];
    const auth = headers['vc-auth'] as string;
    const now = systemClock.wallNow();
    const isValidFor = (upstream: string, changed = {}) => {
      const proof = getCanonicalHeaders(upstream, {...headers, ...changed});
      return isAuthHeaderValid(SECRET, 'POST', '/holds/7', proof, auth, now);
    };
    const upstream = 'u0';
    assert.ok(isValidFor(upstream));
    // A captured request must not be replayable (R13) or valid at another
    // agent.
    assert.ok(!isValidFor('another'));
    assert.ok(!isValidFor(upstream, {'vc-attempt': 'fresh'}));
    assert.ok(!isValidFor(upstream, {'vc-account': 'other'}));
    assert.equal(headers['vc-request'], request.requestId);
    assert.equal(headers['vc-idempotency-key'], 'hash');
    assert.equal(headers['vc-entry-epoch'], 'entry-epoch');
  });

  // The first agent is tried first; the second always responds.
  const cases: Array<{
    name: string;
    first: AgentHandler | 'gone';
    once: string;
    idempotent: string;
  }> = [
    {name: 'refused connection', first: 'gone', once: 'ok', idempotent: 'ok'},
    {name: 'not run', first: refuseNotRun, once: 'ok', idempotent: 'ok'},
    {
      name: 'connection reset before a response',
      first: resetConnection,
      once: 'outcome_unknown',
      idempotent: 'ok',
    },
    {
      name: 'truncated response',
      first: truncateResponse,
      once: 'outcome_unknown',
      idempotent: 'ok',
    },
    {
      name: 'unknown outcome at the agent',
      first: refuseUnknownOutcome,
      once: 'outcome_unknown',
      idempotent: 'outcome_unknown',
    },
    {
      name: 'response to another request',
      first: respondToOther,
      once: 'outcome_unknown',
      idempotent: 'ok',
    },
  ];
  for (const {name, first, ...expected} of cases) {
    for (const repeat of ['once', 'idempotent'] as const) {
      it(`after the first outcome "${name}", a request with repeat "${repeat}" ends with ${expected[repeat]} (guards R13)`, async () => {
        const fixture = await startFixture([first, respondOk]);
        const outcome = await run(fixture, createRequest({repeat}));
        if (expected[repeat] === 'ok') {
          assert.ok('text' in outcome);
          assert.equal(outcome.text, 'ok');
          return;
        }
        assert.ok('tag' in outcome);
        assert.equal(outcome.tag, expected[repeat]);
        assert.equal(outcome.notRun, false);
        assert.equal(
          countSends(fixture),
          1,
          'the request must be sent exactly once',
        );
      });
    }
  }

  it('ignores a response that arrives after the deadline (guards R11)', async () => {
    const held: http.ServerResponse[] = [];
    const fixture = await startFixture([response => held.push(response)]);
    const deadline = (systemClock.now() + 100) as MonotonicMs;
    const late = await run(
      fixture,
      createRequest({repeat: 'idempotent', deadline}),
    );
    assert.ok('tag' in late);
    assert.deepEqual([late.tag, late.notRun], ['deadline', false]);
    sendComplete(held[0], 'late');
    fixture.agents[0].handler = respondOk;
    const next = await run(fixture, createRequest({repeat: 'idempotent'}));
    assert.ok('text' in next);
    assert.equal(next.text, 'ok');
  });

  it('reports an unknown outcome for a cancelled non-idempotent request', async () => {
    const controller = new AbortController();
    const fixture = await startFixture([() => controller.abort()]);
    const {signal} = controller;
    const outcome = await run(fixture, createRequest({signal}));
    assert.ok('tag' in outcome);
    assert.deepEqual([outcome.tag, outcome.notRun], ['outcome_unknown', false]);
  });

  describe('with an idempotency key', () => {
    const ids = ['u0', 'u1', 'u2'];

    function getKeyWithOrder(home: string, backup: string): string {
      for (let i = 0; i < 1_000; i++) {
        const order = getRendezvousOrder(`key-${i}`, ids);
        if (order[0] === home && order[1] === backup) return `key-${i}`;
      }
      throw new Error('no such key');
    }

    it('sends repeats to the home agent', async () => {
      const fixture = await startFixture([respondOk, respondOk, respondOk]);
      const idempotencyKey = getKeyWithOrder('u2', 'u0');
      for (let i = 0; i < 5; i++) {
        await run(fixture, createRequest({idempotencyKey}));
      }
      assert.deepEqual(
        fixture.agents.map(agent => agent.received.length),
        [0, 0, 5],
      );
    });

    it('uses the backup agent if the home agent refuses connections (guards R13)', async () => {
      const fixture = await startFixture(['gone', respondOk, respondOk]);
      const idempotencyKey = getKeyWithOrder('u0', 'u2');
      const outcome = await run(fixture, createRequest({idempotencyKey}));
      assert.ok('text' in outcome);
      assert.deepEqual(
        fixture.agents.map(agent => agent.received.length),
        [0, 1],
      );
    });

    it('does not retry on the backup agent if the home agent may have run the request (guards R13)', async () => {
      const fixture = await startFixture([
        resetConnection,
        respondOk,
        respondOk,
      ]);
      const idempotencyKey = getKeyWithOrder('u0', 'u1');
      const outcome = await run(fixture, createRequest({idempotencyKey}));
      assert.ok('tag' in outcome);
      assert.equal(outcome.tag, 'outcome_unknown');
      assert.equal(countSends(fixture), 1);
    });

    it('waits for a home agent at its limit', async () => {
      let refusals = 2;
      const full = {...idleLoad, running: 8};
      const fixture = await startFixture([
        response =>
          refusals-- > 0
            ? sendNotRun(response, 'at_limit', full)
            : sendComplete(response, 'ok'),
        respondOk,
        respondOk,
      ]);
      const idempotencyKey = getKeyWithOrder('u0', 'u1');
      const outcome = await run(fixture, createRequest({idempotencyKey}));
      assert.ok('text' in outcome);
      assert.equal(fixture.agents[0].received.length, 3);
    });
  });

  it('limits sends by the retry budget if all upstreams fail', async () => {
    const fixture = await startFixture([refuseNotRun, refuseNotRun]);
    const count = 40;
    const outcomes = new Set<string>();
    const deadline = (systemClock.now() + 300) as MonotonicMs;
    // The requests run concurrently, so that the number of sends is limited by
    // the retry budget and not by the ejection of upstreams.
    const runs = Array.from({length: count}, () =>
      run(fixture, createRequest({deadline})),
    );
    for (const outcome of await Promise.all(runs)) {
      assert.ok('tag' in outcome);
      assert.equal(outcome.notRun, true);
      outcomes.add(outcome.tag);
    }
    assert.ok(outcomes.has('retry_budget'));
    assert.ok(
      countSends(fixture) <= count + 10,
      `${countSends(fixture)} sends`,
    );
  });

  it('refuses new requests and finishes running ones on stop', async () => {
    const held: http.ServerResponse[] = [];
    const fixture = await startFixture([response => held.push(response)]);
    const running = run(fixture, createRequest());
    while (held.length === 0) await new Promise(setImmediate);
    const stopped = fixture.dispatcher.stop(new AbortController().signal);
    const refused = await run(fixture, createRequest());
    assert.ok('tag' in refused);
    assert.deepEqual([refused.tag, refused.notRun], ['draining', true]);
    sendComplete(held[0], 'done');
    assert.ok('text' in (await running));
    await stopped;
  });

  it('sends no new requests to leaving upstreams (guards R10, R14)', async () => {
    const fixture = await startFixture([respondOk, respondOk]);
    fixture.membership.agents[0].isLeaving = true;
    for (let i = 0; i < 6; i++) await run(fixture, createRequest());
    assert.deepEqual(
      fixture.agents.map(agent => agent.received.length),
      [0, 6],
    );
  });

  it('sends few requests to an upstream that fails fast', async () => {
    const fixture = await startFixture([refuseNotRun, respondOk], {
      policy: 'score',
    });
    for (let i = 0; i < 40; i++) {
      const outcome = await run(fixture, createRequest());
      assert.ok(
        'text' in outcome,
        'the request must be answered by the other upstream',
      );
    }
    assert.ok(
      countSends(fixture) <= 44,
      `${countSends(fixture)} sends for 40 requests`,
    );
  });
});
