import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {
  ControlState,
  DemandHistory,
  PlannedUpstream,
  Pool,
  ScalingStep,
} from '@vanillacross/domain';
import {
  addDemand,
  createDemandHistory,
  listRecords,
  getRecordBody,
  getMeasuredDemand,
  planScaling,
} from '@vanillacross/domain';
import type {OrderedUpstream, OrderingPort} from '@vanillacross/platform';

import type {AgentLoads} from './agentLoads.js';
import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {OrderFailure, OrderSender} from './orderSender.js';
import type {Context, ControlFollower, Membership} from './types.js';

/** Interval at which scaling is planned, ms. */
const SCALE_INTERVAL_MS = 2_000;
/** Time after the cold start until a missing upstream counts as failed, ms. */
const START_GRACE_MS = 60_000;
/**
 * An agent that has been leaving for this long and still reports its load is
 * assumed to have been drained by a previous lease holder and may be stopped,
 * ms. Longer than a restart takes.
 */
const ASSUME_DRAINED_MS = 60_000;
/** How long a stopped upstream may still be listed as running, ms. */
const MAX_LISTING_LAG_MS = 60_000;
/** States of listed upstreams that no longer count as present. */
const GONE_STATES = new Set(['stopping', 'stopped', 'failed']);

/** Upstreams that were ordered but are not listed yet. */
interface PendingStart {
  domain: string;
  count: number;
  /** Upstreams that were listed before the order. */
  before: ReadonlySet<string>;
  deadline: MonotonicMs;
}

/** An order without a final outcome; retried under the same id. */
interface OpenOrder {
  step: ScalingStep;
  /** Last part of the order id; differs for each order of a pool. */
  planStep: string;
  /** Upstreams that were listed before the order. */
  before: ReadonlySet<string>;
  /** True while the order is being sent. */
  isRunning: boolean;
}

/** Scaling state of a pool during one lease tenure. */
interface PoolState {
  history: DemandHistory;
  pendingStarts: PendingStart[];
  openOrders: Map<string, OpenOrder>;
  drained: Set<string>;
  /** Stopped upstreams, with the time until which they may still be listed. */
  stopped: Map<string, MonotonicMs>;
  leavingSince: Map<string, MonotonicMs>;
  stepCount: number;
}

type Listing = ReadonlyMap<string, readonly OrderedUpstream[]>;

/** Creates the task that starts, drains and stops upstreams by demand. */
export function createUpstreamScaling(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  orders: OrderSender,
  loads: Pick<AgentLoads, 'getLoad'>,
  ports: Readonly<Record<string, OrderingPort>>,
): Loop {
  const {clock, metrics} = context;
  const logger = context.logger.child('scaling');
  let tenureFencing = -1;
  let poolStates = new Map<string, PoolState>();

  function getPoolState(pool: string): PoolState {
    let poolState = poolStates.get(pool);
    if (!poolState) {
      poolState = {
        history: createDemandHistory(clock.now()),
        pendingStarts: [],
        openOrders: new Map(),
        drained: new Set(),
        stopped: new Map(),
        leavingSince: new Map(),
        stepCount: 0,
      };
      poolStates.set(pool, poolState);
    }
    return poolState;
  }

  /**
   * Lists upstreams by failure domain; domains that do not answer are absent.
   */
  async function listUpstreams(): Promise<Listing> {
    const listing = new Map<string, readonly OrderedUpstream[]>();
    await Promise.all(
      Object.entries(ports).map(async ([domain, port]) => {
        const listed = await port.getUpstreams();
        if (listed.ok) listing.set(domain, listed.value);
        else metrics.count('vc_ordering_unavailable', {domain});
      }),
    );
    return listing;
  }

  /**
   * Maps the id of each upstream that is listed as present, or that reports its
   * load and is not listed as gone, to its failure domain.
   */
  function getPresentUpstreams(
    pool: string,
    listing: Listing,
  ): Map<string, string> {
    const present = new Map<string, string>();
    const gone = new Set<string>();
    for (const [domain, upstreams] of listing) {
      for (const {id, pool: owner, state} of upstreams) {
        if (owner !== pool) continue;
        if (GONE_STATES.has(state)) gone.add(id);
        else present.set(id, domain);
      }
    }
    for (const {instance} of membership.getPoolMembers(pool)) {
      const {id} = instance.upstream;
      if (gone.has(id) || loads.getLoad(id) === null) continue;
      present.set(id, present.get(id) ?? instance.domain);
    }
    return present;
  }

  function isAssumedDrained(poolState: PoolState, id: string): boolean {
    const since = poolState.leavingSince.get(id);
    return since !== undefined && clock.now() >= since + ASSUME_DRAINED_MS;
  }

  function trackLeaving(
    poolState: PoolState,
    id: string,
    isLeaving: boolean,
  ): void {
    if (!isLeaving) poolState.leavingSince.delete(id);
    else if (!poolState.leavingSince.has(id)) {
      poolState.leavingSince.set(id, clock.now());
    }
  }

  function getUpstreamsForPlan(
    state: ControlState,
    poolState: PoolState,
    present: ReadonlyMap<string, string>,
  ): PlannedUpstream[] {
    return [...present].map(([id, domain]) => {
      const agentLoad = loads.getLoad(id);
      const isLeaving = agentLoad?.isLeaving ?? false;
      trackLeaving(poolState, id, isLeaving);
      const record = getRecordBody(state, 'upstream', id);
      const isStoppable =
        poolState.drained.has(id) || isAssumedDrained(poolState, id);
      return {
        id,
        domain,
        busy: agentLoad
          ? agentLoad.load.running + agentLoad.load.waiting
          : null,
        isCold: agentLoad?.load.cold ?? true,
        isDraining: isLeaving || isStoppable || record?.state === 'draining',
        isStoppable,
      };
    });
  }

  function countPendingStarts(
    poolState: PoolState,
    present: ReadonlyMap<string, string>,
  ): Record<string, number> {
    const counts: Record<string, number> = {};
    const claimed = new Set<string>();
    poolState.pendingStarts = poolState.pendingStarts.filter(pending => {
      const arrived = [...present]
        .filter(([, domain]) => domain === pending.domain)
        .filter(([id]) => !pending.before.has(id) && !claimed.has(id))
        .slice(0, pending.count);
      for (const [id] of arrived) claimed.add(id);
      const missing = pending.count - arrived.length;
      if (missing === 0 || clock.now() >= pending.deadline) return false;
      counts[pending.domain] = (counts[pending.domain] ?? 0) + missing;
      return true;
    });
    for (const {step} of poolState.openOrders.values()) {
      if (step.type !== 'start') continue;
      counts[step.domain] = (counts[step.domain] ?? 0) + step.count;
    }
    return counts;
  }

  function getOrderName(step: ScalingStep): string {
    return step.type === 'start'
      ? `start.${step.domain}`
      : `${step.type}.${step.upstream}`;
  }

  function recordCompletion(
    pool: Pool,
    poolState: PoolState,
    open: OpenOrder,
  ): void {
    const {step, before} = open;
    const now = clock.now();
    metrics.count('vc_scaling_steps', {type: step.type});
    if (step.type === 'drain') poolState.drained.add(step.upstream);
    if (step.type === 'stop') {
      poolState.stopped.set(
        step.upstream,
        getDeadline(now, MAX_LISTING_LAG_MS),
      );
    }
    if (step.type !== 'start') return;
    const deadline = getDeadline(now, pool.coldStartMs + START_GRACE_MS);
    const {domain, count} = step;
    poolState.pendingStarts.push({domain, count, before, deadline});
  }

  async function sendOrder(
    poolId: string,
    open: OpenOrder,
  ): Promise<OrderFailure | null> {
    const {step, planStep} = open;
    if (step.type === 'drain') {
      const agent = membership.getAgent(step.upstream);
      if (!agent) return {tag: 'rejected', detail: 'agent unknown'};
      const drained = await orders.sendAgentOrder(agent.instance, planStep, {
        type: 'drain',
      });
      return drained.ok ? null : drained.error;
    }
    const target =
      step.type === 'start' ? {count: step.count} : {upstream: step.upstream};
    const sent = await orders.sendPlatformOrder(ports[step.domain], planStep, {
      pool: poolId,
      action: step.type,
      ...target,
    });
    return sent.ok ? null : sent.error;
  }

  /** Sends an order; it stays open for a retry if the outcome is not final. */
  async function executeOrder(
    poolId: string,
    pool: Pool,
    poolState: PoolState,
    open: OpenOrder,
  ): Promise<void> {
    const name = getOrderName(open.step);
    open.isRunning = true;
    const failure = await sendOrder(poolId, open);
    open.isRunning = false;
    const isOpen = failure?.tag === 'unknown' || failure?.tag === 'not_holder';
    if (!isOpen) poolState.openOrders.delete(name);
    if (failure) {
      logger.warn('scaling order did not succeed', {
        pool: poolId,
        name,
        reason: failure.tag,
      });
      metrics.count('vc_scaling_failures', {reason: failure.tag});
      return;
    }
    recordCompletion(pool, poolState, open);
  }

  function isRecentlyStopped(poolState: PoolState, step: ScalingStep): boolean {
    if (step.type !== 'stop') return false;
    return clock.now() < (poolState.stopped.get(step.upstream) ?? 0);
  }

  /** Opens orders for planned steps that have no open order yet. */
  function addOpenOrders(
    poolState: PoolState,
    steps: readonly ScalingStep[],
    present: ReadonlyMap<string, string>,
  ): void {
    for (const step of steps) {
      const name = getOrderName(step);
      if (poolState.openOrders.has(name)) continue;
      if (isRecentlyStopped(poolState, step)) continue;
      poolState.openOrders.set(name, {
        step,
        planStep: `${name}.${++poolState.stepCount}`,
        before: new Set(present.keys()),
        isRunning: false,
      });
    }
  }

  function scalePool(
    state: ControlState,
    poolId: string,
    pool: Pool,
    listing: Listing,
  ): void {
    const poolState = getPoolState(poolId);
    const present = getPresentUpstreams(poolId, listing);
    const upstreams = getUpstreamsForPlan(state, poolState, present);
    const demand = getMeasuredDemand(pool, upstreams);
    poolState.history = addDemand(poolState.history, pool, demand, clock.now());
    const planned = planScaling({
      pool,
      domains: listRecords(state, 'domain').map(({id, body}) => ({
        id,
        isIn: body.state === 'in',
      })),
      upstreams,
      pendingStarts: countPendingStarts(poolState, present),
      history: poolState.history,
      nowMs: clock.now(),
    });
    // Domains without a listing are skipped, since what runs there is unknown.
    const steps = planned.filter(({domain}) => listing.has(domain));
    addOpenOrders(poolState, steps, present);
    for (const open of poolState.openOrders.values()) {
      if (!open.isRunning) void executeOrder(poolId, pool, poolState, open);
    }
  }

  async function step(): Promise<MonotonicMs> {
    const next = getDeadline(clock.now(), SCALE_INTERVAL_MS);
    const tenure = lease.getTenure();
    if (!tenure) return next;
    if (tenure.fencing !== tenureFencing) {
      tenureFencing = tenure.fencing;
      poolStates = new Map();
    }
    const state = control.getState();
    const listing = await listUpstreams();
    if (lease.getTenure()?.fencing !== tenureFencing) return next;
    for (const {id, body} of listRecords(state, 'pool')) {
      scalePool(state, id, body, listing);
    }
    return next;
  }

  return createLoop(context, 'scaling', step);
}
