import type {RequestId} from '@vanillacross/common';
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
  private readonly lastRequests = new WeakMap<Duplex, RequestId>();
  private isRetired = false;

  override createConnection(
    ...args: Parameters<http.Agent['createConnection']>
  ): Duplex | null | undefined {
    const socket = super.createConnection(...args);
    // Connections without TLS are sockets.
    if (socket) watchForReset(socket as Socket);
    return socket;
  }

  /** Closes idle connections at once and the others after their responses. */
  retire(): void {
    this.isRetired = true;
    for (const socket of Object.values(this.freeSockets).flat()) {
      socket?.destroy();
    }
  }

  /** Notes the request that is sent on a connection. */
  recordRequest(socket: Duplex, id: RequestId): void {
    this.lastRequests.set(socket, id);
  }

  /**
   * Closes the idle connections whose last request has this id, before a request
   * is sent again under it. A late copy of the earlier response would have the
   * id that is expected of the next one.
   */
  closeAfter(id: RequestId): void {
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (!socket || this.lastRequests.get(socket) !== id) continue;
      // The agent removes the connection at once, so that it is not chosen.
      socket.emit('agentRemove');
      socket.destroy();
    }
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (this.isRetired) return false;
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
