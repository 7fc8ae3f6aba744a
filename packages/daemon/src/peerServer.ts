import * as http from 'node:http';
import type {Socket} from 'node:net';

import type {ListenAddress, RpcMethods} from '@vanillacross/common';
import {createRpcHandler} from '@vanillacross/common';

import type {BoundServer} from './boundServer.js';
import {createBoundServer} from './boundServer.js';
import type {Context} from './types.js';

/** Listener for control RPC from other processes of the system. */
export interface PeerServer extends BoundServer {
  /** Adds methods; parts are created after the listener is bound. */
  addMethods(methods: RpcMethods): void;
}

/** Creates the peer listener; it answers once methods were added. */
export function createPeerServer(
  context: Context,
  address: ListenAddress,
): PeerServer {
  let methods: RpcMethods = {};
  let handle = createRpcHandler(context.clusterSecret, methods);
  const server = http.createServer((request, response) => {
    void handle(request, response).catch((error: Error) => {
      context.logger.error('RPC failed', {detail: error.message});
      response.destroy();
    });
  });
  // Agents hold polls for up to 10 s; idle sockets are kept longer than that.
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
  // Control traffic in both directions, for the budget of a node.
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
