import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {Result} from './result.js';
import {fail, ok} from './result.js';

/** Why an HTTP exchange gave no usable answer. */
export type HttpFailure =
  /** No byte of the request can have been processed. */
  | {tag: 'refused'; detail: string}
  /** The request may or may not have taken effect. */
  | {tag: 'unknown'; detail: string}
  /** The other side answered with something that is not JSON. */
  | {tag: 'malformed'; detail: string};

/** A JSON answer with its status code. */
export interface JsonResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: unknown;
}

/** A JSON request to a URL. */
export interface JsonRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  url: string;
  body?: unknown;
  headers?: Record<string, string>;
  /** Time until the exchange is given up, ms. */
  timeoutMs: number;
  agent?: http.Agent;
  signal?: AbortSignal;
  /** Largest accepted answer, bytes. */
  maxBytes?: number;
  /**
   * Asked when the socket is connected, immediately before the first byte is
   * written; if it says no, nothing is written and the exchange is `refused`.
   */
  mayWrite?: () => boolean;
}

export type BodyFailure =
  | {tag: 'too_large'; limitBytes: number}
  | {tag: 'not_json'; detail: string}
  | {tag: 'cut'}
  /** The receiver has no memory left for it. */
  | {tag: 'no_room'};

const DEFAULT_MAX_BYTES = 64 * 1024 * 1024;

/** Errors of `connect` after which no byte can have reached the other side. */
const REFUSED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/**
 * Reads a whole body, up to a limit in bytes. On failure the connection stays
 * open, so that a server can still answer; reading is paused, and the caller
 * of this function resumes or destroys the stream. An aborted signal counts
 * as a cut body.
 */
export function readBody(
  stream: http.IncomingMessage,
  limitBytes: number,
  signal?: AbortSignal,
  reserve: (bytes: number) => boolean = () => true,
): Promise<Result<Buffer, BodyFailure>> {
  const stated = Number(stream.headers['content-length'] ?? 0);
  if (stated > limitBytes) {
    return Promise.resolve(fail({tag: 'too_large', limitBytes}));
  }
  if (stream.destroyed || signal?.aborted) {
    return Promise.resolve(fail({tag: 'cut'}));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (result: Result<Buffer, BodyFailure>) => {
      signal?.removeEventListener('abort', onCut);
      stream.off('data', onData);
      stream.off('end', onEnd);
      stream.off('close', onCut);
      if (!result.ok) stream.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) settle(fail({tag: 'too_large', limitBytes}));
      else if (reserve(chunk.length)) chunks.push(chunk);
      else settle(fail({tag: 'no_room'}));
    };
    const onEnd = () =>
      settle(stream.complete ? ok(Buffer.concat(chunks)) : fail({tag: 'cut'}));
    const onCut = () => settle(fail({tag: 'cut'}));
    stream.on('data', onData);
    stream.on('end', onEnd);
    stream.on('close', onCut);
    // Stays, as the error of a cut may follow the close.
    stream.on('error', onCut);
    signal?.addEventListener('abort', onCut);
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

/** Reads and parses a JSON body, up to a limit in bytes. */
export async function readJson(
  stream: http.IncomingMessage,
  limitBytes: number,
): Promise<Result<unknown, BodyFailure>> {
  const body = await readBody(stream, limitBytes);
  return body.ok ? parseJson(body.value.toString('utf8')) : body;
}

/** Sends a JSON answer. */
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

/** Reads a JSON body; an empty one, as of an acknowledgement, is null. */
async function readAnswer(
  answer: http.IncomingMessage,
  limitBytes: number,
): Promise<Result<unknown, BodyFailure>> {
  const body = await readBody(answer, limitBytes);
  if (!body.ok) return body;
  if (body.value.length === 0) return ok(null);
  return parseJson(body.value.toString('utf8'));
}

/** Sends a JSON request and reads the JSON answer. */
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
    const outgoing = http.request(request.url, {
      method: request.method,
      headers,
      agent: request.agent,
      signal: request.signal,
    });
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
    outgoing.on('response', answer => {
      void readAnswer(answer, request.maxBytes ?? DEFAULT_MAX_BYTES).then(
        body => {
          if (body.ok) {
            const status = answer.statusCode ?? 0;
            finish(ok({status, headers: answer.headers, body: body.value}));
          } else if (body.error.tag === 'not_json') {
            finish(fail({tag: 'malformed', detail: body.error.detail}));
          } else {
            answer.destroy();
            finish(fail({tag: 'unknown', detail: body.error.tag}));
          }
        },
      );
    });
    const write = () => {
      if (outgoing.destroyed) return;
      isWritten = true;
      outgoing.end(text);
    };
    const {mayWrite} = request;
    if (!mayWrite) return write();
    // Without `end` Node writes nothing when the socket connects.
    outgoing.once('socket', socket => {
      const ask = () => {
        if (mayWrite()) write();
        else outgoing.destroy(new Error('not written: no longer permitted'));
      };
      if (socket.connecting) socket.once('connect', ask);
      else ask();
    });
  });
}

/** An address as `ip:port`. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Splits `ip:port`; null when it is not an address. */
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

/** Closes a server; running exchanges end by themselves. */
export function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
