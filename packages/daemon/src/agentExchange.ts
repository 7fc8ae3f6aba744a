import type * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Clock, Metrics, MonotonicMs} from '@vanillacross/common';
import {readBody} from '@vanillacross/common';
import type {Load, Pool, StoredResponse} from '@vanillacross/domain';
import {HEADERS} from '@vanillacross/domain';

import {forwardRequest} from './agentForward.js';
import type {LocalUpstream} from './localUpstream.js';
import type {AgentRefusal} from './agentHeaders.js';
import {
  ENGINE_EPOCH_HEADER,
  getResponseHeaders,
  getHeader,
  getNumberHeader,
  getUpstreamHeaders,
  getUpstreamPath,
} from './agentHeaders.js';
import type {AgentLimits} from './agentLimits.js';
import type {ResponseObservation} from './responseObserver.js';
import {createResponseObserver} from './responseObserver.js';
import type {AgentReportBuffer} from './agentReportBuffer.js';
import type {HealthChecker} from './healthChecker.js';

/** Trailers of every answer. */
const TRAILER_NAMES = [HEADERS.outcome, HEADERS.spans, HEADERS.usage].join(
  ', ',
);
const EMPTY_BODY = Buffer.alloc(0);
const NO_USAGE = {prompt: 0, generated: 0};

/** One admitted request and what it needs to run. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  pool: Pool;
  base: URL;
  localUpstream: LocalUpstream;
  healthChecker: HealthChecker;
  reports: AgentReportBuffer;
  limits: AgentLimits;
  clock: Clock;
  metrics: Metrics;
  keepAlive: http.Agent;
  /** Aborted to cancel the exchange; the reason says why. */
  cancel: AbortController;
  deadline: MonotonicMs;
  isAtMostOnce: boolean;
  /** With an idempotency key the answer is kept, and nobody cancels it. */
  isDeduplicated: boolean;
  refuse: (reason: AgentRefusal, isNotRun: boolean) => void;
}

/** What is known about a request after its exchange. */
export type ExchangeOutcome =
  /** Proof that no byte reached the upstream. */
  | {tag: 'not_run'}
  /** The answer arrived whole; `stored` is null if it was not kept. */
  | {tag: 'whole'; stored: StoredResponse | null}
  /** The request may have run. */
  | {tag: 'lost'};

type CancelReason = 'caller_gone' | 'deadline' | 'stopped';

function getCancelReason(exchange: Exchange): CancelReason | null {
  const {signal} = exchange.cancel;
  return signal.aborted ? (signal.reason as CancelReason) : null;
}

function isBodiless(exchange: Exchange, status: number): boolean {
  return exchange.request.method === 'HEAD' || status === 204 || status === 304;
}

/** Sets the priority in an engine's request body, where it is JSON. */
function withPriority(body: Buffer, priority: number | null): Buffer {
  if (priority === null || body.length === 0) return body;
  try {
    const value = JSON.parse(body.toString('utf8')) as unknown;
    if (typeof value !== 'object' || !value || Array.isArray(value)) {
      return body;
    }
    return Buffer.from(JSON.stringify({...value, priority}));
  } catch {
    return body;
  }
}

type PreparedBody =
  | {tag: 'body'; body: Buffer | IncomingMessage}
  | {tag: 'too_large'}
  | {tag: 'cut'}
  | {tag: 'cancelled'};

async function prepareBody(exchange: Exchange): Promise<PreparedBody> {
  const {request, pool, isDeduplicated: isKeyed, limits} = exchange;
  if (request.headers['content-length'] === '0') {
    return {tag: 'body', body: EMPTY_BODY};
  }
  if (pool.kind === 'plain' && !isKeyed) return {tag: 'body', body: request};
  const {signal} = exchange.cancel;
  // An upload that stalls must not hold its place beyond the deadline.
  const body = await readBody(request, limits.maxBodyBytes, signal);
  if (signal.aborted) return {tag: 'cancelled'};
  if (!body.ok) return {tag: body.error.tag === 'cut' ? 'cut' : 'too_large'};
  if (pool.kind === 'plain') return {tag: 'body', body: body.value};
  const priority = getNumberHeader(request, HEADERS.priority);
  return {tag: 'body', body: withPriority(body.value, priority)};
}

function getRequestHeaders(exchange: Exchange, body: Buffer | IncomingMessage) {
  const headers = getUpstreamHeaders(exchange.request.headers);
  if (Buffer.isBuffer(body)) headers['content-length'] = String(body.length);
  return headers;
}

/** Collects an answer's body for repeats, up to a limit. */
class Keeper {
  private chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly limitBytes: number) {}

  write(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size <= this.limitBytes) this.chunks.push(chunk);
    else this.chunks = [];
  }

  getStored(
    status: number,
    headers: StoredResponse['headers'],
  ): StoredResponse | null {
    if (this.size > this.limitBytes) return null;
    const body = Buffer.concat(this.chunks).toString('base64');
    return {status, headers, body};
  }
}

/**
 * Passes a body on with backpressure; false if it was cut. A caller that is
 * gone or does not read until the exchange is cancelled holds nothing up.
 * Uses events, as async iteration costs several promises per part.
 */
function passBody(
  answer: IncomingMessage,
  response: ServerResponse,
  signal: AbortSignal,
  onChunk: (chunk: Buffer) => void,
): Promise<boolean> {
  return new Promise(resolve => {
    const onResume = () => answer.resume();
    const settle = (isComplete: boolean) => {
      response.off('drain', onResume);
      response.off('close', onResume);
      signal.removeEventListener('abort', onResume);
      resolve(isComplete);
    };
    answer.on('data', (chunk: Buffer) => {
      try {
        onChunk(chunk);
      } catch (error) {
        answer.destroy(error as Error);
        return;
      }
      if (response.destroyed || signal.aborted) return;
      if (!response.write(chunk)) answer.pause();
    });
    answer.on('error', () => settle(false));
    answer.on('end', () => settle(answer.complete));
    answer.on('close', () => settle(answer.complete));
    response.on('drain', onResume);
    response.on('close', onResume);
    signal.addEventListener('abort', onResume);
    if (answer.destroyed) settle(answer.readableEnded && answer.complete);
  });
}

/**
 * Writes the head with the first parts of the body if they have arrived, so
 * that a short answer leaves in one write; else in this turn of the loop.
 */
function writeHead(
  response: ServerResponse,
  status: number,
  head: http.OutgoingHttpHeaders,
): void {
  if (response.destroyed) return;
  const {socket} = response;
  socket?.cork();
  response.writeHead(status, head);
  response.flushHeaders();
  const uncork = setImmediate(() => socket?.uncork());
  // The end of the response uncorks its socket itself.
  response.once('prefinish', () => clearImmediate(uncork));
}

/**
 * An answer without length or chunks ends when its connection closes, which
 * also happens when its sender dies; it cannot be shown to be whole.
 */
function isDelimited(answer: IncomingMessage): boolean {
  return (
    answer.headers['content-length'] !== undefined ||
    answer.headers['transfer-encoding'] !== undefined
  );
}

function countUsage(exchange: Exchange, observed: ResponseObservation): void {
  const {request, reports: usage, metrics} = exchange;
  const window = getNumberHeader(request, HEADERS.window);
  if (window === null || !Number.isInteger(window)) {
    metrics.count('vc_agent_usage_without_window_total');
    return;
  }
  usage.addUsage({
    window,
    entryEpoch: getHeader(request, HEADERS.entryEpoch),
    account: getHeader(request, HEADERS.account),
    promptTokens: observed.usage.prompt,
    generatedTokens: observed.usage.generated,
  });
}

function getAnswerHead(
  exchange: Exchange,
  answer: IncomingMessage,
): Record<string, string | string[]> {
  const load = exchange.localUpstream.getLoad();
  const headers = getResponseHeaders(answer.headers);
  if (exchange.pool.kind === 'engine') {
    headers[ENGINE_EPOCH_HEADER] ??= load.epoch;
  }
  return {...headers, [HEADERS.load]: JSON.stringify(load)};
}

/** Passes the answer on; resolves when the upstream's side has ended. */
async function passAnswer(
  exchange: Exchange,
  answer: IncomingMessage,
  started: ReturnType<LocalUpstream['getLiveVersions']>,
  startedAt: number,
): Promise<ExchangeOutcome> {
  const {
    response,
    localUpstream: gate,
    pool,
    clock,
    metrics,
    limits,
  } = exchange;
  const status = answer.statusCode ?? 502;
  const head = getAnswerHead(exchange, answer);
  const observer = createResponseObserver(
    pool.kind,
    status,
    answer.headers,
    started,
    () => gate.getLiveVersions(),
    () => clock.now(),
  );
  const keeper = new Keeper(
    exchange.isDeduplicated ? limits.maxStoredResponseBytes : 0,
  );
  const isStream = String(answer.headers['content-type']).includes(
    'text/event-stream',
  );
  if (isBodiless(exchange, status)) {
    answer.resume();
    exchange.localUpstream.recordResponse();
    countUsage(exchange, observer.end());
    sendBodiless(response, status, head);
    return {tag: 'whole', stored: keeper.getStored(status, head)};
  }
  writeHead(response, status, {...head, trailer: TRAILER_NAMES});
  if (pool.kind === 'plain') gate.recordFirstToken(clock.now() - startedAt);
  let isFirst = true;
  const {signal} = exchange.cancel;
  const isBodyComplete = await passBody(answer, response, signal, chunk => {
    if (isFirst && isStream && pool.kind === 'engine') {
      gate.recordFirstToken(clock.now() - startedAt);
    }
    isFirst = false;
    observer.write(chunk);
    if (exchange.isDeduplicated) keeper.write(chunk);
  });
  const observed = observer.end();
  const isComplete = isDelimited(answer) && isBodyComplete && observed.isEnded;
  if (observed.mismatches > 0) {
    metrics.count('vc_agent_label_mismatches_total');
  }
  const isCallerGone = getCancelReason(exchange) === 'caller_gone';
  if (isComplete || (isCallerGone && observed.usage.generated > 0)) {
    countUsage(exchange, observed);
  }
  if (isComplete && status < 500) gate.recordResponse();
  if (!isComplete) metrics.count('vc_agent_cut_answers_total');
  sendEnd(response, isComplete, observed);
  if (!isComplete) return {tag: 'lost'};
  return {tag: 'whole', stored: keeper.getStored(status, head)};
}

/** Node sends no trailers without a body, so the outcome is a header. */
function sendBodiless(
  response: ServerResponse,
  status: number,
  head: Record<string, string | string[]>,
): void {
  if (response.destroyed) return;
  response.writeHead(status, {
    ...head,
    [HEADERS.outcome]: 'whole',
    [HEADERS.spans]: '[]',
    [HEADERS.usage]: JSON.stringify(NO_USAGE),
  });
  response.end();
}

function sendEnd(
  response: ServerResponse,
  isComplete: boolean,
  observed: Pick<ResponseObservation, 'spans' | 'usage'>,
): void {
  if (response.destroyed) return;
  response.addTrailers({
    [HEADERS.outcome]: isComplete ? 'whole' : 'cut',
    [HEADERS.spans]: JSON.stringify(observed.spans),
    [HEADERS.usage]: JSON.stringify(observed.usage),
  });
  response.end();
}

/** Sends a stored answer to a repeat; its usage was counted before. */
export function sendStoredResponse(
  response: ServerResponse,
  stored: StoredResponse,
  load: Load,
): void {
  if (response.destroyed) return;
  const head = {...stored.headers, [HEADERS.load]: JSON.stringify(load)};
  const body = Buffer.from(stored.body, 'base64');
  if (stored.status === 204 || stored.status === 304) {
    sendBodiless(response, stored.status, head);
    return;
  }
  response.writeHead(stored.status, {...head, trailer: TRAILER_NAMES});
  response.write(body);
  sendEnd(response, true, {spans: [], usage: NO_USAGE});
}

/** Refuses a request whose upstream gave no answer. */
function refuseFailed(exchange: Exchange, isNotRun: boolean): void {
  const reason = getCancelReason(exchange);
  if (reason === 'caller_gone') {
    exchange.metrics.count('vc_agent_cancelled_total');
    exchange.response.destroy();
  } else if (reason === 'deadline') {
    exchange.refuse('deadline', isNotRun);
  } else if (reason === 'stopped') {
    exchange.refuse('leaving', isNotRun);
  } else {
    exchange.refuse(
      isNotRun ? 'upstream_refused' : 'upstream_failed',
      isNotRun,
    );
  }
}

/**
 * Runs an admitted request: sends it to the upstream, passes the answer on
 * with trailers, and says what is known about it.
 */
export async function runExchange(
  exchange: Exchange,
): Promise<ExchangeOutcome> {
  const {
    request,
    response,
    cancel,
    clock,
    localUpstream: gate,
    healthChecker: watcher,
  } = exchange;
  const abort = (reason: CancelReason) => {
    if (!cancel.signal.aborted) cancel.abort(reason);
  };
  const cancelTimer = clock.callAt(exchange.deadline, () => abort('deadline'));
  const onClose = () => {
    if (!response.writableFinished && !exchange.isDeduplicated) {
      abort('caller_gone');
    }
  };
  response.on('close', onClose);
  if (response.destroyed) onClose();
  try {
    const prepared = await prepareBody(exchange);
    if (prepared.tag !== 'body') {
      if (prepared.tag === 'too_large') exchange.refuse('too_large', true);
      else if (prepared.tag === 'cancelled') refuseFailed(exchange, true);
      else response.destroy();
      return {tag: 'not_run'};
    }
    const started = gate.getLiveVersions();
    const startedAt = clock.now();
    const runEpoch = watcher.getProcessEpoch();
    const noteCut = () => {
      if (cancel.signal.aborted) return;
      watcher.recordCutRequest(
        getHeader(request, HEADERS.fingerprint),
        runEpoch,
      );
    };
    const result = await forwardRequest({
      base: exchange.base,
      method: request.method ?? 'GET',
      path: getUpstreamPath(request.url ?? '/'),
      headers: getRequestHeaders(exchange, prepared.body),
      body: prepared.body,
      usesNewConnection: exchange.isAtMostOnce,
      agent: exchange.keepAlive,
      signal: cancel.signal,
    });
    if (!result.ok) {
      const isNotRun = result.failure.tag === 'not_run';
      if (!isNotRun) noteCut();
      refuseFailed(exchange, isNotRun);
      return isNotRun ? {tag: 'not_run'} : {tag: 'lost'};
    }
    const epoch = result.answer.headers[ENGINE_EPOCH_HEADER];
    // A new engine process may serve another version than the last status.
    if (epoch !== undefined && epoch !== watcher.getProcessEpoch()) {
      await watcher.check();
    }
    const outcome = await passAnswer(
      exchange,
      result.answer,
      started,
      startedAt,
    );
    if (outcome.tag === 'lost') noteCut();
    return outcome;
  } finally {
    cancelTimer();
    response.off('close', onClose);
  }
}
