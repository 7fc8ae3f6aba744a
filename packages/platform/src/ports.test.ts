import type {Result} from '@vanillacross/common';
import {closeServer, listen} from '@vanillacross/common';
import assert from 'node:assert/strict';
import * as http from 'node:http';
import {after, before, describe, it} from 'node:test';

import {createInstanceListPort} from './instanceListPort.js';
import {createLogPort} from './logPort.js';
import {createOrderingPort} from './orderingPort.js';
import {createReportPort} from './reportPort.js';
import {createScoringPort} from './scoringPort.js';
import type {ReadFailure} from './types.js';
import {createWeightStorePort} from './weightStorePort.js';

type Reply = {status: number; body: unknown} | 'cut' | 'not json';

describe('platform adapters', () => {
  let reply: Reply = 'cut';
  let seen = '';
  let base = '';
  const server = http.createServer((request, response) => {
    seen = `${request.method} ${request.url}`;
    request.resume();
    if (reply === 'cut') return void request.socket.destroy();
    if (reply === 'not json') return void response.end('<html>');
    response.statusCode = reply.status;
    response.end(JSON.stringify(reply.body));
  });
  before(async () => {
    base = `http://${await listen(server, {host: '127.0.0.1', port: 0})}`;
  });
  after(() => closeServer(server));

  const order = {orderId: 'o', fencing: 3, pool: 'p', action: 'stop' as const};
  const append = () =>
    createLogPort(base).append('s', [{appendId: 'a', payload: 1}]);
  const read = () => createLogPort(base).read('s', 5, 0);
  const start = () => createOrderingPort(base).placeOrder(order, 1_000);
  const getOrder = () => createOrderingPort(base).getOrder('o');
  const report = () => createReportPort(base).report(1, {}, 2, 1_000);
  const list = () => createInstanceListPort(base).getChanges(0);
  const score = () => createScoringPort(base).score('s', 'p', 't');
  const weights = () => createWeightStorePort(base).getVersions('m');

  type Call = () => Promise<Result<unknown, ReadFailure>>;
  const busy = {status: 429, body: {retryAfterMs: 40}};
  const gone = {status: 410, body: {earliest: 7, next: 9}};
  const stale = {status: 409, body: {highest: 8}};
  const tooFew = {status: 200, body: {offsets: []}};
  const cases: Array<[string, Call, Reply, string]> = [
    ['lost append', append, 'cut', 'unknown'],
    ['broken append answer', append, 'not json', 'unknown'],
    ['append answer without offsets', append, tooFew, 'unknown'],
    ['busy log', append, busy, 'unavailable'],
    ['log outage', append, {status: 503, body: {}}, 'unavailable'],
    ['failed append', append, {status: 500, body: {}}, 'unknown'],
    ['refused append', append, {status: 400, body: {}}, 'rejected'],
    ['lost read', read, 'cut', 'unavailable'],
    ['removed records', read, gone, 'gap'],
    ['broken gap answer', read, {status: 410, body: {}}, 'unavailable'],
    ['lost order', start, 'cut', 'unknown'],
    ['old fencing number', start, stale, 'stale_fencing'],
    ['unknown order', getOrder, {status: 404, body: {}}, 'ok'],
    ['lost report', report, 'cut', 'unknown'],
    ['other figures', report, {status: 409, body: {}}, 'rejected'],
    ['broken list', list, {status: 200, body: {version: 1}}, 'unavailable'],
    ['lost score', score, 'cut', 'unavailable'],
    ['slow weight store', weights, busy, 'unavailable'],
  ];
  for (const [name, call, answer, expected] of cases) {
    it(`prevents a wrong reading of: ${name}`, async () => {
      reply = answer;
      const result = await call();
      assert.equal(result.ok ? 'ok' : result.error.tag, expected);
    });
  }

  it('prevents a refused connection from counting as unknown', async () => {
    const other = http.createServer();
    const address = await listen(other, {host: '127.0.0.1', port: 0});
    await closeServer(other);
    const port = createLogPort(`http://${address}`);
    const result = await port.append('s', [{appendId: 'a', payload: 1}]);
    assert.equal(result.ok ? 'ok' : result.error.tag, 'unavailable');
  });

  describe('with a slow connect', () => {
    type Lookup = NonNullable<http.AgentOptions['lookup']>;
    /** Connects only when the returned function is called. */
    const holdConnect = () => {
      let start = () => {};
      const held = new Promise<void>(resolve => {
        start = resolve;
      });
      let noteAsked = () => {};
      const asked = new Promise<void>(resolve => {
        noteAsked = resolve;
      });
      const lookup: Lookup = (_, options, callback) => {
        noteAsked();
        const address = [{address: '127.0.0.1', family: 4}];
        void held.then(() =>
          options.all
            ? callback(null, address)
            : callback(null, address[0].address, 4),
        );
      };
      return {asked, start, connection: {lookup}};
    };
    const getSlowBase = () => base.replace('127.0.0.1', 'slow.test');
    const calls = {
      order: (connection: http.AgentOptions, mayWrite: () => boolean) =>
        createOrderingPort(getSlowBase(), connection).placeOrder(
          order,
          60_000,
          mayWrite,
        ),
      report: (connection: http.AgentOptions, mayWrite: () => boolean) =>
        createReportPort(getSlowBase(), connection).report(
          1,
          {},
          2,
          60_000,
          mayWrite,
        ),
    };
    for (const [name, call] of Object.entries(calls)) {
      it(`prevents a late ${name} after the lease has ended`, async () => {
        reply = {status: 200, body: {status: 'done'}};
        seen = '';
        let isHolder = true;
        const {asked, start, connection} = holdConnect();
        const answer = call(connection, () => isHolder);
        await asked;
        isHolder = false;
        start();
        const result = await answer;
        assert.equal(result.ok ? 'ok' : result.error.tag, 'unavailable');
        assert.equal(seen, '');
      });

      it(`prevents a lost ${name} while the lease is held`, async () => {
        reply = {status: 200, body: {status: 'done'}};
        const {start, connection} = holdConnect();
        start();
        const result = await call(connection, () => true);
        assert.equal(result.ok, true);
      });
    }
  });

  it('prevents a wrong path and a lost record in a read', async () => {
    const record = {offset: 5, appendId: 'a', payload: {type: 'x'}};
    const body = {records: [record], earliest: 0, next: 6};
    reply = {status: 200, body};
    assert.deepEqual(await read(), {ok: true, value: body});
    assert.match(
      seen,
      /^GET \/v1\/streams\/s\/records\?from=5&max=\d+&waitMs=0$/,
    );
  });
});
