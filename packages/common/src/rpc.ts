import type * as http from 'node:http';

import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
} from 'json-rpc-2.0';
import type {JSONRPCRequest, JSONRPCResponse} from 'json-rpc-2.0';
import {randomUUID} from 'node:crypto';
import type {ZodType} from 'zod';

import {readJson, requestJson, sendJson} from './http.js';
import {getHmac, isEqualSecret} from './hash.js';
import type {Result} from './result.js';
import {fail, ok} from './result.js';

/** Reason why a remote call gave no result. */
export type RpcFailure =
  /** The call was not processed: the connection was refused. */
  | {tag: 'refused'; detail: string}
  /** The call may have been processed; no response arrived. */
  | {tag: 'unknown'; detail: string}
  /** The peer responded with an error. */
  | {tag: 'rejected'; detail: string};

/** One method of a server: the schema of its parameters and its handler. */
export interface RpcMethod<Params> {
  params: ZodType<Params>;
  perform: (params: Params) => Promise<unknown> | unknown;
}

export type RpcMethods = Record<string, RpcMethod<never>>;

/** URL path of RPC requests between instances. */
export const RPC_PATH = '/rpc';
/** Maximum size of an RPC request body, bytes. */
const MAX_RPC_BYTES = 16 * 1024 * 1024;
/**
 * Maximum difference between the time in `vc-auth` and the wall clock of the
 * receiver, ms. Instances whose clocks differ by more reject each other's
 * requests.
 */
const AUTH_WINDOW_MS = 30_000;

/**
 * Checks at compile time that a handler accepts what its schema returns. The
 * result has no parameter type, so that methods with different parameters can
 * be in one `RpcMethods` object.
 */
export function defineMethod<Params>(
  params: ZodType<Params>,
  perform: (params: Params) => Promise<unknown> | unknown,
): RpcMethod<never> {
  return {params, perform} as unknown as RpcMethod<never>;
}

/**
 * Returns the `vc-auth` value of a request between processes of the deployment.
 */
export function getAuthHeader(
  secret: string,
  method: string,
  path: string,
  requestId: string,
  wallMs: number,
): string {
  const mac = getHmac(secret, `${method}\n${path}\n${requestId}\n${wallMs}`);
  return `${wallMs}.${mac}`;
}

/**
 * Returns whether a `vc-auth` value was recently created with the cluster
 * secret for this request.
 */
export function isAuthHeaderValid(
  secret: string,
  method: string,
  path: string,
  requestId: string,
  value: string | undefined,
  wallMs: number,
): boolean {
  const sentMs = Number(value?.split('.')[0]);
  if (!value || !Number.isFinite(sentMs)) return false;
  if (Math.abs(wallMs - sentMs) > AUTH_WINDOW_MS) return false;
  const expected = getAuthHeader(secret, method, path, requestId, sentMs);
  return isEqualSecret(expected, value);
}

/**
 * Creates an HTTP handler that checks `vc-auth` and dispatches RPC requests.
 */
export function createRpcHandler(
  secret: string,
  methods: RpcMethods,
): (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void> {
  const server = new JSONRPCServer({errorListener: () => {}});
  for (const [name, method] of Object.entries(methods)) {
    server.addMethod(name, async (rawParams: unknown) => {
      const params = method.params.safeParse(rawParams);
      if (!params.success) {
        throw new JSONRPCErrorException(params.error.message, -32602);
      }
      return (await method.perform(params.data)) ?? null;
    });
  }
  return async (request, response) => {
    const id = String(request.headers['vc-request'] ?? '');
    const auth = request.headers['vc-auth'] as string | undefined;
    if (!isAuthHeaderValid(secret, 'POST', RPC_PATH, id, auth, Date.now())) {
      sendJson(response, 401, {error: 'not authenticated'});
      return;
    }
    const body = await readJson(request, MAX_RPC_BYTES);
    if (!body.ok) {
      const isTooLarge = body.error.tag === 'too_large';
      sendJson(response, isTooLarge ? 413 : 400, {error: body.error.tag});
      // Discarding the rest lets the sender finish and read the response.
      request.resume();
      return;
    }
    // The JSON-RPC library throws on batch items that are not objects. Batches
    // are refused, since no process of the deployment sends them.
    const isObject = typeof body.value === 'object' && body.value !== null;
    if (!isObject || Array.isArray(body.value)) {
      sendJson(response, 400, {error: 'not_a_request'});
      return;
    }
    const reply = await server.receive(body.value as JSONRPCRequest);
    sendJson(response, 200, reply ?? {});
  };
}

/** Client for the RPC methods of one peer. */
export interface RpcClient {
  call(
    method: string,
    params: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<unknown, RpcFailure>>;
}

/** Creates a client for the RPC server at `address`, given as `ip:port`. */
export function createRpcClient(
  secret: string,
  address: string,
  agent?: http.Agent,
): RpcClient {
  return {
    call: async (method, params, timeoutMs, signal) => {
      let failure: RpcFailure | undefined;
      const client: JSONRPCClient = new JSONRPCClient(async request => {
        const id = randomUUID();
        const response = await requestJson({
          method: 'POST',
          url: `http://${address}${RPC_PATH}`,
          body: request,
          headers: {
            'vc-request': id,
            'vc-auth': getAuthHeader(secret, 'POST', RPC_PATH, id, Date.now()),
          },
          timeoutMs,
          agent,
          signal,
        });
        if (!response.ok) {
          const tag = response.error.tag === 'refused' ? 'refused' : 'unknown';
          failure = {tag, detail: response.error.detail};
          throw new Error(response.error.detail);
        }
        if (response.value.status !== 200) {
          failure = {
            tag: 'rejected',
            detail: `status ${response.value.status}`,
          };
          throw new Error(failure.detail);
        }
        client.receive(response.value.body as JSONRPCResponse);
      });
      try {
        return ok(await client.request(method, params));
      } catch (error) {
        const detail = (error as Error).message;
        return fail(failure ?? {tag: 'rejected', detail});
      }
    },
  };
}
