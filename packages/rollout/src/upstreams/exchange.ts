import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import * as http from 'node:http';

import type {
  AnswerHead,
  UpstreamCall,
  UpstreamDialect,
} from '../model/index.js';
import type {Upstream} from './upstream.js';

/**
 * Time in which a connection to an upstream must stand, ms. Failure domains of
 * one region are about a millisecond apart.
 */
const CONNECT_TIMEOUT_MS = 60;

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
  onHead(head: AnswerHead, headers: http.IncomingHttpHeaders): void;
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
  upstream.noteStart();
  const settle = (): boolean => {
    if (isSettled) return false;
    isSettled = true;
    cancelConnectTimer();
    upstream.noteEnd();
    return true;
  };
  const lose = (tag: 'lost' | 'crossed', detail: string) => {
    if (!settle()) return;
    request.destroy();
    events.onFailure(wasSent ? {tag, detail} : {tag: 'not_sent', detail});
  };
  request.on('socket', socket => {
    if (!socket.connecting) {
      wasSent = true;
      return;
    }
    cancelConnectTimer = clock.callAt(
      getDeadline(clock.now(), CONNECT_TIMEOUT_MS),
      () => lose('lost', 'connect timeout'),
    );
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
    if (head.load) upstream.noteLoad(head.load);
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
