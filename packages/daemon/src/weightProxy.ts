import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';

import {
  getHmac,
  isEqualSecret,
  isFinalStatus,
  sendJson,
} from '@vanillacross/common';

import type {Context} from './types.js';

/** Maximum number of concurrent fetches forwarded to the engine. */
export const MAX_WEIGHT_FETCHES = 4;
/** Idle timeout of a transfer, ms. */
const FETCH_IDLE_TIMEOUT_MS = 5_000;
const PATH_PREFIX = '/vc-weights/';
const PATH_PATTERN =
  /^\/vc-weights\/([0-9a-f]+)(\/v1\/weights\/([^/?]+)\/(\d+))$/;

/**
 * Returns the access token of a fetch. It is part of the path, because engines
 * send a plain GET, and grants access to one version of one model only.
 */
function getAccessToken(
  secret: string,
  model: string,
  version: number,
): string {
  return getHmac(secret, `weights\n${model}\n${version}`);
}

/**
 * Returns the base URL from which an engine fetches a version through an agent.
 */
export function getWeightSourceUrl(
  secret: string,
  address: string,
  model: string,
  version: number,
): string {
  return `http://${address}${PATH_PREFIX}${getAccessToken(secret, model, version)}`;
}

/** Forwards weight fetches of other engines to the agent's own engine. */
export interface WeightProxy {
  matches(request: IncomingMessage): boolean;
  handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

/** Creates the proxy for the engine at `base`. */
export function createWeightProxy(
  context: Context,
  base: URL,
  keepAlive: http.Agent,
): WeightProxy {
  const {metrics} = context;
  let runningFetches = 0;

  function fetchFromEngine(
    path: string,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const url = new URL(base);
      url.pathname = url.pathname.replace(/\/$/, '') + path;
      const outgoing = http.get(url, {
        agent: keepAlive,
        timeout: FETCH_IDLE_TIMEOUT_MS,
        signal,
      });
      outgoing.once('response', response => {
        const {statusCode: status = 0} = response;
        if (isFinalStatus(status)) return resolve(response);
        outgoing.destroy();
        reject(new Error(`status ${status}`));
      });
      outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
      outgoing.on('error', reject);
    });
  }

  async function forwardFetch(
    path: string,
    response: ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    try {
      const answer = await fetchFromEngine(path, closed.signal);
      const {'content-length': length, 'content-type': type} = answer.headers;
      response.writeHead(answer.statusCode ?? 502, {
        ...(length === undefined ? {} : {'content-length': length}),
        ...(type === undefined ? {} : {'content-type': type}),
      });
      await pipeline(answer, response);
    } catch {
      // The fetching engine detects the truncated transfer and reports that
      // staging failed.
      metrics.count('vc_agent_weight_fetches_total', {outcome: 'cut'});
      if (response.headersSent) response.destroy();
      else sendJson(response, 502, {error: 'the engine does not answer'});
      return;
    }
    metrics.count('vc_agent_weight_fetches_total', {outcome: 'passed'});
  }

  return {
    matches: request => (request.url ?? '').startsWith(PATH_PREFIX),
    handle: async (request, response) => {
      request.resume();
      const [, token, path, model, version] =
        PATH_PATTERN.exec(request.url ?? '') ?? [];
      const {clusterSecret} = context;
      const isValid =
        request.method === 'GET' &&
        token !== undefined &&
        isEqualSecret(
          token,
          getAccessToken(
            clusterSecret,
            decodeURIComponent(model),
            Number(version),
          ),
        );
      if (!isValid) {
        metrics.count('vc_agent_weight_fetches_total', {outcome: 'refused'});
        sendJson(response, 403, {error: 'not authenticated'});
        return;
      }
      if (runningFetches >= MAX_WEIGHT_FETCHES) {
        metrics.count('vc_agent_weight_fetches_total', {outcome: 'busy'});
        sendJson(response, 503, {error: 'too many fetches'});
        return;
      }
      runningFetches += 1;
      try {
        await forwardFetch(path, response);
      } finally {
        runningFetches -= 1;
      }
    },
  };
}
