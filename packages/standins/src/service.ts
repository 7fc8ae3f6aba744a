import {
  listen,
  parseAddress,
  parseJson,
  readBody,
  sendJson,
} from '@vanillacross/common';
import * as http from 'node:http';
import type {Socket} from 'node:net';
import {ZodError} from 'zod';
import type {ZodType} from 'zod';

import {MAX_BODY_BYTES} from './constants.js';
import type {Fault} from './faults.js';
import {createFaultTable} from './faults.js';
import {resetSocket} from './resetSocket.js';

/** Options of every stand-in. */
export interface ServiceOptions {
  /** `ip:port` to listen on, `127.0.0.1:0` by default. */
  listen?: string;
  faults?: Fault[];
}

/** A running stand-in. */
export interface Service {
  url: string;
  /** `ip:port` that the stand-in is bound to. */
  address: string;
  /** Replaces the fault table, like `PUT /faults`. */
  setFaults(faults: Fault[]): void;
  /** Resets every open connection. */
  resetConnections(): void;
  close(): Promise<void>;
}

/** One request to a stand-in. */
export interface RouteContext {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  params: string[];
  query: URLSearchParams;
  body: Buffer;
  /** Aborted if the connection closes before the response is complete. */
  signal: AbortSignal;
  /**
   * Returns the JSON body, checked by a schema; an invalid body gets status
   * 400.
   */
  parse<Value>(schema: ZodType<Value>): Value;
}

/** A JSON response, or nothing if the handler wrote the response itself. */
export type Reply =
  | {status: number; body: unknown; headers?: http.OutgoingHttpHeaders}
  | undefined
  | void;

/** A handler for a method and a path such as `/v1/orders/:id`. */
export interface Route {
  method: string;
  pattern: RegExp;
  handler(context: RouteContext): Promise<Reply> | Reply;
}

/** Creates a route from `METHOD /path/:param`; method `*` matches all. */
export function createRoute(spec: string, handler: Route['handler']): Route {
  const [method, path] = spec.split(' ');
  const pattern = path.replace(/:\w+/g, '([^/]+)').replace(/\*$/, '.*');
  return {method, pattern: new RegExp(`^${pattern}$`), handler};
}

function createRouteContext(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  url: URL,
  body: Buffer,
  params: string[],
): RouteContext {
  const abort = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abort.abort();
  });
  return {
    request,
    response,
    params,
    query: url.searchParams,
    body,
    signal: abort.signal,
    parse: schema => {
      const parsed = parseJson(body.toString('utf8'));
      return schema.parse(parsed.ok ? parsed.value : undefined);
    },
  };
}

async function dispatch(
  routes: readonly Route[],
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://standin');
  const body = await readBody(request, MAX_BODY_BYTES);
  if (!body.ok) return void response.destroy();
  for (const route of routes) {
    if (route.method !== '*' && route.method !== request.method) continue;
    const match = route.pattern.exec(url.pathname);
    if (!match) continue;
    const params = match.slice(1).map(decodeURIComponent);
    const reply = await route.handler(
      createRouteContext(request, response, url, body.value, params),
    );
    if (reply) sendJson(response, reply.status, reply.body, reply.headers);
    return;
  }
  sendJson(response, 404, {error: `no route for ${request.method}`});
}

/**
 * Serves routes, by default on a loopback port. The faults set at `/faults`
 * apply first.
 */
export async function createService(
  routes: readonly Route[],
  options: ServiceOptions = {},
): Promise<Service> {
  const faults = createFaultTable();
  faults.set(options.faults ?? []);
  const allRoutes = [
    createRoute('GET /faults', () => ({status: 200, body: faults.get()})),
    createRoute('PUT /faults', ({body}) => {
      faults.set(JSON.parse(body.toString('utf8')));
      return {status: 200, body: faults.get()};
    }),
    ...routes,
  ];
  const handle = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => {
    const isFaultRequest = request.url === '/faults';
    if (!isFaultRequest && !(await faults.apply(request, response))) return;
    await dispatch(allRoutes, request, response);
  };
  const sockets = new Set<Socket>();
  const server = http.createServer((request, response) => {
    handle(request, response).catch((error: unknown) => {
      const isBadInput =
        error instanceof ZodError || error instanceof SyntaxError;
      if (response.headersSent) response.destroy();
      else sendJson(response, isBadInput ? 400 : 500, {error: String(error)});
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
  });
  const endpoint = parseAddress(options.listen ?? '127.0.0.1:0');
  if (!endpoint) throw new Error(`expected ip:port, got ${options.listen}`);
  const address = await listen(server, endpoint);
  const resetConnections = () => {
    for (const socket of sockets) resetSocket(socket);
  };
  return {
    url: `http://${address}`,
    address,
    setFaults: list => faults.set(list),
    resetConnections,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        resetConnections();
      }),
  };
}
