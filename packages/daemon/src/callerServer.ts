import type {ListenAddress} from '@vanillacross/common';
import {
  assertInvariant,
  closeServer,
  listen,
  parseAddress,
} from '@vanillacross/common';
import type {AccessTable, ControlState} from '@vanillacross/domain';
import {createAccessTable, getKeyAccount} from '@vanillacross/domain';
import * as http from 'node:http';
import type {Socket} from 'node:net';

import {getCallerKey} from './callerRequest.js';
import {createBodyBudget} from './callerBody.js';
import type {ConnectedCallers} from './connectedCallers.js';
import {createConnectedCallers} from './connectedCallers.js';
import {
  createMaybeRunRefusal,
  createNotRunRefusal,
  getErrorBody,
  sendRefusal,
} from './refusals.js';
import {handleRouteRequest} from './routeHandler.js';
import type {
  Context,
  ControlFollower,
  Dispatcher,
  HttpAction,
  Membership,
  Component,
  RefusalCode,
} from './types.js';

/** Limits of the caller listener. */
export interface CallerLimits {
  /** Largest request body, bytes. */
  maxBodyBytes: number;
  /** Request bodies held for one account, bytes. */
  maxAccountBytes: number;
  maxConnections: number;
  /** Time for the request line and headers, ms. */
  headerTimeoutMs: number;
  /** Time for the whole request, ms. */
  bodyTimeoutMs: number;
  /** Interval at which the two time limits are checked, ms. */
  checkIntervalMs: number;
  /** How long a caller may read nothing of an answer, ms. */
  stallTimeoutMs: number;
  /** Where to listen; the address of the own instance by default. */
  listen?: ListenAddress;
}

/** The caller listener of an entry. */
export interface CallerServer extends Component {
  /** Bound address, `ip:port`; '' before the start. */
  getAddress(): string;
  connectedCallers: ConnectedCallers;
}

export const defaultCallerLimits: CallerLimits = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxAccountBytes: 64 * 1024 * 1024,
  maxConnections: 10_000,
  headerTimeoutMs: 10_000,
  bodyTimeoutMs: 30_000,
  checkIntervalMs: 1_000,
  stallTimeoutMs: 30_000,
};

/** Codes of Node's parser errors and what callers are told. */
const CLIENT_ERRORS: Readonly<Record<string, [number, string]>> = {
  ERR_HTTP_REQUEST_TIMEOUT: [408, 'the request arrived too slowly'],
  HPE_HEADER_OVERFLOW: [431, 'the headers are too long'],
};

/** The access table of the current control state, built once per state. */
export function createAccessTableCache(
  control: ControlFollower,
): (state?: ControlState) => AccessTable {
  let lastState: ControlState | null = null;
  let lastTable: AccessTable | null = null;
  return (state = control.getState()) => {
    // Records stay the same object while only leases and seals change.
    if (!lastTable || lastState?.records !== state.records) {
      lastTable = createAccessTable(state);
    }
    lastState = state;
    return lastTable;
  };
}

function refuseClientError(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || socket.destroyed) {
    return socket.destroy() && undefined;
  }
  const known = CLIENT_ERRORS[error.code ?? ''];
  const [status, message] = known ?? [400, 'the request is not valid HTTP'];
  const body = JSON.stringify(
    getErrorBody(createNotRunRefusal('bad_request', message)),
  );
  const head = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** Creates the server that callers, trainers and operators connect to. */
export function createCallerServer(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  dispatcher: Dispatcher,
  actions: readonly HttpAction[],
  limits: CallerLimits = defaultCallerLimits,
): CallerServer {
  const {clock, metrics} = context;
  const logger = context.logger.part('callers');
  const getTable = createAccessTableCache(control);
  const connectedCallers = createConnectedCallers();
  // One body is always accepted, however large the limit of bodies is.
  const bodies = createBodyBudget(
    Math.max(limits.maxAccountBytes, limits.maxBodyBytes),
  );
  let address = '';
  let isDraining = false;
  let unsubscribe = () => {};

  const server = http.createServer(
    {
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
      connectionsCheckingInterval: limits.checkIntervalMs,
    },
    (request, response) => void handle(request, response),
  );
  server.maxConnections = limits.maxConnections;
  server.on('clientError', (error, socket) => {
    metrics.count('vc_refusals', {reason: 'bad_request'});
    refuseClientError(error, socket as Socket);
  });

  function countRefusal(code: RefusalCode): void {
    metrics.count('vc_refusals', {reason: code});
  }

  /** Runs an action; its connection ends when the caller's key is withdrawn. */
  async function performAction(
    action: HttpAction,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const key = getCallerKey(request);
    const isKnown = key && getKeyAccount(getTable(), key.hash).ok;
    const release = isKnown
      ? connectedCallers.add(key.hash, request.socket, {
          terminate: () => request.socket.destroy(),
        })
      : () => {};
    try {
      await action.perform(request, response);
    } finally {
      release();
    }
  }

  async function perform(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (isDraining) {
      countRefusal('draining');
      const message = 'the entry is shutting down';
      sendRefusal(response, createNotRunRefusal('draining', message, 1), true);
      return;
    }
    const path = (request.url ?? '/').split('?', 1)[0];
    const method = request.method ?? 'GET';
    const action = actions.find(candidate => candidate.matches(method, path));
    if (action) return performAction(action, request, response);
    return handleRouteRequest(
      {
        context,
        control,
        membership,
        dispatcher,
        connectedCallers,
        bodyBudget: bodies,
        limits,
        getAccessTable: getTable,
        countRefusal,
        isDraining: () => isDraining,
      },
      request,
      response,
    );
  }

  async function handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const startedAt = clock.now();
    metrics.count('vc_requests');
    // A broken connection shows in the request's own handling.
    response.on('error', () => {});
    try {
      await perform(request, response);
    } catch (error) {
      logger.error('request handling failed', {
        detail: (error as Error).message,
      });
      countRefusal('internal');
      const message = 'the request could not be handled';
      if (response.headersSent) response.destroy();
      else {
        sendRefusal(response, createMaybeRunRefusal('internal', message), true);
      }
    }
    metrics.observe('vc_request_ms', clock.now() - startedAt);
  }

  /** Disconnects callers whose key stopped working (R6). */
  function withdrawKeys(state: ControlState, previous: ControlState): void {
    if (state.records === previous.records) return;
    const before = getTable(previous);
    const now = getTable(state);
    const count = connectedCallers.disconnectUnless(hash => {
      const old = getKeyAccount(before, hash);
      const current = getKeyAccount(now, hash);
      return current.ok && (!old.ok || old.value === current.value);
    });
    if (count > 0) {
      logger.info('disconnected callers of withdrawn keys', {count});
    }
  }

  return {
    name: 'callers',
    connectedCallers,
    getAddress: () => address,
    start: async () => {
      const where = limits.listen ?? parseAddress(context.self.address);
      assertInvariant(where !== null, 'the caller address is ip:port');
      unsubscribe = control.subscribe(withdrawKeys);
      metrics.gauge('vc_connected_keys', () =>
        connectedCallers.getConnectionCount(),
      );
      address = await listen(server, where);
      logger.info('accepting callers', {address});
    },
    stop: async signal => {
      isDraining = true;
      const abort = () => server.closeAllConnections();
      signal.addEventListener('abort', abort, {once: true});
      const closed = closeServer(server);
      if (signal.aborted) abort();
      await closed;
      signal.removeEventListener('abort', abort);
      unsubscribe();
    },
  };
}
