import * as http from 'node:http';
import type {Socket} from 'node:net';

import type {ListenAddress, RpcMethods} from '@vanillacross/common';
import {createRpcHandler} from '@vanillacross/common';

import type {BoundServer} from './boundServer.js';
import {createBoundServer} from './boundServer.js';
import type {Context} from './types.js';

/** Listener for control RPC from other processes of the cluster. */
export interface PeerServer extends BoundServer {
  /**
   * Adds RPC methods. Needed because the components that supply them are created
   * after the listener is bound.
   */
  addMethods(methods: RpcMethods): void;
}

/** Creates the peer listener. Methods must be added before it can answer. */
export function createPeerServer(
  context: Context,
  address: ListenAddress,
): PeerServer {
  let methods: RpcMethods = {};
  let handle = createRpcHandler(context.clusterSecret, methods);
  const server = http.createServer((request, response) => {
    void handle(request, response).catch((error: Error) => {
      context.logger.error('RPC handler failed', {detail: error.message});
      response.destroy();
    });
  });
  // Longer than the 10 s for which polls of agents are held.
  server.keepAliveTimeout = 30_000;
  let closedBytes = 0;
  const sockets = new Set<Socket>();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  });
  // Bytes of control traffic in both directions, for comparison with the network
  // budget of a node.
  context.metrics.gauge('vc_peer_bytes', () =>
    [...sockets].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      closedBytes,
    ),
  );
  return {
    ...createBoundServer('peer', server, address),
    addMethods: added => {
      methods = {...methods, ...added};
      handle = createRpcHandler(context.clusterSecret, methods);
    },
  };
}
