import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

const resetSockets = new WeakSet<Socket>();

/**
 * Watches whether the peer resets a new connection. libuv reports data and a reset
 * that arrive together as data and an orderly end, but a reset connection has no
 * peer address any more. The address must not be read before, because Node
 * caches it.
 */
export function watchForReset(socket: Socket): void {
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
}

/**
 * Whether a response whose data ended is whole. A body without a length or
 * chunked encoding ends with its connection, so its end is proven only by an
 * orderly close. The connection must be watched from the start.
 */
export function isEndOfBodyProven(response: IncomingMessage): boolean {
  const {headers, socket} = response;
  const isDelimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return response.complete && (isDelimited || !resetSockets.has(socket));
}
