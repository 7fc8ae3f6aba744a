import * as http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {isFinalStatus} from '@vanillacross/common';

/** Why the upstream sent no response. */
export type ForwardFailure =
  /** No byte of the request reached the upstream. */
  | {tag: 'not_run'; detail: string}
  /** The request may have run. */
  | {tag: 'failed'; detail: string};

/** A request to be sent to the upstream. */
export interface ForwardRequest {
  base: URL;
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  /** The buffered body, or the incoming request to stream it from. */
  body: Buffer | IncomingMessage;
  /**
   * Opens a new connection, so that a failure before the first write proves
   * that the request did not run.
   */
  usesNewConnection: boolean;
  httpAgent: http.Agent;
  /** Aborts the request and its response. */
  signal: AbortSignal;
}

/** The head of the upstream's response, or why there is none. */
export type ForwardResult =
  {ok: true; response: IncomingMessage} | {ok: false; failure: ForwardFailure};

/** Removes the trailing slash of a base path, so that paths can be appended. */
function getBasePath(base: URL): string {
  return base.pathname.replace(/\/$/, '');
}

/**
 * Sends a request to the upstream and resolves with the head of the response.
 * The caller must consume the response body.
 */
export function forwardRequest(
  request: ForwardRequest,
): Promise<ForwardResult> {
  return new Promise(resolve => {
    if (request.signal.aborted) {
      const failure = {tag: 'not_run' as const, detail: 'cancelled'};
      resolve({ok: false, failure});
      return;
    }
    const outgoing = http.request({
      host: request.base.hostname.replace(/[[\]]/g, ''),
      port: request.base.port || 80,
      method: request.method,
      path: getBasePath(request.base) + request.path,
      headers: {...request.headers, host: request.base.host},
      agent: request.usesNewConnection ? false : request.httpAgent,
    });
    const body = request.body;
    const cancel = () => outgoing.destroy(new Error('cancelled'));
    let isConnected = false;
    const watchSocket = (socket: Socket) => {
      // A pooled socket is already connected, so bytes may be sent at any time.
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    };
    request.signal.addEventListener('abort', cancel, {once: true});
    const settle = (result: ForwardResult) => {
      if (!result.ok) {
        request.signal.removeEventListener('abort', cancel);
        if (!Buffer.isBuffer(body)) body.unpipe(outgoing);
      }
      resolve(result);
    };
    outgoing.on('socket', watchSocket);
    outgoing.on('response', response => {
      const {statusCode: status = 0} = response;
      if (!isFinalStatus(status)) {
        const failure = {tag: 'failed' as const, detail: `status ${status}`};
        settle({ok: false, failure});
        outgoing.destroy();
        return;
      }
      response.once('close', () =>
        request.signal.removeEventListener('abort', cancel),
      );
      settle({ok: true, response});
    });
    outgoing.on('error', error => {
      const tag = isConnected ? 'failed' : 'not_run';
      settle({ok: false, failure: {tag, detail: error.message}});
    });
    if (Buffer.isBuffer(body)) {
      outgoing.end(body);
      return;
    }
    // A truncated body must not look like a complete shorter one.
    body.once('close', () => {
      if (!body.complete) outgoing.destroy(new Error('request body truncated'));
    });
    body.pipe(outgoing);
  });
}
