import type {SoftwareVersion, UpstreamId} from '@vanillacross/common';
import {systemClock, toBranded} from '@vanillacross/common';
import {once} from 'node:events';
import type {IncomingHttpHeaders} from 'node:http';
import * as net from 'node:net';

import type {
  UpstreamDialect,
  UpstreamEntry,
  UpstreamNotice,
} from '../model/index.js';
import {Upstream} from '../upstreams/index.js';

/** Writes to a connection; called with each request in its order. */
export type RawResponder = (socket: net.Socket, requests: number) => void;

/** An upstream whose responses a test writes byte by byte. */
export interface RawUpstream {
  upstream: Upstream;
  /** Number of connections that were accepted. */
  getConnectionCount(): number;
  close(): Promise<void>;
}

function readNotice(headers: IncomingHttpHeaders): UpstreamNotice {
  const {limit, leaving} = headers;
  return {
    requestLimit: limit === undefined ? null : Number(limit),
    isLeaving: leaving !== undefined,
  };
}

/** Names that a raw response uses for the fields of its head. */
export const rawDialect: UpstreamDialect = {
  versionField: 'version',
  getHeaders: call => ({host: call.host, id: call.id}),
  getCallerHeaders: headers => ({...headers}),
  readHead: (status, headers) => ({
    status,
    id: typeof headers.id === 'string' ? headers.id : null,
    signature: typeof headers.proof === 'string' ? headers.proof : null,
    isNotRun: headers['not-run'] !== undefined,
    isMisdirected: status === 421,
    load: null,
    notice: readNotice(headers),
    weightVersion:
      headers.version === undefined ? null : Number(headers.version),
  }),
  getReportCall: () => ({method: 'GET', path: '/', headers: {}}),
  readReport: () => {
    throw new Error('raw upstreams have no reports');
  },
  getWeightCall: () => ({method: 'POST', path: '/', headers: {}}),
};

/** Starts an upstream on a loopback port. */
export async function startRawUpstream(
  respond: RawResponder,
): Promise<RawUpstream> {
  const sockets = new Set<net.Socket>();
  let connections = 0;
  const server = net.createServer(socket => {
    connections++;
    sockets.add(socket);
    socket.on('error', () => {});
    let requests = 0;
    socket.on('data', () => respond(socket, ++requests));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  const entry = {
    id: toBranded<UpstreamId>('raw'),
    address: `127.0.0.1:${port}`,
    software: toBranded<SoftwareVersion>('v1'),
    slots: 4,
    coldLeftMs: 0,
    versions: new Map(),
  } as unknown as UpstreamEntry;
  const upstream = new Upstream(entry, systemClock, 0);
  return {
    upstream,
    getConnectionCount: () => connections,
    close: async () => {
      upstream.close();
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, 'close');
    },
  };
}
