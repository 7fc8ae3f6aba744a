import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import * as http from 'node:http';

import type {
  ResponseHead,
  UpstreamCall,
  UpstreamDialect,
} from '../model/index.js';
import type {Upstream} from './upstream.js';

/** Time in which a connection to an upstream must stand, ms. */
const CONNECT_TIMEOUT_MS = 150;
/** A timer that fires this late tells that this process was busy, ms. */
const LATE_TIMER_MS = 30;
/** Time in which a connection that stood meanwhile is noticed, ms. */
const BUSY_GRACE_MS = 50;

/** Why an exchange ended without a whole answer. */
export type ExchangeFailure =
  /** No byte of the request was sent. */
  | {tag: 'not_sent'; detail: string}
  /** The request was sent; it may have run. */
  | {tag: 'lost'; detail: string}
  /** The answer belongs to another request. */
  | {tag: 'crossed'; detail: string}
  /** This process ended it. */
  | {tag: 'aborted'; detail: string};

export interface ExchangeEvents {
  onHead(head: ResponseHead, headers: http.IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  /** The answer is whole. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** A request to an upstream that is under way. */
export interface Exchange {
  upstream: Upstream;
  startedAt: MonotonicMs;
  /** Closes its connection; no event follows. */
  abort(): void;
}

/** Splits `ip:port`. */
function getHostPort(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Sends a request to an upstream and reports what comes back. */
export function startExchange(
  upstream: Upstream,
  dialect: UpstreamDialect,
  clock: Clock,
  call: UpstreamCall,
  body: Buffer,
  events: ExchangeEvents,
): Exchange {
  const headers = dialect.getHeaders(call);
  headers['content-length'] = body.length;
  const request = http.request({
    ...getHostPort(upstream.entry.address),
    method: call.method,
    path: call.target,
    headers,
    agent: upstream.agent,
  });
  let isSettled = false;
  let wasSent = false;
  let cancelConnectTimer: () => void = () => undefined;
  upstream.recordStart();
  const settle = (): boolean => {
    if (isSettled) return false;
    isSettled = true;
    cancelConnectTimer();
    upstream.recordEnd();
    return true;
  };
  const lose = (tag: 'lost' | 'crossed', detail: string) => {
    if (!settle()) return;
    request.destroy();
    events.onFailure(wasSent ? {tag, detail} : {tag: 'not_sent', detail});
  };
  const awaitConnection = (spanMs: number) => {
    const deadline = getDeadline(clock.now(), spanMs);
    cancelConnectTimer = clock.callAt(deadline, () => {
      const isBusy = clock.now() - deadline > LATE_TIMER_MS;
      if (isBusy) return awaitConnection(BUSY_GRACE_MS);
      lose('lost', 'connect timeout');
    });
  };
  request.on('socket', socket => {
    if (!socket.connecting) {
      wasSent = true;
      return;
    }
    awaitConnection(CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      wasSent = true;
      cancelConnectTimer();
    });
  });
  request.on('error', error => lose('lost', error.message));
  request.on('response', answer => {
    const head = dialect.readHead(answer.statusCode ?? 0, answer.headers);
    if (head.id !== null && head.id !== call.id) {
      return lose('crossed', `answer to ${head.id}`);
    }
    if (head.load) upstream.recordLoad(head.load);
    if (isSettled) return;
    events.onHead(head, answer.headers);
    answer.on('data', (chunk: Buffer) => {
      if (!isSettled) events.onData(chunk);
    });
    answer.on('end', () => {
      if (!answer.complete) return lose('lost', 'answer was cut');
      if (settle()) events.onEnd();
    });
    answer.on('aborted', () => lose('lost', 'answer was cut'));
    answer.on('error', error => lose('lost', error.message));
  });
  request.on('close', () => lose('lost', 'connection closed'));
  request.end(body);
  return {
    upstream,
    startedAt: clock.now(),
    abort: () => {
      if (settle()) request.destroy();
    },
  };
}
