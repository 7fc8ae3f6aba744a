import type {DomainId} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {
  getFillLevel,
  getPlacementCost,
  mayExtendText,
} from '@vanillacross/domain';

import type {Pool, SchedulingPolicy} from '../model/index.js';
import type {Upstream} from './upstream.js';

/** What a concentrated placement weighs against the wait. */
export interface PlacementCriteria {
  /** Number of requests that wait for a place, this one included. */
  waitingCount: number;
  /** Returns the fraction of the work that a cached prompt saves. */
  getSavedWork: (upstream: Upstream) => number;
}

/** Requirements and preferences for choosing an upstream. */
export interface UpstreamCriteria {
  pool: Pool;
  /** Requests/s that this process may send to a cold upstream. */
  coldShare: number;
  /** Failure domain that is preferred at equal load. */
  domain: DomainId;
  /** Upstreams that are excluded because they were already tried. */
  tried: ReadonlySet<Upstream>;
  /** Model and oldest version that the upstream must serve. */
  weights: {model: string; minVersion: number} | null;
  /** Origin of the text that the upstream goes on with. */
  origin: TextOrigin;
  /** Maximum requests of this process in flight at one upstream. */
  maxInFlight: number;
  /**
   * Whether this is a background request, which may take only some of an
   * upstream's slots.
   */
  isBackground: boolean;
  /** Whether a slot may be free; if absent, the fixed share decides. */
  hasSlot?: (upstream: Upstream) => boolean;
  /** Null for a spread placement. */
  placement: PlacementCriteria | null;
}

/** Cost of another failure domain, in requests at the upstream. */
const OTHER_DOMAIN_COST = 0.5;
/**
 * Cost of opening a connection, in requests at the upstream. Without it, each
 * process of a large deployment opens connections to all upstreams of a pool,
 * although a few would carry its requests.
 */
const NEW_CONNECTION_COST = 0.75;
/**
 * Fraction of the slots of an upstream without models below which a request
 * there waits for no other one.
 */
export const FREE_SHARE = 0.5;
/**
 * Fraction of the slots that background requests may take while the demand of
 * callers is not measured.
 */
const BACKGROUND_SHARE = 0.7;

function mayTakeSlot(upstream: Upstream, criteria: UpstreamCriteria): boolean {
  if (criteria.hasSlot) return criteria.hasSlot(upstream);
  if (!criteria.isBackground) return true;
  const maxOccupancy = Math.max(
    1,
    Math.floor(upstream.entry.slots * BACKGROUND_SHARE),
  );
  return upstream.getOccupancy() < maxOccupancy;
}

function servesVersion(
  upstream: Upstream,
  criteria: UpstreamCriteria,
): boolean {
  if (!criteria.weights) return true;
  const {model, minVersion} = criteria.weights;
  if (upstream.isLoading(model)) return false;
  return upstream.getVersion(model) >= minVersion;
}

function getSlowness(upstream: Upstream, shortestIntervalMs: number): number {
  const intervalMs = upstream.getEventIntervalMs() ?? shortestIntervalMs;
  return Math.max(1, intervalMs / shortestIntervalMs);
}

/**
 * Returns the time of requests there relative to the median of the candidates;
 * the shortest time would be one of a few requests that happened to be short.
 */
function getRelativeServiceTime(
  upstream: Upstream,
  {medianServiceMs}: CandidateSummary,
): number {
  const serviceMs = upstream.getServiceTimeMs();
  if (serviceMs === null || medianServiceMs === null) return 1;
  return Math.max(1, serviceMs / medianServiceMs);
}

function getConcentratedCost(
  upstream: Upstream,
  criteria: UpstreamCriteria,
  summary: CandidateSummary,
): number {
  const isFree =
    criteria.weights === null &&
    upstream.getOccupancy() < upstream.entry.slots * FREE_SHARE;
  const candidate = {
    occupancy: isFree ? 0 : upstream.getOccupancy(),
    pace: Math.max(
      upstream.getPace(),
      getSlowness(upstream, summary.shortestIntervalMs),
      getRelativeServiceTime(upstream, summary),
    ),
    isOtherDomain: upstream.entry.domain !== criteria.domain,
    hasIdleConnection: upstream.hasIdleConnection(),
    savedWork: criteria.placement?.getSavedWork(upstream) ?? 0,
  };
  return getPlacementCost(candidate, Math.max(1, summary.fillLevel)).total;
}

function getSpreadCost(
  upstream: Upstream,
  criteria: UpstreamCriteria,
  {shortestIntervalMs}: CandidateSummary,
): number {
  const slots = Math.max(1, upstream.entry.slots);
  const isSameDomain = upstream.entry.domain === criteria.domain;
  const slowness = getSlowness(upstream, shortestIntervalMs);
  const occupancy =
    upstream.getOccupancy() +
    1 +
    (isSameDomain ? 0 : OTHER_DOMAIN_COST) +
    (upstream.hasIdleConnection() ? 0 : NEW_CONNECTION_COST);
  return (occupancy * slowness) / slots;
}

/** What the cost of a candidate is relative to. */
interface CandidateSummary {
  shortestIntervalMs: number;
  /** Null if unknown. */
  medianServiceMs: number | null;
  /** Number of requests of the least loaded candidates after all are placed. */
  fillLevel: number;
}

const costs: Readonly<
  Record<SchedulingPolicy['placement'], typeof getSpreadCost>
> = {spread: getSpreadCost, concentrated: getConcentratedCost};

function summarize(
  candidates: readonly Upstream[],
  criteria: UpstreamCriteria,
): CandidateSummary {
  const waitingCount = criteria.placement?.waitingCount ?? 0;
  const occupancies = candidates.map(upstream => upstream.getOccupancy());
  return {
    shortestIntervalMs: getShortestEventIntervalMs(candidates),
    medianServiceMs: getMedian(candidates.map(u => u.getServiceTimeMs())),
    fillLevel: getFillLevel(occupancies, waitingCount),
  };
}

/** Returns the shortest known time, ms; 1 if none is known. */
function getShortest(timesMs: ReadonlyArray<number | null>): number {
  const known = timesMs.filter(time => time !== null);
  return Math.max(1, known.length === 0 ? 1 : Math.min(...known));
}

/** Returns the median of the known times, the lower one of two; null without. */
function getMedian(timesMs: ReadonlyArray<number | null>): number | null {
  const known = timesMs.filter(time => time !== null).sort((a, b) => a - b);
  return known.length === 0 ? null : known[Math.floor((known.length - 1) / 2)];
}

/** Returns the shortest known event interval, ms; 1 if none is known. */
export function getShortestEventIntervalMs(
  upstreams: readonly Upstream[],
): number {
  return getShortest(upstreams.map(u => u.getEventIntervalMs()));
}

/** Returns the cheapest upstream that meets the criteria, or null. */
export function chooseUpstream(
  upstreams: readonly Upstream[],
  criteria: UpstreamCriteria,
): Upstream | null {
  const eligible = upstreams.filter(
    upstream =>
      !criteria.tried.has(upstream) &&
      upstream.inFlight < criteria.maxInFlight &&
      mayTakeSlot(upstream, criteria) &&
      servesVersion(upstream, criteria) &&
      mayExtendText(criteria.origin, upstream.entry.software) &&
      upstream.notices.mayStart() &&
      upstream.isWithinColdLimit(criteria.pool, criteria.coldShare),
  );
  const healthy = eligible.filter(upstream => !upstream.isEjected());
  // If all upstreams are ejected, use them anyway instead of refusing requests.
  const candidates = healthy.length > 0 ? healthy : eligible;
  const summary = summarize(candidates, criteria);
  const getCost = costs[criteria.placement ? 'concentrated' : 'spread'];
  let best: Upstream | null = null;
  let lowestCost = Infinity;
  for (const upstream of candidates) {
    const cost = getCost(upstream, criteria, summary) + Math.random() * 1e-3;
    if (cost >= lowestCost) continue;
    best = upstream;
    lowestCost = cost;
  }
  return best;
}
