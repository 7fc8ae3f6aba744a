import type {Socket} from 'node:net';

/**
 * Resets a connection. While an orderly close is in progress, Node.js refuses
 * the reset and never closes the handle, so that the process spins at exit;
 * such a socket is destroyed instead.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
