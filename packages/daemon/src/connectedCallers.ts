import type {Socket} from 'node:net';

/** A running request of a connected caller. */
export interface ConnectedRequest {
  /** Ends the request because its key no longer works. */
  terminate(): void;
}

/** Connections that used a key, and their running requests. */
interface Connection {
  running: Set<ConnectedRequest>;
}

/** Registry of connected callers by key hash. */
export interface ConnectedCallers {
  /** Registers a running request; returns a function that ends it. */
  add(keyHash: string, socket: Socket, request: ConnectedRequest): () => void;
  /** Disconnects all callers whose key hash is not accepted any more. */
  disconnectUnless(isAccepted: (keyHash: string) => boolean): number;
  /** Connections that used some key. */
  getConnectionCount(): number;
}

/** Creates an empty registry. */
export function createConnectedCallers(): ConnectedCallers {
  const byHash = new Map<string, Map<Socket, Connection>>();

  function forget(keyHash: string, socket: Socket): void {
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
    socket.once('close', () => forget(keyHash, socket));
    return connection;
  }

  function withdraw(socket: Socket, connection: Connection): void {
    // An idle connection has nothing to be told, a busy one ends its request.
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
          withdraw(socket, connection);
        }
        byHash.delete(keyHash);
      }
      return count;
    },
    getConnectionCount: () =>
      [...byHash.values()].reduce((sum, sockets) => sum + sockets.size, 0),
  };
}
