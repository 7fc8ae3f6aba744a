import type {DomainId, UpstreamId} from '@vanillacross/common';
import type {PlacementCost} from '@vanillacross/domain';

import type {Obstacle, UpstreamCriteria} from './chooseUpstream.js';
import {
  TIE_COST,
  conditions,
  getCandidateCost,
  getCandidates,
  summarizeCandidates,
} from './chooseUpstream.js';
import type {Upstream} from './upstream.js';

/** An upstream of a pool as a choice sees it. */
export interface ExplainedUpstream {
  id: UpstreamId;
  domain: DomainId;
  slots: number;
  occupancy: number;
  /** Requests of this process. */
  inFlight: number;
  /** Null if it is no candidate. */
  cost: PlacementCost | null;
  /** Why it is no candidate; empty for a candidate. */
  obstacles: readonly string[];
}

/** A choice among the upstreams of a pool. */
export interface ExplainedChoice {
  /** Null if no upstream can take the request. */
  chosen: UpstreamId | null;
  /**
   * Upstreams whose costs differ so little from the lowest one that chance decides
   * among them; the chosen one is the cheapest, and the first by id if several
   * cost the same.
   */
  tied: readonly UpstreamId[];
  /** Requests of the least loaded candidates once all that wait are placed. */
  fillLevel: number;
  /** Candidates from the cheapest on, then the others by id. */
  upstreams: readonly ExplainedUpstream[];
}

/** The conditions of a choice, without those that change state. */
const readOnlyConditions: typeof conditions = {
  ...conditions,
  cold_limit: (upstream, {pool, coldShare}) =>
    upstream.wouldBeWithinColdLimit(pool, coldShare),
};

function getObstacles(
  upstream: Upstream,
  criteria: UpstreamCriteria,
): Obstacle[] {
  const names = Object.keys(readOnlyConditions) as Obstacle[];
  return names.filter(name => !readOnlyConditions[name](upstream, criteria));
}

function compareIds(a: {id: UpstreamId}, b: {id: UpstreamId}): number {
  if (a.id === b.id) return 0;
  return a.id < b.id ? -1 : 1;
}

/**
 * Explains what `chooseUpstream` would choose, without any change of state.
 *
 * @param listed All listed upstreams of the pool.
 * @param getExclusions Returns why an upstream is not among those that
 * `chooseUpstream` would get.
 */
export function explainChoice(
  listed: readonly Upstream[],
  criteria: UpstreamCriteria,
  getExclusions: (upstream: Upstream) => readonly string[],
): ExplainedChoice {
  const obstacles = new Map(
    listed.map(upstream => [
      upstream,
      [
        ...new Set([
          ...getExclusions(upstream),
          ...getObstacles(upstream, criteria),
        ]),
      ],
    ]),
  );
  const eligible = listed.filter(u => obstacles.get(u)?.length === 0);
  const candidates = getCandidates(eligible);
  for (const upstream of eligible) {
    if (!candidates.includes(upstream)) obstacles.set(upstream, ['ejected']);
  }
  const summary = summarizeCandidates(candidates, criteria);
  const upstreams = listed.map(upstream => ({
    id: upstream.id,
    domain: upstream.entry.domain,
    slots: upstream.entry.slots,
    occupancy: upstream.getOccupancy(),
    inFlight: upstream.inFlight,
    cost: candidates.includes(upstream)
      ? getCandidateCost(upstream, criteria, summary)
      : null,
    obstacles: obstacles.get(upstream) ?? [],
  }));
  const ranked = upstreams
    .filter(({cost}) => cost !== null)
    .sort((a, b) => a.cost!.total - b.cost!.total || compareIds(a, b));
  const others = upstreams.filter(({cost}) => cost === null).sort(compareIds);
  const lowest = ranked[0]?.cost?.total ?? Infinity;
  return {
    chosen: ranked[0]?.id ?? null,
    tied: ranked
      .filter(({cost}) => cost!.total < lowest + TIE_COST)
      .map(({id}) => id),
    fillLevel: summary.fillLevel,
    upstreams: [...ranked, ...others],
  };
}
