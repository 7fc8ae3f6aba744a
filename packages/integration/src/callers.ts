import {parseJson} from '@vanillacross/common';
import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** A request that a test sends as a caller. */
export interface CallerRequest {
  /** Base URL of the entry. */
  baseUrl: string;
  /**
   * Unique id, contained in the path or body so that upstream audits record it.
   */
  id: string;
  method?: string;
  path: string;
  apiKey?: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** By default, the request opens a connection of its own. */
  agent?: http.Agent;
  /** Called for each chunk of the response body. */
  onData?: (text: string) => void;
}

/** Outcome of a caller's request. */
export interface CallerResponse {
  id: string;
  /** 0 if the connection failed before a response began. */
  status: number;
  /** False if the connection closed before the response was complete. */
  isComplete: boolean;
  text: string;
  /** The parsed body, null if it is not JSON. */
  body: Record<string, unknown> | null;
  /** Error object in the body, if any. */
  error: {code: string; notRun: boolean} | null;
  /** Start of the request on the wall clock, ms. */
  startedAtMs: number;
}

/** Sends one request and reads the complete response. */
export function callEntry(request: CallerRequest): Promise<CallerResponse> {
  const startedAtMs = Date.now();
  return new Promise(resolve => {
    let text = '';
    const finish = (status: number, isComplete: boolean) => {
      const parsed = parseJson(text);
      const body = parsed.ok ? (parsed.value as CallerResponse['body']) : null;
      const error = (body?.error ?? null) as CallerResponse['error'];
      const {id} = request;
      resolve({id, status, isComplete, text, body, error, startedAtMs});
    };
    const clientRequest = http.request(
      `${request.baseUrl}${request.path}`,
      {
        method: request.method ?? 'GET',
        agent: request.agent ?? false,
        headers: {
          ...(request.apiKey && {authorization: `Bearer ${request.apiKey}`}),
          ...request.headers,
        },
      },
      response => {
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
          request.onData?.(chunk);
        });
        response.on('error', () => {});
        response.on('close', () =>
          finish(response.statusCode ?? 0, response.complete),
        );
      },
    );
    clientRequest.on('error', () => finish(0, false));
    clientRequest.end(
      request.body === undefined ? undefined : JSON.stringify(request.body),
    );
  });
}

/** A load that runs until it is stopped. */
export interface RunningLoad {
  responses: readonly CallerResponse[];
  /** Starts no more requests and waits for those in flight. */
  stop(): Promise<readonly CallerResponse[]>;
}

/** Pause of each worker between two requests, which bounds the load, ms. */
const WORKER_PAUSE_MS = 10;
/** Maximum number of requests of a load, in case it is never stopped. */
const MAX_LOAD_REQUESTS = 50_000;

/** Starts workers that each send requests one after another. */
export function startLoad(
  workers: number,
  getRequest: (index: number) => CallerRequest,
): RunningLoad {
  const responses: CallerResponse[] = [];
  let isStopping = false;
  let index = 0;
  const running = Array.from({length: workers}, async () => {
    while (!isStopping && index < MAX_LOAD_REQUESTS) {
      responses.push(await callEntry(getRequest(index++)));
      await sleep(WORKER_PAUSE_MS);
    }
  });
  return {
    responses,
    stop: async () => {
      isStopping = true;
      await Promise.all(running);
      return responses;
    },
  };
}
