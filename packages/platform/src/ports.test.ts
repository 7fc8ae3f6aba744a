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
  let lastRequest = '';
  let baseUrl = '';
  const server = http.createServer((request, response) => {
    lastRequest = `${request.method} ${request.url}`;
    request.resume();
    if (reply === 'cut') return void request.socket.destroy();
    if (reply === 'not json') return void response.end('<html>');
    response.statusCode = reply.status;
    response.end(JSON.stringify(reply.body));
  });
  before(async () => {
    baseUrl = `http://${await listen(server, {host: '127.0.0.1', port: 0})}`;
  });
  after(() => closeServer(server));

  const order = {orderId: 'o', fencing: 3, pool: 'p', action: 'stop' as const};
  const append = () =>
    createLogPort(baseUrl).append('s', [{appendId: 'a', payload: 1}]);
  const read = () => createLogPort(baseUrl).read('s', 5, 0);
  const placeStopOrder = () =>
    createOrderingPort(baseUrl).placeOrder(order, 1_000);
  const getOrder = () => createOrderingPort(baseUrl).getOrder('o');
  const report = () => createReportPort(baseUrl).report(1, {}, 2, 1_000);
  const list = () => createInstanceListPort(baseUrl).getChanges(0);
  const score = () => createScoringPort(baseUrl).score('s', 'p', 't');
  const weights = () => createWeightStorePort(baseUrl).getVersions('m');

  type Call = () => Promise<Result<unknown, ReadFailure>>;
  const busy = {status: 429, body: {retryAfterMs: 40}};
  const gone = {status: 410, body: {earliest: 7, next: 9}};
  const stale = {status: 409, body: {highest: 8}};
  const tooFew = {status: 200, body: {offsets: []}};
  const cases: Array<[string, Call, Reply, string]> = [
    ['append with a lost response', append, 'cut', 'unknown'],
    ['malformed append response', append, 'not json', 'unknown'],
    ['append response without offsets', append, tooFew, 'unknown'],
    ['busy log', append, busy, 'unavailable'],
    ['log outage', append, {status: 503, body: {}}, 'unavailable'],
    [
      'append with an internal error',
      append,
      {status: 500, body: {}},
      'unknown',
    ],
    ['append with status 400', append, {status: 400, body: {}}, 'rejected'],
    ['read with a lost response', read, 'cut', 'unavailable'],
    ['read of removed records', read, gone, 'gap'],
    ['malformed gap response', read, {status: 410, body: {}}, 'unavailable'],
    ['order with a lost response', placeStopOrder, 'cut', 'unknown'],
    [
      'order with a stale fencing number',
      placeStopOrder,
      stale,
      'stale_fencing',
    ],
    ['unknown order', getOrder, {status: 404, body: {}}, 'ok'],
    ['report with a lost response', report, 'cut', 'unknown'],
    [
      'report with figures that differ from the first report',
      report,
      {status: 409, body: {}},
      'rejected',
    ],
    [
      'malformed instance list',
      list,
      {status: 200, body: {version: 1}},
      'unavailable',
    ],
    ['score with a lost response', score, 'cut', 'unavailable'],
    ['busy weight store', weights, busy, 'unavailable'],
  ];
  for (const [name, call, caseReply, expected] of cases) {
    it(`returns the expected result or failure tag for: ${name}`, async () => {
      reply = caseReply;
      const result = await call();
      assert.equal(result.ok ? 'ok' : result.error.tag, expected);
    });
  }

  it('reports a refused connection as unavailable', async () => {
    const other = http.createServer();
    const address = await listen(other, {host: '127.0.0.1', port: 0});
    await closeServer(other);
    const port = createLogPort(`http://${address}`);
    const result = await port.append('s', [{appendId: 'a', payload: 1}]);
    assert.equal(result.ok ? 'ok' : result.error.tag, 'unavailable');
  });

  describe('with a delayed connection', () => {
    type Lookup = NonNullable<http.AgentOptions['lookup']>;
    /** Delays the lookup, and thus the connection, until `start` is called. */
    const createDelayedConnection = () => {
      let start = () => {};
      const started = new Promise<void>(resolve => {
        start = resolve;
      });
      let markLookupStarted = () => {};
      const lookupStarted = new Promise<void>(resolve => {
        markLookupStarted = resolve;
      });
      const lookup: Lookup = (_, options, callback) => {
        markLookupStarted();
        const address = [{address: '127.0.0.1', family: 4}];
        void started.then(() =>
          options.all
            ? callback(null, address)
            : callback(null, address[0].address, 4),
        );
      };
      return {lookupStarted, start, connection: {lookup}};
    };
    const getDelayedBase = () => baseUrl.replace('127.0.0.1', 'slow.test');
    const calls = {
      order: (connection: http.AgentOptions, mayWrite: () => boolean) =>
        createOrderingPort(getDelayedBase(), connection).placeOrder(
          order,
          60_000,
          mayWrite,
        ),
      report: (connection: http.AgentOptions, mayWrite: () => boolean) =>
        createReportPort(getDelayedBase(), connection).report(
          1,
          {},
          2,
          60_000,
          mayWrite,
        ),
    };
    for (const [name, call] of Object.entries(calls)) {
      it(`sends no ${name} after the lease has ended`, async () => {
        reply = {status: 200, body: {status: 'done'}};
        lastRequest = '';
        let isHolder = true;
        const {lookupStarted, start, connection} = createDelayedConnection();
        const pending = call(connection, () => isHolder);
        await lookupStarted;
        isHolder = false;
        start();
        const result = await pending;
        assert.equal(result.ok ? 'ok' : result.error.tag, 'unavailable');
        assert.equal(lastRequest, '');
      });

      it(`sends the ${name} while the lease is held`, async () => {
        reply = {status: 200, body: {status: 'done'}};
        const {start, connection} = createDelayedConnection();
        start();
        const result = await call(connection, () => true);
        assert.equal(result.ok, true);
      });
    }
  });

  it('reads records from the path of the stream, with the offset and wait time in the query', async () => {
    const record = {offset: 5, appendId: 'a', payload: {type: 'x'}};
    const body = {records: [record], earliest: 0, next: 6};
    reply = {status: 200, body};
    assert.deepEqual(await read(), {ok: true, value: body});
    assert.match(
      lastRequest,
      /^GET \/v1\/streams\/s\/records\?from=5&max=\d+&waitMs=0$/,
    );
  });
});
