import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';

import {getHmac, isEqualSecret, sendJson} from '@vanillacross/common';

import type {Context} from './types.js';

/** Fetches that are passed on to the engine at the same time. */
export const MAX_WEIGHT_FETCHES = 4;
/** A transfer that makes no progress for this long is cut, ms. */
const FETCH_IDLE_MS = 5_000;
const PREFIX = '/vc-weights/';
const PATTERN = /^\/vc-weights\/([0-9a-f]+)(\/v1\/weights\/([^/?]+)\/(\d+))$/;

/**
 * Engines send a plain GET, so the right to fetch is in the path. It is bound
 * to one version of one model and gives access to nothing else.
 */
function getToken(secret: string, model: string, version: number): string {
  return getHmac(secret, `weights\n${model}\n${version}`);
}

/** Base URL from which an engine fetches a version through an agent. */
export function getWeightSourceUrl(
  secret: string,
  address: string,
  model: string,
  version: number,
): string {
  return `http://${address}${PREFIX}${getToken(secret, model, version)}`;
}

/** Passes fetches of staged weights by other engines to the own engine. */
export interface WeightProxy {
  matches(request: IncomingMessage): boolean;
  handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

/** Creates the passage to the engine at a base URL. */
export function createWeightProxy(
  context: Context,
  base: URL,
  keepAlive: http.Agent,
): WeightProxy {
  const {metrics} = context;
  let running = 0;

  function fetchFromEngine(
    path: string,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const url = new URL(base);
      url.pathname = url.pathname.replace(/\/$/, '') + path;
      const outgoing = http.get(url, {
        agent: keepAlive,
        timeout: FETCH_IDLE_MS,
        signal,
      });
      outgoing.once('response', resolve);
      outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
      outgoing.on('error', reject);
    });
  }

  async function pass(path: string, response: ServerResponse): Promise<void> {
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
      // The fetching engine sees a cut transfer and reports a failed stage.
      metrics.count('vc_agent_weight_fetches_total', {outcome: 'cut'});
      if (response.headersSent) response.destroy();
      else sendJson(response, 502, {error: 'the engine does not answer'});
      return;
    }
    metrics.count('vc_agent_weight_fetches_total', {outcome: 'passed'});
  }

  return {
    matches: request => (request.url ?? '').startsWith(PREFIX),
    handle: async (request, response) => {
      request.resume();
      const [, token, path, model, version] =
        PATTERN.exec(request.url ?? '') ?? [];
      const {clusterSecret} = context;
      const isValid =
        request.method === 'GET' &&
        token !== undefined &&
        isEqualSecret(
          token,
          getToken(clusterSecret, decodeURIComponent(model), Number(version)),
        );
      if (!isValid) {
        metrics.count('vc_agent_weight_fetches_total', {outcome: 'refused'});
        sendJson(response, 403, {error: 'not authenticated'});
        return;
      }
      if (running >= MAX_WEIGHT_FETCHES) {
        metrics.count('vc_agent_weight_fetches_total', {outcome: 'busy'});
        sendJson(response, 503, {error: 'too many fetches'});
        return;
      }
      running += 1;
      try {
        await pass(path, response);
      } finally {
        running -= 1;
      }
    },
  };
}
