import type {ListenAddress} from '@vanillacross/common';
import {closeServer, listen} from '@vanillacross/common';
import type {Server} from 'node:http';

import type {Component} from './types.js';

/**
 * HTTP listener that closes its connections when it stops, without waiting for
 * requests in progress.
 */
export interface BoundServer extends Component {
  /** Bound address, `ip:port`; known after the start. */
  getAddress(): string;
}

/** Wraps an HTTP server and its address as a component of the daemon. */
export function createBoundServer(
  name: string,
  server: Server,
  address: ListenAddress,
): BoundServer {
  let bound = '';
  return {
    name,
    start: async () => {
      bound = await listen(server, address);
    },
    stop: () => {
      server.closeAllConnections();
      return closeServer(server);
    },
    getAddress: () => bound,
  };
}
