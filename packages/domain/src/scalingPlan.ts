import type {Pool} from './records.js';

/** Target utilization of an upstream's concurrency limit. */
export const TARGET_UTILIZATION = 0.7;
/**
 * Utilization from which further demand is assumed to wait in the entries'
 * queues.
 */
const SATURATED_UTILIZATION = 0.95;
/**
 * Factor applied to measured demand when a pool is saturated and its real
 * demand is unknown.
 */
const SATURATED_GROWTH = 1.5;
/** Maximum growth factor that the trend may predict over one cold start. */
const MAX_GROWTH = 2;
/** Minimum period of low demand before any upstream is stopped, ms. */
export const MIN_SCALE_DOWN_MS = 120_000;
/**
 * Number of buckets in the demand history; each keeps the peak of its period.
 */
const DEMAND_BUCKETS = 16;

/** An upstream as seen by the scaling plan. */
export interface PlannedUpstream {
  id: string;
  domain: string;
  /**
   * Number of running and waiting requests; null if its agent does not report.
   */
  busy: number | null;
  isCold: boolean;
  /**
   * True if it is leaving or is being drained, by an operator or by an earlier
   * scaling order.
   */
  isDraining: boolean;
  /** True if a scaling order drains it; it may be stopped once it is empty. */
  isStoppable: boolean;
}

/** Peak demand of one period, in concurrent requests. */
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

export interface ScalingPlanInput {
  pool: Pool;
  /** Configured failure domains; only those that are in get new upstreams. */
  domains: ReadonlyArray<{id: string; isIn: boolean}>;
  upstreams: readonly PlannedUpstream[];
  /** Upstreams that were ordered but are not listed yet, by failure domain. */
  pendingStarts: Readonly<Record<string, number>>;
  history: DemandHistory;
  nowMs: number;
}

/** One change to a pool; each step is sent as an order. */
export type ScalingStep =
  | {type: 'start'; domain: string; count: number}
  | {type: 'drain'; domain: string; upstream: string}
  | {type: 'stop'; domain: string; upstream: string};

/** Returns how long demand must stay low before upstreams are stopped, ms. */
export function getScaleDownDelayMs(pool: Pool): number {
  return Math.max(MIN_SCALE_DOWN_MS, 2 * pool.coldStartMs);
}

export function createDemandHistory(nowMs: number): DemandHistory {
  return {sinceMs: nowMs, buckets: [], latest: 0};
}

/**
 * Adds a measurement to the history; the number of buckets bounds its memory.
 */
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
 * Returns the demand in concurrent requests. Upstreams at their limit cannot
 * show the demand that waits in the entries, so the demand of a saturated pool
 * is scaled up.
 */
export function getMeasuredDemand(
  pool: Pool,
  upstreams: readonly PlannedUpstream[],
): number {
  const reporting = upstreams.filter(upstream => upstream.busy !== null);
  const busy = reporting.reduce(
    (sum, upstream) => sum + (upstream.busy ?? 0),
    0,
  );
  const warm = reporting.filter(u => !u.isCold && !u.isDraining).length;
  const capacity = warm * pool.maxConcurrent;
  const isSaturated = capacity > 0 && busy >= SATURATED_UTILIZATION * capacity;
  return isSaturated ? busy * SATURATED_GROWTH : busy;
}

/**
 * Returns the demand expected by the time that an upstream ordered now is warm.
 */
function getForecastDemand(history: DemandHistory, pool: Pool): number {
  const newest = history.buckets.at(-1);
  const earlier = history.buckets.at(-2);
  if (!newest || !earlier) return history.latest;
  const spanMs = Math.max(1, newest.startMs - earlier.startMs);
  const growth = Math.max(0, newest.peak - earlier.peak) / spanMs;
  const forecast = history.latest + growth * pool.coldStartMs;
  return Math.min(forecast, history.latest * MAX_GROWTH);
}

/**
 * Returns how many upstreams a demand needs, within the limits of the pool. With
 * several failure domains, the number allows for the loss of the one with the
 * most upstreams: the upstreams of the others can then still serve the demand,
 * unless the pool's maximum is too low.
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
 * Spreads a number of upstreams evenly over failure domains. The remainder goes
 * to the domains with the most upstreams, so that a small change of the total
 * does not start an upstream in one domain and drain one in another.
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
  const remainder = total - base * order.length;
  return Object.fromEntries(
    order.map((domain, index) => [domain, base + (index < remainder ? 1 : 0)]),
  );
}

function countByDomain(
  upstreams: readonly PlannedUpstream[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {domain} of upstreams) counts[domain] = (counts[domain] ?? 0) + 1;
  return counts;
}

/**
 * Orders upstreams for draining: cold ones first, then those with the fewest
 * requests; ties by id, so that the order is stable.
 */
function compareForDrain(a: PlannedUpstream, b: PlannedUpstream): number {
  if (a.isCold !== b.isCold) return a.isCold ? -1 : 1;
  return (a.busy ?? 0) - (b.busy ?? 0) || (a.id < b.id ? -1 : 1);
}

function getStarts(input: ScalingPlanInput): ScalingStep[] {
  const {pool, upstreams, pendingStarts} = input;
  const activeDomains = input.domains.filter(d => d.isIn).map(d => d.id);
  const counts = countByDomain(upstreams.filter(u => !u.isDraining));
  for (const [domain, count] of Object.entries(pendingStarts)) {
    counts[domain] = (counts[domain] ?? 0) + count;
  }
  const demand = getForecastDemand(input.history, pool);
  const target = getTargetUpstreamCount(pool, demand, activeDomains.length);
  const targets = spreadOverDomains(target, activeDomains, counts);
  return activeDomains
    .map(domain => ({
      type: 'start' as const,
      domain,
      count: targets[domain] - (counts[domain] ?? 0),
    }))
    .filter(step => step.count > 0);
}

/**
 * Returns at most one drain, and only if demand was low for the whole
 * scale-down period.
 */
function getDrain(input: ScalingPlanInput): ScalingStep[] {
  const {pool, history, nowMs} = input;
  if (nowMs - history.sinceMs < getScaleDownDelayMs(pool)) return [];
  const activeDomains = input.domains.filter(d => d.isIn).map(d => d.id);
  if (activeDomains.length === 0) return [];
  const serving = input.upstreams.filter(u => !u.isDraining);
  const counts = countByDomain(serving);
  const peak = Math.max(0, ...history.buckets.map(bucket => bucket.peak));
  const target = getTargetUpstreamCount(pool, peak, activeDomains.length);
  const targets = spreadOverDomains(target, activeDomains, counts);
  const surplus = serving
    .filter(u => (counts[u.domain] ?? 0) > (targets[u.domain] ?? 0))
    .sort(
      (a, b) =>
        Number(activeDomains.includes(a.domain)) -
          Number(activeDomains.includes(b.domain)) ||
        counts[b.domain] - counts[a.domain] ||
        compareForDrain(a, b),
    );
  return surplus
    .slice(0, 1)
    .map(u => ({type: 'drain', domain: u.domain, upstream: u.id}));
}

/**
 * Returns a stop step for each upstream that a scaling order drains and that is
 * empty.
 */
function getStops(input: ScalingPlanInput): ScalingStep[] {
  return input.upstreams
    .filter(u => u.isDraining && u.isStoppable && u.busy === 0)
    .map(u => ({type: 'stop', domain: u.domain, upstream: u.id}));
}

/**
 * Decides the next orders for a pool. Upstreams are started without delay; they
 * are drained only when the peak demand of the whole scale-down period is low,
 * and never while others are being started.
 */
export function planScaling(input: ScalingPlanInput): ScalingStep[] {
  const starts = getStarts(input);
  const pending = Object.values(input.pendingStarts).some(count => count > 0);
  const drains = starts.length > 0 || pending ? [] : getDrain(input);
  return [...starts, ...getStops(input), ...drains];
}
