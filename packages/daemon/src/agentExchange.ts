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

/** Trailers of each response. */
const TRAILER_NAMES = [HEADERS.outcome, HEADERS.spans, HEADERS.usage].join(
  ', ',
);
const EMPTY_BODY = Buffer.alloc(0);
const NO_USAGE = {prompt: 0, generated: 0};

/** An admitted request with everything needed to run it. */
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
  /** Aborts the exchange; the abort reason is a `CancelReason`. */
  cancel: AbortController;
  deadline: MonotonicMs;
  isAtMostOnce: boolean;
  /**
   * True for a request with an idempotency key whose response is stored for
   * replay. Such a request is not cancelled when the caller disconnects.
   */
  isDeduped: boolean;
  refuse: (reason: AgentRefusal, isNotRun: boolean) => void;
}

/** What is known about the execution of a request after its exchange. */
export type ExchangeOutcome =
  /** Proof that no byte reached the upstream. */
  | {tag: 'not_run'}
  /** The response arrived completely; `stored` is null if it was not stored. */
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

/**
 * Adds the priority to the request body for an engine if it is a JSON object.
 */
function setPriority(body: Buffer, priority: number | null): Buffer {
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
  const {request, pool, isDeduped, limits} = exchange;
  if (request.headers['content-length'] === '0') {
    return {tag: 'body', body: EMPTY_BODY};
  }
  if (pool.kind === 'plain' && !isDeduped) return {tag: 'body', body: request};
  const {signal} = exchange.cancel;
  // A stalled upload must not hold its slot past the deadline.
  const body = await readBody(request, limits.maxBodyBytes, signal);
  if (signal.aborted) return {tag: 'cancelled'};
  if (!body.ok) return {tag: body.error.tag === 'cut' ? 'cut' : 'too_large'};
  if (pool.kind === 'plain') return {tag: 'body', body: body.value};
  const priority = getNumberHeader(request, HEADERS.priority);
  return {tag: 'body', body: setPriority(body.value, priority)};
}

function getRequestHeaders(exchange: Exchange, body: Buffer | IncomingMessage) {
  const headers = getUpstreamHeaders(exchange.request.headers);
  if (Buffer.isBuffer(body)) headers['content-length'] = String(body.length);
  return headers;
}

/** Collects a response body up to a size limit, for replay. */
class ResponseRecorder {
  private chunks: Buffer[] = [];
  private size = 0;

  constructor(private readonly limitBytes: number) {}

  write(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size <= this.limitBytes) this.chunks.push(chunk);
    else this.chunks = [];
  }

  getStoredResponse(
    status: number,
    headers: StoredResponse['headers'],
  ): StoredResponse | null {
    if (this.size > this.limitBytes) return null;
    const body = Buffer.concat(this.chunks).toString('base64');
    return {status, headers, body};
  }
}

/**
 * Forwards a body with backpressure; resolves with false if it was cut off. Once
 * the caller has disconnected or the exchange is cancelled, the rest of the body
 * is read but not forwarded, so that the upstream is not blocked. Uses events,
 * because async iteration costs several promises per chunk.
 */
function forwardBody(
  source: IncomingMessage,
  response: ServerResponse,
  signal: AbortSignal,
  onChunk: (chunk: Buffer) => void,
): Promise<boolean> {
  return new Promise(resolve => {
    const resume = () => source.resume();
    const settle = (isComplete: boolean) => {
      response.off('drain', resume);
      response.off('close', resume);
      signal.removeEventListener('abort', resume);
      resolve(isComplete);
    };
    source.on('data', (chunk: Buffer) => {
      try {
        onChunk(chunk);
      } catch (error) {
        source.destroy(error as Error);
        return;
      }
      if (response.destroyed || signal.aborted) return;
      if (!response.write(chunk)) source.pause();
    });
    source.on('error', () => settle(false));
    source.on('end', () => settle(source.complete));
    source.on('close', () => settle(source.complete));
    response.on('drain', resume);
    response.on('close', resume);
    signal.addEventListener('abort', resume);
    if (source.destroyed) settle(source.readableEnded && source.complete);
  });
}

/**
 * Writes the head together with the first chunks of the body if they arrive in
 * this turn of the event loop, so that a short response goes out in one write.
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
  // Ending the response uncorks the socket.
  response.once('prefinish', () => clearImmediate(uncork));
}

/**
 * Returns whether the end of the body is delimited. A response without a
 * content length or chunked encoding ends when the connection closes, which
 * also happens when the sender dies, so it cannot be shown to be complete.
 */
function isDelimited(upstreamResponse: IncomingMessage): boolean {
  return (
    upstreamResponse.headers['content-length'] !== undefined ||
    upstreamResponse.headers['transfer-encoding'] !== undefined
  );
}

function countUsage(exchange: Exchange, observed: ResponseObservation): void {
  const {request, reports, metrics} = exchange;
  const window = getNumberHeader(request, HEADERS.window);
  if (window === null || !Number.isInteger(window)) {
    metrics.count('vc_agent_usage_without_window_total');
    return;
  }
  reports.addUsage({
    window,
    entryEpoch: getHeader(request, HEADERS.entryEpoch),
    account: getHeader(request, HEADERS.account),
    promptTokens: observed.usage.prompt,
    generatedTokens: observed.usage.generated,
  });
}

function getResponseHead(
  exchange: Exchange,
  upstreamResponse: IncomingMessage,
): Record<string, string | string[]> {
  const load = exchange.localUpstream.getLoad();
  const headers = getResponseHeaders(upstreamResponse.headers);
  if (exchange.pool.kind === 'engine') {
    headers[ENGINE_EPOCH_HEADER] ??= load.epoch;
  }
  return {...headers, [HEADERS.load]: JSON.stringify(load)};
}

/** Forwards the response; resolves when the upstream has finished sending. */
async function forwardResponse(
  exchange: Exchange,
  upstreamResponse: IncomingMessage,
  startVersions: ReturnType<LocalUpstream['getLiveVersions']>,
  startedAt: number,
): Promise<ExchangeOutcome> {
  const {
    response,
    localUpstream: upstream,
    pool,
    clock,
    metrics,
    limits,
  } = exchange;
  const status = upstreamResponse.statusCode ?? 502;
  const head = getResponseHead(exchange, upstreamResponse);
  const observer = createResponseObserver(
    pool.kind,
    status,
    upstreamResponse.headers,
    startVersions,
    () => upstream.getLiveVersions(),
    () => clock.now(),
  );
  const recorder = new ResponseRecorder(
    exchange.isDeduped ? limits.maxStoredResponseBytes : 0,
  );
  const isStream = String(upstreamResponse.headers['content-type']).includes(
    'text/event-stream',
  );
  if (isBodiless(exchange, status)) {
    upstreamResponse.resume();
    exchange.localUpstream.recordResponse();
    countUsage(exchange, observer.end());
    sendBodilessResponse(response, status, head);
    return {tag: 'whole', stored: recorder.getStoredResponse(status, head)};
  }
  writeHead(response, status, {...head, trailer: TRAILER_NAMES});
  if (pool.kind === 'plain') upstream.recordFirstToken(clock.now() - startedAt);
  let isFirst = true;
  const {signal} = exchange.cancel;
  const isBodyComplete = await forwardBody(
    upstreamResponse,
    response,
    signal,
    chunk => {
      if (isFirst && isStream && pool.kind === 'engine') {
        upstream.recordFirstToken(clock.now() - startedAt);
      }
      isFirst = false;
      observer.write(chunk);
      if (exchange.isDeduped) recorder.write(chunk);
    },
  );
  const observed = observer.end();
  const isComplete =
    isDelimited(upstreamResponse) && isBodyComplete && observed.isEnded;
  if (observed.mismatches > 0) {
    metrics.count('vc_agent_label_mismatches_total');
  }
  const isCallerGone = getCancelReason(exchange) === 'caller_gone';
  if (isComplete || (isCallerGone && observed.usage.generated > 0)) {
    countUsage(exchange, observed);
  }
  if (isComplete && status < 500) upstream.recordResponse();
  if (!isComplete) metrics.count('vc_agent_cut_answers_total');
  sendTrailers(response, isComplete, observed);
  if (!isComplete) return {tag: 'lost'};
  return {tag: 'whole', stored: recorder.getStoredResponse(status, head)};
}

/**
 * Sends a response without a body. Node sends no trailers for it, so the
 * outcome is sent in headers.
 */
function sendBodilessResponse(
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

function sendTrailers(
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

/** Replays a stored response; its usage was counted by the first request. */
export function sendStoredResponse(
  response: ServerResponse,
  stored: StoredResponse,
  load: Load,
): void {
  if (response.destroyed) return;
  const head = {...stored.headers, [HEADERS.load]: JSON.stringify(load)};
  const body = Buffer.from(stored.body, 'base64');
  if (stored.status === 204 || stored.status === 304) {
    sendBodilessResponse(response, stored.status, head);
    return;
  }
  response.writeHead(stored.status, {...head, trailer: TRAILER_NAMES});
  response.write(body);
  sendTrailers(response, true, {spans: [], usage: NO_USAGE});
}

/**
 * Ends a request to which the upstream sent no response: refuses it, or closes
 * the connection if the caller is gone.
 */
function endUnanswered(exchange: Exchange, isNotRun: boolean): void {
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
 * Runs an admitted request: sends it to the upstream, forwards the response
 * with trailers, and returns what is known about the execution.
 */
export async function runExchange(
  exchange: Exchange,
): Promise<ExchangeOutcome> {
  const {
    request,
    response,
    cancel,
    clock,
    localUpstream: upstream,
    healthChecker,
  } = exchange;
  const abort = (reason: CancelReason) => {
    if (!cancel.signal.aborted) cancel.abort(reason);
  };
  const cancelTimer = clock.callAt(exchange.deadline, () => abort('deadline'));
  const onClose = () => {
    if (!response.writableFinished && !exchange.isDeduped) {
      abort('caller_gone');
    }
  };
  response.on('close', onClose);
  if (response.destroyed) onClose();
  try {
    const prepared = await prepareBody(exchange);
    if (prepared.tag !== 'body') {
      if (prepared.tag === 'too_large') exchange.refuse('too_large', true);
      else if (prepared.tag === 'cancelled') endUnanswered(exchange, true);
      else response.destroy();
      return {tag: 'not_run'};
    }
    const startVersions = upstream.getLiveVersions();
    const startedAt = clock.now();
    const processEpoch = healthChecker.getProcessEpoch();
    const recordInterruption = () => {
      if (cancel.signal.aborted) return;
      healthChecker.recordInterruptedRequest(
        getHeader(request, HEADERS.fingerprint),
        processEpoch,
      );
    };
    const result = await forwardRequest({
      base: exchange.base,
      method: request.method ?? 'GET',
      path: getUpstreamPath(request.url ?? '/'),
      headers: getRequestHeaders(exchange, prepared.body),
      body: prepared.body,
      usesNewConnection: exchange.isAtMostOnce,
      httpAgent: exchange.keepAlive,
      signal: cancel.signal,
    });
    if (!result.ok) {
      const isNotRun = result.failure.tag === 'not_run';
      if (!isNotRun) recordInterruption();
      endUnanswered(exchange, isNotRun);
      return isNotRun ? {tag: 'not_run'} : {tag: 'lost'};
    }
    const epoch = result.response.headers[ENGINE_EPOCH_HEADER];
    // A restarted engine may serve another version than its last status said.
    if (epoch !== undefined && epoch !== healthChecker.getProcessEpoch()) {
      await healthChecker.check();
    }
    const outcome = await forwardResponse(
      exchange,
      result.response,
      startVersions,
      startedAt,
    );
    if (outcome.tag === 'lost') recordInterruption();
    return outcome;
  } finally {
    cancelTimer();
    response.off('close', onClose);
  }
}
