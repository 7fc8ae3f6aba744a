import type {
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
  PoolId,
  RequestId,
} from '@vanillacross/common';
import {readBody} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS} from '@vanillacross/domain';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import type {ConfigurationState} from '../configuration/index.js';
import {pickWeightedPool} from '../configuration/index.js';
import type {ForwardContext, ForwardOutcome} from '../forwarding/index.js';
import {RequestForwarder} from '../forwarding/index.js';
import type {
  CallerDialect,
  RequestHead,
  Pool,
  StepCall,
} from '../model/index.js';
import type {StepService} from '../steps/index.js';
import {keepUsedPrompts} from '../steps/index.js';
import type {AdmittedRequest} from './admission.js';
import {Admission} from './admission.js';
import {CallerHttpServer} from './callerHttpServer.js';
import {limitToExit} from './drainLimit.js';
import type {Refusal} from './refusal.js';
import {
  getQuarantineRefusal,
  getStaleRefusal,
  getSubmissionRefusal,
} from './refusal.js';
import {ListenerShutdown} from './listenerShutdown.js';
import {StepCallHandler} from './stepCallHandler.js';
import {forwardStream} from './forwardStream.js';

/** Limit on the request bodies that are buffered at the same time, bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
/**
 * Upper bounds of the sizes of a request's headers and body, whatever the
 * configuration allows, bytes.
 */
const MAX_HEADER_BYTES = 32 * 1024;
const MAX_BODY_BYTES = 32 * 1024 * 1024;
/**
 * Idle timeout of connections that applies before the first configuration has
 * arrived, ms.
 */
const DEFAULT_IDLE_MS = 15_000;
/**
 * Extra time for which this server keeps idle connections open, so that callers
 * close them first, ms.
 */
const IDLE_MARGIN_MS = 2_000;

export interface CallerServerOptions {
  dialect: CallerDialect;
  configuration: ConfigurationState;
  forwarding: ForwardContext;
  steps: StepService;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** HTTP server for callers and trainers. */
export class CallerServer {
  readonly server: Server;
  readonly shutdown: ListenerShutdown;
  /** When the process exits; null unless it stops. */
  private exitAt: MonotonicMs | null = null;
  private openRequests = 0;
  private bufferedBytes = 0;

  private readonly admission: Admission;
  private readonly stepCalls: StepCallHandler;

  constructor(private readonly options: CallerServerOptions) {
    this.admission = new Admission(options.configuration);
    this.stepCalls = new StepCallHandler(options.steps, options.dialect);
    this.server = new CallerHttpServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
        requestTimeout: 0,
      },
      (request, response) =>
        void this.handle(request, response).catch((error: Error) =>
          this.handleFault(error, response),
        ),
    );
    this.shutdown = new ListenerShutdown(this.server, options.clock);
    options.configuration.onChange(() => this.applyLimits());
  }

  /** Number of requests whose response is not finished. */
  get openRequestCount(): number {
    return this.openRequests;
  }

  /**
   * Lets open requests finish and closes connections after their responses.
   * Requests that arrive from now on end by the given time or are refused.
   */
  drain(exitAt: MonotonicMs): void {
    this.exitAt = exitAt;
  }

  private applyLimits(): void {
    const limits = this.options.configuration.getRoutes()?.configuration.limits;
    if (!limits) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, dialect, logger, metrics} = this.options;
    const arrivedAt = clock.now();
    this.openRequests++;
    response.on('close', () => this.openRequests--);
    if (this.exitAt !== null) response.setHeader('connection', 'close');
    const head = dialect.readHead(
      request.method ?? 'GET',
      request.url ?? '/',
      request.headers,
    );
    try {
      await this.dispatch(head, arrivedAt, request, response);
    } catch (error) {
      logger.error('request failed unexpectedly', {
        request: head.id,
        detail: String((error as Error).stack),
      });
      metrics.count('vc_internal_errors');
      this.refuse(head, response, {status: 500, reason: 'internal error'});
    }
    metrics.observe('vc_request_ms', clock.now() - arrivedAt);
  }

  /** Handles an exception before the request is known or after its refusal. */
  private handleFault(error: Error, response: ServerResponse): void {
    const {logger, metrics} = this.options;
    logger.error('request failed unexpectedly', {detail: String(error.stack)});
    metrics.count('vc_internal_errors');
    response.destroy();
  }

  private async dispatch(
    head: RequestHead,
    arrivedAt: MonotonicMs,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const call = this.options.dialect.readStepCall(head, request.headers);
    if (!call.ok) {
      request.resume();
      const refusal = {status: 400, reason: call.error};
      return this.refuse(head, response, refusal);
    }
    if (call.value) {
      request.resume();
      return this.handleStepCall(head, call.value, arrivedAt, response);
    }
    const admitted = this.admit(head, arrivedAt);
    if ('status' in admitted) {
      request.resume();
      return this.refuse(head, response, admitted);
    }
    const body = await this.readCallerBody(admitted, request);
    if (!Buffer.isBuffer(body)) {
      if (body) this.refuse(head, response, body);
      else response.destroy();
      request.resume();
      return;
    }
    if (!this.admission.isStillPermitted(admitted)) {
      const refusal = getStaleRefusal('the key is no longer known to be valid');
      return this.refuse(head, response, refusal);
    }
    this.bufferedBytes += body.length;
    response.on('close', () => (this.bufferedBytes -= body.length));
    await this.serve(admitted, body, response);
  }

  private admit(
    head: RequestHead,
    arrivedAt: MonotonicMs,
  ): AdmittedRequest | Refusal {
    const admitted = this.admission.admit(head, arrivedAt);
    if ('status' in admitted || this.exitAt === null) return admitted;
    return limitToExit(admitted, arrivedAt, this.exitAt);
  }

  private serve(
    admitted: AdmittedRequest,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    if (admitted.route.kind === 'rollout') {
      return this.submitStep(admitted, body, response);
    }
    return this.forward(admitted, body, response);
  }

  /** Returns null if the caller disconnected before the body was complete. */
  private async readCallerBody(
    admitted: AdmittedRequest,
    request: IncomingMessage,
  ): Promise<Buffer | Refusal | null> {
    const {limits} = admitted.routes.configuration;
    const limit = Math.min(limits.bodyBytes, MAX_BODY_BYTES);
    const body = await readBody(
      request,
      limit,
      undefined,
      bytes => this.bufferedBytes + bytes <= MAX_BUFFERED_BYTES,
    );
    if (body.ok) return body.value;
    if (body.error.tag === 'too_large') {
      return {status: 413, reason: 'body is too large'};
    }
    if (body.error.tag === 'no_room') {
      const retryAfterMs = MIN_RETRY_AFTER_MS;
      return {status: 503, reason: 'no memory for the body', retryAfterMs};
    }
    return null;
  }

  private refuse(
    head: RequestHead,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    const {dialect, logger, metrics, configuration} = this.options;
    const {status, reason, detail} = refusal;
    metrics.count('vc_refusals', {status: String(status), reason});
    logger.info('request was refused', {
      request: head.id,
      step: refusal.step,
      path: head.path,
      status,
      reason,
      detail,
      configuration: configuration.getRoutes()?.configuration.version ?? null,
      configurationAgeMs: Math.round(configuration.getAgeMs()),
    });
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const headers = dialect.getRefusalHeaders(
      head.id,
      refusal.retryAfterMs ?? 0,
    );
    const error = detail === undefined ? reason : `${reason}: ${detail}`;
    const text = JSON.stringify({error});
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...headers,
    });
    response.end(text);
  }

  private findPool(admitted: AdmittedRequest): Pool | null {
    const id = pickWeightedPool(admitted.route, Math.random);
    if (id === null) return null;
    return admitted.routes.configuration.pools.get(id as PoolId) ?? null;
  }

  private async forward(
    admitted: AdmittedRequest,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const {head, route, account, deadline} = admitted;
    const pool = this.findPool(admitted);
    if (!pool) {
      return this.refuse(head, response, {
        status: 503,
        reason: 'the route has no pool',
        retryAfterMs: MIN_RETRY_AFTER_MS,
      });
    }
    const forwardRequest = {
      id: head.id,
      route,
      pool,
      method: head.method,
      target: head.target,
      host: head.host,
      headers: head.headers,
      body,
      continuation: head.continuation,
      account: account?.id ?? null,
      deadline,
      priority: null,
      queueOrder: {
        priority: account?.priority ?? route.priority,
        unfinishedInGroup: 0,
      },
      isBackground: false,
      mayCrashUpstreams: true,
      isPermitted: () => this.admission.isStillPermitted(admitted),
      isRouted: () => this.admission.isStillRouted(admitted, pool.id),
    };
    if (route.kind === 'stream') {
      return forwardStream(
        this.options.forwarding,
        forwardRequest,
        response,
        refusal => this.refuse(head, response, refusal),
      );
    }
    const forwarder = new RequestForwarder(
      this.options.forwarding,
      forwardRequest,
    );
    response.on('close', () => forwarder.cancel());
    this.sendOutcome(admitted, await forwarder.run(), response);
  }

  private sendOutcome(
    admitted: AdmittedRequest,
    outcome: ForwardOutcome,
    response: ServerResponse,
  ): void {
    const {head} = admitted;
    switch (outcome.tag) {
      case 'answered':
        return this.sendUpstreamResponse(admitted, outcome, response);
      case 'not_run':
        return this.refuse(head, response, {
          status: 503,
          reason: `not run: ${outcome.reason}`,
          retryAfterMs: outcome.retryAfterMs,
        });
      case 'quarantined':
        return this.refuse(head, response, getQuarantineRefusal());
      case 'failed':
        return this.refuse(head, response, {
          status: 502,
          reason: `no whole answer: ${outcome.reason}`,
        });
      case 'timed_out':
        return this.refuse(head, response, {status: 504, reason: 'timeout'});
      case 'cancelled':
        this.options.metrics.count('vc_callers_left');
        return;
    }
  }

  private sendUpstreamResponse(
    admitted: AdmittedRequest,
    outcome: ForwardOutcome & {tag: 'answered'},
    response: ServerResponse,
  ): void {
    if (response.destroyed) return;
    const {clock, logger, forwarding} = this.options;
    const headers = forwarding.dialect.getCallerHeaders(outcome.headers);
    response.writeHead(outcome.head.status, {
      ...headers,
      'content-length': outcome.body.length,
    });
    response.end(outcome.body);
    logger.info('request was answered', {
      request: admitted.head.id,
      route: admitted.route.name,
      upstream: outcome.upstream,
      isLeaving: outcome.head.notice?.isLeaving ?? false,
      status: outcome.head.status,
      elapsedMs: Math.round(clock.now() - admitted.arrivedAt),
    });
  }

  private async submitStep(
    admitted: AdmittedRequest,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const {head, route, account} = admitted;
    const {dialect, forwarding} = this.options;
    const submission = dialect.readSubmission(body);
    if (!submission.ok) {
      const reason = `not a step: ${submission.error}`;
      return this.refuse(head, response, {status: 400, reason});
    }
    const outcome = await this.options.steps.submit(
      head.id,
      {
        ...submission.value,
        samples: keepUsedPrompts(submission.value.samples, forwarding.policy),
      },
      route,
      account?.id ?? null,
      head.host,
    );
    const refusal = getSubmissionRefusal(outcome);
    if (refusal) return this.refuse(head, response, refusal);
    this.sendJson(head, response, 202, Buffer.from('{}'));
  }

  private async handleStepCall(
    head: RequestHead,
    call: StepCall,
    arrivedAt: MonotonicMs,
    response: ServerResponse,
  ): Promise<void> {
    const account = this.admission.authenticateStepCall(head);
    if (account && 'status' in account) {
      return this.refuse(head, response, account);
    }
    const disconnect = new AbortController();
    response.on('close', () => disconnect.abort());
    const result = await this.stepCalls.handle(
      this.limitWait(call, arrivedAt),
      account?.id ?? null,
      arrivedAt,
      disconnect.signal,
    );
    if (result.ok) return this.sendJson(head, response, 200, result.value);
    this.refuse(head, response, {...result.error, step: call.step});
  }

  /** Lets a read of results wait no longer than this process lives. */
  private limitWait(call: StepCall, arrivedAt: MonotonicMs): StepCall {
    if (call.tag !== 'read' || this.exitAt === null) return call;
    const leftMs = Math.max(0, this.exitAt - arrivedAt);
    return {...call, waitMs: Math.min(call.waitMs, leftMs)};
  }

  private sendJson(
    head: RequestHead,
    response: ServerResponse,
    status: number,
    body: Buffer,
  ): void {
    if (response.destroyed) return;
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.length,
      ...this.options.dialect.getRefusalHeaders(head.id as RequestId, 0),
    });
    response.end(body);
  }
}
