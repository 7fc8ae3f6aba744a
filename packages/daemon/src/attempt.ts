import type {Clock} from '@vanillacross/common';
import {getAuth, parseJson} from '@vanillacross/common';
import type {Load, WeightSpan} from '@vanillacross/domain';
import {HEADERS, loadSchema, MAX_REPORTED_TOKENS} from '@vanillacross/domain';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {z} from 'zod';

import type {AgentConnections} from './agentConnections.js';
import type {ResponseSummary, DispatchRequest} from './types.js';
import {getCanonicalHeaders} from './canonicalHeaders.js';

/** What one attempt needs besides the request. */
export interface AttemptInput {
  request: DispatchRequest;
  attemptId: string;
  /** Upstream that is to run the request. */
  upstream: string;
  /** Data listener of the agent, `ip:port`. */
  address: string;
  entryEpoch: string;
  /** Usage window in which the request started. */
  window: number;
  /** Highest offset of the control stream that this entry knows. */
  offset: number;
  clusterSecret: string;
  clock: Clock;
  connections: AgentConnections;
  /** Aborted at the deadline, by the caller or at a hard stop. */
  signal: AbortSignal;
}

/** An answer whose head has arrived. */
export interface StreamingResponse {
  status: number;
  headers: IncomingHttpHeaders;
  /** Parts of the body; ends early without an error if the answer is cut. */
  chunks: AsyncIterator<Buffer, void, undefined>;
  /** Resolves when the answer is over; null if it was cut. */
  ended: Promise<ResponseSummary | null>;
  /** What the agent observed of a cut answer; null if it could not say. */
  getPartial(): ResponseSummary | null;
  cancel(): void;
}

export type AttemptOutcome =
  /** Proved: no byte of the request reached the upstream. */
  | {tag: 'notRun'; reason: string; load: Load | null; isConnected: boolean}
  /** The request may have run; there is no answer. */
  | {
      tag: 'unknown';
      reason: string;
      load: Load | null;
      isConnected: boolean;
      /** Null if no answer named it. */
      agentEpoch?: string | null;
    }
  | {
      tag: 'answer';
      answer: StreamingResponse;
      load: Load | null;
      agentEpoch: string | null;
    };

/** Header in which an agent names its epoch, for usage cells. */
export const AGENT_EPOCH_HEADER = 'vc-agent-epoch';

const tokensSchema = z.number().int().min(0).max(MAX_REPORTED_TOKENS);
const spansSchema = z.array(z.tuple([z.number().int(), tokensSchema]));
const usageSchema = z.object({prompt: tokensSchema, generated: tokensSchema});

type TrailerValues = NodeJS.Dict<string | string[]>;

function getText(values: TrailerValues, name: string): string | undefined {
  const value = values[name];
  return Array.isArray(value) ? value[0] : value;
}

function readField<Value>(
  values: TrailerValues,
  name: string,
  schema: z.ZodType<Value>,
): Value | null {
  const text = getText(values, name);
  if (text === undefined) return null;
  const parsed = parseJson(text);
  if (!parsed.ok) return null;
  const checked = schema.safeParse(parsed.value);
  return checked.success ? checked.data : null;
}

/** The request headers of an attempt. */
export function getAttemptHeaders(input: AttemptInput): Record<string, string> {
  const {request, clock} = input;
  const left = Math.max(1, Math.floor(request.deadline - clock.now()));
  const headers: Record<string, string> = {
    ...request.headers,
    [HEADERS.request]: request.requestId,
    [HEADERS.attempt]: input.attemptId,
    [HEADERS.account]: request.account,
    [HEADERS.entryEpoch]: input.entryEpoch,
    [HEADERS.window]: String(input.window),
    [HEADERS.deadline]: String(left),
    [HEADERS.repeat]: request.repeat,
    [HEADERS.fingerprint]: request.fingerprint,
    [HEADERS.priority]: String(request.priority),
    [HEADERS.offset]: String(input.offset),
  };
  if (request.idempotencyKey !== undefined) {
    headers[HEADERS.idempotencyKey] = request.idempotencyKey;
  }
  headers[HEADERS.auth] = getAuth(
    input.clusterSecret,
    request.method,
    request.path,
    getCanonicalHeaders(input.upstream, headers),
    clock.wallNow(),
  );
  return headers;
}

/** True for answers that have no body and so cannot carry trailers. */
function isBodiless(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

function readEnd(
  input: AttemptInput,
  response: IncomingMessage,
  load: Load | null,
  wanted: 'whole' | 'cut',
): ResponseSummary | null {
  const status = response.statusCode ?? 0;
  const values: TrailerValues = isBodiless(input.request.method, status)
    ? {...response.headers, ...response.trailers}
    : response.trailers;
  if (!response.complete) return null;
  if (getText(values, HEADERS.outcome) !== wanted) return null;
  const attemptId = getText(values, HEADERS.attempt);
  if (attemptId !== undefined && attemptId !== input.attemptId) return null;
  const spans = readField(values, HEADERS.spans, spansSchema) ?? [];
  const usage = readField(values, HEADERS.usage, usageSchema);
  const engineEpoch = getText(response.headers, 'x-engine-epoch');
  return {
    spans: spans satisfies WeightSpan[],
    usage: usage ?? {prompt: 0, generated: 0},
    engineEpoch: engineEpoch ?? load?.epoch ?? '',
  };
}

/**
 * Reads a body part by part; a cut ends it without an error and shows in
 * `ended`. Async generators would cost several promises for each token.
 */
function readChunks(
  response: IncomingMessage,
): AsyncIterator<Buffer, void, undefined> {
  let isOver = response.destroyed;
  let wake: (() => void) | null = null;
  const notify = () => {
    const waiting = wake;
    wake = null;
    waiting?.();
  };
  const finish = () => {
    isOver = true;
    notify();
  };
  response.on('readable', notify);
  response.on('end', finish);
  response.on('error', finish);
  response.on('close', finish);
  const next = (): Promise<IteratorResult<Buffer, void>> => {
    const chunk = response.read() as Buffer | null;
    if (chunk !== null) return Promise.resolve({done: false, value: chunk});
    if (isOver) return Promise.resolve({done: true, value: undefined});
    return new Promise(resolve => {
      wake = () => resolve(next());
    });
  };
  return {
    next,
    return: () => {
      response.destroy();
      return Promise.resolve({done: true, value: undefined});
    },
  };
}

function getArrivingAnswer(
  input: AttemptInput,
  response: IncomingMessage,
  load: Load | null,
): StreamingResponse {
  const ended = new Promise<ResponseSummary | null>(resolve => {
    response.once('end', () =>
      resolve(readEnd(input, response, load, 'whole')),
    );
    response.once('close', () => resolve(null));
  });
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    chunks: readChunks(response),
    ended,
    getPartial: () => readEnd(input, response, load, 'cut'),
    cancel: () => response.destroy(),
  };
}

/** Sends a request to an agent once and classifies what comes back. */
export async function sendAttempt(
  input: AttemptInput,
): Promise<AttemptOutcome> {
  const {request} = input;
  const exchange = await input.connections.send({
    address: input.address,
    method: request.method,
    path: request.path,
    headers: getAttemptHeaders(input),
    body: request.body,
    signal: input.signal,
    // On a kept connection a reset by an idle timeout of the other side
    // cannot be told from a lost request.
    usesNewConnection: request.repeat === 'once',
  });
  if (exchange.tag === 'refused') {
    const reason = 'connection_refused';
    return {tag: 'notRun', reason, load: null, isConnected: false};
  }
  if (exchange.tag === 'unknown') {
    const reason = 'connection_lost';
    return {tag: 'unknown', reason, load: null, isConnected: false};
  }
  const {response} = exchange;
  const load = readField(response.headers, HEADERS.load, loadSchema);
  const agentEpoch = getText(response.headers, AGENT_EPOCH_HEADER) ?? null;
  const refusal = getText(response.headers, HEADERS.refusal);
  if (getText(response.headers, HEADERS.notRun) === '1') {
    response.resume();
    const reason = refusal ?? 'agent_refused';
    return {tag: 'notRun', reason, load, isConnected: true};
  }
  const attemptId = getText(response.headers, HEADERS.attempt);
  if (attemptId !== undefined && attemptId !== input.attemptId) {
    response.destroy();
    return {tag: 'unknown', reason: 'crossed_answer', load, isConnected: true};
  }
  if (refusal !== undefined) {
    response.resume();
    return {
      tag: 'unknown',
      reason: refusal,
      load,
      isConnected: true,
      agentEpoch,
    };
  }
  const answer = getArrivingAnswer(input, response, load);
  return {tag: 'answer', answer, load, agentEpoch};
}
