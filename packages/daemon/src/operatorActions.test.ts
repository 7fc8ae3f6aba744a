import {
  ManualClock,
  closeServer,
  getSha256,
  listen,
  requestJson,
} from '@vanillacross/common';
import {createLogClient} from '@vanillacross/platform';
import assert from 'node:assert/strict';
import * as http from 'node:http';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {createControlFollower} from './controlFollower.js';
import {createMembership} from './membership.js';
import {createOperatorActions} from './operatorActions.js';
import {
  FakeInstanceList,
  FakeLog,
  FakeNetwork,
  advance,
  createAgentInstance,
  createEntryInstance,
  createTestContext,
  runUntilSettled,
  flushAsyncWork,
} from './controlFakes.test.js';
import type {Component} from './types.js';

const TOKEN = 'operator token';

describe('operator actions', () => {
  let clock = new ManualClock();
  let log = new FakeLog();
  let list = new FakeInstanceList();
  let network = new FakeNetwork();
  let parts: Component[] = [];
  let servers: http.Server[] = [];

  async function startEntry(id: string) {
    const context = createTestContext(createEntryInstance(id), clock);
    const {callPeer} = network;
    const control = createControlFollower(context, log, {
      callPeer,
      logClient: createLogClient(log, clock, {maxAttempts: 1}),
    });
    const options = {seeds: [], callPeer};
    const membership = createMembership(context, control, list, options);
    network.methods.set(context.self.peerAddress, membership.rpcMethods);
    const tokenHash = getSha256(TOKEN);
    const actions = createOperatorActions(context, control, membership, {
      tokenHash,
      callPeer,
    });
    await control.start();
    await membership.start();
    await flushAsyncWork();
    parts.push(control, membership);
    const server = http.createServer((request, response) => {
      const {method = '', url = ''} = request;
      const action = actions.find(other => other.matches(method, url));
      assert.ok(action, 'no action matches');
      void action.perform(request, response);
    });
    servers.push(server);
    const base = await listen(server, {host: '127.0.0.1', port: 0});
    const call = async (
      path: string,
      body?: unknown,
      token = TOKEN,
      method: 'GET' | 'POST' = body === undefined ? 'GET' : 'POST',
    ) => {
      const answer = await requestJson({
        method,
        url: `http://${base}/operator/v1/${path}`,
        body,
        headers: token === '' ? {} : {authorization: `Bearer ${token}`},
        timeoutMs: 30_000,
      });
      assert.ok(answer.ok);
      // The fields of the response are checked by the tests.
      // eslint-disable-next-line @typescript-eslint/no-explicit-any
      return {status: answer.value.status, body: answer.value.body as any};
    };
    const put = async (
      key: string,
      baseRevision: number,
      record: unknown,
      operator = 'ana',
    ) => {
      const one = {key, baseRevision, schemaVersion: 1, body: record};
      const answer = await call('records', {operator, puts: [one]});
      return answer.body.outcomes?.[0] ?? answer.body;
    };
    return {call, put, control, membership};
  }

  beforeEach(() => {
    clock = new ManualClock();
    log = new FakeLog();
    list = new FakeInstanceList();
    network = new FakeNetwork();
    parts = [];
    servers = [];
  });
  afterEach(async () => {
    const stops = parts.map(part => part.stop(AbortSignal.timeout(1)));
    await flushAsyncWork();
    clock.advance(20_000);
    await Promise.all([...stops, ...servers.map(closeServer)]);
  });

  it('rejects requests without the correct token', async () => {
    const {call} = await startEntry('e1');
    for (const token of ['', 'wrong', getSha256(TOKEN)]) {
      const answer = await call('status', undefined, token);
      assert.equal(answer.status, 401);
      assert.equal(answer.body.error.code, 'unauthorized');
      assert.equal(answer.body.error.notRun, true);
      assert.equal(typeof answer.body.error.message, 'string');
    }
    assert.equal((await call('status')).status, 200);
  });

  const bad: Array<[string, string, unknown, number, string]> = [
    ['an unknown path', 'nothing', undefined, 404, 'not_found'],
    ['an unknown record', 'records/pool/x', undefined, 404, 'not_found'],
    ['an unknown kind', 'records?kind=x', undefined, 400, 'bad_request'],
    ['a bad offset', 'in-force?offset=x', undefined, 400, 'bad_request'],
    ['a bad path', 'records/pool/%ff', undefined, 400, 'bad_request'],
    ['a body without puts', 'records', {operator: 'a'}, 400, 'bad_request'],
  ];
  for (const [name, path, body, status, code] of bad) {
    it(`returns a documented error for ${name}`, async () => {
      const {call} = await startEntry('e1');
      const answer = await call(path, body);
      assert.equal(answer.status, status);
      assert.equal(answer.body.error.code, code);
      assert.equal(answer.body.error.notRun, true);
    });
  }

  const invalid: Array<[string, string, unknown, RegExp]> = [
    ['a wrong field', 'account/a', {weight: -1}, /weight/],
    ['an unknown field', 'account/a', {wait: 1}, /wait/],
    ['an unknown kind', 'acount/a', {}, /kind/],
    ['a bad id', 'account/a b', {}, /kind\/id/],
    ['a missing body', 'account/a', undefined, /missing/],
  ];
  for (const [name, key, body, message] of invalid) {
    it(`rejects ${name} before it reaches the log`, async () => {
      const {put} = await startEntry('e1');
      const outcome = await put(key, 0, body);
      assert.equal(outcome.tag, 'invalid');
      assert.match(outcome.mistakes.join('\n'), message);
      assert.equal(log.appends, 0);
    });
  }

  it('accepts one of two concurrent puts and reports the other as a conflict', async () => {
    const a = await startEntry('e1');
    const b = await startEntry('e2');
    const outcomes = await Promise.all([
      a.put('account/x', 0, {weight: 2}, 'ana'),
      b.put('account/x', 0, {weight: 3}, 'ben'),
    ]);
    const won = outcomes.find(outcome => outcome.tag === 'accepted');
    const lost = outcomes.find(outcome => outcome.tag === 'conflict');
    assert.equal(won.revision, 1);
    assert.equal(lost.revision, 1);
    const {body} = await b.call('records/account/x');
    assert.equal(lost.winner, body.operator);
    assert.equal(body.body.weight, body.operator === 'ana' ? 2 : 3);
    const later = await b.put('account/x', 0, {weight: 4});
    assert.equal(later.tag, 'conflict');
    assert.equal((await b.put('account/x', 1, null)).revision, 2);
    const {history} = (await a.call('history?key=account/x')).body;
    assert.deepEqual(
      history.map((item: {revision: number}) => item.revision),
      [2, 1],
    );
    assert.equal(history[0].isDeleted, true);
    const {records} = (await a.call('records?kind=account')).body;
    assert.deepEqual(records, []);
  });

  it('reports an outage of the log instead of success', async () => {
    const {put, call} = await startEntry('e1');
    log.isDown = true;
    log.wake();
    const outcome = await put('account/a', 0, {});
    assert.equal(outcome.tag, 'log_unavailable');
    const {body} = await call('records');
    assert.deepEqual(body.records, []);
  });

  it('lists lagging and unreachable instances until an offset is in force', async () => {
    const agents = ['u1', 'u2'].map(id => createAgentInstance(id));
    const gone = createEntryInstance('gone');
    list.set([createEntryInstance('e2'), gone, ...agents]);
    const {call, put} = await startEntry('e1');
    await startEntry('e2');
    await advance(clock, 1_000);
    const {offset} = await put('pool/p', 0, {kind: 'plain'});
    const load = {running: 0, limit: 1, waiting: 0, epoch: '', version: 0};
    const pull = (index: number, viewOffset: number, entry = 'e2:90') =>
      void network.callPeer(
        entry,
        'control.pull',
        {
          instance: agents[index],
          epoch: 'x',
          offset: viewOffset,
          highest: viewOffset,
          load: {...load, cold: false},
          cells: [],
          crashes: [],
        },
        1_000,
      );
    pull(0, offset);
    pull(1, -1);
    await flushAsyncWork();
    // The query is held at e2 until u2 has the offset or the wait ends.
    const question = call(`in-force?offset=${offset}`);
    const before = (await runUntilSettled(clock, question)).body;
    assert.equal(before.isInForce, false);
    assert.deepEqual(before.entries.behind, [{id: 'gone', offset: null}]);
    assert.equal(before.entries.total, 3);
    assert.deepEqual(
      before.agents.behind.map((agent: {upstream: string}) => agent.upstream),
      ['u2'],
    );
    pull(1, offset);
    list.set([], ['gone']);
    await advance(clock, 35_000, 1_000);
    pull(0, offset);
    pull(1, offset);
    await flushAsyncWork();
    const after = (await runUntilSettled(clock, call('in-force'))).body;
    assert.equal(after.isInForce, true, JSON.stringify(after));
    assert.equal(after.agents.total, 2);
    assert.equal(after.agents.behindCount, 0);
    // With so few entries, agents poll all of them.
    for (const index of [0, 1]) pull(index, offset, 'e1:90');
    await flushAsyncWork();
    const countStatusCalls = () =>
      network.calls.filter(name => name === 'control.status e2:90').length;
    assert.equal((await call('in-force')).body.isInForce, true);
    const statusCalls = countStatusCalls();
    assert.equal((await call('in-force')).body.isInForce, true);
    // A status that reached the offset is cached.
    assert.equal(countStatusCalls(), statusCalls);
    const status = (await call('status')).body;
    assert.equal(status.upstreams.length, 2);
  });

  it('reports exactly the sealed figures', async () => {
    const {call} = await startEntry('e1');
    const figures = {a: {requests: 1, promptTokens: 2, generatedTokens: 3}};
    log.addRecord({type: 'claim', holder: 'e1', expects: -1});
    const seal = {window: 3, fencing: 0, figures, sources: ['x']};
    log.addRecord({type: 'seal', ...seal});
    await flushAsyncWork();
    const {body} = await call('reports');
    const {window, sources} = seal;
    assert.deepEqual(body.reports, [{window, offset: 1, figures, sources}]);
    assert.equal((await call('status')).body.lease.holder, 'e1');
  });
});
