import type {Clock} from '@vanillacross/common';
import {getAuthHeader, parseJson} from '@vanillacross/common';
import type {Load, WeightSpan} from '@vanillacross/domain';
import {HEADERS, loadSchema, MAX_REPORTED_TOKENS} from '@vanillacross/domain';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {z} from 'zod';

import type {AgentConnections} from './agentConnections.js';
import type {ResponseSummary, DispatchRequest} from './types.js';
import {getCanonicalHeaders} from './canonicalHeaders.js';

/** Parameters of one attempt to send a request. */
export interface AttemptInput {
  request: DispatchRequest;
  attemptId: string;
  /** Id of the upstream that is to run the request. */
  upstream: string;
  /** Address of the agent's data listener, `ip:port`. */
  address: string;
  entryEpoch: string;
  /** Usage window in which the request started. */
  window: number;
  /** Highest control log offset known to this entry. */
  offset: number;
  clusterSecret: string;
  clock: Clock;
  connections: AgentConnections;
  /** Aborted at the deadline, on cancellation by the caller or at shutdown. */
  signal: AbortSignal;
}

/** A response whose headers have arrived. */
export interface StreamingResponse {
  status: number;
  headers: IncomingHttpHeaders;
  /** Chunks of the body; ends early, without an error, on truncation. */
  chunks: AsyncIterator<Buffer, void, undefined>;
  /** Resolves at the end of the response; null if it was truncated. */
  ended: Promise<ResponseSummary | null>;
  /** Summary that the agent reported for a truncated response, or null. */
  getPartialSummary(): ResponseSummary | null;
  cancel(): void;
}

export type AttemptOutcome =
  /** It is certain that no byte of the request reached the upstream. */
  | {tag: 'notRun'; reason: string; load: Load | null; hasResponse: boolean}
  /** The request may have run, but there is no response to forward. */
  | {
      tag: 'unknown';
      reason: string;
      load: Load | null;
      hasResponse: boolean;
      /** Epoch in the agent's response; null or undefined if there was none. */
      agentEpoch?: string | null;
    }
  | {
      tag: 'answer';
      response: StreamingResponse;
      load: Load | null;
      agentEpoch: string | null;
    };

/** Response header with the agent's epoch, to which usage is attributed. */
export const AGENT_EPOCH_HEADER = 'vc-agent-epoch';

const tokenCountSchema = z.number().int().min(0).max(MAX_REPORTED_TOKENS);
const spansSchema = z.array(z.tuple([z.number().int(), tokenCountSchema]));
const usageSchema = z.object({
  prompt: tokenCountSchema,
  generated: tokenCountSchema,
});

type TrailerValues = NodeJS.Dict<string | string[]>;

function getValue(values: TrailerValues, name: string): string | undefined {
  const value = values[name];
  return Array.isArray(value) ? value[0] : value;
}

function readJson<Value>(
  values: TrailerValues,
  name: string,
  schema: z.ZodType<Value>,
): Value | null {
  const text = getValue(values, name);
  if (text === undefined) return null;
  const parsed = parseJson(text);
  if (!parsed.ok) return null;
  const checked = schema.safeParse(parsed.value);
  return checked.success ? checked.data : null;
}

export function getAttemptHeaders(input: AttemptInput): Record<string, string> {
  const {request, clock} = input;
  const remainingMs = Math.max(1, Math.floor(request.deadline - clock.now()));
  const headers: Record<string, string> = {
    ...request.headers,
    [HEADERS.request]: request.requestId,
    [HEADERS.attempt]: input.attemptId,
    [HEADERS.account]: request.account,
    [HEADERS.entryEpoch]: input.entryEpoch,
    [HEADERS.window]: String(input.window),
    [HEADERS.deadline]: String(remainingMs),
    [HEADERS.repeat]: request.repeat,
    [HEADERS.fingerprint]: request.fingerprint,
    [HEADERS.priority]: String(request.priority),
    [HEADERS.offset]: String(input.offset),
  };
  if (request.idempotencyKey !== undefined) {
    headers[HEADERS.idempotencyKey] = request.idempotencyKey;
  }
  headers[HEADERS.auth] = getAuthHeader(
    input.clusterSecret,
    request.method,
    request.path,
    getCanonicalHeaders(input.upstream, headers),
    clock.wallNow(),
  );
  return headers;
}

/** Whether a response has no body and therefore cannot carry trailers. */
function isBodiless(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

function readSummary(
  input: AttemptInput,
  response: IncomingMessage,
  load: Load | null,
  expectedOutcome: 'whole' | 'cut',
): ResponseSummary | null {
  const status = response.statusCode ?? 0;
  const values: TrailerValues = isBodiless(input.request.method, status)
    ? {...response.headers, ...response.trailers}
    : response.trailers;
  if (!response.complete) return null;
  if (getValue(values, HEADERS.outcome) !== expectedOutcome) return null;
  const attemptId = getValue(values, HEADERS.attempt);
  if (attemptId !== undefined && attemptId !== input.attemptId) return null;
  const spans = readJson(values, HEADERS.spans, spansSchema) ?? [];
  const usage = readJson(values, HEADERS.usage, usageSchema);
  const engineEpoch = getValue(response.headers, 'x-engine-epoch');
  return {
    spans: spans satisfies WeightSpan[],
    usage: usage ?? {prompt: 0, generated: 0},
    engineEpoch: engineEpoch ?? load?.epoch ?? '',
  };
}

/**
 * Iterates over the chunks of a body. Truncation ends the iteration without an
 * error; `ended` reports it. This is not an async generator, because that would
 * allocate several promises for each chunk.
 */
function readChunks(
  response: IncomingMessage,
): AsyncIterator<Buffer, void, undefined> {
  let isEnded = response.destroyed;
  let wakeReader: (() => void) | null = null;
  const notify = () => {
    const reader = wakeReader;
    wakeReader = null;
    reader?.();
  };
  const finish = () => {
    isEnded = true;
    notify();
  };
  response.on('readable', notify);
  response.on('end', finish);
  response.on('error', finish);
  response.on('close', finish);
  const next = (): Promise<IteratorResult<Buffer, void>> => {
    const chunk = response.read() as Buffer | null;
    if (chunk !== null) return Promise.resolve({done: false, value: chunk});
    if (isEnded) return Promise.resolve({done: true, value: undefined});
    return new Promise(resolve => {
      wakeReader = () => resolve(next());
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

function createStreamingResponse(
  input: AttemptInput,
  response: IncomingMessage,
  load: Load | null,
): StreamingResponse {
  const ended = new Promise<ResponseSummary | null>(resolve => {
    response.once('end', () =>
      resolve(readSummary(input, response, load, 'whole')),
    );
    response.once('close', () => resolve(null));
  });
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    chunks: readChunks(response),
    ended,
    getPartialSummary: () => readSummary(input, response, load, 'cut'),
    cancel: () => response.destroy(),
  };
}

/** Sends a request to an agent once and classifies the outcome. */
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
    // On a reused connection, a reset caused by the idle timeout of the agent
    // cannot be distinguished from a lost request.
    usesNewConnection: request.repeat === 'once',
  });
  if (exchange.tag === 'refused') {
    const reason = 'connection_refused';
    return {tag: 'notRun', reason, load: null, hasResponse: false};
  }
  if (exchange.tag === 'unknown') {
    const reason = 'connection_lost';
    return {tag: 'unknown', reason, load: null, hasResponse: false};
  }
  const {response} = exchange;
  const load = readJson(response.headers, HEADERS.load, loadSchema);
  const agentEpoch = getValue(response.headers, AGENT_EPOCH_HEADER) ?? null;
  const refusal = getValue(response.headers, HEADERS.refusal);
  if (getValue(response.headers, HEADERS.notRun) === '1') {
    response.resume();
    const reason = refusal ?? 'agent_refused';
    return {tag: 'notRun', reason, load, hasResponse: true};
  }
  const attemptId = getValue(response.headers, HEADERS.attempt);
  if (attemptId !== undefined && attemptId !== input.attemptId) {
    response.destroy();
    return {tag: 'unknown', reason: 'crossed_answer', load, hasResponse: true};
  }
  if (refusal !== undefined) {
    response.resume();
    return {
      tag: 'unknown',
      reason: refusal,
      load,
      hasResponse: true,
      agentEpoch,
    };
  }
  const streamingResponse = createStreamingResponse(input, response, load);
  return {tag: 'answer', response: streamingResponse, load, agentEpoch};
}
