import * as http from 'node:http';

import {getQuantile} from './statistics.js';

/** A request that the load generator sends. */
export interface LoadRequest {
  method: string;
  url: string;
  headers?: Record<string, string>;
  body?: string;
}

/** Outcome of one request. */
export interface LoadResponse {
  status: number;
  /** Time until the response was complete or the request failed, ms. */
  latencyMs: number;
  isComplete: boolean;
  body: string;
}

/** Outcomes of a load run, in order of completion. */
export interface LoadResult {
  responses: LoadResponse[];
  /** Time from the first request to the last response, ms. */
  durationMs: number;
}

export function createKeepAliveAgent(connections: number): http.Agent {
  return new http.Agent({keepAlive: true, maxSockets: connections});
}

/** Sends one request. The status is 0 if the connection failed. */
export function sendRequest(
  request: LoadRequest,
  agent: http.Agent,
): Promise<LoadResponse> {
  const start = performance.now();
  return new Promise(resolve => {
    const finish = (status: number, isComplete: boolean, body: string) =>
      resolve({status, latencyMs: performance.now() - start, isComplete, body});
    const clientRequest = http.request(
      request.url,
      {method: request.method, headers: request.headers, agent},
      response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => {});
        response.on('close', () =>
          finish(
            response.statusCode ?? 0,
            response.complete,
            Buffer.concat(chunks).toString('utf8'),
          ),
        );
      },
    );
    clientRequest.on('error', () => finish(0, false, ''));
    clientRequest.end(request.body);
  });
}

/**
 * Runs a closed-loop load: each worker sends its next request when the previous
 * one has completed.
 * @param durationMs Time after which no worker starts another request, ms.
 */
export async function runClosedLoop(
  workers: number,
  durationMs: number,
  getRequest: () => LoadRequest,
): Promise<LoadResult> {
  const agent = createKeepAliveAgent(workers);
  const responses: LoadResponse[] = [];
  const start = performance.now();
  await Promise.all(
    Array.from({length: workers}, async () => {
      while (performance.now() - start < durationMs) {
        responses.push(await sendRequest(getRequest(), agent));
      }
    }),
  );
  agent.destroy();
  return {responses, durationMs: performance.now() - start};
}

/**
 * Runs an open-loop load: requests start at a fixed rate, however many are in
 * flight.
 * @param requestsPerSecond Requests started per second.
 * @param durationMs Time during which requests are started, ms.
 */
export async function runOpenLoop(
  requestsPerSecond: number,
  durationMs: number,
  getRequest: (index: number) => LoadRequest,
): Promise<LoadResult> {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1_024});
  const responses: LoadResponse[] = [];
  const inFlight: Array<Promise<void>> = [];
  const start = performance.now();
  const count = Math.floor((requestsPerSecond * durationMs) / 1_000);
  for (let index = 0; index < count; index++) {
    const startOffsetMs = (index * 1_000) / requestsPerSecond;
    const waitMs = startOffsetMs - (performance.now() - start);
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    inFlight.push(
      sendRequest(getRequest(index), agent).then(response => {
        responses.push(response);
      }),
    );
  }
  await Promise.all(inFlight);
  agent.destroy();
  return {responses, durationMs: performance.now() - start};
}

/** Returns the number of complete responses with a 2xx status per second. */
export function getGoodput(result: LoadResult): number {
  const good = result.responses.filter(isSuccess).length;
  return (good * 1_000) / result.durationMs;
}

export function isSuccess(response: LoadResponse): boolean {
  return response.isComplete && response.status >= 200 && response.status < 300;
}

/** Returns a latency quantile over all requests, failed ones included, ms. */
export function getLatencyQuantile(
  result: LoadResult,
  quantile: number,
): number {
  return getQuantile(
    result.responses.map(response => response.latencyMs),
    quantile,
  );
}
