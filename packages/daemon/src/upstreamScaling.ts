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

/** Interval of planning, ms. */
const SCALE_INTERVAL_MS = 2_000;
/** Time beyond the cold start after which a start counts as failed, ms. */
const START_GRACE_MS = 60_000;
/**
 * An agent that is leaving this long and still heard was drained by an
 * earlier holder; an agent that is merely restarted is gone sooner, ms.
 */
const ORPHAN_DRAIN_MS = 60_000;
/** How long the list may still show an upstream that was stopped, ms. */
const STOP_LAG_MS = 60_000;
/** States in which the ordering interface lists upstreams that are gone. */
const GONE_STATES = new Set(['stopping', 'stopped', 'failed']);

/** Upstreams that were ordered and are not listed yet. */
interface PendingStart {
  domain: string;
  count: number;
  /** Upstreams that were listed before the order. */
  before: ReadonlySet<string>;
  deadline: MonotonicMs;
}

/** An order without final outcome; it keeps its id until there is one. */
interface OpenOrder {
  step: ScalingStep;
  planStep: string;
  /** Upstreams that were listed before the order. */
  before: ReadonlySet<string>;
  isRunning: boolean;
}

/** What the holder remembers of a pool during its tenure. */
interface PoolMemory {
  history: DemandHistory;
  pendingStarts: PendingStart[];
  openOrders: Map<string, OpenOrder>;
  drained: Set<string>;
  /** Stopped upstreams that the lagging list may still show. */
  stopped: Map<string, MonotonicMs>;
  leavingSince: Map<string, MonotonicMs>;
  stepCount: number;
}

type Listing = ReadonlyMap<string, readonly OrderedUpstream[]>;

/** Starts, drains and stops upstreams while the lease is held. */
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
  let memories = new Map<string, PoolMemory>();

  function getMemory(pool: string): PoolMemory {
    let memory = memories.get(pool);
    if (!memory) {
      memory = {
        history: createDemandHistory(clock.now()),
        pendingStarts: [],
        openOrders: new Map(),
        drained: new Set(),
        stopped: new Map(),
        leavingSince: new Map(),
        stepCount: 0,
      };
      memories.set(pool, memory);
    }
    return memory;
  }

  /** Lists the upstreams of each failure domain whose interface answers. */
  async function getListing(): Promise<Listing> {
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

  /** Upstreams that are listed, or whose agents are heard, by id. */
  function getPresent(pool: string, listing: Listing): Map<string, string> {
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

  function isOrphanedDrain(memory: PoolMemory, id: string): boolean {
    const since = memory.leavingSince.get(id);
    return since !== undefined && clock.now() >= since + ORPHAN_DRAIN_MS;
  }

  function noteLeaving(
    memory: PoolMemory,
    id: string,
    isLeaving: boolean,
  ): void {
    if (!isLeaving) memory.leavingSince.delete(id);
    else if (!memory.leavingSince.has(id)) {
      memory.leavingSince.set(id, clock.now());
    }
  }

  function getPlanned(
    state: ControlState,
    memory: PoolMemory,
    present: ReadonlyMap<string, string>,
  ): PlannedUpstream[] {
    return [...present].map(([id, domain]) => {
      const heard = loads.getLoad(id);
      const isLeaving = heard?.isLeaving ?? false;
      noteLeaving(memory, id, isLeaving);
      const record = getRecordBody(state, 'upstream', id);
      const isStoppable = memory.drained.has(id) || isOrphanedDrain(memory, id);
      return {
        id,
        domain,
        busy: heard ? heard.load.running + heard.load.waiting : null,
        isCold: heard?.load.cold ?? true,
        isDraining: isLeaving || isStoppable || record?.state === 'draining',
        isStoppable,
      };
    });
  }

  function getPendingStarts(
    memory: PoolMemory,
    present: ReadonlyMap<string, string>,
  ): Record<string, number> {
    const counts: Record<string, number> = {};
    const claimed = new Set<string>();
    memory.pendingStarts = memory.pendingStarts.filter(pending => {
      const arrived = [...present]
        .filter(([, domain]) => domain === pending.domain)
        .filter(([id]) => !pending.before.has(id) && !claimed.has(id))
        .slice(0, pending.count);
      for (const [id] of arrived) claimed.add(id);
      const rest = pending.count - arrived.length;
      if (rest === 0 || clock.now() >= pending.deadline) return false;
      counts[pending.domain] = (counts[pending.domain] ?? 0) + rest;
      return true;
    });
    for (const {step} of memory.openOrders.values()) {
      if (step.type !== 'start') continue;
      counts[step.domain] = (counts[step.domain] ?? 0) + step.count;
    }
    return counts;
  }

  function getTargetName(step: ScalingStep): string {
    return step.type === 'start'
      ? `start.${step.domain}`
      : `${step.type}.${step.upstream}`;
  }

  function noteDone(pool: Pool, memory: PoolMemory, open: OpenOrder): void {
    const {step, before} = open;
    const now = clock.now();
    metrics.count('vc_scaling_steps', {type: step.type});
    if (step.type === 'drain') memory.drained.add(step.upstream);
    if (step.type === 'stop') {
      memory.stopped.set(step.upstream, getDeadline(now, STOP_LAG_MS));
    }
    if (step.type !== 'start') return;
    const deadline = getDeadline(now, pool.coldStartMs + START_GRACE_MS);
    const {domain, count} = step;
    memory.pendingStarts.push({domain, count, before, deadline});
  }

  async function send(
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

  /** Sends an order; without a final outcome it keeps its id. */
  async function perform(
    poolId: string,
    pool: Pool,
    memory: PoolMemory,
    open: OpenOrder,
  ): Promise<void> {
    const name = getTargetName(open.step);
    open.isRunning = true;
    const failure = await send(poolId, open);
    open.isRunning = false;
    const isOpen = failure?.tag === 'unknown' || failure?.tag === 'not_holder';
    if (!isOpen) memory.openOrders.delete(name);
    if (failure) {
      logger.warn('step failed', {pool: poolId, name, reason: failure.tag});
      metrics.count('vc_scaling_failures', {reason: failure.tag});
      return;
    }
    noteDone(pool, memory, open);
  }

  function isRecentlyStopped(memory: PoolMemory, step: ScalingStep): boolean {
    if (step.type !== 'stop') return false;
    return clock.now() < (memory.stopped.get(step.upstream) ?? 0);
  }

  /** Opens orders for new steps; the order keeps the id of its first step. */
  function openSteps(
    memory: PoolMemory,
    steps: readonly ScalingStep[],
    present: ReadonlyMap<string, string>,
  ): void {
    for (const step of steps) {
      const name = getTargetName(step);
      if (memory.openOrders.has(name)) continue;
      if (isRecentlyStopped(memory, step)) continue;
      memory.openOrders.set(name, {
        step,
        planStep: `${name}.${++memory.stepCount}`,
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
    const memory = getMemory(poolId);
    const present = getPresent(poolId, listing);
    const upstreams = getPlanned(state, memory, present);
    const demand = getMeasuredDemand(pool, upstreams);
    memory.history = addDemand(memory.history, pool, demand, clock.now());
    const planned = planScaling({
      pool,
      domains: listRecords(state, 'domain').map(({id, body}) => ({
        id,
        isIn: body.state === 'in',
      })),
      upstreams,
      pendingStarts: getPendingStarts(memory, present),
      history: memory.history,
      nowMs: clock.now(),
    });
    // Without a listing it is unknown what runs there, so nothing is ordered.
    const steps = planned.filter(({domain}) => listing.has(domain));
    openSteps(memory, steps, present);
    for (const open of memory.openOrders.values()) {
      if (!open.isRunning) void perform(poolId, pool, memory, open);
    }
  }

  async function step(): Promise<MonotonicMs> {
    const next = getDeadline(clock.now(), SCALE_INTERVAL_MS);
    const tenure = lease.getTenure();
    if (!tenure) return next;
    if (tenure.fencing !== tenureFencing) {
      tenureFencing = tenure.fencing;
      memories = new Map();
    }
    const state = control.getState();
    const listing = await getListing();
    if (lease.getTenure()?.fencing !== tenureFencing) return next;
    for (const {id, body} of listRecords(state, 'pool')) {
      scalePool(state, id, body, listing);
    }
    return next;
  }

  return createLoop(context, 'scaling', step);
}
