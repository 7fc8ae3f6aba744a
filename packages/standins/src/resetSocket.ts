import type {Socket} from 'node:net';

/**
 * Resets a connection. Node refuses a reset while an orderly end is under way
 * and then never closes the handle, so that the process spins at its exit;
 * such a socket is destroyed instead.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
