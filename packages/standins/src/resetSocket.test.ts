import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as net from 'node:net';
import {describe, it} from 'node:test';

import {resetSocket} from './resetSocket.js';

describe('reset of a socket', () => {
  // Guards against test processes that never exit: without the check the
  // reset fails with EINVAL and the handle stays open.
  it('closes a socket whose orderly end is under way', async () => {
    const server = net.createServer(socket => {
      socket.end('last');
      resetSocket(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as net.AddressInfo;
    const client = net.connect(port, '127.0.0.1');
    client.on('error', () => {});
    client.resume();
    await once(client, 'close');
    server.close();
    await once(server, 'close');
    assert.equal(server.listening, false);
  });
});
