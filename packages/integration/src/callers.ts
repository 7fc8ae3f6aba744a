import {parseJson} from '@vanillacross/common';
import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** One request of a caller. */
export interface CallerRequest {
  /** Base URL of the entry. */
  baseUrl: string;
  /** Unique id; it is part of the path or body, so that upstreams record it. */
  id: string;
  method?: string;
  path: string;
  apiKey?: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** A new connection for the request by default. */
  agent?: http.Agent;
  /** Called for each part of the answer. */
  onData?: (text: string) => void;
}

/** What a caller got. */
export interface CallerResponse {
  id: string;
  /** 0 if the connection failed before an answer began. */
  status: number;
  /** False if the connection ended inside the answer. */
  isComplete: boolean;
  text: string;
  /** The parsed body, null if it is not JSON. */
  body: Record<string, unknown> | null;
  /** The error of the body, if it is one. */
  error: {code: string; notRun: boolean} | null;
  /** Wall clock, ms. */
  startedAtMs: number;
}

/** Sends one request and reads all of its answer. */
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
    const outgoing = http.request(
      `${request.baseUrl}${request.path}`,
      {
        method: request.method ?? 'GET',
        agent: request.agent ?? false,
        headers: {
          ...(request.apiKey && {authorization: `Bearer ${request.apiKey}`}),
          ...request.headers,
        },
      },
      answer => {
        answer.setEncoding('utf8');
        answer.on('data', (part: string) => {
          text += part;
          request.onData?.(part);
        });
        answer.on('error', () => {});
        answer.on('close', () =>
          finish(answer.statusCode ?? 0, answer.complete),
        );
      },
    );
    outgoing.on('error', () => finish(0, false));
    outgoing.end(
      request.body === undefined ? undefined : JSON.stringify(request.body),
    );
  });
}

/** Requests that run until the load is stopped. */
export interface RunningLoad {
  responses: readonly CallerResponse[];
  /** Ends the load when the running requests have ended. */
  stop(): Promise<readonly CallerResponse[]>;
}

/** Pause of a worker between two requests; bounds the load, ms. */
const WORKER_PAUSE_MS = 10;
/** Bound of a load that is never stopped. */
const MAX_LOAD_REQUESTS = 50_000;

/** Starts workers that each send one request after another. */
export function startLoad(
  workers: number,
  getRequest: (index: number) => CallerRequest,
): RunningLoad {
  const answers: CallerResponse[] = [];
  let isStopping = false;
  let index = 0;
  const running = Array.from({length: workers}, async () => {
    while (!isStopping && index < MAX_LOAD_REQUESTS) {
      answers.push(await callEntry(getRequest(index++)));
      await sleep(WORKER_PAUSE_MS);
    }
  });
  return {
    responses: answers,
    stop: async () => {
      isStopping = true;
      await Promise.all(running);
      return answers;
    },
  };
}
