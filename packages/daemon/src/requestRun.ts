import type {Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import {getBackoffMs} from '@vanillacross/domain';
import {randomUUID} from 'node:crypto';

import type {AgentConnections} from './agentConnections.js';
import {readResponseStart} from './responseBuffer.js';
import type {StreamingResponse, AttemptOutcome} from './attempt.js';
import {sendAttempt} from './attempt.js';
import type {AttemptFailure} from './retryPolicy.js';
import {
  decideRetry,
  isAtCapacity,
  canUseBackup,
  isUpstreamFault,
} from './retryPolicy.js';
import type {KeyedForwards} from './keyedForwards.js';
import {createMaybeRunRefusal, createNotRunRefusal} from './refusals.js';
import type {RetryBudgets} from './retryBudgets.js';
import type {Targets} from './targets.js';
import type {
  AgentPresence,
  ResponseSummary,
  Context,
  DispatchRequest,
  Membership,
  Refusal,
  RefusalCode,
} from './types.js';
import type {UpstreamTracker} from './upstreamTracker.js';

/** Dependencies and parameters of the run of one admitted request. */
export interface RunInput {
  context: Context;
  request: DispatchRequest;
  targets: Targets;
  tracker: UpstreamTracker;
  budgets: RetryBudgets;
  connections: AgentConnections;
  membership: Membership;
  random: () => number;
  /** Usage window in which the request started. */
  window: number;
  getOffset: () => number;
  /** Whether the request's fingerprint is currently quarantined. */
  isQuarantined: () => boolean;
  maxBufferedResponseBytes: number;
  /** Aborted at the deadline, on cancellation by the caller or at shutdown. */
  signal: AbortSignal;
  /**
   * Called at each attempt, as soon as the in-flight count of the upstream
   * includes the request.
   */
  onCountedInFlight: () => void;
  /** Records requests with idempotency keys. */
  forwards?: KeyedForwards;
  /**
   * Called for each attempt whose request may have run but whose response was
   * not received completely.
   */
  onMissedEnd?: (upstream: string, agentEpoch: string | null) => void;
}

/** A response that may be forwarded to the caller. */
export interface RunResponse {
  response: StreamingResponse;
  upstream: string;
  agentEpoch: string | null;
  body: AsyncIterable<Buffer>;
  /** The complete body; null if it is being streamed. */
  bufferedBody: Buffer | null;
  finished: Promise<Result<ResponseSummary, Refusal>>;
}

type AttemptResult =
  | {tag: 'answer'; value: RunResponse}
  | {tag: 'failure'; failure: AttemptFailure};

/** Retry limit of one request; waits for upstreams at capacity do not count. */
const MAX_RETRIES = 4;
/**
 * Number of interrupted attempts after which the request itself is suspected of
 * crashing upstreams.
 */
const SUSPECT_INTERRUPTIONS = 2;
/**
 * Delay before a suspect request is retried, ms. It gives the crash reports
 * time to put the request in quarantine, so that it does not crash a third
 * upstream.
 */
const SUSPECT_RETRY_DELAY_MS = 1_500;
/** Interval at which a request checks for an upstream with capacity, ms. */
const CAPACITY_POLL_MS = 10;

const MESSAGES: Partial<Record<RefusalCode, string>> = {
  cancelled: 'the caller cancelled the request',
  deadline: 'the deadline passed',
  outcome_unknown: 'the request may have run; its outcome is not known',
  quarantined: 'the request crashes upstreams',
  retry_budget: 'the retry budget is used up',
  upstream_failed: 'the upstream gave no whole answer',
};

async function* yieldBody(body: Buffer): AsyncGenerator<Buffer> {
  if (body.length > 0) yield body;
}

/**
 * Creates a function that sends a request and retries it until there is a
 * response or the request must be refused.
 */
export function createRequestRun(
  input: RunInput,
): () => Promise<Result<RunResponse, Refusal>> {
  const {context, request, targets, tracker, membership, signal} = input;
  const {clock, metrics} = context;
  let mayHaveRun = false;
  let retries = 0;
  let interruptions = 0;
  let capacityWaits = 0;

  function refuse(code: RefusalCode): Result<RunResponse, Refusal> {
    const message = MESSAGES[code] ?? code;
    if (!mayHaveRun) return fail(createNotRunRefusal(code, message, 1));
    // A non-idempotent request that may have run is reported with an unknown
    // outcome, whatever ended it.
    if (request.repeat === 'once') {
      const unknown = MESSAGES.outcome_unknown ?? '';
      return fail(createMaybeRunRefusal('outcome_unknown', unknown));
    }
    return fail(createMaybeRunRefusal(code, message));
  }

  function getAbortCode(): RefusalCode {
    if (request.signal.aborted) return 'cancelled';
    return clock.now() >= request.deadline ? 'deadline' : 'draining';
  }

  async function wait(delayMs: number): Promise<void> {
    await clock.waitUntil(getDeadline(clock.now(), delayMs), signal);
  }

  /**
   * Waits for a target with capacity; null if the request is aborted or its
   * deadline has passed.
   */
  async function waitForTarget(): Promise<AgentPresence | null> {
    while (!signal.aborted && clock.now() < request.deadline) {
      const target = targets.getNext();
      if (target) return target;
      await wait(CAPACITY_POLL_MS);
    }
    return null;
  }

  function finishResponse(
    {response, agentEpoch}: Extract<AttemptOutcome, {tag: 'answer'}>,
    upstream: string,
    end: () => void,
  ): Promise<Result<ResponseSummary, Refusal>> {
    return response.ended.then(result => {
      end();
      if (result) return ok(result);
      input.onMissedEnd?.(upstream, agentEpoch);
      metrics.count('vc_answers_cut');
      const code = signal.aborted ? getAbortCode() : 'answer_cut';
      const message = MESSAGES[code] ?? 'the answer was cut';
      const partial = response.getPartialSummary() ?? undefined;
      return fail({...createMaybeRunRefusal(code, message), partial});
    });
  }

  async function readResponse(
    target: AgentPresence,
    outcome: Extract<AttemptOutcome, {tag: 'answer'}>,
    end: () => void,
  ): Promise<AttemptResult> {
    const {response, agentEpoch} = outcome;
    const upstream = target.instance.upstream.id;
    const start = await readResponseStart(
      response,
      input.maxBufferedResponseBytes,
    );
    if (start.tag === 'cut') {
      end();
      input.onMissedEnd?.(upstream, agentEpoch);
      return {
        tag: 'failure',
        failure: {
          notRun: false,
          reason: 'answer_cut',
          load: outcome.load,
          hasResponse: true,
        },
      };
    }
    const finished = finishResponse(outcome, upstream, end);
    const base = {response, upstream, agentEpoch, finished};
    const value =
      start.tag === 'whole'
        ? {...base, body: yieldBody(start.body), bufferedBody: start.body}
        : {...base, body: start.body, bufferedBody: null};
    return {tag: 'answer', value};
  }

  async function sendTo(target: AgentPresence): Promise<AttemptResult> {
    const upstream = target.instance.upstream.id;
    tracker.beginRequest(upstream);
    input.onCountedInFlight();
    metrics.count('vc_sends');
    const {idempotencyKey, poolId} = request;
    const endForward =
      idempotencyKey === undefined
        ? null
        : (input.forwards?.begin(poolId, upstream) ?? null);
    let isEnded = false;
    const end = () => {
      if (!isEnded) tracker.endRequest(upstream);
      isEnded = true;
    };
    const outcome = await sendAttempt({
      request,
      attemptId: randomUUID(),
      upstream,
      address: target.instance.address,
      entryEpoch: context.epoch,
      window: input.window,
      offset: input.getOffset(),
      clusterSecret: context.clusterSecret,
      clock,
      connections: input.connections,
      signal,
    });
    if (outcome.load) membership.recordLoad(upstream, outcome.load);
    if (outcome.tag === 'answer') {
      if (outcome.load) tracker.recordLoad(upstream, outcome.load);
      endForward?.('may_have_run', outcome.agentEpoch);
      mayHaveRun = true;
      return readResponse(target, outcome, end);
    }
    const notRun = outcome.tag === 'notRun';
    const agentEpoch =
      outcome.tag === 'unknown' ? (outcome.agentEpoch ?? null) : null;
    endForward?.(notRun ? 'not_run' : 'may_have_run', agentEpoch);
    if (!notRun) {
      mayHaveRun = true;
      input.onMissedEnd?.(upstream, agentEpoch);
    }
    const {reason, load, hasResponse} = outcome;
    const failure = {notRun, reason, load, hasResponse};
    if (load && isAtCapacity(failure)) tracker.recordAtCapacity(upstream, load);
    end();
    if (!hasResponse && !signal.aborted) membership.recordFailure(upstream);
    return {tag: 'failure', failure};
  }

  /**
   * Waits until the next attempt is due. Returns `retry`, or `wait` if the
   * attempt only follows a wait for capacity. Fails with the refusal code of the
   * request if there is no further attempt.
   */
  async function prepareRetry(
    target: AgentPresence,
    failure: AttemptFailure,
  ): Promise<Result<'wait' | 'retry', RefusalCode>> {
    if (signal.aborted) return fail(getAbortCode());
    if (isUpstreamFault(failure)) {
      tracker.recordFailure(target.instance.upstream.id);
    }
    const decision = decideRetry(request.repeat, failure);
    if (decision.tag === 'stop') {
      if (!decision.notRun) mayHaveRun = true;
      return fail(decision.code);
    }
    if (decision.tag === 'wait') {
      metrics.count('vc_retries', {reason: failure.reason});
      await wait(getBackoffMs(capacityWaits++, input.random));
      return ok('wait');
    }
    retries += 1;
    if (!failure.notRun) interruptions += 1;
    if (retries > MAX_RETRIES) return fail('upstream_failed');
    if (!input.budgets.takeAccountRetry(request.account)) {
      return fail('retry_budget');
    }
    metrics.count('vc_retries', {reason: failure.reason});
    if (request.idempotencyKey === undefined || canUseBackup(failure)) {
      targets.exclude(target.instance.upstream.id);
    }
    const backoffMs = getBackoffMs(retries - 1, input.random);
    await wait(
      interruptions < SUSPECT_INTERRUPTIONS
        ? backoffMs
        : SUSPECT_RETRY_DELAY_MS,
    );
    if (input.isQuarantined()) return fail('quarantined');
    return ok('retry');
  }

  return async () => {
    let isRetry = false;
    for (;;) {
      const target = await waitForTarget();
      if (!target) return refuse(getAbortCode());
      const upstream = target.instance.upstream.id;
      if (isRetry && !input.budgets.takeUpstreamRetry(upstream)) {
        return refuse('retry_budget');
      }
      const result = await sendTo(target);
      if (result.tag === 'answer') return ok(result.value);
      const next = await prepareRetry(target, result.failure);
      if (!next.ok) return refuse(next.error);
      isRetry = next.value === 'retry';
    }
  };
}
