import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {
  assertInvariant,
  closeServer,
  getDeadline,
  isAuthHeaderValid,
  listen,
  parseAddress,
} from '@vanillacross/common';
import type {AgentView, Load, WeightSources} from '@vanillacross/domain';
import {ExpiringMap, HEADERS} from '@vanillacross/domain';

import type {RunPermit} from './agentDedup.js';
import {AgentDedup} from './agentDedup.js';
import {runExchange, sendStoredResponse} from './agentExchange.js';
import type {ExchangeOutcome} from './agentExchange.js';
import {LocalUpstream} from './localUpstream.js';
import type {AgentRefusal} from './agentHeaders.js';
import {getHeader, getNumberHeader, sendRefusal} from './agentHeaders.js';
import type {AgentLimits} from './agentLimits.js';
import {DEFAULT_AGENT_LIMITS} from './agentLimits.js';
import {AgentOrders} from './agentOrders.js';
import {AgentRollout} from './agentRollout.js';
import type {AgentReport} from './agentReportBuffer.js';
import {AgentReportBuffer} from './agentReportBuffer.js';
import {HealthChecker} from './healthChecker.js';
import {AGENT_EPOCH_HEADER} from './attempt.js';
import type {QueryHistory} from './dedupHistory.js';
import {createWeightProxy, getWeightSourceUrl} from './weightProxy.js';
import {getCanonicalHeaders} from './canonicalHeaders.js';
import type {Context, Component} from './types.js';

/**
 * How long attempt ids are remembered, ms. Longer than twice the 30 s window of
 * `vc-auth`: if the clock of the sender is 30 s ahead, a copy of the request is
 * accepted for up to 60 s.
 */
const ATTEMPT_RETENTION_MS = 61_000;

/** Dependencies and settings of an agent server. */
export interface AgentServerOptions {
  upstream: {id: string; pool: string; url: string};
  /** Returns the newest control view, or null before the first. */
  getView: () => AgentView | null;
  /**
   * Returns the highest fencing number received from an entry; -1 if none was
   * received.
   */
  getHighestFencing: () => number;
  /** Called when a crash report is ready for delivery to the entries. */
  onCrash?: () => void;
  /** Called with the highest log offset named in a request. */
  onOffset?: (offset: number) => void;
  /**
   * Asks the entries which upstreams of the pool received requests with
   * idempotency keys.
   */
  queryHistory?: QueryHistory;
  /** Time of the last answer from an entry; null before the first. */
  getLastContact?: () => MonotonicMs | null;
  /** Called when the entries should receive a new report immediately. */
  onReportChanged?: () => void;
  /** Address of the data listener; defaults to that of the instance. */
  listenAddress?: string;
  limits?: Partial<AgentLimits>;
}

/**
 * The agent of an upstream: data listener, orders, rollouts, deduplication and
 * usage reports.
 */
export interface AgentServer extends Component {
  /** Bound address of the data listener, `ip:port`. */
  getAddress(): string;
  getLoad(): Load;
  /**
   * Returns the load, and the usage cells and crashes that the receiver has not
   * confirmed yet.
   */
  getReport(receiver?: string): AgentReport;
  /** Records that the receiver has accepted a report. */
  confirmReport(report: AgentReport, receiver?: string): void;
  isLeaving(): boolean;
  /** Applies a new control view. */
  applyView(view: AgentView): void;
  /** Returns the weight version for which the agent needs a source. */
  getWantedVersion(): number | undefined;
  /** Records where weights can be fetched from. */
  setWeightSources(sources: WeightSources): void;
  /** Returns true once the state of the upstream is known. */
  isReady(): boolean;
  /** RPC methods for the peer listener: `order.*` and `dedup.*`. */
  rpcMethods: RpcMethods;
}

/** Properties of a request that decide its admission. */
interface Admission {
  requestId: string;
  attempt: string;
  deadline: MonotonicMs;
  isAtMostOnce: boolean;
  idempotencyKey: string;
}

type AdmissionDecision =
  {tag: 'admitted'} | {tag: 'refused'; reason: AgentRefusal; isNotRun: boolean};

const ADMITTED: AdmissionDecision = {tag: 'admitted'};

const REFUSAL_MESSAGES: Record<AgentRefusal, string> = {
  at_limit: 'The upstream has no free place.',
  draining: 'The upstream is draining.',
  leaving: 'The agent is leaving.',
  expired: 'The deadline has passed.',
  duplicate_attempt: 'An attempt with this id was received before.',
  not_ready: 'The agent cannot take requests yet.',
  bad_auth: 'The request is not authenticated.',
  too_large: 'The request body is too large.',
  key_reused: 'The idempotency key belongs to another request.',
  outcome_unknown: 'The outcome of the first request is not known.',
  upstream_refused: 'The upstream accepts no connections.',
  upstream_failed: 'The upstream failed before it answered.',
  deadline: 'The upstream did not answer before the deadline.',
};

/** Creates the agent server of one upstream. */
export function createAgentServer(
  context: Context,
  options: AgentServerOptions,
): AgentServer {
  const {clock, metrics} = context;
  const logger = context.logger.child('agent');
  const limits = {...DEFAULT_AGENT_LIMITS, ...options.limits};
  const base = new URL(options.upstream.url);
  const getPool = () => options.getView()?.pool ?? null;
  const localUpstream = new LocalUpstream(clock, metrics, getPool);
  const reports = new AgentReportBuffer(context.epoch, kind =>
    metrics.count('vc_agent_report_dropped_total', {kind}),
  );
  const attempts = new ExpiringMap<true>(limits.maxAttempts);
  const keepAlive = new http.Agent({keepAlive: true});
  const stopping = new AbortController();
  const runningRequests = new Set<AbortController>();
  let isLeaving = false;
  let mustDrain = false;
  let address = options.listenAddress ?? context.self.address;
  let onIdle: (() => void) | null = null;
  /** Limit and cold state in the last report to an entry. */
  let lastReported = {limit: 0, cold: false};
  let tasks: Promise<unknown> = Promise.resolve();

  let sequenceAtCheck = 0;
  const healthChecker = new HealthChecker({
    upstream: options.upstream.id,
    url: options.upstream.url,
    clock,
    intervalMs: limits.statusIntervalMs,
    timeoutMs: limits.statusTimeoutMs,
    getKind: () => getPool()?.kind ?? null,
    onCheckStart: () => {
      sequenceAtCheck = localUpstream.getActivationSequence();
      announceLoad();
    },
    onStatus: status => localUpstream.applyStatus(status, sequenceAtCheck),
    onCrash: crash => {
      metrics.count('vc_agent_crashes_total');
      logger.warn('upstream crashed', {
        epoch: crash.epoch,
        requests: crash.fingerprints.length,
      });
      reports.addCrash(crash);
      options.onCrash?.();
    },
  });
  const dedup = new AgentDedup({
    upstream: options.upstream.id,
    epoch: context.epoch,
    clock,
    limits,
    metrics,
    secret: context.clusterSecret,
    getView: options.getView,
    queryHistory: options.queryHistory,
    getPoolId: () => options.upstream.pool,
  });
  const orders = new AgentOrders({
    context,
    url: options.upstream.url,
    limits,
    localUpstream,
    healthChecker,
    getPool,
    getHighestFencing: () =>
      options.getView() ? options.getHighestFencing() : null,
    onDrain: () => {
      mustDrain = true;
      logger.info('draining, as ordered by a controller');
    },
  });

  const rollout = new AgentRollout({
    clock,
    logger: context.logger.child('rollout'),
    metrics,
    upstream: options.upstream.id,
    orders,
    getView: options.getView,
    getStatus: () => (healthChecker.isUp() ? healthChecker.getStatus() : null),
    getLastContact: options.getLastContact ?? (() => clock.now()),
    getSourceUrl: (peer, model, version) =>
      getWeightSourceUrl(context.clusterSecret, peer, model, version),
    checkStatus: async () => {
      // The first check may join one that began before the swap and return a
      // stale status.
      await healthChecker.check();
      await healthChecker.check();
    },
    onProgress: () => options.onReportChanged?.(),
  });
  const weightProxy = createWeightProxy(context, base, keepAlive);

  /**
   * Returns the load for reports; an engine with outdated weights reports no
   * slots.
   */
  function getReportedLoad(): Load {
    const load = localUpstream.getLoad();
    return {
      ...load,
      limit: rollout.mayServe() ? load.limit : 0,
      staged: rollout.getStagedVersion(),
      failedVersion: rollout.getFailedVersion(),
    };
  }

  /**
   * Reports immediately if the limit fell or at least doubled, or if the cold
   * state changed. Entries hold polls for seconds, and a pool whose agents last
   * reported no slots gets no request whose response could carry the new limit.
   */
  function announceLoad(): void {
    const {limit, cold} = getReportedLoad();
    const isChanged =
      limit < lastReported.limit ||
      cold !== lastReported.cold ||
      (limit > lastReported.limit && limit >= 2 * lastReported.limit);
    if (isChanged) options.onReportChanged?.();
  }

  function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    reason: AgentRefusal,
    isNotRun: boolean,
  ): void {
    metrics.count('vc_agent_refusals_total', {reason});
    const message = REFUSAL_MESSAGES[reason];
    sendRefusal(
      request,
      response,
      reason,
      isNotRun,
      localUpstream.getLoad(),
      message,
    );
  }

  function isAuthentic(request: IncomingMessage): boolean {
    return isAuthHeaderValid(
      context.clusterSecret,
      request.method ?? '',
      request.url ?? '',
      getCanonicalHeaders(options.upstream.id, request.headers),
      getHeader(request, HEADERS.auth),
      clock.wallNow(),
    );
  }

  function readAdmission(request: IncomingMessage): Admission {
    const spanMs =
      getNumberHeader(request, HEADERS.deadline) ?? limits.requestTimeoutMs;
    const requestId = getHeader(request, HEADERS.request);
    return {
      requestId,
      attempt: getHeader(request, HEADERS.attempt) || requestId,
      deadline: getDeadline(clock.now(), spanMs),
      isAtMostOnce: getHeader(request, HEADERS.repeat) !== 'idempotent',
      idempotencyKey: getHeader(request, HEADERS.idempotencyKey),
    };
  }

  function isDraining(view: AgentView): boolean {
    return mustDrain || !view.isDomainIn || view.upstream?.state === 'draining';
  }

  function decideAdmission(admission: Admission): AdmissionDecision {
    const reject = (
      reason: AgentRefusal,
      isNotRun = true,
    ): AdmissionDecision => ({
      tag: 'refused',
      reason,
      isNotRun,
    });
    // Must come first: the refusals below say "not run", which would be false if
    // an earlier copy of the attempt has run.
    if (attempts.get(admission.attempt, clock.now())) {
      return reject('duplicate_attempt', false);
    }
    const view = options.getView();
    if (isLeaving) return reject('leaving');
    if (!view?.pool || !localUpstream.isReady()) return reject('not_ready');
    if (!rollout.mayServe()) return reject('not_ready');
    if (isDraining(view)) return reject('draining');
    if (clock.now() >= admission.deadline) return reject('expired');
    return ADMITTED;
  }

  /** Records the attempt and takes a slot; a request needs both to run. */
  function tryStart(admission: Admission): boolean {
    const now = clock.now();
    if (!localUpstream.hasFreeSlot()) return false;
    const until = now + ATTEMPT_RETENTION_MS;
    const isRecorded = attempts.set(admission.attempt, true, until, now);
    // If the attempt table is full, only idempotent requests are accepted.
    if (!isRecorded && admission.isAtMostOnce) return false;
    return localUpstream.tryAcquireSlot();
  }

  async function runRequest(
    request: IncomingMessage,
    response: ServerResponse,
    admission: Admission,
    permit: RunPermit | null,
  ): Promise<void> {
    if (!tryStart(admission)) {
      permit?.finish({tag: 'not_run'});
      refuse(request, response, 'at_limit', true);
      return;
    }
    const cancel = new AbortController();
    runningRequests.add(cancel);
    let outcome: ExchangeOutcome = {tag: 'lost'};
    try {
      const pool = getPool();
      assertInvariant(pool !== null, 'a request was admitted without a pool');
      outcome = await runExchange({
        request,
        response,
        pool,
        base,
        localUpstream,
        healthChecker,
        reports,
        limits,
        clock,
        metrics,
        keepAlive,
        cancel,
        deadline: admission.deadline,
        isAtMostOnce: admission.isAtMostOnce,
        isDeduped: permit !== null,
        refuse: (reason, isNotRun) =>
          refuse(request, response, reason, isNotRun),
      });
    } finally {
      runningRequests.delete(cancel);
      // Released before `finish`, so that the slot is free when peers learn of
      // the outcome.
      localUpstream.releaseSlot();
      if (outcome.tag === 'not_run') attempts.delete(admission.attempt);
      permit?.finish(getRunOutcome(outcome));
      if (localUpstream.getRunningCount() === 0) onIdle?.();
    }
  }

  async function runDeduped(
    request: IncomingMessage,
    response: ServerResponse,
    admission: Admission,
  ): Promise<void> {
    const {idempotencyKey: key, deadline} = admission;
    const fingerprint = getHeader(request, HEADERS.fingerprint);
    if (!dedup.hasEntry(key) && !localUpstream.hasFreeSlot()) {
      refuse(request, response, 'at_limit', true);
      return;
    }
    const decision = await dedup.begin(key, fingerprint, deadline);
    switch (decision.tag) {
      case 'run':
        if (clock.now() < deadline && !isLeaving) {
          return runRequest(request, response, admission, decision.permit);
        }
        decision.permit.finish({tag: 'not_run'});
        refuse(request, response, isLeaving ? 'leaving' : 'expired', true);
        return;
      case 'replay':
        metrics.count('vc_agent_replays_total');
        request.resume();
        sendStoredResponse(response, decision.answer, localUpstream.getLoad());
        return;
      case 'unknown':
        refuse(request, response, 'outcome_unknown', false);
        return;
      case 'reused':
        refuse(request, response, 'key_reused', true);
        return;
      case 'not_ready':
        refuse(request, response, 'not_ready', true);
        return;
    }
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (weightProxy.matches(request)) {
      await weightProxy.handle(request, response);
      return;
    }
    if (!isAuthentic(request)) {
      refuse(request, response, 'bad_auth', true);
      return;
    }
    const offset = getNumberHeader(request, HEADERS.offset);
    if (offset !== null) options.onOffset?.(offset);
    const admission = readAdmission(request);
    const decision = decideAdmission(admission);
    if (decision.tag === 'refused') {
      refuse(request, response, decision.reason, decision.isNotRun);
      return;
    }
    const isDeduped = admission.isAtMostOnce && admission.idempotencyKey !== '';
    if (isDeduped) await runDeduped(request, response, admission);
    else await runRequest(request, response, admission, null);
  }

  const server = http.createServer((request, response) => {
    request.on('error', () => {});
    response.on('error', () => {});
    // Entries attribute usage to the agent process that ran the request.
    response.setHeader(AGENT_EPOCH_HEADER, context.epoch);
    handle(request, response).catch((error: unknown) => {
      metrics.count('vc_agent_internal_errors_total');
      logger.error('request failed unexpectedly', {
        detail: (error as Error).message,
      });
      response.destroy();
    });
  });

  metrics.gauge('vc_agent_running', () => localUpstream.getRunningCount());
  metrics.gauge('vc_agent_limit', () => localUpstream.getLoad().limit);

  return {
    name: 'agent',
    getAddress: () => address,
    getLoad: () => localUpstream.getLoad(),
    getReport: (receiver = '') => {
      const load = getReportedLoad();
      lastReported = load;
      return reports.getReport(load, receiver);
    },
    confirmReport: (report, receiver = '') =>
      reports.confirmReport(report, receiver),
    isLeaving: () => isLeaving,
    applyView: view => {
      // Dedup needs the first view: its offset shows whether the pool was created
      // after this agent started.
      dedup.applyView();
      rollout.applyView(view);
      announceLoad();
    },
    getWantedVersion: () => rollout.getWantedVersion(),
    setWeightSources: sources => rollout.setSources(sources),
    isReady: () =>
      localUpstream.isReady() && healthChecker.isUp() && !isLeaving,
    rpcMethods: {...orders.rpcMethods, ...dedup.rpcMethods},
    start: async () => {
      const parsed = parseAddress(address);
      assertInvariant(parsed !== null, 'the listen address is not ip:port');
      address = await listen(server, parsed);
      tasks = Promise.all([
        healthChecker.run(stopping.signal),
        dedup.run(stopping.signal),
        rollout.run(stopping.signal),
      ]);
    },
    stop: async signal => {
      isLeaving = true;
      const cancelAll = () => {
        for (const cancel of runningRequests) cancel.abort('stopped');
      };
      const idleOrAborted = new Promise<void>(resolve => {
        onIdle = resolve;
        if (localUpstream.getRunningCount() === 0) resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
        if (signal.aborted) resolve();
      });
      await idleOrAborted;
      cancelAll();
      await dedup.flush();
      stopping.abort();
      const closed = closeServer(server);
      if (signal.aborted) server.closeAllConnections();
      signal.addEventListener('abort', () => server.closeAllConnections());
      await closed;
      keepAlive.destroy();
      dedup.close();
      await tasks;
    },
  };
}

function getRunOutcome(outcome: ExchangeOutcome) {
  switch (outcome.tag) {
    case 'not_run':
      return {tag: 'not_run' as const};
    case 'whole':
      return {tag: 'done' as const, answer: outcome.stored};
    case 'lost':
      return {tag: 'unknown' as const};
  }
}
