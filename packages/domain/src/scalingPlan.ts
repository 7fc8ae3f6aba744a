import type {Pool} from './records.js';

/** Share of the concurrency of an upstream that is planned for. */
export const TARGET_UTILIZATION = 0.7;
/** Use above which demand is assumed to be hidden in the entries' queues. */
const SATURATED_UTILIZATION = 0.95;
/** Growth assumed when a pool is saturated and its real demand unknown. */
const SATURATED_GROWTH = 1.5;
/** Largest growth that the demand trend may predict over one cold start. */
const MAX_GROWTH = 2;
/** Shortest period with low demand before anything is stopped, ms. */
export const MIN_SCALE_DOWN_MS = 120_000;
/** Demand samples that are kept; the peak of each bucket counts. */
const DEMAND_BUCKETS = 16;

/** One upstream as the plan sees it. */
export interface PlannedUpstream {
  id: string;
  domain: string;
  /** Requests that run or wait at it; null if its agent is not heard. */
  busy: number | null;
  isCold: boolean;
  /** Drained by an operator or by an earlier step of the plan. */
  isDraining: boolean;
  /** True if the plan drained it, so that it may be stopped when empty. */
  isStoppable: boolean;
}

/** Peak demand of one period, concurrent requests. */
interface DemandBucket {
  startMs: number;
  peak: number;
}

/** Measured demand of a pool; immutable. */
export interface DemandHistory {
  sinceMs: number;
  buckets: readonly DemandBucket[];
  latest: number;
}

/** What the plan decides from. */
export interface ScalingPlanInput {
  pool: Pool;
  /** Failure domains in configuration; only those that are in get starts. */
  domains: ReadonlyArray<{id: string; isIn: boolean}>;
  upstreams: readonly PlannedUpstream[];
  /** Starts that were ordered and are not listed yet, by failure domain. */
  pendingStarts: Readonly<Record<string, number>>;
  history: DemandHistory;
  nowMs: number;
}

/** One change; every step is an order. */
export type ScalingStep =
  | {type: 'start'; domain: string; count: number}
  | {type: 'drain'; domain: string; upstream: string}
  | {type: 'stop'; domain: string; upstream: string};

/** How long demand must stay low before upstreams are stopped, ms. */
export function getScaleDownDelayMs(pool: Pool): number {
  return Math.max(MIN_SCALE_DOWN_MS, 2 * pool.coldStartMs);
}

export function createDemandHistory(nowMs: number): DemandHistory {
  return {sinceMs: nowMs, buckets: [], latest: 0};
}

/** Adds a measurement; memory is bounded by the number of buckets. */
export function addDemand(
  history: DemandHistory,
  pool: Pool,
  demand: number,
  nowMs: number,
): DemandHistory {
  const spanMs = getScaleDownDelayMs(pool);
  const bucketMs = spanMs / (DEMAND_BUCKETS - 1);
  const kept = history.buckets.filter(
    bucket => bucket.startMs + bucketMs > nowMs - spanMs,
  );
  const last = kept.at(-1);
  const buckets =
    last && nowMs < last.startMs + bucketMs
      ? [...kept.slice(0, -1), {...last, peak: Math.max(last.peak, demand)}]
      : [...kept, {startMs: nowMs, peak: demand}];
  return {...history, buckets, latest: demand};
}

/**
 * Concurrent requests that running upstreams cannot show because they are at
 * their limit count as growth.
 */
export function getMeasuredDemand(
  pool: Pool,
  upstreams: readonly PlannedUpstream[],
): number {
  const heard = upstreams.filter(upstream => upstream.busy !== null);
  const busy = heard.reduce((sum, upstream) => sum + (upstream.busy ?? 0), 0);
  const warm = heard.filter(u => !u.isCold && !u.isDraining).length;
  const capacity = warm * pool.maxConcurrent;
  const isSaturated = capacity > 0 && busy >= SATURATED_UTILIZATION * capacity;
  return isSaturated ? busy * SATURATED_GROWTH : busy;
}

/** Demand expected when an upstream that is ordered now has become warm. */
function getForecast(history: DemandHistory, pool: Pool): number {
  const newest = history.buckets.at(-1);
  const earlier = history.buckets.at(-2);
  if (!newest || !earlier) return history.latest;
  const spanMs = Math.max(1, newest.startMs - earlier.startMs);
  const growth = Math.max(0, newest.peak - earlier.peak) / spanMs;
  const forecast = history.latest + growth * pool.coldStartMs;
  return Math.min(forecast, history.latest * MAX_GROWTH);
}

/**
 * Upstreams of a pool for a demand: enough that the rest serves the demand
 * after the loss of the failure domain that has most of them.
 */
export function getTargetUpstreamCount(
  pool: Pool,
  demand: number,
  domainCount: number,
): number {
  if (domainCount === 0) return 0;
  const perUpstream = pool.maxConcurrent * TARGET_UTILIZATION;
  const needed = Math.ceil(demand / perUpstream);
  let total = needed;
  if (domainCount > 1) {
    while (total - Math.ceil(total / domainCount) < needed) total++;
  }
  return Math.min(pool.maxUpstreams, Math.max(pool.minUpstreams, total));
}

/**
 * Spreads a total evenly over failure domains. The remainder goes where most
 * upstreams run already, so that a change of the total moves nothing.
 */
export function spreadOverDomains(
  total: number,
  domains: readonly string[],
  current: Readonly<Record<string, number>>,
): Record<string, number> {
  const order = [...domains].sort(
    (a, b) => (current[b] ?? 0) - (current[a] ?? 0) || (a < b ? -1 : 1),
  );
  const base = Math.floor(total / Math.max(1, order.length));
  const rest = total - base * order.length;
  return Object.fromEntries(
    order.map((domain, index) => [domain, base + (index < rest ? 1 : 0)]),
  );
}

function countByDomain(
  upstreams: readonly PlannedUpstream[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {domain} of upstreams) counts[domain] = (counts[domain] ?? 0) + 1;
  return counts;
}

/** Cold and idle upstreams go first; ties by id for a stable choice. */
function compareForDrain(a: PlannedUpstream, b: PlannedUpstream): number {
  if (a.isCold !== b.isCold) return a.isCold ? -1 : 1;
  return (a.busy ?? 0) - (b.busy ?? 0) || (a.id < b.id ? -1 : 1);
}

function getStarts(input: ScalingPlanInput): ScalingStep[] {
  const {pool, upstreams, pendingStarts} = input;
  const inDomains = input.domains.filter(d => d.isIn).map(d => d.id);
  const counts = countByDomain(upstreams.filter(u => !u.isDraining));
  for (const [domain, count] of Object.entries(pendingStarts)) {
    counts[domain] = (counts[domain] ?? 0) + count;
  }
  const demand = getForecast(input.history, pool);
  const target = getTargetUpstreamCount(pool, demand, inDomains.length);
  const wanted = spreadOverDomains(target, inDomains, counts);
  return inDomains
    .map(domain => ({
      type: 'start' as const,
      domain,
      count: wanted[domain] - (counts[domain] ?? 0),
    }))
    .filter(step => step.count > 0);
}

/** At most one drain per plan, after demand was low for the whole period. */
function getDrain(input: ScalingPlanInput): ScalingStep[] {
  const {pool, history, nowMs} = input;
  if (nowMs - history.sinceMs < getScaleDownDelayMs(pool)) return [];
  const inDomains = input.domains.filter(d => d.isIn).map(d => d.id);
  if (inDomains.length === 0) return [];
  const serving = input.upstreams.filter(u => !u.isDraining);
  const counts = countByDomain(serving);
  const peak = Math.max(0, ...history.buckets.map(bucket => bucket.peak));
  const target = getTargetUpstreamCount(pool, peak, inDomains.length);
  const wanted = spreadOverDomains(target, inDomains, counts);
  const surplus = serving
    .filter(u => (counts[u.domain] ?? 0) > (wanted[u.domain] ?? 0))
    .sort(
      (a, b) =>
        Number(inDomains.includes(a.domain)) -
          Number(inDomains.includes(b.domain)) ||
        counts[b.domain] - counts[a.domain] ||
        compareForDrain(a, b),
    );
  return surplus
    .slice(0, 1)
    .map(u => ({type: 'drain', domain: u.domain, upstream: u.id}));
}

/** Upstreams that the plan drained are stopped once they are empty. */
function getStops(input: ScalingPlanInput): ScalingStep[] {
  return input.upstreams
    .filter(u => u.isDraining && u.isStoppable && u.busy === 0)
    .map(u => ({type: 'stop', domain: u.domain, upstream: u.id}));
}

/**
 * Decides the next orders for a pool. Starts are immediate; drains wait until
 * the peak demand of the whole scale-down period is low, and never happen
 * together with starts.
 */
export function planScaling(input: ScalingPlanInput): ScalingStep[] {
  const starts = getStarts(input);
  const pending = Object.values(input.pendingStarts).some(count => count > 0);
  const drains = starts.length > 0 || pending ? [] : getDrain(input);
  return [...starts, ...getStops(input), ...drains];
}
