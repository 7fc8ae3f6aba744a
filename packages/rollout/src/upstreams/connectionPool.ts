import type {Clock, MonotonicMs, RequestId} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {IdleConnection} from '@vanillacross/domain';
import {isRefreshDue} from '@vanillacross/domain';
import * as http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import {watchForReset} from './responseEnd.js';

/**
 * Time for which upstreams are sure to keep an idle connection open, ms; the idle
 * timeout of connections that are not kept for longer.
 */
export const MAX_REST_MS = 10_000;

/**
 * Number of requests of a connection whose ids are remembered. A request is sent
 * again within seconds if at all.
 */
const MAX_REMEMBERED_REQUESTS = 64;

/**
 * Closes an idle connection and takes it out of its agent, which would hand it
 * out until its close event. The agent looks for idle connections only if the
 * connection can't be written to any more, so the order matters.
 */
function closeIdleConnection(socket: Duplex): void {
  socket.destroy();
  socket.emit('agentRemove');
}

function closeOnData(this: Duplex): void {
  closeIdleConnection(this);
}

/**
 * HTTP agent that closes an idle connection when data arrives on it. Such data
 * belongs to no request and would corrupt the next response. It also watches
 * its connections for resets, which decide whether a response is whole.
 */
export class ConnectionPool extends http.Agent {
  private readonly carriedRequests = new WeakMap<Duplex, Set<RequestId>>();
  private readonly idleConnections = new WeakMap<
    Duplex,
    IdleConnection & {idleSince: MonotonicMs}
  >();
  private isRetired = false;

  /**
   * @param getRefreshPath Returns the path of the requests that only keep a
   *     connection open; null if there are none.
   */
  constructor(
    private readonly clock: Clock,
    options: http.AgentOptions,
    private readonly getRefreshPath: () => string | null = () => null,
  ) {
    super(options);
  }

  override createConnection(
    ...args: Parameters<http.Agent['createConnection']>
  ): Duplex | null | undefined {
    const socket = super.createConnection(...args);
    // Connections without TLS are sockets.
    if (socket) watchForReset(socket as Socket);
    return socket;
  }

  /** Closes idle connections at once and the others after their responses. */
  retire(): void {
    this.isRetired = true;
    this.closeIdle(() => true);
  }

  /**
   * Creates a request on an idle connection that may carry it, or on a new one.
   * Throws if the options are no valid request.
   *
   * @param isSentOnce Whether the request can't be sent again, so that it must
   *     not get a connection that the upstream may be closing.
   */
  createRequest(
    options: http.RequestOptions,
    id: RequestId,
    isSentOnce: boolean,
  ): http.ClientRequest {
    this.closeIdle(socket => isSentOnce && this.hasRested(socket));
    const restore = this.hideCarriers(id);
    try {
      return http.request({...options, agent: this});
    } finally {
      restore();
    }
  }

  /** Keeps idle connections again, after an upstream has returned. */
  resume(): void {
    this.isRetired = false;
  }

  /** Notes the request that is sent on a connection. */
  recordRequest(socket: Duplex, id: RequestId): void {
    const ids = this.carriedRequests.get(socket) ?? new Set();
    this.carriedRequests.set(socket, ids.add(id));
    if (ids.size <= MAX_REMEMBERED_REQUESTS) return;
    const [oldest] = ids;
    ids.delete(oldest);
  }

  /**
   * Hides the idle connections that have carried a request of this id from the
   * agent until the returned function is called. A late copy of the earlier
   * response would have the id that is expected of the next one.
   */
  private hideCarriers(id: RequestId): () => void {
    const isCarrier = (socket: Duplex) =>
      this.carriedRequests.get(socket)?.has(id) ?? false;
    // The agent removes the entry of an address without idle connections.
    const lists = this.freeSockets as NodeJS.Dict<Socket[]>;
    const restores = Object.entries(lists).map(([address, sockets = []]) => {
      const all = [...sockets];
      if (!all.some(isCarrier)) return () => undefined;
      lists[address] = all.filter(socket => !isCarrier(socket));
      return () => {
        const left = lists[address] ?? [];
        lists[address] = all.filter(
          socket => isCarrier(socket) || left.includes(socket),
        );
      };
    });
    return () => {
      for (const restore of restores) restore();
    };
  }

  /** Whether the upstream may be closing a connection that has been idle. */
  private hasRested(socket: Duplex): boolean {
    const idle = this.idleConnections.get(socket);
    if (!idle) return false;
    return this.clock.now() - idle.idleSince > MAX_REST_MS;
  }

  /** Closes the idle connections that match or can't be written to any more. */
  private closeIdle(isClosed: (socket: Duplex) => boolean): void {
    for (const socket of Object.values(this.freeSockets).flat()) {
      if (!socket || (socket.writable && !isClosed(socket))) continue;
      closeIdleConnection(socket);
    }
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (this.isRetired) return false;
    // Older type packages declare `keepSocketAlive` as returning void.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) {
      socket.on('data', closeOnData);
      this.recordIdle(socket);
    }
    return isKept;
  }

  /**
   * Returns the number of idle connections that a request should keep open. The
   * next requests use these connections.
   */
  prepareRefreshes(now: MonotonicMs): number {
    // Without the path, refreshes would count as uses and be due without end.
    if (this.getRefreshPath() === null) return 0;
    let count = 0;
    for (const sockets of Object.values(this.freeSockets)) {
      if (!sockets) continue;
      const due = sockets.filter(socket => this.isRefreshDue(socket, now));
      const others = sockets.filter(socket => !due.includes(socket));
      // The agent takes the first one.
      sockets.splice(0, sockets.length, ...due, ...others);
      count += due.length;
    }
    return count;
  }

  private isRefreshDue(socket: Duplex, now: MonotonicMs): boolean {
    const idle = this.idleConnections.get(socket);
    return idle !== undefined && isRefreshDue(idle, now);
  }

  private recordIdle(socket: Duplex): void {
    const refreshes = this.idleConnections.get(socket)?.refreshes ?? 0;
    // The agent has set the socket's timeout to that of the upstream, if stated.
    const timeoutMs = (socket as Socket).timeout ?? Infinity;
    const idleSince = this.clock.now();
    const closesAt = getDeadline(idleSince, timeoutMs);
    this.idleConnections.set(socket, {idleSince, closesAt, refreshes});
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    socket.off('data', closeOnData);
    const idle = this.idleConnections.get(socket);
    const isRefresh = request.path === this.getRefreshPath();
    if (idle) idle.refreshes = isRefresh ? idle.refreshes + 1 : 0;
    super.reuseSocket(socket, request);
  }
}
