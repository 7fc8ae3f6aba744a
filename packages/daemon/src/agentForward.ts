import * as http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Why an upstream gave no answer. */
export type ForwardFailure =
  /** No byte of the request reached the upstream. */
  | {tag: 'not_run'; detail: string}
  /** The request may have run. */
  | {tag: 'failed'; detail: string};

/** A request on its way to the upstream. */
export interface ForwardRequest {
  base: URL;
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  /** The whole body, or the caller's request to stream it from. */
  body: Buffer | IncomingMessage;
  /** Uses a new connection so that a failure before writing is provable. */
  usesNewConnection: boolean;
  agent: http.Agent;
  /** Cancels the exchange with the upstream. */
  signal: AbortSignal;
}

/** The upstream's answer head, or why there is none. */
export type ForwardResult =
  {ok: true; answer: IncomingMessage} | {ok: false; failure: ForwardFailure};

/** Removes a base path's final slash so that paths can be appended. */
function getBasePath(base: URL): string {
  return base.pathname.replace(/\/$/, '');
}

/**
 * Sends a request to the upstream and resolves with the answer's head. The
 * caller of this function reads the answer's body.
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
      agent: request.usesNewConnection ? false : request.agent,
    });
    const body = request.body;
    const cancel = () => outgoing.destroy(new Error('cancelled'));
    let isConnected = false;
    const watch = (socket: Socket) => {
      // A socket from the pool is connected; bytes may leave at any time.
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    };
    request.signal.addEventListener('abort', cancel, {once: true});
    const finish = (result: ForwardResult) => {
      if (!result.ok) {
        request.signal.removeEventListener('abort', cancel);
        if (!Buffer.isBuffer(body)) body.unpipe(outgoing);
      }
      resolve(result);
    };
    outgoing.on('socket', watch);
    outgoing.on('response', answer => {
      answer.once('close', () =>
        request.signal.removeEventListener('abort', cancel),
      );
      finish({ok: true, answer});
    });
    outgoing.on('error', error => {
      const tag = isConnected ? 'failed' : 'not_run';
      finish({ok: false, failure: {tag, detail: error.message}});
    });
    if (Buffer.isBuffer(body)) {
      outgoing.end(body);
      return;
    }
    // A body that ends early must not look like a complete shorter one.
    body.once('close', () => {
      if (!body.complete) outgoing.destroy(new Error('request body cut'));
    });
    body.pipe(outgoing);
  });
}
