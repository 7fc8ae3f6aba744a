import type {Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import type {
  Account,
  ChoicePolicy,
  UsageCell,
  UsageCells,
} from '@vanillacross/domain';
import {
  ANY_AGENT,
  accountSchema,
  addUsage,
  dropUsageBefore,
  getRecordBody,
  getUsageWindow,
  reportingSchema,
  sanitizeResponseHeaders,
} from '@vanillacross/domain';
import {setMaxListeners} from 'node:events';

import type {Grant} from './admissionScheduler.js';
import {createAdmissionScheduler} from './admissionScheduler.js';
import {createAgentConnections} from './agentConnections.js';
import {MAX_BUFFERED_RESPONSE_BYTES} from './responseBuffer.js';
import type {RunResponse} from './requestRun.js';
import type {KeyedForwards} from './keyedForwards.js';
import {createRequestRun} from './requestRun.js';
import {createNotRunRefusal} from './refusals.js';
import {createRetryBudgets} from './retryBudgets.js';
import type {TargetContext, Targets} from './targets.js';
import {createTargets} from './targets.js';
import type {
  ResponseSummary,
  Context,
  ControlFollower,
  Dispatcher,
  DispatchRequest,
  Membership,
  Refusal,
  UpstreamResponse,
} from './types.js';
import {createUpstreamTracker} from './upstreamTracker.js';

/** Settings of a dispatcher; all have defaults. */
export interface DispatcherOptions {
  policy?: ChoicePolicy;
  /** Uniform in [0, 1); tests pass a fixed sequence. */
  random?: () => number;
  /** Largest answer that is kept until it is whole, bytes. */
  maxBufferedResponseBytes?: number;
  /** Notes requests with idempotency keys. */
  forwards?: KeyedForwards;
}

/** Usage windows whose cells are kept for the controller's collection. */
const KEPT_WINDOWS = 4;
/** Interval at which a stop looks whether all requests have ended, ms. */
const STOP_POLL_MS = 20;

/** A constant, as making an error for each request costs time. */
const REQUEST_ENDED = 'the request ended';

/** Ends one request from outside. */
interface RequestSignal {
  signal: AbortSignal;
  /** Ends the timer and the listeners behind the signal. */
  release(): void;
}

const defaultAccount: Account = accountSchema.parse({});
const defaultReporting = reportingSchema.parse({});

/**
 * Answer headers for the caller. A body that is still arriving has no stated
 * length, or a caller could take a cut one for whole (R11).
 */
function getCallerHeaders(
  request: DispatchRequest,
  {answer, whole}: RunResponse,
): Record<string, string> {
  const headers = sanitizeResponseHeaders(answer.headers);
  if (request.method === 'HEAD') return headers;
  delete headers['content-length'];
  if (whole && whole.length > 0) {
    headers['content-length'] = String(whole.length);
  }
  return headers;
}

/** Creates the dispatcher of an entry. */
export function createDispatcher(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  options: DispatcherOptions = {},
): Dispatcher {
  const {clock, metrics} = context;
  const random = options.random ?? Math.random;
  const logger = context.logger.part('dispatcher');
  const book = createUpstreamTracker(clock, control, membership, random);
  const budgets = createRetryBudgets();
  const pump = createAdmissionScheduler(context);
  const connections = createAgentConnections(() =>
    metrics.count('vc_late_answers'),
  );
  const cells: UsageCells = new Map();
  /** Epochs of agents with missed ends, by window. */
  const missed = new Map<number, Set<string>>();
  const hardStop = new AbortController();
  // Every running request listens.
  setMaxListeners(0, hardStop.signal);
  let isStopping = false;
  let turn = 0;
  const targetContext: TargetContext = {
    membership,
    tracker: book,
    policy: options.policy ?? 'score',
    domain: context.self.domain,
    random,
    getTurn: () => turn++,
  };

  function getWindow(): number {
    const reporting = getRecordBody(control.getState(), 'reporting', 'default');
    const {windowMs} = reporting ?? getAnyReporting();
    return getUsageWindow(clock.wallNow(), windowMs);
  }

  function getAnyReporting(): {windowMs: number} {
    for (const [key, record] of control.getState().records) {
      if (key.startsWith('reporting/') && record.body !== null) {
        return record.body as {windowMs: number};
      }
    }
    return defaultReporting;
  }

  /** The agent may have counted a request that this entry did not. */
  function noteMissedEnd(
    window: number,
    upstream: string,
    agentEpoch: string | null,
  ): void {
    const known = agentEpoch ?? membership.getAgent(upstream)?.epoch;
    const agents = missed.get(window) ?? new Set();
    missed.set(window, agents.add(known ?? ANY_AGENT));
    for (const old of missed.keys()) {
      if (old < window - KEPT_WINDOWS) missed.delete(old);
    }
  }

  function countUsage(
    request: DispatchRequest,
    upstream: string,
    window: number,
    agentEpoch: string | null,
    end: ResponseSummary,
  ): void {
    const epoch = agentEpoch ?? membership.getAgent(upstream)?.epoch ?? null;
    if (epoch === null) {
      // A cell without the agent's epoch would not merge with the agent's.
      metrics.count('vc_usage_unattributed');
      noteMissedEnd(window, upstream, null);
      return;
    }
    const id = {
      window,
      entryEpoch: context.epoch,
      agentEpoch: epoch,
      account: request.account,
    };
    addUsage(cells, id, {
      requests: 1,
      promptTokens: end.usage.prompt,
      generatedTokens: end.usage.generated,
    });
    dropUsageBefore(cells, window - KEPT_WINDOWS);
  }

  /**
   * Aborts at the deadline, when the caller cancels, or at a hard stop.
   * Own listeners, as `AbortSignal.any` keeps memory for signals that live
   * as long as the process.
   */
  function createRequestSignal(request: DispatchRequest): RequestSignal {
    const controller = new AbortController();
    // With a constant reason, as the default one is an error with a stack.
    const abort = () => controller.abort(REQUEST_ENDED);
    const sources = [request.signal, hardStop.signal];
    if (sources.some(source => source.aborted)) abort();
    for (const source of sources) source.addEventListener('abort', abort);
    const cancelTimer = clock.callAt(request.deadline, abort);
    const release = () => {
      cancelTimer();
      for (const source of sources) source.removeEventListener('abort', abort);
    };
    return {signal: controller.signal, release};
  }

  async function sendAdmitted(
    request: DispatchRequest,
    account: Account,
    targets: Targets,
    grant: Grant,
  ): Promise<Result<UpstreamResponse, Refusal>> {
    const window = getWindow();
    const startedAt = clock.now();
    const {signal, release} = createRequestSignal(request);
    const run = createRequestRun({
      context,
      request,
      targets,
      tracker: book,
      budgets,
      connections,
      membership,
      random,
      window,
      getOffset: () => control.getState().highest,
      isQuarantined: () =>
        control.getState().quarantine.has(request.fingerprint),
      maxBufferedResponseBytes:
        options.maxBufferedResponseBytes ?? MAX_BUFFERED_RESPONSE_BYTES,
      signal,
      forwards: options.forwards,
      onSent: () => grant.markSent(),
      onMissedEnd: (upstream, agentEpoch) =>
        noteMissedEnd(window, upstream, agentEpoch),
    });
    const outcome = await run();
    if (!outcome.ok) {
      release();
      grant.finish();
      return outcome;
    }
    const {answer, upstream, agentEpoch, finished} = outcome.value;
    metrics.observe('vc_first_byte_ms', clock.now() - startedAt);
    void finished.then(result => {
      release();
      metrics.observe('vc_dispatch_ms', clock.now() - startedAt);
      if (!result.ok) return grant.finish();
      const {usage} = result.value;
      book.recordSuccess(upstream);
      budgets.credit(request.account, account.retryRatio, upstream);
      countUsage(request, upstream, window, agentEpoch, result.value);
      const tokens = usage.prompt + usage.generated;
      grant.finish(tokens > 0 ? tokens : undefined);
    });
    const headers = getCallerHeaders(request, outcome.value);
    const {body, whole} = outcome.value;
    return ok({
      status: answer.status,
      headers,
      upstream,
      body,
      whole: whole ?? undefined,
      finished,
    });
  }

  async function dispatch(
    request: DispatchRequest,
  ): Promise<Result<UpstreamResponse, Refusal>> {
    if (isStopping) {
      const message = 'the entry is shutting down';
      return fail(createNotRunRefusal('draining', message, 1));
    }
    const state = control.getState();
    const account = getRecordBody(state, 'account', request.account);
    const limits = account ?? defaultAccount;
    const targets = createTargets(targetContext, request);
    if (targets.isEmpty) {
      const message = 'the pool has no upstream';
      return fail(createNotRunRefusal('no_upstream', message, 1));
    }
    const grant = await pump.admit(
      request,
      limits,
      targets.queue,
      targets.getCapacity,
    );
    if (!grant.ok) return grant;
    return sendAdmitted(request, limits, targets, grant.value);
  }

  return {
    name: 'dispatcher',
    start: () => {
      metrics.gauge('vc_requests_running', () => pump.getRunning());
    },
    stop: async signal => {
      isStopping = true;
      while (pump.getRunning() > 0 && !signal.aborted) {
        const next = getDeadline(clock.now(), STOP_POLL_MS);
        await clock.waitUntil(next, signal);
      }
      const cut = pump.getRunning();
      if (cut > 0) logger.warn('stopped before all requests ended', {cut});
      hardStop.abort();
      pump.refuseAll(
        createNotRunRefusal('draining', 'the entry is shutting down', 1),
      );
      connections.close();
    },
    dispatch: async request => {
      const result = await dispatch(request);
      if (!result.ok) {
        metrics.count('vc_dispatch_failures', {reason: result.error.tag});
      }
      return result;
    },
    getUsageCells: (): readonly UsageCell[] => [...cells.values()],
    getMissedEnds: () =>
      [...missed].flatMap(([window, agents]) =>
        [...agents].map(agentEpoch => ({window, agentEpoch})),
      ),
  };
}
