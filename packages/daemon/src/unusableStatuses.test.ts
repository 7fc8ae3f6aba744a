import {Metrics, createRpcClient} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import {after, before, describe, it} from 'node:test';

import {createAgentConnections} from './agentConnections.js';
import type {Context} from './types.js';
import {createWeightProxy, getWeightSourceUrl} from './weightProxy.js';

const SECRET = 'cluster';
const TIMEOUT_MS = 5_000;

/** Starts a server on a loopback port and returns its address. */
async function startServer(server: net.Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
}

for (const status of ['000', '042', '099', '600', '999']) {
  describe(`a peer that answers with status ${status} (guards against an answer that no status stands for)`, () => {
    const server = net.createServer(socket => {
      socket.on('error', () => {});
      socket.on('data', () =>
        socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`),
      );
    });
    let address = '';
    before(async () => {
      address = await startServer(server);
    });
    after(() => server.close());

    it('leaves unknown whether a request of an entry has run', async () => {
      const connections = createAgentConnections(() => {});
      const outcome = await connections.send({
        address,
        method: 'POST',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        signal: new AbortController().signal,
        usesNewConnection: false,
      });
      connections.close();
      assert.equal(outcome.tag, 'unknown');
    });

    it('leaves unknown whether a call between processes has run', async () => {
      const client = createRpcClient(SECRET, address);
      const outcome = await client.call('m', {}, TIMEOUT_MS);
      assert.equal(outcome.ok ? 'ok' : outcome.error.tag, 'unknown');
    });

    it('gives no weights to an engine that fetches them', async () => {
      const proxy = createWeightProxy(
        {clusterSecret: SECRET, metrics: new Metrics()} as Context,
        new URL(`http://${address}`),
        new http.Agent(),
      );
      const front = http.createServer(
        (request, response) => void proxy.handle(request, response),
      );
      const frontAddress = await startServer(front);
      const source = getWeightSourceUrl(SECRET, frontAddress, 'm', 1);
      const [response] = (await once(
        http.get(`${source}/v1/weights/m/1`),
        'response',
      )) as [http.IncomingMessage];
      response.resume();
      front.close();
      assert.equal(response.statusCode, 502);
    });
  });
}
