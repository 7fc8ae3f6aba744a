import * as http from 'node:http';

import type {ListenAddress} from '@vanillacross/common';
import {closeServer, listen} from '@vanillacross/common';

import type {Context, Part} from './types.js';

/** Serves `/healthz`, `/readyz` and `/metrics`. */
export interface AdminServer extends Part {
  /** Bound address as `ip:port`, known after the start. */
  getAddress(): string;
}

interface Page {
  status: number;
  text: string;
}

/**
 * Creates the admin listener.
 * @param isReady says whether the process takes new work.
 */
export function createAdminServer(
  context: Context,
  address: ListenAddress,
  isReady: () => boolean,
): AdminServer {
  const pages: Record<string, () => Page> = {
    '/healthz': () => ({status: 200, text: 'ok\n'}),
    '/readyz': () =>
      isReady()
        ? {status: 200, text: 'ready\n'}
        : {status: 503, text: 'not ready\n'},
    '/metrics': () => ({status: 200, text: context.metrics.render()}),
  };
  const server = http.createServer((request, response) => {
    const path = (request.url ?? '').split('?')[0];
    const page = Object.hasOwn(pages, path) ? pages[path]() : null;
    response.writeHead(page?.status ?? 404, {
      'content-type': 'text/plain; version=0.0.4',
    });
    response.end(page?.text ?? 'not found\n');
  });
  let bound = '';
  return {
    name: 'admin',
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
