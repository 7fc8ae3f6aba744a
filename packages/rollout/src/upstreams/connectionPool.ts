import * as http from 'node:http';
import type {Duplex} from 'node:stream';

function closeOnData(this: Duplex): void {
  this.destroy();
}

/**
 * Keeps idle connections for reuse. Bytes that arrive on an idle connection
 * belong to no request, so the connection is closed.
 */
export class ConnectionPool extends http.Agent {
  override keepSocketAlive(socket: Duplex): boolean {
    // `keepSocketAlive` is typed as void by older type packages.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) socket.on('data', closeOnData);
    return isKept;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    socket.off('data', closeOnData);
    super.reuseSocket(socket, request);
  }
}
