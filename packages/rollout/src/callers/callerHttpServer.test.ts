import {getDeadline, systemClock} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as net from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {CallerHttpServer} from './callerHttpServer.js';
import {ListenerShutdown} from './listenerShutdown.js';

/** More than the buffers of the sockets hold, bytes. */
const BODY_BYTES = 32 * 1024 * 1024;
const PAUSE_MS = 50;
const REQUEST = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nseat';

async function startServer(body: Buffer) {
  const server = new CallerHttpServer({}, (request, response) => {
    request.resume();
    response.end(body);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  const caller = net.connect(port, '127.0.0.1');
  let received = 0;
  caller.on('data', chunk => (received += chunk.length));
  const closed = once(caller, 'close');
  return {server, caller, closed, getReceived: () => received};
}

describe('a listener that closes', () => {
  it('sends a response that has ended to a slow caller in full', async () => {
    // Guards against long responses that a planned stop cuts.
    const {server, caller, closed, getReceived} = await startServer(
      Buffer.alloc(BODY_BYTES),
    );
    const shutdown = new ListenerShutdown(server, systemClock);
    caller.write(REQUEST);
    await once(caller, 'data');
    caller.pause();
    await shutdown.close(getDeadline(systemClock.now(), 0));
    server.closeIdleConnections();
    await sleep(PAUSE_MS);
    caller.resume();
    while (getReceived() < BODY_BYTES && !caller.destroyed) await sleep(5);
    assert.ok(getReceived() >= BODY_BYTES, `${getReceived()} bytes`);
    await sleep(PAUSE_MS);
    server.closeIdleConnections();
    await closed;
  });

  it('closes idle connections only, not those that receive a request', async () => {
    // Guards against requests that a planned stop cuts while they arrive.
    const {server, caller, closed, getReceived} = await startServer(
      Buffer.from('answer'),
    );
    for (const part of [2, 30, REQUEST.length - 2]) {
      const receivedBefore = getReceived();
      caller.write(REQUEST.slice(0, part));
      await sleep(PAUSE_MS);
      server.closeIdleConnections();
      caller.write(REQUEST.slice(part));
      await sleep(PAUSE_MS);
      assert.ok(getReceived() > receivedBefore, `cut after ${part} bytes`);
    }
    server.close();
    await closed;
  });
});
