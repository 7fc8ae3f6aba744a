import type {Socket} from 'node:net';

/** A running request of a connected caller. */
export interface ConnectedRequest {
  /** Ends the request because its key is no longer valid. */
  terminate(): void;
}

/** A connection that used a key, and its running requests. */
interface Connection {
  running: Set<ConnectedRequest>;
}

/** Registry of caller connections by key hash. */
export interface ConnectedCallers {
  /** Registers a running request; returns a function that unregisters it. */
  add(keyHash: string, socket: Socket, request: ConnectedRequest): () => void;
  /**
   * Disconnects all callers whose key hash is no longer accepted; returns the
   * number of their connections.
   */
  disconnectUnless(isAccepted: (keyHash: string) => boolean): number;
  /** Number of pairs of an open connection and a key that it used. */
  getConnectionCount(): number;
}

export function createConnectedCallers(): ConnectedCallers {
  const byHash = new Map<string, Map<Socket, Connection>>();

  function removeConnection(keyHash: string, socket: Socket): void {
    const sockets = byHash.get(keyHash);
    sockets?.delete(socket);
    if (sockets?.size === 0) byHash.delete(keyHash);
  }

  function getConnection(keyHash: string, socket: Socket): Connection {
    const sockets = byHash.get(keyHash) ?? new Map<Socket, Connection>();
    byHash.set(keyHash, sockets);
    const known = sockets.get(socket);
    if (known) return known;
    const connection = {running: new Set<ConnectedRequest>()};
    sockets.set(socket, connection);
    socket.once('close', () => removeConnection(keyHash, socket));
    return connection;
  }

  function disconnect(socket: Socket, connection: Connection): void {
    // Running requests decide how they end, for example with an error response;
    // connections without any are closed.
    if (connection.running.size === 0) socket.destroy();
    for (const request of [...connection.running]) request.terminate();
  }

  return {
    add: (keyHash, socket, request) => {
      const connection = getConnection(keyHash, socket);
      connection.running.add(request);
      return () => connection.running.delete(request);
    },
    disconnectUnless: isAccepted => {
      let count = 0;
      for (const [keyHash, sockets] of [...byHash]) {
        if (isAccepted(keyHash)) continue;
        count += sockets.size;
        for (const [socket, connection] of [...sockets]) {
          disconnect(socket, connection);
        }
        byHash.delete(keyHash);
      }
      return count;
    },
    getConnectionCount: () =>
      [...byHash.values()].reduce((sum, sockets) => sum + sockets.size, 0),
  };
}
