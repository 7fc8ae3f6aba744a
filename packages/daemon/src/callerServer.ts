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
  /** Total size of the buffered request bodies of one account, bytes. */
  maxAccountBytes: number;
  maxConnections: number;
  /** Timeout for receiving the request line and headers, ms. */
  headerTimeoutMs: number;
  /** Timeout for receiving the complete request, ms. */
  bodyTimeoutMs: number;
  /** Interval at which these two timeouts are checked, ms. */
  checkIntervalMs: number;
  /** How long a write may block before the caller is disconnected, ms. */
  stallTimeoutMs: number;
  /** Address to listen on; defaults to the address of this instance. */
  listen?: ListenAddress;
}

/** The listener of an entry for callers. */
export interface CallerServer extends Component {
  /** Bound address, `ip:port`; '' before `start`. */
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

/** Status and message for error codes of the server's `clientError` event. */
const CLIENT_ERROR_RESPONSES: Readonly<Record<string, [number, string]>> = {
  ERR_HTTP_REQUEST_TIMEOUT: [408, 'the request arrived too slowly'],
  HPE_HEADER_OVERFLOW: [431, 'the headers are too long'],
};

/** Creates a getter for the access table of a control state, with a cache. */
export function createAccessTableCache(
  control: ControlFollower,
): (state?: ControlState) => AccessTable {
  let lastState: ControlState | null = null;
  let lastTable: AccessTable | null = null;
  return (state = control.getState()) => {
    // Changes of leases and seals alone leave the `records` object unchanged, so
    // that the cached table stays valid.
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
  const known = CLIENT_ERROR_RESPONSES[error.code ?? ''];
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

/** Creates the HTTP server for callers, trainers and operators. */
export function createCallerServer(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  dispatcher: Dispatcher,
  actions: readonly HttpAction[],
  limits: CallerLimits = defaultCallerLimits,
): CallerServer {
  const {clock, metrics} = context;
  const logger = context.logger.child('callers');
  const getAccessTable = createAccessTableCache(control);
  const connectedCallers = createConnectedCallers();
  // The account limit must leave room for one body of the maximum size.
  const bodyBudget = createBodyBudget(
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

  /** Performs an action; closes its connection if the key is withdrawn. */
  async function performAction(
    action: HttpAction,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const key = getCallerKey(request);
    const isKeyValid = key && getKeyAccount(getAccessTable(), key.hash).ok;
    const unregister = isKeyValid
      ? connectedCallers.add(key.hash, request.socket, {
          terminate: () => request.socket.destroy(),
        })
      : () => {};
    try {
      await action.perform(request, response);
    } finally {
      unregister();
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
        bodyBudget,
        limits,
        getAccessTable,
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
    // Without a listener, an 'error' event would be thrown as an exception. A
    // closed connection is detected by the 'close' event.
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

  /**
   * Disconnects callers whose key was withdrawn or moved to another account
   * (R6).
   */
  function disconnectInvalidKeyHolders(
    state: ControlState,
    previous: ControlState,
  ): void {
    if (state.records === previous.records) return;
    const oldTable = getAccessTable(previous);
    const currentTable = getAccessTable(state);
    const count = connectedCallers.disconnectUnless(hash => {
      const old = getKeyAccount(oldTable, hash);
      const current = getKeyAccount(currentTable, hash);
      return current.ok && (!old.ok || old.value === current.value);
    });
    if (count > 0) {
      logger.info('disconnected callers whose key was withdrawn or moved', {
        count,
      });
    }
  }

  return {
    name: 'callers',
    connectedCallers,
    getAddress: () => address,
    start: async () => {
      const listenAddress = limits.listen ?? parseAddress(context.self.address);
      assertInvariant(
        listenAddress !== null,
        'the listen address for callers must have the form ip:port',
      );
      unsubscribe = control.subscribe(disconnectInvalidKeyHolders);
      metrics.gauge('vc_connected_keys', () =>
        connectedCallers.getConnectionCount(),
      );
      address = await listen(server, listenAddress);
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
