import type {MonotonicMs} from '@vanillacross/common';
import {getRequestFingerprint} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {MIN_RETRY_AFTER_MS, mayExtendText, noText} from '@vanillacross/domain';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';

import type {ForwardContext, ForwardRequest} from '../forwarding/index.js';
import {
  NOT_PERMITTED_REASON,
  chooseForRequest,
  reportBrokenConnection,
} from '../forwarding/index.js';
import type {ResponseHead} from '../model/index.js';
import type {
  Exchange,
  ExchangeEvents,
  ExchangeFailure,
  Upstream,
} from '../upstreams/index.js';
import {EventBoundary, startExchange} from '../upstreams/index.js';
import type {Refusal} from './refusal.js';
import {
  getLeftVersionRefusal,
  getQuarantineRefusal,
  getUnknownVersionRefusal,
} from './refusal.js';

const EVENT_STREAM_TYPE = 'text/event-stream';

/** Whether only the end of the connection ends an event stream. */
function isUnframedEventStream(
  head: ResponseHead,
  headers: IncomingHttpHeaders,
): boolean {
  const type = headers['content-type'] ?? EVENT_STREAM_TYPE;
  return (
    head.status === 200 &&
    type.startsWith(EVENT_STREAM_TYPE) &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Forwards an event stream to the caller as it arrives. Another upstream is
 * tried only while no upstream can have executed the request. If the stream
 * fails after that, the caller's connection is reset so that a truncated stream
 * cannot be mistaken for a complete one. The upstream is read only as fast as
 * the caller reads, so that the memory held for a slow caller is bounded.
 */
export function forwardStream(
  context: ForwardContext,
  request: ForwardRequest,
  response: ServerResponse,
  refuse: (refusal: Refusal) => void,
): Promise<void> {
  return new Promise(resolve => {
    new StreamForwarder(context, request, response, refuse, resolve).start();
  });
}

class StreamForwarder {
  private readonly tried = new Set<Upstream>();
  private readonly startedAt: MonotonicMs;
  private readonly fingerprint: string;
  /** Origin of the events that the caller has. */
  private origin: TextOrigin = noText;
  private exchange: Exchange | null = null;
  private isDone = false;
  private cancelDeadline: () => void = () => undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: ForwardRequest,
    private readonly response: ServerResponse,
    private readonly refuse: (refusal: Refusal) => void,
    private readonly resolve: () => void,
  ) {
    this.startedAt = context.clock.now();
    const {method, target, body} = request;
    this.fingerprint = getRequestFingerprint(method, target, body);
  }

  start(): void {
    const {context, request, response} = this;
    this.cancelDeadline = context.clock.callAt(request.deadline, () =>
      this.fail({status: 504, reason: 'timeout'}),
    );
    response.on('drain', () => this.exchange?.resume());
    response.on('close', () => this.finish('connection closed'));
    if (context.crashes.isQuarantined(this.fingerprint)) {
      return this.fail(getQuarantineRefusal());
    }
    const {continuation, pool} = request;
    if (continuation) {
      this.origin = context.streams.getOrigin(pool.id, continuation.resumes);
    }
    if (this.origin.tag === 'unknown') {
      return this.fail(getUnknownVersionRefusal());
    }
    this.sendNext();
  }

  private finish(outcome: string): void {
    if (this.isDone) return;
    this.isDone = true;
    this.cancelDeadline();
    this.exchange?.abort();
    const {clock, logger} = this.context;
    logger.info('stream ended', {
      request: this.request.id,
      upstream: this.exchange?.upstream.id,
      connection: this.exchange?.getConnection(),
      isStarted: this.response.headersSent,
      outcome,
      elapsedMs: Math.round(clock.now() - this.startedAt),
    });
    this.resolve();
  }

  /** Refuses the request, or resets the connection of a stream that began. */
  private fail(refusal: Refusal): void {
    if (this.isDone) return;
    this.finish(refusal.reason);
    if (!this.response.headersSent) this.refuse(refusal);
    else this.response.destroy();
  }

  private failNotRun(reason: string): void {
    this.fail({status: 503, reason, retryAfterMs: MIN_RETRY_AFTER_MS});
  }

  private sendNext(): void {
    if (this.isDone) return;
    const {context, request, tried, origin} = this;
    if (!request.isPermitted()) return this.failNotRun(NOT_PERMITTED_REASON);
    const usable = this.getUsable();
    const upstream = chooseForRequest(context, request, usable, tried, {
      origin,
    });
    if (!upstream) return this.failWithoutUpstream(usable);
    tried.add(upstream);
    this.logStart(upstream);
    this.exchange = startExchange(
      upstream,
      context.dialect,
      context.clock,
      {
        ...request,
        upstream: upstream.id,
        budgetMs: request.deadline - context.clock.now(),
        lastEventId: 0,
        isSentOnce: true,
      },
      request.body,
      this.getEvents(upstream),
    );
  }

  /**
   * Returns the upstreams in service, without those at which no stream may begin
   * yet if this one begins and may be taken up.
   */
  private getUsable(): Upstream[] {
    const {directory, streams} = this.context;
    const {pool, route, continuation} = this.request;
    const usable = directory.getUsable(pool.id);
    if (continuation || !route.isResumable) return usable;
    return usable.filter(({entry}) =>
      streams.mayBegin(pool.id, entry.software),
    );
  }

  private failWithoutUpstream(usable: readonly Upstream[]): void {
    const hasVersion = usable.some(({entry}) =>
      mayExtendText(this.origin, entry.software),
    );
    if (this.origin.tag === 'known' && !hasVersion) {
      return this.fail(getLeftVersionRefusal());
    }
    this.failNotRun('no upstream has room');
  }

  private logStart({id, entry}: Upstream): void {
    const {request, origin} = this;
    this.context.logger.info('stream starts', {
      request: request.id,
      resumes: request.continuation?.resumes,
      after: request.continuation?.after ?? 0,
      origin: origin.tag,
      upstream: id,
      software: entry.software,
    });
  }

  private getEvents(upstream: Upstream): ExchangeEvents {
    let isForwarding = false;
    let boundary: EventBoundary | null = null;
    return {
      onHead: (head, headers) => {
        if (head.isNotRun || head.isMisdirected) return;
        isForwarding = true;
        if (isUnframedEventStream(head, headers)) {
          boundary = new EventBoundary();
        }
        this.forwardHead(upstream, head, headers);
      },
      onData: chunk => {
        boundary?.add(chunk);
        if (isForwarding && !this.response.write(chunk)) {
          this.exchange?.pause();
        }
      },
      onEnd: () => {
        if (!isForwarding) return this.sendNext();
        if (boundary && !boundary.isBetweenEvents()) {
          upstream.recordFailure();
          return this.fail({status: 502, reason: 'cut off in an event'});
        }
        this.response.end();
        this.finish('complete');
      },
      onFailure: failure => this.handleFailure(upstream, failure),
    };
  }

  private forwardHead(
    upstream: Upstream,
    head: ResponseHead,
    headers: IncomingHttpHeaders,
  ): void {
    const {dialect, onExecution, streams} = this.context;
    const {account, pool, route, id} = this.request;
    onExecution(account);
    if (head.status === 200 && route.isResumable) {
      streams.recordStream(pool.id, id, upstream.entry.software);
    }
    this.response.writeHead(head.status, dialect.getCallerHeaders(headers));
  }

  private handleFailure(upstream: Upstream, failure: ExchangeFailure): void {
    upstream.recordFailure();
    if (failure.tag === 'lost') {
      reportBrokenConnection(this.context, this.fingerprint, upstream);
    }
    if (failure.tag === 'not_sent') return this.sendNext();
    this.fail({status: 502, reason: `${failure.tag}: ${failure.detail}`});
  }
}
