import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {Result} from './result.js';
import {fail, ok} from './result.js';

/** Reason why an HTTP request gave no usable response. */
export type HttpFailure =
  /** The request was not processed: no byte of it reached the server. */
  | {tag: 'refused'; detail: string}
  /** The request may or may not have taken effect. */
  | {tag: 'unknown'; detail: string}
  /** The response body is not JSON. */
  | {tag: 'malformed'; detail: string};

/** A parsed JSON response. */
export interface JsonResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: unknown;
}

export interface JsonRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  url: string;
  body?: unknown;
  headers?: Record<string, string>;
  /** Timeout of the whole exchange, ms. */
  timeoutMs: number;
  agent?: http.Agent;
  signal?: AbortSignal;
  /** Maximum size of the response body, bytes. */
  maxBytes?: number;
  /**
   * Called once the socket is connected, immediately before the first byte is
   * written. If it returns false, nothing is written and the request fails as
   * `refused`.
   */
  mayWrite?: () => boolean;
}

export type BodyFailure =
  | {tag: 'too_large'; limitBytes: number}
  | {tag: 'not_json'; detail: string}
  | {tag: 'cut'}
  /** The receiver has no memory left for the body. */
  | {tag: 'no_room'};

const DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Connection errors after which no byte can have reached the server. */
const REFUSED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/**
 * Reads a whole body of at most `limitBytes`. On failure the connection stays
 * open, so that a server can still respond; reading is paused, and the caller
 * must resume or destroy the stream. If the signal aborts, reading fails with
 * `cut`, as for an incomplete body.
 * @param reserveMemory is called with the size of each chunk; if it returns
 *     false, reading fails with `no_room`.
 */
export function readBody(
  stream: http.IncomingMessage,
  limitBytes: number,
  signal?: AbortSignal,
  reserveMemory: (bytes: number) => boolean = () => true,
): Promise<Result<Buffer, BodyFailure>> {
  const contentLength = Number(stream.headers['content-length'] ?? 0);
  if (contentLength > limitBytes) {
    return Promise.resolve(fail({tag: 'too_large', limitBytes}));
  }
  if (stream.destroyed || signal?.aborted) {
    return Promise.resolve(fail({tag: 'cut'}));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (result: Result<Buffer, BodyFailure>) => {
      signal?.removeEventListener('abort', onIncomplete);
      stream.off('data', onData);
      stream.off('end', onEnd);
      stream.off('close', onIncomplete);
      if (!result.ok) stream.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) settle(fail({tag: 'too_large', limitBytes}));
      else if (reserveMemory(chunk.length)) chunks.push(chunk);
      else settle(fail({tag: 'no_room'}));
    };
    const onEnd = () =>
      settle(stream.complete ? ok(Buffer.concat(chunks)) : fail({tag: 'cut'}));
    const onIncomplete = () => settle(fail({tag: 'cut'}));
    stream.on('data', onData);
    stream.on('end', onEnd);
    stream.on('close', onIncomplete);
    // This listener is never removed, because a broken connection may emit
    // `error` after `close`.
    stream.on('error', onIncomplete);
    signal?.addEventListener('abort', onIncomplete);
  });
}

/** Parses JSON text without throwing. */
export function parseJson(
  text: string,
): Result<unknown, {tag: 'not_json'; detail: string}> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (error) {
    return fail({tag: 'not_json', detail: (error as Error).message});
  }
}

/** Reads and parses a JSON body of at most `limitBytes`. */
export async function readJson(
  stream: http.IncomingMessage,
  limitBytes: number,
): Promise<Result<unknown, BodyFailure>> {
  const body = await readBody(stream, limitBytes);
  return body.ok ? parseJson(body.value.toString('utf8')) : body;
}

export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/**
 * Reads a JSON response body; returns null if the body is empty, as in an
 * acknowledgement.
 */
async function readJsonResponse(
  response: http.IncomingMessage,
  limitBytes: number,
): Promise<Result<unknown, BodyFailure>> {
  const body = await readBody(response, limitBytes);
  if (!body.ok) return body;
  if (body.value.length === 0) return ok(null);
  return parseJson(body.value.toString('utf8'));
}

/**
 * Whether a header can be sent. Node throws for a name that is no token and for
 * a value with control characters or characters beyond Latin-1.
 */
export function isSendableHeader(name: string, value: string): boolean {
  try {
    http.validateHeaderName(name);
    http.validateHeaderValue(name, value);
    return true;
  } catch {
    return false;
  }
}

/** Range of the statuses of final responses (RFC 9110, section 15). */
const FINAL_STATUSES = {min: 200, max: 599};

/**
 * Whether a status is that of a final response. Node's client accepts any three
 * digits.
 */
export function isFinalStatus(status: number): boolean {
  return status >= FINAL_STATUSES.min && status <= FINAL_STATUSES.max;
}

/** Creates a request; Node throws if its URL or a header can't be sent. */
function createRequest(
  request: JsonRequest,
  headers: Record<string, string>,
): Result<http.ClientRequest, HttpFailure> {
  const {url, method, agent, signal} = request;
  try {
    return ok(http.request(url, {method, headers, agent, signal}));
  } catch (error) {
    return fail({tag: 'refused', detail: (error as Error).message});
  }
}

/**
 * Sends a JSON request and reads the JSON response. Never rejects: a request
 * that can't be sent fails as `refused`.
 */
export function requestJson(
  request: JsonRequest,
): Promise<Result<JsonResponse, HttpFailure>> {
  return new Promise(resolve => {
    const text =
      request.body === undefined ? undefined : JSON.stringify(request.body);
    const headers: Record<string, string> = {...request.headers};
    if (text !== undefined) {
      headers['content-type'] = 'application/json';
      headers['content-length'] = String(Buffer.byteLength(text));
    }
    const created = createRequest(request, headers);
    if (!created.ok) return resolve(created);
    const outgoing = created.value;
    const timer = setTimeout(
      () => outgoing.destroy(new Error('timeout')),
      request.timeoutMs,
    );
    const finish = (result: Result<JsonResponse, HttpFailure>) => {
      clearTimeout(timer);
      resolve(result);
    };
    let isWritten = false;
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      const isRefused = !isWritten || REFUSED_CODES.has(error.code ?? '');
      const tag = isRefused ? 'refused' : 'unknown';
      finish(fail({tag, detail: error.message}));
    });
    outgoing.on('response', response => {
      const {statusCode: status = 0} = response;
      if (!isFinalStatus(status)) {
        outgoing.destroy();
        return finish(fail({tag: 'unknown', detail: `status ${status}`}));
      }
      void readJsonResponse(
        response,
        request.maxBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
      ).then(body => {
        if (body.ok) {
          finish(ok({status, headers: response.headers, body: body.value}));
        } else if (body.error.tag === 'not_json') {
          finish(fail({tag: 'malformed', detail: body.error.detail}));
        } else {
          response.destroy();
          finish(fail({tag: 'unknown', detail: body.error.tag}));
        }
      });
    });
    const write = () => {
      if (outgoing.destroyed) return;
      isWritten = true;
      outgoing.end(text);
    };
    const {mayWrite} = request;
    if (!mayWrite) return write();
    // Node sends nothing before `end` is called, even if the socket is already
    // connected.
    outgoing.once('socket', socket => {
      const writeIfPermitted = () => {
        if (mayWrite()) write();
        else outgoing.destroy(new Error('not written: no longer permitted'));
      };
      if (socket.connecting) socket.once('connect', writeIfPermitted);
      else writeIfPermitted();
    });
  });
}

/** Address on which a server listens. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Parses `ip:port`; returns null if it is malformed. */
export function parseAddress(text: string): ListenAddress | null {
  const match = /^(\[[0-9a-fA-F:]+\]|[0-9.]+):(\d{1,5})$/.exec(text);
  if (!match) return null;
  const port = Number(match[2]);
  return port > 65535 ? null : {host: match[1].replace(/[[\]]/g, ''), port};
}

/** Binds a server and returns the bound address as `ip:port`. */
export function listen(
  server: http.Server,
  address: ListenAddress,
): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      const bound = server.address() as AddressInfo;
      resolve(`${address.host}:${bound.port}`);
    });
  });
}

/**
 * Stops accepting connections, closes idle ones and waits until the active
 * requests have ended.
 */
export function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
