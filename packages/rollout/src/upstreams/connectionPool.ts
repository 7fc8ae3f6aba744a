import * as http from 'node:http';
import type {Duplex} from 'node:stream';

function closeOnData(this: Duplex): void {
  this.destroy();
}

/**
 * HTTP agent that closes an idle connection when data arrives on it. Such data
 * belongs to no request and would corrupt the next response.
 */
export class ConnectionPool extends http.Agent {
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
