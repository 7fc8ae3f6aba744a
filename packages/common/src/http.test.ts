import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import {afterEach, describe, it} from 'node:test';

import type {JsonRequest} from './http.js';
import {closeServer, listen, readBody, requestJson, sendJson} from './http.js';
import {RPC_PATH, createRpcHandler, getAuthHeader} from './rpc.js';

const SECRET = 'cluster secret';
const LIMIT = 1_000;

describe('request bodies', () => {
  let servers: http.Server[] = [];

  async function serve(listener: http.RequestListener): Promise<string> {
    const server = http.createServer(listener);
    servers.push(server);
    return listen(server, {host: '127.0.0.1', port: 0});
  }

  /** Sends a whole body and resolves to the status; rejects on a reset. */
  function post(
    address: string,
    headers: http.OutgoingHttpHeaders,
    chunks: readonly Buffer[],
  ): Promise<number | undefined> {
    return new Promise((resolve, reject) => {
      const outgoing = http.request(
        `http://${address}${RPC_PATH}`,
        {method: 'POST', headers},
        response => {
          response.resume();
          response.on('end', () => resolve(response.statusCode));
        },
      );
      outgoing.on('error', reject);
      for (const chunk of chunks) outgoing.write(chunk);
      outgoing.end();
    });
  }

  afterEach(async () => {
    for (const server of servers) server.closeAllConnections();
    await Promise.all(servers.map(closeServer));
    servers = [];
  });

  for (const framing of ['content length', 'chunks']) {
    it(`above the limit leave the connection open for the response: ${framing}`, async () => {
      // Guards against a connection reset instead of a 413 response.
      const address = await serve((request, response) => {
        void readBody(request, LIMIT).then(body => {
          sendJson(response, body.ok ? 200 : 413, {});
          request.resume();
        });
      });
      const body = Buffer.alloc(4_000_000);
      const headers =
        framing === 'chunks' ? {} : {'content-length': body.length};
      assert.equal(await post(address, headers, [body, Buffer.alloc(0)]), 413);
      assert.equal(await post(address, {}, [Buffer.alloc(LIMIT)]), 200);
    });
  }

  it('above the limit are answered with 413 by the RPC listener', async () => {
    // Guards against callers that treat an oversized body as a lost connection.
    const handle = createRpcHandler(SECRET, {});
    const address = await serve((request, response) => {
      void handle(request, response);
    });
    const headers = {
      'vc-request': 'id',
      'vc-auth': getAuthHeader(SECRET, 'POST', RPC_PATH, 'id', Date.now()),
    };
    const chunks = Array.from({length: 17}, () => Buffer.alloc(1024 * 1024));
    assert.equal(await post(address, headers, chunks), 413);
  });

  it('are treated as incomplete if the signal aborts', async () => {
    // Guards against a stalled upload that keeps its request open forever.
    const controller = new AbortController();
    const result = new Promise(resolve => {
      void serve((request, response) => {
        void readBody(request, LIMIT, controller.signal).then(body => {
          resolve(body);
          response.destroy();
        });
        controller.abort('deadline');
      }).then(address => {
        const outgoing = http.request(`http://${address}/`, {method: 'POST'});
        outgoing.on('error', () => {});
        outgoing.write('x');
      });
    });
    assert.deepEqual(await result, {ok: false, error: {tag: 'cut'}});
  });
});

describe('a JSON request that can not be sent', () => {
  const base = {method: 'GET', url: 'http://127.0.0.1:1/', timeoutMs: 50};
  const odd = {
    'with a header beyond Latin-1': {headers: {a: 'i-7\ufffd1'}},
    'with a line break in a header': {headers: {a: 'b\r\nc'}},
    'with a port out of range': {url: 'http://127.0.0.1:99999/'},
  };
  for (const [how, override] of Object.entries(odd)) {
    it(`is refused (${how}; guards against a rejection that ends the process)`, async () => {
      const request = {...base, ...override} as JsonRequest;
      const outcome = await requestJson(request);
      assert.equal(outcome.ok ? null : outcome.error.tag, 'refused');
    });
  }
});

describe('requestJson', () => {
  const answers: ReadonlyArray<[string, string]> = [
    ['000', 'unknown'],
    ['042', 'unknown'],
    ['099', 'unknown'],
    ['600', 'unknown'],
    ['999', 'unknown'],
    ['200', 'ok'],
    ['404', 'ok'],
    ['599', 'ok'],
  ];
  for (const [status, expected] of answers) {
    it(`of a response with status ${status} is ${expected} (guards against an answer that no status stands for)`, async () => {
      const server = net.createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', () =>
          socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`),
        );
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as net.AddressInfo;
      const url = `http://127.0.0.1:${port}/`;
      const response = await requestJson({
        method: 'GET',
        url,
        timeoutMs: 5_000,
      });
      server.close();
      assert.equal(response.ok ? 'ok' : response.error.tag, expected);
    });
  }
});
