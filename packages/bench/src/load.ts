import * as http from 'node:http';

import {getQuantile} from './statistics.js';

/** One request of a load. */
export interface LoadRequest {
  method: string;
  url: string;
  headers?: Record<string, string>;
  body?: string;
}

/** What became of one request. */
export interface LoadResponse {
  status: number;
  /** Time until the whole answer was there, ms. */
  latencyMs: number;
  isComplete: boolean;
  body: string;
}

/** Answers of a load, in order of their end. */
export interface LoadResult {
  responses: LoadResponse[];
  /** Time from the first request to the last answer, ms. */
  durationMs: number;
}

export function createKeepAliveAgent(connections: number): http.Agent {
  return new http.Agent({keepAlive: true, maxSockets: connections});
}

/** Sends one request; a failed connection has status 0. */
export function sendRequest(
  request: LoadRequest,
  agent: http.Agent,
): Promise<LoadResponse> {
  const start = performance.now();
  return new Promise(resolve => {
    const finish = (status: number, isComplete: boolean, body: string) =>
      resolve({status, latencyMs: performance.now() - start, isComplete, body});
    const outgoing = http.request(
      request.url,
      {method: request.method, headers: request.headers, agent},
      answer => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('error', () => {});
        answer.on('close', () =>
          finish(
            answer.statusCode ?? 0,
            answer.complete,
            Buffer.concat(chunks).toString('utf8'),
          ),
        );
      },
    );
    outgoing.on('error', () => finish(0, false, ''));
    outgoing.end(request.body);
  });
}

/**
 * Closed loop: each worker sends its next request when the last one ended.
 * @param spanMs Time after which no worker starts another request, ms.
 */
export async function runClosedLoop(
  workers: number,
  spanMs: number,
  getRequest: () => LoadRequest,
): Promise<LoadResult> {
  const agent = createKeepAliveAgent(workers);
  const answers: LoadResponse[] = [];
  const start = performance.now();
  await Promise.all(
    Array.from({length: workers}, async () => {
      while (performance.now() - start < spanMs) {
        answers.push(await sendRequest(getRequest(), agent));
      }
    }),
  );
  agent.destroy();
  return {responses: answers, durationMs: performance.now() - start};
}

/**
 * Open loop: requests start at a fixed rate, whatever becomes of the others.
 * @param perSecond Requests started a second.
 */
export async function runOpenLoop(
  perSecond: number,
  spanMs: number,
  getRequest: (index: number) => LoadRequest,
): Promise<LoadResult> {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1_024});
  const answers: LoadResponse[] = [];
  const running: Array<Promise<void>> = [];
  const start = performance.now();
  const count = Math.floor((perSecond * spanMs) / 1_000);
  for (let index = 0; index < count; index++) {
    const dueMs = (index * 1_000) / perSecond;
    const waitMs = dueMs - (performance.now() - start);
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    running.push(
      sendRequest(getRequest(index), agent).then(answer => {
        answers.push(answer);
      }),
    );
  }
  await Promise.all(running);
  agent.destroy();
  return {responses: answers, durationMs: performance.now() - start};
}

/** Whole answers with a success status, a second. */
export function getGoodput(result: LoadResult): number {
  const good = result.responses.filter(isSuccess).length;
  return (good * 1_000) / result.durationMs;
}

export function isSuccess(answer: LoadResponse): boolean {
  return answer.isComplete && answer.status >= 200 && answer.status < 300;
}

/** A latency quantile over all answers, ms. */
export function getLatencyQuantile(result: LoadResult, share: number): number {
  return getQuantile(
    result.responses.map(answer => answer.latencyMs),
    share,
  );
}
