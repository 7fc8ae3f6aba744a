import type {DomainId} from '@vanillacross/common';
import type {PlacementCost, TextOrigin} from '@vanillacross/domain';
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
): PlacementCost {
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
  return getPlacementCost(candidate, Math.max(1, summary.fillLevel));
}

function getSpreadCost(
  upstream: Upstream,
  criteria: UpstreamCriteria,
  {shortestIntervalMs}: CandidateSummary,
): PlacementCost {
  const slots = Math.max(1, upstream.entry.slots);
  const isSameDomain = upstream.entry.domain === criteria.domain;
  const slowness = getSlowness(upstream, shortestIntervalMs);
  const wait = upstream.getOccupancy() + 1;
  const otherDomain = isSameDomain ? 0 : OTHER_DOMAIN_COST;
  const newConnection = upstream.hasIdleConnection() ? 0 : NEW_CONNECTION_COST;
  const scale = (requests: number) => (requests * slowness) / slots;
  return {
    wait: scale(wait),
    otherDomain: scale(otherDomain),
    newConnection: scale(newConnection),
    savedWork: 0,
    total: scale(wait + otherDomain + newConnection),
  };
}

/** What the cost of a candidate is relative to. */
export interface CandidateSummary {
  shortestIntervalMs: number;
  /** Null if unknown. */
  medianServiceMs: number | null;
  /** Number of requests of the least loaded candidates after all are placed. */
  fillLevel: number;
}

const costs: Readonly<
  Record<SchedulingPolicy['placement'], typeof getSpreadCost>
> = {spread: getSpreadCost, concentrated: getConcentratedCost};

/** Returns what the costs of candidates are relative to. */
export function summarizeCandidates(
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

/** Why an upstream in service does not take a request. */
export type Obstacle =
  | 'tried'
  | 'connections'
  | 'full'
  | 'loading'
  | 'version'
  | 'software'
  | 'request_limit'
  | 'cold_limit';

/** What an upstream must meet to be eligible, by the obstacle otherwise. */
export const conditions: Readonly<
  Record<Obstacle, (upstream: Upstream, criteria: UpstreamCriteria) => boolean>
> = {
  tried: (upstream, {tried}) => !tried.has(upstream),
  connections: ({inFlight}, {maxInFlight}) => inFlight < maxInFlight,
  full: mayTakeSlot,
  loading: (upstream, {weights}) =>
    !weights || !upstream.isLoading(weights.model),
  version: (upstream, {weights}) =>
    !weights || upstream.getVersion(weights.model) >= weights.minVersion,
  software: ({entry}, {origin}) => mayExtendText(origin, entry.software),
  request_limit: ({notices}) => notices.mayStart(),
  cold_limit: (upstream, {pool, coldShare}) =>
    upstream.isWithinColdLimit(pool, coldShare),
};
const CONDITIONS = Object.values(conditions);

/** Returns the candidates among the eligible upstreams. */
export function getCandidates(
  eligible: readonly Upstream[],
): readonly Upstream[] {
  const healthy = eligible.filter(upstream => !upstream.isEjected());
  // If all upstreams are ejected, use them anyway instead of refusing requests.
  return healthy.length > 0 ? healthy : eligible;
}

/** Returns the cost of a candidate with its terms. */
export function getCandidateCost(
  upstream: Upstream,
  criteria: UpstreamCriteria,
  summary: CandidateSummary,
): PlacementCost {
  const getCost = costs[criteria.placement ? 'concentrated' : 'spread'];
  return getCost(upstream, criteria, summary);
}

/** Difference of costs within which chance decides. */
export const TIE_COST = 1e-3;

/** Returns the cheapest upstream that meets the criteria, or null. */
export function chooseUpstream(
  upstreams: readonly Upstream[],
  criteria: UpstreamCriteria,
): Upstream | null {
  const eligible = upstreams.filter(upstream =>
    CONDITIONS.every(isMet => isMet(upstream, criteria)),
  );
  const candidates = getCandidates(eligible);
  const summary = summarizeCandidates(candidates, criteria);
  let best: Upstream | null = null;
  let lowestCost = Infinity;
  for (const upstream of candidates) {
    const {total} = getCandidateCost(upstream, criteria, summary);
    const cost = total + Math.random() * TIE_COST;
    if (cost >= lowestCost) continue;
    best = upstream;
    lowestCost = cost;
  }
  return best;
}
