import type {Clock} from '@vanillacross/common';
import type {
  ControlState,
  Load,
  Pool,
  UpstreamHealth,
  UpstreamView,
} from '@vanillacross/domain';
import {
  addUpstreamFailure,
  getRecordBody,
  healthyUpstream,
  isUpstreamEjected,
} from '@vanillacross/domain';

import type {AgentPresence, ControlFollower, Membership} from './types.js';

/** In-flight requests, reported load and health of one upstream. */
interface UpstreamStats {
  inFlight: number;
  load: Load | null;
  /** When `load` was received. */
  loadAt: number;
  /** Number of requests of this entry that `load` is assumed to include. */
  inFlightAtLoad: number;
  /** Highest recent `inFlight`, observed at `peakAt`. */
  peakInFlight: number;
  peakAt: number;
  health: UpstreamHealth;
  /** Last load taken over from the agent's presence. */
  presenceLoad: Load | null;
}

/** Tracks the load and health of upstreams as seen by this entry. */
export interface UpstreamTracker {
  /** Views of the candidate upstreams of a pool, including ejected ones. */
  getViews(poolId: string, pool: Pool): UpstreamView[];
  /** The view of one upstream, even if it is not assigned to this entry. */
  getView(agent: AgentPresence, pool: Pool): UpstreamView;
  beginRequest(upstream: string): void;
  endRequest(upstream: string): void;
  /** Records the load from a response. */
  recordLoad(upstream: string, load: Load): void;
  /** Records the load of an agent that refused a request at its limit. */
  recordAtCapacity(upstream: string, load: Load): void;
  recordSuccess(upstream: string): void;
  /** Counts a failed request; consecutive failures eject the upstream. */
  recordFailure(upstream: string): void;
}

/**
 * Assumed maximum time between the measurement of a load and its arrival, ms. The
 * peak of in-flight requests is kept for this time.
 */
const MAX_LOAD_AGE_MS = 50;
/** Limit of tracked upstreams; beyond it, idle ones are evicted. */
const MAX_UPSTREAMS = 4_096;

function isUpstreamActive(state: ControlState, id: string): boolean {
  return getRecordBody(state, 'upstream', id)?.state !== 'draining';
}

function isDomainActive(state: ControlState, id: string): boolean {
  return getRecordBody(state, 'domain', id)?.state !== 'out';
}

export function createUpstreamTracker(
  clock: Clock,
  control: ControlFollower,
  membership: Membership,
  random: () => number,
): UpstreamTracker {
  const upstreams = new Map<string, UpstreamStats>();

  function getStats(id: string): UpstreamStats {
    let stats = upstreams.get(id);
    if (!stats) {
      stats = {
        inFlight: 0,
        load: null,
        loadAt: 0,
        inFlightAtLoad: 0,
        peakInFlight: 0,
        peakAt: 0,
        health: healthyUpstream,
        presenceLoad: null,
      };
      upstreams.set(id, stats);
      evictIdle();
    }
    return stats;
  }

  function evictIdle(): void {
    for (const [id, stats] of upstreams) {
      if (upstreams.size <= MAX_UPSTREAMS) return;
      if (stats.inFlight === 0) upstreams.delete(id);
    }
  }

  /**
   * Number of this entry's requests that a load report received now may include.
   * Reports that arrive together were all made before the first of these requests
   * ended, so the recent peak is used. A lower number would attribute requests of
   * this entry to other entries.
   */
  function getOwnInFlight(stats: UpstreamStats): number {
    const isRecent = clock.now() - stats.peakAt < MAX_LOAD_AGE_MS;
    return isRecent
      ? Math.max(stats.peakInFlight, stats.inFlight)
      : stats.inFlight;
  }

  function setLoad(
    stats: UpstreamStats,
    load: Load,
    ownInFlight: number,
  ): void {
    stats.load = load;
    stats.loadAt = clock.now();
    stats.inFlightAtLoad = ownInFlight;
  }

  function recordLoad(id: string, load: Load): void {
    const stats = getStats(id);
    setLoad(stats, load, getOwnInFlight(stats));
  }

  function recordPeak(stats: UpstreamStats): void {
    const now = clock.now();
    const isOld = now - stats.peakAt >= MAX_LOAD_AGE_MS;
    if (!isOld && stats.inFlight < stats.peakInFlight) return;
    stats.peakInFlight = stats.inFlight;
    stats.peakAt = now;
  }

  function getView(agent: AgentPresence, pool: Pool): UpstreamView {
    const {upstream, domain} = agent.instance;
    const stats = getStats(upstream.id);
    // The presence keeps a load until the agent reports the next one. Apply it
    // only once, as the tracker may receive newer loads in between.
    if (agent.load && stats.presenceLoad !== agent.load) {
      stats.presenceLoad = agent.load;
      setLoad(stats, agent.load, getOwnInFlight(stats));
    }
    const state = control.getState();
    return {
      id: upstream.id,
      domain,
      isLeaving: agent.isLeaving || !isUpstreamActive(state, upstream.id),
      isDomainIn: isDomainActive(state, domain),
      isEjected: isUpstreamEjected(stats.health, clock.now(), stats.inFlight),
      inFlight: stats.inFlight,
      load: stats.load,
      loadAgeMs: clock.now() - stats.loadAt,
      inFlightAtLoad: stats.inFlightAtLoad,
      // Without a reported load, the upstream may be cold (R9).
      assumedLimit: pool.ramp.initial,
    };
  }

  return {
    getView,
    recordLoad,
    getViews: (poolId, pool) =>
      membership.getCandidates(poolId).map(agent => getView(agent, pool)),
    beginRequest: id => {
      getStats(id).inFlight += 1;
    },
    endRequest: id => {
      const stats = getStats(id);
      recordPeak(stats);
      stats.inFlight -= 1;
    },
    recordAtCapacity: (id, load) => {
      const stats = getStats(id);
      // The refused request is in flight but not included in the load.
      setLoad(stats, load, Math.max(0, stats.inFlight - 1));
    },
    recordSuccess: id => {
      getStats(id).health = healthyUpstream;
    },
    recordFailure: id => {
      const stats = getStats(id);
      stats.health = addUpstreamFailure(stats.health, clock.now(), random);
    },
  };
}
