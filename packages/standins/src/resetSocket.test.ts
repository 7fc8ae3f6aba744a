import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as net from 'node:net';
import {describe, it} from 'node:test';

import {resetSocket} from './resetSocket.js';

describe('resetSocket', () => {
  // Guards against test processes that never exit: a reset during an orderly
  // close fails with EINVAL and leaves the handle open.
  it('closes a socket whose orderly close is in progress', async () => {
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
