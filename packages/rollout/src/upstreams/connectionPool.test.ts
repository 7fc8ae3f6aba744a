import type {MonotonicMs, RequestId, UpstreamId} from '@vanillacross/common';
import {ManualClock, getDeadline, toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';

import {rawDialect, startRawUpstream} from '../testing/rawUpstream.js';
import {ConnectionPool} from './connectionPool.js';
import {startExchange} from './exchange.js';
import type {ConnectionOptions} from './upstream.js';
import {Upstream} from './upstream.js';

const HEALTH_PATH = '/health';
/** Path of requests that must not be sent again. */
const ORDER_PATH = '/order';

/** Sends requests one after another; calls back after each, and at the end. */
async function play(
  connections: ConnectionOptions,
  targets: readonly string[],
  afterEach: (upstream: Upstream, clock: ManualClock) => void,
): Promise<number> {
  const raw = await startRawUpstream(socket =>
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'),
  );
  const clock = new ManualClock();
  const {entry} = raw.upstream;
  const upstream = new Upstream(entry, clock, 0, undefined, connections);
  for (const [index, target] of targets.entries()) {
    await new Promise<void>((resolve, reject) =>
      startExchange(
        upstream,
        rawDialect,
        clock,
        {
          id: toBranded<RequestId>(`r${index}`),
          method: 'GET',
          target,
          host: 'h',
          headers: {},
          account: null,
          upstream: toBranded<UpstreamId>('raw'),
          budgetMs: 1_000,
          lastEventId: 0,
          priority: null,
          isSentOnce: target === ORDER_PATH,
        },
        Buffer.alloc(0),
        {
          onHead: () => {},
          onData: () => {},
          onEnd: resolve,
          onFailure: ({detail}) => reject(new Error(detail)),
        },
      ),
    );
    // The agent takes the connection back after the end of the response.
    await sleep(5);
    afterEach(upstream, clock);
  }
  const count = raw.getConnectionCount();
  upstream.close();
  await raw.close();
  return count;
}

describe('ConnectionPool', () => {
  it('sends only requests that can be sent again on a connection that rested (guards against requests that are lost as the upstream closes it)', async () => {
    const countConnections = (targets: readonly string[], restMs: number) =>
      play({idleTimeoutMs: 30_000}, targets, (_, clock) =>
        clock.advance(restMs),
      );
    assert.equal(await countConnections(['/', '/'], 20_000), 1);
    assert.equal(await countConnections(['/', ORDER_PATH], 9_000), 1);
    assert.equal(await countConnections(['/', ORDER_PATH], 20_000), 2);
  });

  describe('refreshes of an idle connection', () => {
    const countDue = async (connections: ConnectionOptions) => {
      const due: number[] = [];
      const targets = ['/', HEALTH_PATH, HEALTH_PATH];
      await play(connections, targets, (upstream, clock) => {
        const later = getDeadline(clock.now(), 30_000);
        due.push(upstream.agent.prepareRefreshes(later));
      });
      return due;
    };

    it('are due once after a use', async () => {
      const getRefreshPath = () => HEALTH_PATH;
      assert.deepEqual(await countDue({getRefreshPath}), [1, 0, 0]);
    });

    it('use the connections that are due (guards against connections that are closed while others are refreshed twice)', async () => {
      const refreshed = new Set<number | undefined>();
      const pool = new ConnectionPool(
        new ManualClock(),
        {keepAlive: true, timeout: 9_000, scheduling: 'fifo'},
        () => HEALTH_PATH,
      );
      const server = http.createServer((request, response) => {
        if (request.url === HEALTH_PATH) {
          refreshed.add(request.socket.remotePort);
        }
        response.end();
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const send = (path: string) =>
        new Promise<void>(resolve => {
          const options = {host: '127.0.0.1', port, path, agent: pool};
          http.get(options, response => response.resume().on('end', resolve));
        });
      const refresh = async () => {
        const later = 8_000 as MonotonicMs;
        for (let n = pool.prepareRefreshes(later); n > 0; n--) {
          await send(HEALTH_PATH);
        }
        await sleep(5);
      };
      // Two connections are refreshed, and only one of them is used afterwards.
      await Promise.all([send('/'), send('/')]);
      await sleep(5);
      await refresh();
      assert.equal(refreshed.size, 2);
      await send('/');
      await sleep(5);
      refreshed.clear();
      await refresh();
      assert.equal(refreshed.size, 1);
      assert.equal(pool.prepareRefreshes(8_000 as MonotonicMs), 0);
      pool.destroy();
      server.close();
    });

    it('are not due where no path is known (guards against health requests without end)', async () => {
      assert.deepEqual(await countDue({}), [0, 0, 0]);
    });
  });
});
