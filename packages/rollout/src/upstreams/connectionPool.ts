import * as http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import {watchForReset} from './responseEnd.js';

function closeOnData(this: Duplex): void {
  this.destroy();
}

/**
 * HTTP agent that closes an idle connection when data arrives on it. Such data
 * belongs to no request and would corrupt the next response. It also watches
 * its connections for resets, which decide whether a response is whole.
 */
export class ConnectionPool extends http.Agent {
  override createConnection(
    ...args: Parameters<http.Agent['createConnection']>
  ): Duplex | null | undefined {
    const socket = super.createConnection(...args);
    // Connections without TLS are sockets.
    if (socket) watchForReset(socket as Socket);
    return socket;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // Older type packages declare `keepSocketAlive` as returning void.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on('data', closeOnData);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    socket.off('data', closeOnData);
    super.reuseSocket(socket, request);
  }
}
