import type {DomainId} from '@vanillacross/common';

import type {Pool} from '../model/index.js';
import type {Upstream} from './upstream.js';

/** What an upstream must have to be chosen. */
export interface UpstreamCriteria {
  pool: Pool;
  /** Requests per second that this process may send to a cold upstream. */
  coldShare: number;
  /** Preferred where the load is equal. */
  domain: DomainId;
  /** Upstreams to avoid, as they were tried. */
  tried: ReadonlySet<Upstream>;
  /** Model and oldest version that it must serve. */
  weights: {model: string; minVersion: number} | null;
  /** Most requests of this process at one upstream. */
  maxInFlight: number;
  /** Leaves slots free for more urgent requests. */
  isBackground: boolean;
}

/** Part of the slots that background requests may take. */
const BACKGROUND_SHARE = 0.7;

function hasSlots(upstream: Upstream, demand: UpstreamCriteria): boolean {
  if (!demand.isBackground) return true;
  const most = Math.max(1, Math.floor(upstream.entry.slots * BACKGROUND_SHARE));
  return upstream.getOccupancy() < most;
}

function hasWeights(upstream: Upstream, demand: UpstreamCriteria): boolean {
  if (!demand.weights) return true;
  const {model, minVersion} = demand.weights;
  if (upstream.isLoading(model)) return false;
  return upstream.getVersion(model) >= minVersion;
}

function getScore(
  upstream: Upstream,
  demand: UpstreamCriteria,
  bestPaceMs: number,
): number {
  const slots = Math.max(1, upstream.entry.slots);
  const isNear = upstream.entry.domain === demand.domain;
  const slowness = (upstream.getEventIntervalMs() ?? bestPaceMs) / bestPaceMs;
  const occupancy = upstream.getOccupancy() + 1 + (isNear ? 0 : 0.5);
  return (occupancy * Math.max(1, slowness)) / slots;
}

/** The shortest usual pause between events, ms; 1 if none is known. */
export function getShortestEventIntervalMs(
  upstreams: readonly Upstream[],
): number {
  const paces = upstreams
    .map(u => u.getEventIntervalMs())
    .filter(pace => pace !== null);
  return Math.max(1, paces.length === 0 ? 1 : Math.min(...paces));
}

/** The least loaded upstream that fits, or null. */
export function chooseUpstream(
  upstreams: readonly Upstream[],
  demand: UpstreamCriteria,
): Upstream | null {
  const fitting = upstreams.filter(
    upstream =>
      !demand.tried.has(upstream) &&
      upstream.inFlight < demand.maxInFlight &&
      hasSlots(upstream, demand) &&
      hasWeights(upstream, demand) &&
      upstream.hasColdCapacity(demand.pool, demand.coldShare),
  );
  const healthy = fitting.filter(upstream => !upstream.isEjected());
  // Where all look unhealthy, refusing everything helps nobody.
  const candidates = healthy.length > 0 ? healthy : fitting;
  const bestPaceMs = getShortestEventIntervalMs(candidates);
  let best: Upstream | null = null;
  let bestScore = Infinity;
  for (const upstream of candidates) {
    const score = getScore(upstream, demand, bestPaceMs) + Math.random() * 1e-3;
    if (score >= bestScore) continue;
    best = upstream;
    bestScore = score;
  }
  return best;
}
