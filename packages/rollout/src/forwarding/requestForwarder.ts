import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline, getRequestFingerprint} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS} from '@vanillacross/domain';
import type {IncomingHttpHeaders} from 'node:http';

import type {ResponseHead} from '../model/index.js';
import type {
  Exchange,
  ExchangeFailure,
  HeldResponse,
  Upstream,
} from '../upstreams/index.js';
import {FREE_SHARE, startExchange} from '../upstreams/index.js';
import {reportBrokenConnection} from './brokenConnection.js';
import type {PlaceSearch} from './placeSearch.js';
import {createPlaceSearch} from './placeSearches.js';
import type {ForwardContext, ForwardOutcome, ForwardRequest} from './types.js';
import {NOT_PERMITTED_REASON} from './upstreamForRequest.js';

/** Fraction of the target latency after which a hedged request is sent. */
const HEDGE_DELAY_SHARE = 0.45;
/**
 * Maximum number of attempts for one request, including those that no upstream
 * executed.
 */
const MAX_SENDS = 12;
/** Minimum time that must remain for another attempt, ms. */
const MIN_ATTEMPT_MS = 20;

interface Attempt {
  exchange: Exchange;
  upstream: Upstream;
  head: ResponseHead | null;
  headers: IncomingHttpHeaders;
  chunks: Buffer[];
  /** The memory of `chunks`. */
  held: HeldResponse;
  /** Called when the attempt ends, also if it was aborted. */
  recordEnd: (isServed: boolean) => void;
}

/**
 * Forwards one request to upstreams of a pool until one returns a complete
 * response. A request that may have been executed is retried only if it is
 * idempotent.
 */
export class RequestForwarder {
  private readonly tried = new Set<Upstream>();
  private readonly attempts = new Set<Attempt>();
  private readonly startedAt: MonotonicMs;
  private fingerprint: string | null = null;
  private sends = 0;
  private serverErrors = 0;
  /** Number of attempts that an upstream executed or may still execute. */
  private executions = 0;
  /** Whether an upstream may have executed the request. */
  private mayHaveRun = false;
  private lastReason = 'no upstream is listed';
  private retryAfterMs = MIN_RETRY_AFTER_MS;
  private lastErrorResponse: ForwardOutcome | null = null;
  private isDone = false;
  private readonly place: PlaceSearch;
  private timers: Array<() => void> = [];
  private resolve: (outcome: ForwardOutcome) => void = () => undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: ForwardRequest,
  ) {
    this.startedAt = context.clock.now();
    this.place = createPlaceSearch({
      context,
      request,
      startedAt: this.startedAt,
      tried: this.tried,
      hasOpenAttempt: () => this.attempts.size > 0,
      mayWait: () => this.mayWait(),
      mayContinue: () => this.mayContinue(),
      getLastReason: () => this.lastReason,
      send: upstream => this.send(upstream),
      sendNext: () => this.sendNext(),
      refuse: (reason, retryAfterMs) => this.refuse(reason, retryAfterMs),
    });
  }

  /** Forwards the request and resolves with its outcome. */
  run(): Promise<ForwardOutcome> {
    return new Promise(resolve => {
      this.resolve = resolve;
      if (this.isQuarantined()) return this.settle({tag: 'quarantined'});
      this.callAt(this.request.deadline, () => this.handleDeadline());
      this.sendNext();
    });
  }

  /** Aborts all attempts after the caller has disconnected. */
  cancel(): void {
    this.settle({tag: 'cancelled'});
  }

  /** Ends the request; its attempts may still end by themselves. */
  abandon(): void {
    for (const attempt of this.attempts) this.release(attempt);
    this.attempts.clear();
    this.settle({tag: 'cancelled'});
  }

  private getFingerprint(): string {
    const {method, target, body} = this.request;
    this.fingerprint ??= getRequestFingerprint(method, target, body);
    return this.fingerprint;
  }

  private isQuarantined(): boolean {
    const {crashes} = this.context;
    if (!this.request.mayCrashUpstreams) return false;
    return !crashes.isEmpty && crashes.isQuarantined(this.getFingerprint());
  }

  private get isIdempotent(): boolean {
    return this.request.route.kind === 'idempotent';
  }

  private getRemainingMs(): number {
    return this.request.deadline - this.context.clock.now();
  }

  private callAt(at: MonotonicMs, callback: () => void): void {
    this.timers.push(this.context.clock.callAt(at, callback));
  }

  private handleDeadline(): void {
    if (this.lastErrorResponse) return this.settle(this.lastErrorResponse);
    for (const attempt of this.attempts) {
      this.logAttempt('attempt unanswered at the deadline', attempt, null);
    }
    if (this.mayHaveRun || this.attempts.size > 0) {
      return this.settle({tag: 'timed_out'});
    }
    this.settle(this.getNotRunOutcome());
  }

  private sendNext(): void {
    if (this.mayContinue()) this.place.find();
  }

  /** Whether another attempt may be sent; gives up otherwise. */
  private mayContinue(): boolean {
    if (this.isDone) return false;
    const isAllowed =
      !this.isSpent() &&
      this.isPermitted() &&
      this.getRemainingMs() >= MIN_ATTEMPT_MS;
    if (!isAllowed) this.giveUp();
    return isAllowed;
  }

  private isSpent(): boolean {
    if (this.executions >= this.request.route.maxAttempts) return true;
    return this.sends >= MAX_SENDS || this.isQuarantined();
  }

  private isPermitted(): boolean {
    const isPermitted = this.request.isPermitted();
    if (!isPermitted) this.lastReason = NOT_PERMITTED_REASON;
    return isPermitted;
  }

  /** Whether it may wait for another attempt; gives up if it must not run. */
  private mayWait(): boolean {
    if (this.attempts.size > 0) return false;
    if (!this.mayHaveRun || this.isIdempotent) return true;
    this.giveUp();
    return false;
  }

  private refuse(reason: string, retryAfterMs: number): void {
    this.lastReason = reason;
    this.retryAfterMs = retryAfterMs;
    this.giveUp();
  }

  private getNotRunOutcome(): ForwardOutcome {
    const {lastReason: reason, retryAfterMs} = this;
    return {tag: 'not_run', reason, retryAfterMs};
  }

  private giveUp(): void {
    if (this.attempts.size > 0) return;
    if (this.lastErrorResponse) return this.settle(this.lastErrorResponse);
    this.settle(
      this.mayHaveRun
        ? {tag: 'failed', reason: this.lastReason}
        : this.getNotRunOutcome(),
    );
  }

  private send(upstream: Upstream): void {
    const {context, request} = this;
    this.tried.add(upstream);
    this.sends++;
    this.executions++;
    const attempt: Attempt = {
      upstream,
      head: null,
      headers: {},
      chunks: [],
      held: context.memory.hold(() => this.giveUpResponse(attempt)),
      exchange: null as unknown as Exchange,
      recordEnd: this.place.recordStart(upstream),
    };
    attempt.exchange = startExchange(
      upstream,
      context.dialect,
      context.clock,
      {
        id: request.id,
        method: request.method,
        target: request.target,
        host: request.host,
        headers: request.headers,
        account: request.account,
        upstream: upstream.id,
        budgetMs: this.getRemainingMs(),
        lastEventId: 0,
        priority: request.priority,
        isSentOnce: !this.isIdempotent,
      },
      request.body,
      {
        onHead: (head, headers) => {
          attempt.head = head;
          attempt.headers = headers;
        },
        onData: chunk => this.appendChunk(attempt, chunk),
        onEnd: () => this.handleEnd(attempt),
        onFailure: failure => this.handleFailure(attempt, failure),
      },
    );
    this.attempts.add(attempt);
    if (this.isIdempotent) this.scheduleHedge();
  }

  private scheduleHedge(): void {
    const {clock} = this.context;
    const delayMs = this.request.route.targetLatencyMs * HEDGE_DELAY_SHARE;
    const sends = this.sends;
    this.callAt(getDeadline(clock.now(), delayMs), () => {
      if (this.isDone || this.sends !== sends) return;
      if (!this.place.mayHedge()) return this.scheduleHedge();
      this.context.metrics.count('vc_hedges', {route: this.request.route.name});
      this.sendNext();
    });
  }

  private appendChunk(attempt: Attempt, chunk: Buffer): void {
    if (this.isDone) return;
    attempt.chunks.push(chunk);
    attempt.held.add(chunk.length);
  }

  private giveUpResponse(attempt: Attempt): void {
    attempt.exchange.abort();
    const detail = 'answer is too large';
    this.handleFailure(attempt, {tag: 'invalid', detail});
  }

  private handleEnd(attempt: Attempt): void {
    this.attempts.delete(attempt);
    attempt.held.release();
    const {head, upstream} = attempt;
    const isExecuted = head !== null && !head.isNotRun && !head.isMisdirected;
    attempt.recordEnd(isExecuted);
    if (isExecuted) this.recordServiceTime(attempt);
    if (this.isDone) return;
    if (!head) return this.retry(attempt, 'answer without a head');
    if (head.isNotRun || head.isMisdirected) {
      this.executions--;
      this.recordFailedAttempt(attempt, `not run: ${head.status}`);
      return this.sendNext();
    }
    this.mayHaveRun = true;
    this.context.onExecution(this.request.account);
    if (head.status === 500) this.serverErrors++;
    const outcome: ForwardOutcome = {
      tag: 'answered',
      upstream: upstream.id,
      head,
      headers: attempt.headers,
      body: Buffer.concat(attempt.chunks),
      serverErrors: this.serverErrors,
    };
    const isSuccess = head.status < 500;
    if (isSuccess && (head.status >= 300 || head.signature !== null)) {
      upstream.recordSuccess();
      return this.settle(outcome);
    }
    this.lastErrorResponse = isSuccess ? null : outcome;
    if (head.status !== 500) upstream.recordFailure();
    if (!this.isIdempotent) {
      return this.settle(
        isSuccess ? {tag: 'failed', reason: 'no signature'} : outcome,
      );
    }
    this.recordFailedAttempt(attempt, `status ${head.status}`);
    this.sendNext();
  }

  private handleFailure(attempt: Attempt, failure: ExchangeFailure): void {
    this.attempts.delete(attempt);
    attempt.held.release();
    attempt.chunks = [];
    attempt.recordEnd(false);
    if (this.isDone) return;
    attempt.upstream.recordFailure();
    if (failure.tag === 'not_sent') {
      this.executions--;
      this.recordFailedAttempt(attempt, failure.detail);
      return this.sendNext();
    }
    this.mayHaveRun = true;
    this.context.onExecution(this.request.account);
    if (failure.tag === 'lost' && this.request.mayCrashUpstreams) {
      const fingerprint = this.getFingerprint();
      reportBrokenConnection(this.context, fingerprint, attempt.upstream);
    }
    this.retry(attempt, `${failure.tag}: ${failure.detail}`);
  }

  private retry(attempt: Attempt, reason: string): void {
    this.recordFailedAttempt(attempt, reason);
    if (this.isIdempotent) this.sendNext();
    else this.giveUp();
  }

  private recordFailedAttempt(attempt: Attempt, reason: string): void {
    this.lastReason = reason;
    const {metrics} = this.context;
    metrics.count('vc_attempts_failed', {reason: reason.split(':')[0]});
    this.logAttempt('attempt failed', attempt, reason);
  }

  private logAttempt(
    message: string,
    {upstream, exchange}: Attempt,
    reason: string | null,
  ): void {
    const {logger, clock} = this.context;
    logger.info(message, {
      request: this.request.id,
      upstream: upstream.id,
      reason,
      connection: exchange.getConnection(),
      sends: this.sends,
      elapsedMs: Math.round(clock.now() - this.startedAt),
      leftMs: Math.round(this.getRemainingMs()),
    });
  }

  private settle(outcome: ForwardOutcome): void {
    if (this.isDone) return;
    this.isDone = true;
    this.place.stop();
    for (const cancel of this.timers) cancel();
    for (const attempt of this.attempts) {
      if (outcome.tag === 'answered') {
        this.context.onExecution(this.request.account);
        this.release(attempt);
      } else {
        this.abort(attempt);
      }
    }
    this.resolve(outcome);
  }

  /** Ends an attempt whose response is no longer needed. */
  private release(attempt: Attempt): void {
    const {policy, clock} = this.context;
    const {upstream} = attempt;
    const hasRoom = upstream.getOccupancy() < upstream.entry.slots * FREE_SHARE;
    if (policy.placement === 'spread' || !hasRoom) return this.abort(attempt);
    // While its slot is not needed it may end, so that its connection can be
    // used again.
    const {targetLatencyMs} = this.request.route;
    const until = getDeadline(clock.now(), targetLatencyMs);
    clock.callAt(until, () => this.abort(attempt));
  }

  private recordServiceTime({exchange, upstream}: Attempt): void {
    const {clock} = this.context;
    upstream.recordServiceTime(clock.now() - exchange.startedAt);
  }

  private abort(attempt: Attempt): void {
    // An attempt that lost a race has taken at least this long.
    if (this.attempts.has(attempt)) this.recordServiceTime(attempt);
    attempt.exchange.abort();
    attempt.held.release();
    attempt.recordEnd(false);
  }
}
