import * as http from 'node:http';

import type {Result, RpcFailure} from '@vanillacross/common';
import {createRpcClient} from '@vanillacross/common';

/** Calls an RPC method of the process at `ip:port`. */
export type CallPeer = (
  address: string,
  method: string,
  params: unknown,
  timeoutMs: number,
  signal?: AbortSignal,
) => Promise<Result<unknown, RpcFailure>>;

/**
 * Creates an RPC caller that shares keep-alive connections across all peers.
 */
export function createCallPeer(secret: string): CallPeer {
  const httpAgent = new http.Agent({keepAlive: true});
  return (address, method, params, timeoutMs, signal) =>
    createRpcClient(secret, address, httpAgent).call(
      method,
      params,
      timeoutMs,
      signal,
    );
}
