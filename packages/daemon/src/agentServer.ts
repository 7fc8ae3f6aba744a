import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {
  assertInvariant,
  closeServer,
  getDeadline,
  isAuthValid,
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
 * Copies of a request are refused by `vc-auth` after this time, ms: twice its
 * window of 30 s, because the sender's clock may be ahead.
 */
const ATTEMPT_MEMORY_MS = 61_000;

/** What an agent server is made from. */
export interface AgentServerOptions {
  upstream: {id: string; pool: string; url: string};
  /** Newest control view; null before the first. */
  getView: () => AgentView | null;
  /** Highest fencing number that an entry named; -1 if there was no lease. */
  getHighestFencing: () => number;
  /** Called when a crash report is ready to be handed to the entries. */
  onCrash?: () => void;
  /** Told the highest log offset that a request names. */
  onOffset?: (offset: number) => void;
  /** Asks the entries for requests with idempotency keys of the pool. */
  queryHistory?: QueryHistory;
  /** Time of the last answer of an entry; null before the first. */
  getLastContact?: () => MonotonicMs | null;
  /** Called when entries should hear of a change at once. */
  onReportChanged?: () => void;
  /** Address of the data listener; that of the instance if absent. */
  listenAddress?: string;
  limits?: Partial<AgentLimits>;
}

/** The agent beside an upstream: data listener, orders, dedup and usage. */
export interface AgentServer extends Component {
  /** Bound address of the data listener, `ip:port`. */
  getAddress(): string;
  getLoad(): Load;
  /** Load, cells and crashes that the receiver has not confirmed yet. */
  getReport(receiver?: string): AgentReport;
  /** Records that the receiver took a report. */
  confirmReport(report: AgentReport, receiver?: string): void;
  isLeaving(): boolean;
  /** Takes over the rollout of a new control view. */
  applyView(view: AgentView): void;
  /** Weight version that the agent waits to be told a source of. */
  getWantedVersion(): number | undefined;
  /** Takes over where weights may be fetched from. */
  setWeightSources(sources: WeightSources): void;
  /** True once the upstream's state is known. */
  isReady(): boolean;
  /** Methods for the peer listener: `order.*` and `dedup.*`. */
  rpcMethods: RpcMethods;
}

/** Facts of one request that decide about its admission. */
interface Admission {
  requestId: string;
  attempt: string;
  deadline: MonotonicMs;
  isOnce: boolean;
  idempotencyKey: string;
}

type Gatekeeping =
  {tag: 'admitted'} | {tag: 'refused'; reason: AgentRefusal; isNotRun: boolean};

const ADMITTED: Gatekeeping = {tag: 'admitted'};

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

/** Creates the agent of one upstream. */
export function createAgentServer(
  context: Context,
  options: AgentServerOptions,
): AgentServer {
  const {clock, metrics} = context;
  const logger = context.logger.part('agent');
  const limits = {...DEFAULT_AGENT_LIMITS, ...options.limits};
  const base = new URL(options.upstream.url);
  const getPool = () => options.getView()?.pool ?? null;
  const gate = new LocalUpstream(clock, metrics, getPool);
  const usage = new AgentReportBuffer(context.epoch, kind =>
    metrics.count('vc_agent_report_dropped_total', {kind}),
  );
  const attempts = new ExpiringMap<true>(limits.maxAttempts);
  const keepAlive = new http.Agent({keepAlive: true});
  const stopping = new AbortController();
  const sockets = new Set<AbortController>();
  let isLeaving = false;
  let isDrained = false;
  let address = options.listenAddress ?? context.self.address;
  let idle: (() => void) | null = null;
  /** Limit and cold state of the last report to an entry. */
  let reported = {limit: 0, cold: false};
  let tasks: Promise<unknown> = Promise.resolve();

  let statusPosition = 0;
  const watcher = new HealthChecker({
    upstream: options.upstream.id,
    url: options.upstream.url,
    clock,
    intervalMs: limits.statusIntervalMs,
    timeoutMs: limits.statusTimeoutMs,
    getKind: () => getPool()?.kind ?? null,
    onCheckStart: () => {
      statusPosition = gate.getOrderCount();
      announceLoad();
    },
    onStatus: status => gate.applyStatus(status, statusPosition),
    onCrash: crash => {
      metrics.count('vc_agent_crashes_total');
      logger.warn('The upstream crashed.', {
        epoch: crash.epoch,
        requests: crash.fingerprints.length,
      });
      usage.addCrash(crash);
      options.onCrash?.();
    },
  });
  const dedup = new AgentDedup({
    upstreamId: options.upstream.id,
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
    localUpstream: gate,
    healthChecker: watcher,
    getPool,
    getHighestFencing: () =>
      options.getView() ? options.getHighestFencing() : null,
    onDrain: () => {
      isDrained = true;
      logger.info('Draining by order.');
    },
  });

  const rollout = new AgentRollout({
    clock,
    logger: context.logger.part('rollout'),
    metrics,
    upstream: options.upstream.id,
    orders,
    getView: options.getView,
    getStatus: () => (watcher.isUp() ? watcher.getStatus() : null),
    getLastContact: options.getLastContact ?? (() => clock.now()),
    getSourceUrl: (peer, model, version) =>
      getWeightSourceUrl(context.clusterSecret, peer, model, version),
    checkStatus: async () => {
      // A check that began before the swap would be out of date.
      await watcher.check();
      await watcher.check();
    },
    onProgress: () => options.onReportChanged?.(),
  });
  const passage = createWeightProxy(context, base, keepAlive);

  /** What polls report; an engine with outdated weights has no places. */
  function getReportedLoad(): Load {
    const load = gate.getLoad();
    return {
      ...load,
      limit: rollout.mayServe() ? load.limit : 0,
      staged: rollout.getStagedVersion(),
      failedVersion: rollout.getFailedVersion(),
    };
  }

  /**
   * Tells the entries of a limit that fell or doubled. They hold polls for
   * seconds, and a pool whose agents last reported no places gets no request
   * whose answer could bring the new limit.
   */
  function announceLoad(): void {
    const {limit, cold} = getReportedLoad();
    const isNews =
      limit < reported.limit ||
      cold !== reported.cold ||
      (limit > reported.limit && limit >= 2 * reported.limit);
    if (isNews) options.onReportChanged?.();
  }

  function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    reason: AgentRefusal,
    isNotRun: boolean,
  ): void {
    metrics.count('vc_agent_refusals_total', {reason});
    const message = REFUSAL_MESSAGES[reason];
    sendRefusal(request, response, reason, isNotRun, gate.getLoad(), message);
  }

  function isAuthentic(request: IncomingMessage): boolean {
    return isAuthValid(
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
      isOnce: getHeader(request, HEADERS.repeat) !== 'idempotent',
      idempotencyKey: getHeader(request, HEADERS.idempotencyKey),
    };
  }

  function isDraining(view: AgentView): boolean {
    return isDrained || !view.isDomainIn || view.upstream?.state === 'draining';
  }

  function decideAdmission(admission: Admission): Gatekeeping {
    const refusal = (reason: AgentRefusal, isNotRun = true): Gatekeeping => ({
      tag: 'refused',
      reason,
      isNotRun,
    });
    // Decided first: any "not run" would be false for the earlier copy.
    if (attempts.get(admission.attempt, clock.now())) {
      return refusal('duplicate_attempt', false);
    }
    const view = options.getView();
    if (isLeaving) return refusal('leaving');
    if (!view?.pool || !gate.isInitialized()) return refusal('not_ready');
    if (!rollout.mayServe()) return refusal('not_ready');
    if (isDraining(view)) return refusal('draining');
    if (clock.now() >= admission.deadline) return refusal('expired');
    return ADMITTED;
  }

  /** Takes a place and records the attempt; both are needed to run. */
  function tryBegin(admission: Admission): boolean {
    const now = clock.now();
    if (!gate.hasFreeSlot()) return false;
    const until = now + ATTEMPT_MEMORY_MS;
    const isNoted = attempts.set(admission.attempt, true, until, now);
    // Without memory left only requests that may repeat are taken.
    if (!isNoted && admission.isOnce) return false;
    return gate.tryAcquireSlot();
  }

  async function perform(
    request: IncomingMessage,
    response: ServerResponse,
    admission: Admission,
    run: RunPermit | null,
  ): Promise<void> {
    if (!tryBegin(admission)) {
      run?.finish({tag: 'not_run'});
      refuse(request, response, 'at_limit', true);
      return;
    }
    const cancel = new AbortController();
    sockets.add(cancel);
    let outcome: ExchangeOutcome = {tag: 'lost'};
    try {
      const pool = getPool();
      assertInvariant(pool !== null, 'a request was admitted without a pool');
      outcome = await runExchange({
        request,
        response,
        pool,
        base,
        localUpstream: gate,
        healthChecker: watcher,
        reports: usage,
        limits,
        clock,
        metrics,
        keepAlive,
        cancel,
        deadline: admission.deadline,
        isAtMostOnce: admission.isOnce,
        isDeduplicated: run !== null,
        refuse: (reason, isNotRun) =>
          refuse(request, response, reason, isNotRun),
      });
    } finally {
      sockets.delete(cancel);
      gate.releaseSlot();
      // The place is free before partners hear of the outcome.
      if (outcome.tag === 'not_run') attempts.delete(admission.attempt);
      run?.finish(getKeyOutcome(outcome));
      if (gate.getRunningCount() === 0) idle?.();
    }
  }

  async function performKeyed(
    request: IncomingMessage,
    response: ServerResponse,
    admission: Admission,
  ): Promise<void> {
    const {idempotencyKey: key, deadline} = admission;
    const fingerprint = getHeader(request, HEADERS.fingerprint);
    if (!dedup.hasEntry(key) && !gate.hasFreeSlot()) {
      refuse(request, response, 'at_limit', true);
      return;
    }
    const decision = await dedup.begin(key, fingerprint, deadline);
    switch (decision.tag) {
      case 'run':
        if (clock.now() < deadline && !isLeaving) {
          return perform(request, response, admission, decision.run);
        }
        decision.run.finish({tag: 'not_run'});
        refuse(request, response, isLeaving ? 'leaving' : 'expired', true);
        return;
      case 'replay':
        metrics.count('vc_agent_replays_total');
        request.resume();
        sendStoredResponse(response, decision.answer, gate.getLoad());
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
    if (passage.matches(request)) {
      await passage.handle(request, response);
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
    const isKeyed = admission.isOnce && admission.idempotencyKey !== '';
    if (isKeyed) await performKeyed(request, response, admission);
    else await perform(request, response, admission, null);
  }

  const server = http.createServer((request, response) => {
    request.on('error', () => {});
    response.on('error', () => {});
    // Entries count usage by the process that ran a request.
    response.setHeader(AGENT_EPOCH_HEADER, context.epoch);
    handle(request, response).catch((error: unknown) => {
      metrics.count('vc_agent_internal_errors_total');
      logger.error('A request failed unexpectedly.', {
        detail: (error as Error).message,
      });
      response.destroy();
    });
  });

  metrics.gauge('vc_agent_running', () => gate.getRunningCount());
  metrics.gauge('vc_agent_limit', () => gate.getLoad().limit);

  return {
    name: 'agent',
    getAddress: () => address,
    getLoad: () => gate.getLoad(),
    getReport: (receiver = '') => {
      const load = getReportedLoad();
      reported = load;
      return usage.getReport(load, receiver);
    },
    confirmReport: (report, receiver = '') =>
      usage.confirmReport(report, receiver),
    isLeaving: () => isLeaving,
    applyView: view => {
      // The first offset tells whether the pool is younger than this agent.
      dedup.applyView();
      rollout.applyView(view);
      announceLoad();
    },
    getWantedVersion: () => rollout.getWantedVersion(),
    setWeightSources: sources => rollout.setSources(sources),
    isReady: () => gate.isInitialized() && watcher.isUp() && !isLeaving,
    rpcMethods: {...orders.rpcMethods, ...dedup.rpcMethods},
    start: async () => {
      const parsed = parseAddress(address);
      assertInvariant(parsed !== null, 'the listen address is not ip:port');
      address = await listen(server, parsed);
      tasks = Promise.all([
        watcher.run(stopping.signal),
        dedup.run(stopping.signal),
        rollout.run(stopping.signal),
      ]);
    },
    stop: async signal => {
      isLeaving = true;
      const cancelAll = () => {
        for (const cancel of sockets) cancel.abort('stopped');
      };
      const drained = new Promise<void>(resolve => {
        idle = resolve;
        if (gate.getRunningCount() === 0) resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
        if (signal.aborted) resolve();
      });
      await drained;
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

function getKeyOutcome(outcome: ExchangeOutcome) {
  switch (outcome.tag) {
    case 'not_run':
      return {tag: 'not_run' as const};
    case 'whole':
      return {tag: 'done' as const, answer: outcome.stored};
    case 'lost':
      return {tag: 'unknown' as const};
  }
}
