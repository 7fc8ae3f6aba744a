import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import * as http from 'node:http';
import {after, before, describe, it} from 'node:test';
import {z} from 'zod';

import {getFuzzSeed} from './fuzzSeed.js';
import {closeServer, listen, parseAddress} from './http.js';
import {
  createRpcHandler,
  defineMethod,
  getAuthHeader,
  RPC_PATH,
} from './rpc.js';

const SECRET = 'secret of the cluster';
const options = {seed: getFuzzSeed(), numRuns: 60};

describe('invalid RPC requests', () => {
  let address = '';
  let calls = 0;
  let failures = 0;
  const handle = createRpcHandler(SECRET, {
    add: defineMethod(z.object({by: z.number().int().min(1)}), ({by}) => {
      calls += by;
    }),
  });
  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => {
      failures += 1;
      response.destroy();
    });
  });

  before(async () => {
    address = await listen(server, {host: '127.0.0.1', port: 0});
  });
  after(async () => {
    server.closeAllConnections();
    await closeServer(server);
  });

  function post(body: string, auth: string, id: string): Promise<number> {
    return new Promise((resolve, reject) => {
      const request = http.request(
        {
          ...parseAddress(address),
          path: RPC_PATH,
          method: 'POST',
          headers: {'vc-request': id, 'vc-auth': auth},
        },
        response => {
          response.resume();
          response.on('end', () => resolve(response.statusCode ?? 0));
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  it('get a response, call no method and never fail the handler', async () => {
    const body = fc.oneof(
      fc.string(),
      fc.json(),
      fc.constantFrom('null', '0', '""', '[]', '[null]', '{', '[[[[', ''),
      fc
        .record({
          jsonrpc: fc.constantFrom('2.0', '1.0', 2),
          method: fc.constantFrom('add', 'constructor', '__proto__', 1, null),
          params: fc.jsonValue({maxDepth: 2}),
          id: fc.jsonValue({maxDepth: 1}),
        })
        .map(value => JSON.stringify(value)),
    );
    await fc.assert(
      fc.asyncProperty(body, async text => {
        const auth = getAuthHeader(SECRET, 'POST', RPC_PATH, 'r', Date.now());
        assert.match(String(await post(text, auth, 'r')), /^(200|400)$/);
      }),
      options,
    );
    assert.deepEqual({calls, failures}, {calls: 0, failures: 0});
  });

  it('without the cluster secret get 401', async () => {
    const call = '{"jsonrpc":"2.0","method":"add","params":{"by":1},"id":1}';
    const now = Date.now();
    const invalid = [
      '',
      'x',
      `${now}.`,
      `${now}.${'0'.repeat(64)}`,
      getAuthHeader('another secret', 'POST', RPC_PATH, 'r', now),
      // The signature is for another request id, path or method, is outside the
      // time window, or has an altered time.
      getAuthHeader(SECRET, 'POST', RPC_PATH, 'other', now),
      getAuthHeader(SECRET, 'POST', '/seats', 'r', now),
      getAuthHeader(SECRET, 'GET', RPC_PATH, 'r', now),
      getAuthHeader(SECRET, 'POST', RPC_PATH, 'r', now - 31_000),
      getAuthHeader(SECRET, 'POST', RPC_PATH, 'r', now + 60_000),
      getAuthHeader(SECRET, 'POST', RPC_PATH, 'r', now).replace(
        /^\d+/,
        String(now + 1),
      ),
    ];
    for (const auth of invalid) assert.equal(await post(call, auth, 'r'), 401);
    assert.equal(calls, 0);
  });

  it('above the size limit get 413', async () => {
    const auth = getAuthHeader(SECRET, 'POST', RPC_PATH, 'r', Date.now());
    assert.equal(await post('x'.repeat(17 * 1024 * 1024), auth, 'r'), 413);
  });
});
