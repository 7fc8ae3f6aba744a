import type {Clock, MonotonicMs, Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import type * as http from 'node:http';

import type {
  ResponseHead,
  UpstreamCall,
  UpstreamDialect,
} from '../model/index.js';
import {isEndOfBodyProven} from './responseEnd.js';
import {getHeadFault} from './responseHead.js';
import type {Upstream} from './upstream.js';

/** Timeout for connecting to an upstream, ms. */
const CONNECT_TIMEOUT_MS = 150;
/** A timer delay above this means that the event loop was blocked, ms. */
const LATE_TIMER_MS = 30;
/**
 * Extra time to connect if the event loop was blocked, since the connect event
 * may be queued, ms.
 */
const BLOCKED_LOOP_GRACE_MS = 50;

/** Interim responses (status 1xx) after which an exchange fails. */
const MAX_INTERIM_RESPONSES = 32;
/** Size of the body of a refusal after which an exchange fails, bytes. */
const MAX_REFUSAL_BYTES = 256 * 1024;

/** Why an exchange ended without a complete response. */
export type ExchangeFailure =
  /** No byte of the request was sent, so it can't have been executed. */
  | {tag: 'not_sent'; detail: string}
  /** The request may have been sent and executed. */
  | {tag: 'lost'; detail: string}
  /** The response belongs to another request. */
  | {tag: 'crossed'; detail: string}
  /** The bytes received are no usable response. */
  | {tag: 'invalid'; detail: string};

/**
 * Events of an exchange. One that throws fails the exchange, since the bytes of
 * an upstream must not end this process; `onFailure` must not throw.
 */
export interface ExchangeEvents {
  /** The head can be written to a caller as it is. */
  onHead(head: ResponseHead, headers: http.IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** The connection that a request was assigned, for logs. */
export interface AssignedConnection {
  /** Its local port; null if it has none any more. */
  port: number | null;
  /** Whether it has carried an earlier request. */
  isReused: boolean;
  /** Whether it was closed already when the request was assigned to it. */
  wasClosed: boolean;
}

/** A request to an upstream that is in flight. */
export interface Exchange {
  upstream: Upstream;
  startedAt: MonotonicMs;
  /** Returns null while the request has no connection. */
  getConnection(): AssignedConnection | null;
  /** Stops reading, so that the upstream is blocked while a caller is slow. */
  pause(): void;
  resume(): void;
  /** Closes the connection; no further events are emitted. */
  abort(): void;
}

/** Splits an `ip:port` address. */
function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Whether an upstream sent bytes that are not HTTP or exceed its limits. */
function isParseError(error: NodeJS.ErrnoException): boolean {
  return error.code?.startsWith('HPE_') ?? false;
}

/** Returns an exchange whose request could not be created. */
function createUnsentExchange(
  upstream: Upstream,
  startedAt: MonotonicMs,
  detail: string,
  events: ExchangeEvents,
): Exchange {
  let isAborted = false;
  queueMicrotask(() => {
    if (!isAborted) events.onFailure({tag: 'not_sent', detail});
  });
  return {
    upstream,
    startedAt,
    getConnection: () => null,
    pause: () => undefined,
    resume: () => undefined,
    abort: () => (isAborted = true),
  };
}

function createRequest(
  upstream: Upstream,
  dialect: UpstreamDialect,
  call: UpstreamCall,
  bodyBytes: number,
): Result<http.ClientRequest, string> {
  try {
    const {method, target: path} = call;
    const headers = {...dialect.getHeaders(call), 'content-length': bodyBytes};
    const address = splitAddress(upstream.entry.address);
    const options = {...address, method, path, headers};
    const isSentOnce = call.isSentOnce ?? false;
    return ok(upstream.agent.createRequest(options, call.id, isSentOnce));
  } catch (error) {
    return fail((error as Error).message);
  }
}

/** Sends a request to an upstream and emits events for the response. */
export function startExchange(
  upstream: Upstream,
  dialect: UpstreamDialect,
  clock: Clock,
  call: UpstreamCall,
  body: Buffer,
  events: ExchangeEvents,
): Exchange {
  const startedAt = clock.now();
  const created = createRequest(upstream, dialect, call, body.length);
  if (!created.ok) {
    return createUnsentExchange(upstream, startedAt, created.error, events);
  }
  const request = created.value;
  let isSettled = false;
  let mayHaveBeenSent = false;
  let connection: AssignedConnection | null = null;
  let cancelConnectTimer: () => void = () => undefined;
  upstream.recordStart();
  const settle = (): boolean => {
    if (isSettled) return false;
    isSettled = true;
    cancelConnectTimer();
    upstream.recordEnd();
    return true;
  };
  const failWith = (
    tag: Exclude<ExchangeFailure['tag'], 'not_sent'>,
    detail: string,
  ) => {
    if (!settle()) return;
    request.destroy();
    events.onFailure(
      mayHaveBeenSent ? {tag, detail} : {tag: 'not_sent', detail},
    );
  };
  const guard = (handle: () => void) => {
    try {
      handle();
    } catch (error) {
      settle();
      request.destroy();
      const detail = `internal error: ${(error as Error).stack}`;
      events.onFailure({tag: 'invalid', detail});
    }
  };
  const handleError = (error: NodeJS.ErrnoException) =>
    failWith(isParseError(error) ? 'invalid' : 'lost', error.message);
  const startConnectTimer = (timeoutMs: number) => {
    const deadline = getDeadline(clock.now(), timeoutMs);
    cancelConnectTimer = clock.callAt(deadline, () => {
      const wasBlocked = clock.now() - deadline > LATE_TIMER_MS;
      if (wasBlocked) return startConnectTimer(BLOCKED_LOOP_GRACE_MS);
      failWith('lost', 'connect timeout');
    });
  };
  request.on('socket', socket => {
    connection = {
      port: socket.localPort ?? null,
      isReused: request.reusedSocket,
      wasClosed: !socket.writable,
    };
    if (connection.wasClosed) return failWith('lost', 'connection was closed');
    upstream.agent.recordRequest(socket, call.id);
    if (!socket.connecting) {
      mayHaveBeenSent = true;
      return;
    }
    startConnectTimer(CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      mayHaveBeenSent = true;
      cancelConnectTimer();
    });
  });
  request.on('error', handleError);
  let interimResponses = 0;
  request.on('information', () => {
    if (++interimResponses <= MAX_INTERIM_RESPONSES) return;
    failWith('invalid', 'interim responses without end');
  });
  let currentResponse: http.IncomingMessage | null = null;
  const handleResponse = (response: http.IncomingMessage) => {
    currentResponse = response;
    response.on('error', handleError);
    const fault = getHeadFault(response);
    if (fault !== null) return failWith('invalid', `unusable head: ${fault}`);
    const head = dialect.readHead(response.statusCode ?? 0, response.headers);
    if (head.id !== null && head.id !== call.id) {
      return failWith('crossed', `answer to ${head.id}`);
    }
    if (head.load) upstream.recordLoad(head.load);
    if (head.notice) upstream.notices.record(head.notice, startedAt);
    if (isSettled) return;
    events.onHead(head, response.headers);
    let refusalBytes = 0;
    response.on('data', (chunk: Buffer) => {
      if (isSettled) return;
      if (head.isNotRun) refusalBytes += chunk.length;
      if (refusalBytes > MAX_REFUSAL_BYTES) {
        return failWith('invalid', 'a refusal without end');
      }
      guard(() => events.onData(chunk));
    });
    response.on('end', () => {
      if (!isEndOfBodyProven(response)) {
        return failWith('lost', 'answer was cut');
      }
      if (settle()) guard(() => events.onEnd());
    });
    response.on('aborted', () => failWith('lost', 'answer was cut'));
  };
  request.on('response', response => guard(() => handleResponse(response)));
  request.on('close', () => failWith('lost', 'connection closed'));
  request.end(body);
  return {
    upstream,
    startedAt,
    getConnection: () => connection,
    pause: () => currentResponse?.pause(),
    resume: () => currentResponse?.resume(),
    abort: () => {
      if (settle()) request.destroy();
    },
  };
}
