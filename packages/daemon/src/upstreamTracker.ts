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

/** Own requests and reported load of one upstream. */
interface UpstreamEntry {
  inFlight: number;
  load: Load | null;
  loadAt: number;
  inFlightAtLoad: number;
  /** Most own requests that ran shortly before `peakAt`. */
  peak: number;
  peakAt: number;
  health: UpstreamHealth;
  /** The load of the last poll that was taken over. */
  polledLoad: Load | null;
}

/** What this entry knows of the load of its upstreams. */
export interface UpstreamTracker {
  /** Views of the upstreams of a pool that may get new work. */
  getViews(poolId: string, pool: Pool): UpstreamView[];
  /** The view of one upstream, also outside the subset. */
  getView(agent: AgentPresence, pool: Pool): UpstreamView;
  beginRequest(upstream: string): void;
  endRequest(upstream: string): void;
  /** Takes a load from an answer. */
  recordLoad(upstream: string, load: Load): void;
  /** Takes the load of an agent that refused a request because it was full. */
  recordAtCapacity(upstream: string, load: Load): void;
  recordSuccess(upstream: string): void;
  /** Counts an upstream that failed a request; some in a row eject it. */
  recordFailure(upstream: string): void;
}

/** How old a load in an answer may be when it is received, ms. */
const LOAD_LAG_MS = 50;
/** Entries of unused upstreams that are kept. */
const MAX_ENTRIES = 4_096;

function isUpstreamIn(state: ControlState, id: string): boolean {
  return getRecordBody(state, 'upstream', id)?.state !== 'draining';
}

function isDomainIn(state: ControlState, id: string): boolean {
  return getRecordBody(state, 'domain', id)?.state !== 'out';
}

/** Creates the book of an entry. */
export function createUpstreamTracker(
  clock: Clock,
  control: ControlFollower,
  membership: Membership,
  random: () => number,
): UpstreamTracker {
  const entries = new Map<string, UpstreamEntry>();

  function getEntry(id: string): UpstreamEntry {
    let entry = entries.get(id);
    if (!entry) {
      entry = {
        inFlight: 0,
        load: null,
        loadAt: 0,
        inFlightAtLoad: 0,
        peak: 0,
        peakAt: 0,
        health: healthyUpstream,
        polledLoad: null,
      };
      entries.set(id, entry);
      trimEntries();
    }
    return entry;
  }

  function trimEntries(): void {
    for (const [id, entry] of entries) {
      if (entries.size <= MAX_ENTRIES) return;
      if (entry.inFlight === 0) entries.delete(id);
    }
  }

  /**
   * Own requests that a load received now may include. Answers that arrive
   * together state loads from before the first of them ended, so a recent
   * peak counts; otherwise own requests would look like other entries'.
   */
  function getOwnShare(entry: UpstreamEntry): number {
    const isRecent = clock.now() - entry.peakAt < LOAD_LAG_MS;
    return isRecent ? Math.max(entry.peak, entry.inFlight) : entry.inFlight;
  }

  function setLoad(entry: UpstreamEntry, load: Load, ownShare: number): void {
    entry.load = load;
    entry.loadAt = clock.now();
    entry.inFlightAtLoad = ownShare;
  }

  function noteLoad(id: string, load: Load): void {
    const entry = getEntry(id);
    setLoad(entry, load, getOwnShare(entry));
  }

  function notePeak(entry: UpstreamEntry): void {
    const now = clock.now();
    const isOld = now - entry.peakAt >= LOAD_LAG_MS;
    if (!isOld && entry.inFlight < entry.peak) return;
    entry.peak = entry.inFlight;
    entry.peakAt = now;
  }

  function getView(agent: AgentPresence, pool: Pool): UpstreamView {
    const {upstream, domain} = agent.instance;
    const entry = getEntry(upstream.id);
    // The presence keeps the load of a poll until the next one, and answers
    // bring newer loads in between.
    if (agent.load && entry.polledLoad !== agent.load) {
      entry.polledLoad = agent.load;
      setLoad(entry, agent.load, getOwnShare(entry));
    }
    const state = control.getState();
    return {
      id: upstream.id,
      domain,
      isLeaving: agent.isLeaving || !isUpstreamIn(state, upstream.id),
      isDomainIn: isDomainIn(state, domain),
      isEjected: isUpstreamEjected(entry.health, clock.now(), entry.inFlight),
      inFlight: entry.inFlight,
      load: entry.load,
      loadAgeMs: clock.now() - entry.loadAt,
      inFlightAtLoad: entry.inFlightAtLoad,
      // Without a report the upstream may be cold (R9).
      assumedLimit: pool.ramp.initial,
    };
  }

  return {
    getView,
    recordLoad: noteLoad,
    getViews: (poolId, pool) =>
      membership.getCandidates(poolId).map(agent => getView(agent, pool)),
    beginRequest: id => {
      getEntry(id).inFlight += 1;
    },
    endRequest: id => {
      const entry = getEntry(id);
      notePeak(entry);
      entry.inFlight -= 1;
    },
    recordAtCapacity: (id, load) => {
      const entry = getEntry(id);
      // The refused request itself is in flight but not in the load.
      setLoad(entry, load, Math.max(0, entry.inFlight - 1));
    },
    recordSuccess: id => {
      getEntry(id).health = healthyUpstream;
    },
    recordFailure: id => {
      const entry = getEntry(id);
      entry.health = addUpstreamFailure(entry.health, clock.now(), random);
    },
  };
}
