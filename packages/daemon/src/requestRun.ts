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

/** What the run of one admitted request uses. */
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
  /** Says whether the request's fingerprint is quarantined by now. */
  isQuarantined: () => boolean;
  maxBufferedResponseBytes: number;
  /** Aborted at the deadline, by the caller or at a hard stop. */
  signal: AbortSignal;
  /** Called when an upstream's own in-flight count includes the request. */
  onSent: () => void;
  /** Notes requests with idempotency keys. */
  forwards?: KeyedForwards;
  /** Called for each attempt that may have run and whose end was not read. */
  onMissedEnd?: (upstream: string, agentEpoch: string | null) => void;
}

/** An answer that may be passed on. */
export interface RunResponse {
  answer: StreamingResponse;
  upstream: string;
  agentEpoch: string | null;
  body: AsyncIterable<Buffer>;
  /** The body if all of it has arrived; null while it streams. */
  whole: Buffer | null;
  finished: Promise<Result<ResponseSummary, Refusal>>;
}

type Step =
  | {tag: 'answer'; value: RunResponse}
  | {tag: 'failure'; failure: AttemptFailure};

/** Retries of one request; waiting for room at full upstreams is not one. */
const MAX_RETRIES = 4;
/** Cuts by distinct upstreams after which the request itself is suspect. */
const SUSPECT_CUTS = 2;
/**
 * Pause before a suspect request is sent again, ms. In this time the crashes
 * are reported and the request is quarantined, so that it crashes no third
 * upstream.
 */
const SUSPECT_PAUSE_MS = 1_500;
/** Interval at which a request looks for an upstream with room, ms. */
const ROOM_POLL_MS = 10;

const MESSAGES: Partial<Record<RefusalCode, string>> = {
  cancelled: 'the caller cancelled the request',
  deadline: 'the deadline passed',
  outcome_unknown: 'the request may have run; its outcome is not known',
  quarantined: 'the request crashes upstreams',
  retry_budget: 'the retry budget is used up',
  upstream_failed: 'the upstream gave no whole answer',
};

async function* getSingle(body: Buffer): AsyncGenerator<Buffer> {
  if (body.length > 0) yield body;
}

/** Creates the function that sends a request until it has an answer. */
export function createRequestRun(
  input: RunInput,
): () => Promise<Result<RunResponse, Refusal>> {
  const {context, request, targets, tracker: book, membership, signal} = input;
  const {clock, metrics} = context;
  let mayHaveRun = false;
  let retries = 0;
  let cuts = 0;
  let waits = 0;

  function refuse(code: RefusalCode): Result<RunResponse, Refusal> {
    const message = MESSAGES[code] ?? code;
    if (!mayHaveRun) return fail(createNotRunRefusal(code, message, 1));
    // Once sent, a request that must not be repeated has an unknown outcome.
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

  async function wait(spanMs: number): Promise<void> {
    await clock.waitUntil(getDeadline(clock.now(), spanMs), signal);
  }

  /** Waits for a target that has room; null when the request is over. */
  async function getTarget(): Promise<AgentPresence | null> {
    while (!signal.aborted && clock.now() < request.deadline) {
      const target = targets.getNext();
      if (target) return target;
      await wait(ROOM_POLL_MS);
    }
    return null;
  }

  function getFinished(
    {answer, agentEpoch}: Extract<AttemptOutcome, {tag: 'answer'}>,
    upstream: string,
    end: () => void,
  ): Promise<Result<ResponseSummary, Refusal>> {
    return answer.ended.then(result => {
      end();
      if (result) return ok(result);
      input.onMissedEnd?.(upstream, agentEpoch);
      metrics.count('vc_answers_cut');
      const code = signal.aborted ? getAbortCode() : 'answer_cut';
      const message = MESSAGES[code] ?? 'the answer was cut';
      const partial = answer.getPartial() ?? undefined;
      return fail({...createMaybeRunRefusal(code, message), partial});
    });
  }

  async function readAnswer(
    target: AgentPresence,
    outcome: Extract<AttemptOutcome, {tag: 'answer'}>,
    end: () => void,
  ): Promise<Step> {
    const {answer, agentEpoch} = outcome;
    const upstream = target.instance.upstream.id;
    const start = await readResponseStart(
      answer,
      input.maxBufferedResponseBytes,
    );
    if (start.tag === 'cut') {
      end();
      input.onMissedEnd?.(upstream, agentEpoch);
      return {
        tag: 'failure',
        failure: {
          isNotRun: false,
          reason: 'answer_cut',
          load: outcome.load,
          isConnected: true,
        },
      };
    }
    const finished = getFinished(outcome, upstream, end);
    const base = {answer, upstream, agentEpoch, finished};
    const value =
      start.tag === 'whole'
        ? {...base, body: getSingle(start.body), whole: start.body}
        : {...base, body: start.body, whole: null};
    return {tag: 'answer', value};
  }

  async function sendTo(target: AgentPresence): Promise<Step> {
    const upstream = target.instance.upstream.id;
    book.beginRequest(upstream);
    input.onSent();
    metrics.count('vc_sends');
    const {idempotencyKey, poolId} = request;
    const endForward =
      idempotencyKey === undefined
        ? null
        : (input.forwards?.begin(poolId, upstream) ?? null);
    let isEnded = false;
    const end = () => {
      if (!isEnded) book.endRequest(upstream);
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
      if (outcome.load) book.recordLoad(upstream, outcome.load);
      endForward?.('may_have_run', outcome.agentEpoch);
      mayHaveRun = true;
      return readAnswer(target, outcome, end);
    }
    const isNotRun = outcome.tag === 'notRun';
    const agentEpoch =
      outcome.tag === 'unknown' ? (outcome.agentEpoch ?? null) : null;
    endForward?.(isNotRun ? 'not_run' : 'may_have_run', agentEpoch);
    if (!isNotRun) {
      mayHaveRun = true;
      input.onMissedEnd?.(upstream, agentEpoch);
    }
    const {reason, load, isConnected} = outcome;
    const failure = {isNotRun, reason, load, isConnected};
    if (load && isAtCapacity(failure)) book.recordAtCapacity(upstream, load);
    end();
    if (!isConnected && !signal.aborted) membership.recordFailure(upstream);
    return {tag: 'failure', failure};
  }

  /** Prepares the next send, or says why there is none. */
  async function prepareRetry(
    target: AgentPresence,
    failure: AttemptFailure,
  ): Promise<Result<'wait' | 'retry', RefusalCode>> {
    if (signal.aborted) return fail(getAbortCode());
    if (isUpstreamFault(failure)) {
      book.recordFailure(target.instance.upstream.id);
    }
    const decision = decideRetry(request.repeat, failure);
    if (decision.tag === 'stop') {
      if (!decision.notRun) mayHaveRun = true;
      return fail(decision.code);
    }
    if (decision.tag === 'wait') {
      metrics.count('vc_retries', {reason: failure.reason});
      await wait(getBackoffMs(waits++, input.random));
      return ok('wait');
    }
    retries += 1;
    if (!failure.isNotRun) cuts += 1;
    if (retries > MAX_RETRIES) return fail('upstream_failed');
    if (!input.budgets.takeAccountRetry(request.account)) {
      return fail('retry_budget');
    }
    metrics.count('vc_retries', {reason: failure.reason});
    if (request.idempotencyKey === undefined || canUseBackup(failure)) {
      targets.exclude(target.instance.upstream.id);
    }
    const pauseMs = getBackoffMs(retries - 1, input.random);
    await wait(cuts < SUSPECT_CUTS ? pauseMs : SUSPECT_PAUSE_MS);
    if (input.isQuarantined()) return fail('quarantined');
    return ok('retry');
  }

  return async () => {
    let isCharged = false;
    for (;;) {
      const target = await getTarget();
      if (!target) return refuse(getAbortCode());
      const upstream = target.instance.upstream.id;
      if (isCharged && !input.budgets.takeUpstreamRetry(upstream)) {
        return refuse('retry_budget');
      }
      const step = await sendTo(target);
      if (step.tag === 'answer') return ok(step.value);
      const next = await prepareRetry(target, step.failure);
      if (!next.ok) return refuse(next.error);
      isCharged = next.value === 'retry';
    }
  };
}
