import * as http from 'node:http';

import type {ListenAddress} from '@vanillacross/common';

import type {BoundServer} from './boundServer.js';
import {createBoundServer} from './boundServer.js';
import type {Context} from './types.js';

interface Page {
  status: number;
  text: string;
}

/**
 * Creates the admin listener with `/healthz`, `/readyz` and `/metrics`.
 * @param isReady whether the process accepts new requests.
 */
export function createAdminServer(
  context: Context,
  address: ListenAddress,
  isReady: () => boolean,
): BoundServer {
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
  return createBoundServer('admin', server, address);
}
