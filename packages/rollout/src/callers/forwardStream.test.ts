import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {
  createForwardContext,
  createForwardRequest,
} from '../testing/forwardFixture.js';
import {startRawUpstream} from '../testing/rawUpstream.js';
import {forwardStream} from './forwardStream.js';

const CHUNK_BYTES = 256 * 1_024;
const PLAY_MS = 1_000;
/** What may be held for a caller that does not read, bytes. */
const MAX_HELD_BYTES = 1024 * 1024;

describe('forwardStream', () => {
  it('holds little for a caller that does not read', async () => {
    // Guards against memory that grows with what an upstream sends.
    const raw = await startRawUpstream(socket => {
      socket.write('HTTP/1.1 200 OK\r\nid: r1\r\nconnection: close\r\n\r\n');
      const write = () => {
        while (!socket.destroyed && socket.write(Buffer.alloc(CHUNK_BYTES)));
        socket.once('drain', write);
      };
      write();
    });
    const context = createForwardContext([raw.upstream]);
    const request = createForwardRequest('stream');
    let response: http.ServerResponse | null = null;
    const server = http.createServer((_, outgoing) => {
      response = outgoing;
      void forwardStream(context, request, outgoing, () => {});
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as net.AddressInfo;
    const caller = net.connect(port, '127.0.0.1');
    caller.on('error', () => {});
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
    await sleep(PLAY_MS);
    const heldBytes = response!.writableLength;
    caller.destroy();
    server.close();
    server.closeAllConnections();
    await raw.close();
    assert.ok(heldBytes > 0, 'the stream was not forwarded');
    assert.ok(heldBytes <= MAX_HELD_BYTES, `${heldBytes} bytes are held`);
  });
});
