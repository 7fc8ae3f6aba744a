import {getRendezvousOrder, systemClock} from '@vanillacross/common';
import type {MonotonicMs, Result} from '@vanillacross/common';
import {isAuthValid} from '@vanillacross/common';
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

interface Rig {
  agents: FakeAgent[];
  context: Context;
  membership: FakeMembership;
  dispatcher: Dispatcher;
}

const cleanups: Array<() => Promise<void>> = [];

/** Starts one agent per handler; 'gone' is an agent that refuses. */
async function startRig(
  handlers: Array<AgentHandler | 'gone'>,
  options: DispatcherOptions = {},
): Promise<Rig> {
  const agents: FakeAgent[] = [];
  const places: Array<{id: string; address: string}> = [];
  for (const [index, handler] of handlers.entries()) {
    const id = `u${index}`;
    if (handler === 'gone') {
      places.push({id, address: await getClosedAddress()});
      continue;
    }
    const agent = await startFakeAgent(id, handler);
    agents.push(agent);
    places.push(agent);
  }
  const context = createTestContext();
  const membership = createFakeMembership(places);
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
  rig: Rig,
  request: DispatchRequest,
): Promise<{text: string; end: Result<ResponseSummary, Refusal>} | Refusal> {
  const answer = await rig.dispatcher.dispatch(request);
  if (!answer.ok) return answer.error;
  let text = '';
  for await (const chunk of answer.value.body) text += chunk.toString();
  return {text, end: await answer.value.finished};
}

function getSends(rig: Rig): number {
  return rig.agents.reduce((sum, agent) => sum + agent.received.length, 0);
}

const answerOk: AgentHandler = response => sendComplete(response, 'ok');
const reset: AgentHandler = (_response, _request, incoming) =>
  incoming.socket.destroy();
const cut: AgentHandler = response => {
  response.writeHead(200, {'content-type': 'text/plain'});
  response.write('part');
  setTimeout(() => response.destroy(), 20);
};
const refuseNotRun: AgentHandler = response =>
  sendNotRun(response, 'engine_down');
const agentUnknown: AgentHandler = response => {
  response.writeHead(504, {'vc-refusal': 'outcome_unknown'});
  response.end();
};
const crossed: AgentHandler = response =>
  sendComplete(response, 'of another request', {'vc-attempt': 'other'});

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

describe('dispatcher', () => {
  it('authenticates each attempt and names its request', async () => {
    const rig = await startRig([answerOk]);
    const request = createRequest({idempotencyKey: 'hash'});
    const outcome = await run(rig, request);
    assert.ok('text' in outcome && outcome.end.ok);
    assert.deepEqual(outcome.end.value, {
      spans: [[7, 2]],
      usage: {prompt: 3, generated: 2},
      engineEpoch: 'engine-epoch',
    });
    const {headers} = rig.agents[0].received[0];
    const auth = headers['vc-auth'] as string;
    const now = systemClock.wallNow();
    const isValidFor = (upstream: string, changed = {}) => {
      const proof = getCanonicalHeaders(upstream, {...headers, ...changed});
      return isAuthValid(SECRET, 'POST', '/holds/7', proof, auth, now);
    };
    const upstream = 'u0';
    assert.ok(isValidFor(upstream));
    // Guards against a recorded request that runs again (R13) or elsewhere.
    assert.ok(!isValidFor('another'));
    assert.ok(!isValidFor(upstream, {'vc-attempt': 'fresh'}));
    assert.ok(!isValidFor(upstream, {'vc-account': 'other'}));
    assert.equal(headers['vc-request'], request.requestId);
    assert.equal(headers['vc-idempotency-key'], 'hash');
    assert.equal(headers['vc-entry-epoch'], 'entry-epoch');
  });

  // The second agent always answers; the first is tried first.
  const cases: Array<{
    name: string;
    first: AgentHandler | 'gone';
    once: string;
    idempotent: string;
  }> = [
    {name: 'refused connection', first: 'gone', once: 'ok', idempotent: 'ok'},
    {name: 'not run', first: refuseNotRun, once: 'ok', idempotent: 'ok'},
    {
      name: 'reset without an answer',
      first: reset,
      once: 'outcome_unknown',
      idempotent: 'ok',
    },
    {
      name: 'cut answer',
      first: cut,
      once: 'outcome_unknown',
      idempotent: 'ok',
    },
    {
      name: 'unknown outcome at the agent',
      first: agentUnknown,
      once: 'outcome_unknown',
      idempotent: 'outcome_unknown',
    },
    {
      name: "another request's answer",
      first: crossed,
      once: 'outcome_unknown',
      idempotent: 'ok',
    },
  ];
  for (const {name, first, ...expected} of cases) {
    for (const repeat of ['once', 'idempotent'] as const) {
      it(`${name}, ${repeat}: ${expected[repeat]} (guards R13)`, async () => {
        const rig = await startRig([first, answerOk]);
        const outcome = await run(rig, createRequest({repeat}));
        if (expected[repeat] === 'ok') {
          assert.ok('text' in outcome);
          assert.equal(outcome.text, 'ok');
          return;
        }
        assert.ok('tag' in outcome);
        assert.equal(outcome.tag, expected[repeat]);
        assert.equal(outcome.notRun, false);
        assert.equal(getSends(rig), 1, 'sent once');
      });
    }
  }

  it('does not take an answer after the deadline (guards R11)', async () => {
    const held: http.ServerResponse[] = [];
    const rig = await startRig([response => held.push(response)]);
    const deadline = (systemClock.now() + 100) as MonotonicMs;
    const late = await run(
      rig,
      createRequest({repeat: 'idempotent', deadline}),
    );
    assert.ok('tag' in late);
    assert.deepEqual([late.tag, late.notRun], ['deadline', false]);
    sendComplete(held[0], 'late');
    rig.agents[0].handler = answerOk;
    const next = await run(rig, createRequest({repeat: 'idempotent'}));
    assert.ok('text' in next);
    assert.equal(next.text, 'ok');
  });

  it('says unknown when a request that must not repeat is cancelled', async () => {
    const controller = new AbortController();
    const rig = await startRig([() => controller.abort()]);
    const {signal} = controller;
    const outcome = await run(rig, createRequest({signal}));
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
      const rig = await startRig([answerOk, answerOk, answerOk]);
      const idempotencyKey = getKeyWithOrder('u2', 'u0');
      for (let i = 0; i < 5; i++) {
        await run(rig, createRequest({idempotencyKey}));
      }
      assert.deepEqual(
        rig.agents.map(agent => agent.received.length),
        [0, 0, 5],
      );
    });

    it('uses the backup only when the home is gone (guards R13)', async () => {
      const rig = await startRig(['gone', answerOk, answerOk]);
      const idempotencyKey = getKeyWithOrder('u0', 'u2');
      const outcome = await run(rig, createRequest({idempotencyKey}));
      assert.ok('text' in outcome);
      assert.deepEqual(
        rig.agents.map(agent => agent.received.length),
        [0, 1],
      );
    });

    it('never leaves a home that may have run it (guards R13)', async () => {
      const rig = await startRig([reset, answerOk, answerOk]);
      const idempotencyKey = getKeyWithOrder('u0', 'u1');
      const outcome = await run(rig, createRequest({idempotencyKey}));
      assert.ok('tag' in outcome);
      assert.equal(outcome.tag, 'outcome_unknown');
      assert.equal(getSends(rig), 1);
    });

    it('waits for a home that is full', async () => {
      let refusals = 2;
      const full = {...idleLoad, running: 8};
      const rig = await startRig([
        response =>
          refusals-- > 0
            ? sendNotRun(response, 'at_limit', full)
            : sendComplete(response, 'ok'),
        answerOk,
        answerOk,
      ]);
      const idempotencyKey = getKeyWithOrder('u0', 'u1');
      const outcome = await run(rig, createRequest({idempotencyKey}));
      assert.ok('text' in outcome);
      assert.equal(rig.agents[0].received.length, 3);
    });
  });

  it('bounds sends by the retry budget when all upstreams fail', async () => {
    const rig = await startRig([refuseNotRun, refuseNotRun]);
    const count = 40;
    const outcomes = new Set<string>();
    // At once, so that the budget and not the ejection bounds the sends.
    const deadline = (systemClock.now() + 300) as MonotonicMs;
    const runs = Array.from({length: count}, () =>
      run(rig, createRequest({deadline})),
    );
    for (const outcome of await Promise.all(runs)) {
      assert.ok('tag' in outcome);
      assert.equal(outcome.notRun, true);
      outcomes.add(outcome.tag);
    }
    assert.ok(outcomes.has('retry_budget'));
    assert.ok(getSends(rig) <= count + 10, `${getSends(rig)} sends`);
  });

  it('refuses new work and finishes running work on stop', async () => {
    const held: http.ServerResponse[] = [];
    const rig = await startRig([response => held.push(response)]);
    const running = run(rig, createRequest());
    while (held.length === 0) await new Promise(setImmediate);
    const stopped = rig.dispatcher.stop(new AbortController().signal);
    const refused = await run(rig, createRequest());
    assert.ok('tag' in refused);
    assert.deepEqual([refused.tag, refused.notRun], ['draining', true]);
    sendComplete(held[0], 'done');
    assert.ok('text' in (await running));
    await stopped;
  });

  it('sends nothing new to upstreams taken out (guards R10, R14)', async () => {
    const rig = await startRig([answerOk, answerOk]);
    rig.membership.agents[0].isLeaving = true;
    for (let i = 0; i < 6; i++) await run(rig, createRequest());
    assert.deepEqual(
      rig.agents.map(agent => agent.received.length),
      [0, 6],
    );
  });

  it('sends little to an upstream that fails fast', async () => {
    const rig = await startRig([refuseNotRun, answerOk], {policy: 'score'});
    for (let i = 0; i < 40; i++) {
      const outcome = await run(rig, createRequest());
      assert.ok('text' in outcome, 'a fast refusal must not attract requests');
    }
    assert.ok(getSends(rig) <= 44, `${getSends(rig)} sends for 40 requests`);
  });
});
