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

/** Options of a dispatcher. */
export interface DispatcherOptions {
  policy?: ChoicePolicy;
  /** Source of random numbers, uniform in [0, 1); replaced in tests. */
  random?: () => number;
  /** Largest response that is buffered completely before forwarding, bytes. */
  maxBufferedResponseBytes?: number;
  /** Records requests with idempotency keys. */
  forwards?: KeyedForwards;
}

/** Number of past usage windows retained for collection by the controller. */
const RETAINED_WINDOWS = 4;
/** Interval at which `stop` checks whether all requests have ended, ms. */
const STOP_POLL_MS = 20;

/** Abort reason; a constant, to avoid creating an error for each request. */
const REQUEST_ENDED = 'the request ended';

/** Abort signal of one request. */
interface RequestSignal {
  signal: AbortSignal;
  /** Removes the timer and the listeners of the signal. */
  release(): void;
}

const defaultAccount: Account = accountSchema.parse({});
const defaultReporting = reportingSchema.parse({});

/**
 * Returns the response headers for the caller. A body that is still arriving
 * gets no `content-length`, as a caller could otherwise mistake a truncated
 * body for a complete one (R11).
 */
function getCallerHeaders(
  request: DispatchRequest,
  {response, bufferedBody}: RunResponse,
): Record<string, string> {
  const headers = sanitizeResponseHeaders(response.headers);
  if (request.method === 'HEAD') return headers;
  delete headers['content-length'];
  if (bufferedBody && bufferedBody.length > 0) {
    headers['content-length'] = String(bufferedBody.length);
  }
  return headers;
}

export function createDispatcher(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  options: DispatcherOptions = {},
): Dispatcher {
  const {clock, metrics} = context;
  const random = options.random ?? Math.random;
  const logger = context.logger.child('dispatcher');
  const tracker = createUpstreamTracker(clock, control, membership, random);
  const budgets = createRetryBudgets();
  const scheduler = createAdmissionScheduler(context);
  const connections = createAgentConnections(() =>
    metrics.count('vc_late_answers'),
  );
  const cells: UsageCells = new Map();
  /**
   * Per usage window, the epochs of the agents that may have counted usage that
   * this entry did not record.
   */
  const missedEnds = new Map<number, Set<string>>();
  const shutdownController = new AbortController();
  // Each running request adds a listener.
  setMaxListeners(0, shutdownController.signal);
  let isStopping = false;
  let turn = 0;
  const targetContext: TargetContext = {
    membership,
    tracker,
    policy: options.policy ?? 'score',
    domain: context.self.domain,
    random,
    takeTurn: () => turn++,
  };

  function getWindow(): number {
    const reporting = getRecordBody(control.getState(), 'reporting', 'default');
    const {windowMs} = reporting ?? getFallbackReporting();
    return getUsageWindow(clock.wallNow(), windowMs);
  }

  /**
   * Returns the first reporting record of the control state, or the defaults if
   * there is none.
   */
  function getFallbackReporting(): {windowMs: number} {
    for (const [key, record] of control.getState().records) {
      if (key.startsWith('reporting/') && record.body !== null) {
        return record.body as {windowMs: number};
      }
    }
    return defaultReporting;
  }

  /**
   * Records that an agent may have counted usage that this entry did not record.
   */
  function recordMissedEnd(
    window: number,
    upstream: string,
    agentEpoch: string | null,
  ): void {
    const known = agentEpoch ?? membership.getAgent(upstream)?.epoch;
    const agents = missedEnds.get(window) ?? new Set();
    missedEnds.set(window, agents.add(known ?? ANY_AGENT));
    for (const oldWindow of missedEnds.keys()) {
      if (oldWindow < window - RETAINED_WINDOWS) missedEnds.delete(oldWindow);
    }
  }

  function recordUsage(
    request: DispatchRequest,
    upstream: string,
    window: number,
    agentEpoch: string | null,
    summary: ResponseSummary,
  ): void {
    const epoch = agentEpoch ?? membership.getAgent(upstream)?.epoch ?? null;
    if (epoch === null) {
      // Without the agent's epoch, the cell could not be merged with the one
      // that the agent reports.
      metrics.count('vc_usage_unattributed');
      recordMissedEnd(window, upstream, null);
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
      promptTokens: summary.usage.prompt,
      generatedTokens: summary.usage.generated,
    });
    dropUsageBefore(cells, window - RETAINED_WINDOWS);
  }

  /**
   * Creates a signal that aborts at the deadline, on cancellation by the caller
   * or at shutdown. `AbortSignal.any` is not used, because it retains memory
   * for source signals that live as long as the process.
   */
  function createRequestSignal(request: DispatchRequest): RequestSignal {
    const controller = new AbortController();
    // The default reason would be an error with a stack trace.
    const abort = () => controller.abort(REQUEST_ENDED);
    const sources = [request.signal, shutdownController.signal];
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
      tracker,
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
      onCountedInFlight: () => grant.markCounted(),
      onMissedEnd: (upstream, agentEpoch) =>
        recordMissedEnd(window, upstream, agentEpoch),
    });
    const outcome = await run();
    if (!outcome.ok) {
      release();
      grant.finish();
      return outcome;
    }
    const {response, upstream, agentEpoch, finished} = outcome.value;
    metrics.observe('vc_first_byte_ms', clock.now() - startedAt);
    void finished.then(result => {
      release();
      metrics.observe('vc_dispatch_ms', clock.now() - startedAt);
      if (!result.ok) return grant.finish();
      const {usage} = result.value;
      tracker.recordSuccess(upstream);
      budgets.credit(request.account, account.retryRatio, upstream);
      recordUsage(request, upstream, window, agentEpoch, result.value);
      const tokens = usage.prompt + usage.generated;
      grant.finish(tokens > 0 ? tokens : undefined);
    });
    const headers = getCallerHeaders(request, outcome.value);
    const {body, bufferedBody} = outcome.value;
    return ok({
      status: response.status,
      headers,
      upstream,
      body,
      bufferedBody: bufferedBody ?? undefined,
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
    const grant = await scheduler.admit(
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
      metrics.gauge('vc_requests_running', () => scheduler.getRunning());
    },
    stop: async signal => {
      isStopping = true;
      while (scheduler.getRunning() > 0 && !signal.aborted) {
        const next = getDeadline(clock.now(), STOP_POLL_MS);
        await clock.waitUntil(next, signal);
      }
      const cut = scheduler.getRunning();
      if (cut > 0) logger.warn('aborting unfinished requests', {cut});
      shutdownController.abort();
      scheduler.refuseAll(
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
      [...missedEnds].flatMap(([window, agents]) =>
        [...agents].map(agentEpoch => ({window, agentEpoch})),
      ),
  };
}
