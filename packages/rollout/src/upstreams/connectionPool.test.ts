import {ManualClock, getDeadline} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import type {UpstreamCall} from '../model/index.js';
import {rawDialect, startRawUpstream} from '../testing/rawUpstream.js';
import {startExchange} from './exchange.js';
import type {ConnectionOptions} from './upstream.js';
import {Upstream} from './upstream.js';

const HEALTH_PATH = '/health';
const getRefreshPath = () => HEALTH_PATH;

describe('ConnectionPool', () => {
  let close = () => Promise.resolve();
  afterEach(() => close());

  const createFixture = async (connections: ConnectionOptions) => {
    /** Port of the connection of each request. */
    const ports: Array<number | undefined> = [];
    const raw = await startRawUpstream(socket => {
      ports.push(socket.remotePort);
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    });
    const clock = new ManualClock();
    const {entry} = raw.upstream;
    const upstream = new Upstream(entry, clock, 0, undefined, connections);
    close = () => (upstream.close(), raw.close());
    const send = async (
      target: string,
      isSentOnce = false,
      id = `${Math.random()}`,
    ) => {
      const call = {id, method: 'GET', target, host: 'h', isSentOnce};
      await new Promise<void>((onEnd, onFailure) => {
        const events = {onHead: () => {}, onData: () => {}, onEnd, onFailure};
        const sent = call as unknown as UpstreamCall;
        startExchange(upstream, rawDialect, clock, sent, Buffer.of(), events);
      });
      // The agent takes the connection back after the end of the response.
      await sleep(5);
    };
    const refresh = async () => {
      const later = getDeadline(clock.now(), 30_000);
      const count = upstream.agent.prepareRefreshes(later);
      for (let index = 0; index < count; index++) await send(HEALTH_PATH);
      return count;
    };
    const getIdle = () => Object.values(upstream.agent.freeSockets).flat();
    return {clock, ports, send, refresh, getIdle};
  };

  /** How an idle connection ends that the agent has not removed yet. */
  const closings: Record<string, (socket: Socket) => void> = {
    'is destroyed': socket => socket.destroy(),
    'is half closed': socket => socket.end(),
  };

  for (const [closing, close] of Object.entries(closings)) {
    it(`sends no request on an idle connection that ${closing} (guards against requests that are lost without being sent)`, async () => {
      const {ports, send, getIdle} = await createFixture({});
      await Promise.all([send('/'), send('/')]);
      const [kept, closed] = getIdle() as Socket[];
      const keptPort = kept.localPort;
      close(closed);
      await send('/', true);
      assert.equal(ports.at(-1), keptPort);
      assert.deepEqual(getIdle(), [kept]);
    });
  }

  it('sends a request again on another connection and keeps the first one for others (guards against late copies of a response, and against connections that are closed for each refusal)', async () => {
    const {ports, send, getIdle} = await createFixture({});
    await send('/', true, 'r1');
    await send('/', true, 'r2');
    await send('/', true, 'r1');
    assert.equal(getIdle().length, 2);
    await Promise.all([send('/'), send('/')]);
    const [first, other, again] = ports;
    assert.equal(other, first);
    assert.notEqual(again, first);
    assert.equal(new Set(ports).size, 2);
  });

  it('sends only requests that can be sent again on a connection that rested (guards against requests that are lost as the upstream closes it)', async () => {
    const fixture = await createFixture({idleTimeoutMs: 30_000});
    const {clock, ports, send} = fixture;
    await send('/');
    clock.advance(20_000);
    await send('/');
    clock.advance(9_000);
    await send('/', true);
    assert.equal(new Set(ports).size, 1);
    clock.advance(11_000);
    await send('/', true);
    assert.equal(new Set(ports).size, 2);
  });

  describe('refreshes of an idle connection', () => {
    it('use those that are due, once (guards against connections that are closed while others are refreshed twice)', async () => {
      const {ports, send, refresh} = await createFixture({getRefreshPath});
      await Promise.all([send('/'), send('/')]);
      assert.deepEqual([await refresh(), await refresh()], [2, 0]);
      await send('/');
      assert.deepEqual([await refresh(), await refresh()], [1, 0]);
      const [used, refreshed] = ports.slice(-2);
      assert.equal(refreshed, used);
    });

    it('are not due where no path is known (guards against health requests without end)', async () => {
      const {send, refresh} = await createFixture({});
      await send(HEALTH_PATH);
      assert.equal(await refresh(), 0);
    });
  });
});
