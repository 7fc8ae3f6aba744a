import type {ListenAddress} from '@vanillacross/common';
import {closeServer, listen} from '@vanillacross/common';
import type {Server} from 'node:http';

import type {Component} from './types.js';

/** A listener whose running exchanges need not end before it stops. */
export interface BoundServer extends Component {
  /** Bound address as `ip:port`, known after the start. */
  getAddress(): string;
}

/** Makes a part of an HTTP server and its address. */
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
