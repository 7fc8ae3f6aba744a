import type {Clock} from '@vanillacross/common';
import type {
  ControlState,
  Load,
  Pool,
  UpstreamView,
} from '@vanillacross/domain';
import {getBody} from '@vanillacross/domain';

import type {AgentPresence, ControlFollower, Membership} from './types.js';

/** Own requests and reported load of one upstream. */
interface UpstreamEntry {
  inFlight: number;
  load: Load | null;
  loadAt: number;
  inFlightAtLoad: number;
  /** The load of the last poll that was taken over. */
  polledLoad: Load | null;
}

/** What this entry knows of the load of its upstreams. */
export interface UpstreamBook {
  /** Views of the upstreams of a pool that may get new work. */
  getViews(poolId: string, pool: Pool): UpstreamView[];
  /** The view of one upstream, also outside the subset. */
  getView(agent: AgentPresence, pool: Pool): UpstreamView;
  begin(upstream: string): void;
  end(upstream: string): void;
  noteLoad(upstream: string, load: Load): void;
}

/** Entries of unused upstreams that are kept. */
const MAX_ENTRIES = 4_096;

function isUpstreamIn(state: ControlState, id: string): boolean {
  return getBody(state, 'upstream', id)?.state !== 'draining';
}

function isDomainIn(state: ControlState, id: string): boolean {
  return getBody(state, 'domain', id)?.state !== 'out';
}

/** Creates the book of an entry. */
export function createUpstreamBook(
  clock: Clock,
  control: ControlFollower,
  membership: Membership,
): UpstreamBook {
  const entries = new Map<string, UpstreamEntry>();

  function getEntry(id: string): UpstreamEntry {
    let entry = entries.get(id);
    if (!entry) {
      entry = {
        inFlight: 0,
        load: null,
        loadAt: 0,
        inFlightAtLoad: 0,
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

  function noteLoad(id: string, load: Load): void {
    const entry = getEntry(id);
    if (entry.load === load) return;
    entry.load = load;
    entry.loadAt = clock.now();
    entry.inFlightAtLoad = entry.inFlight;
  }

  function getView(agent: AgentPresence, pool: Pool): UpstreamView {
    const {upstream, domain} = agent.instance;
    const entry = getEntry(upstream.id);
    // The presence keeps the load of a poll until the next one, and answers
    // bring newer loads in between.
    if (agent.load && entry.polledLoad !== agent.load) {
      entry.polledLoad = agent.load;
      noteLoad(upstream.id, agent.load);
    }
    const state = control.getState();
    return {
      id: upstream.id,
      domain,
      isLeaving: agent.isLeaving || !isUpstreamIn(state, upstream.id),
      isDomainIn: isDomainIn(state, domain),
      isEjected: false,
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
    noteLoad,
    getViews: (poolId, pool) =>
      membership.getCandidates(poolId).map(agent => getView(agent, pool)),
    begin: id => {
      getEntry(id).inFlight += 1;
    },
    end: id => {
      getEntry(id).inFlight -= 1;
    },
  };
}
