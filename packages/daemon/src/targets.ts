import {getRendezvousOrder} from '@vanillacross/common';
import type {ChoicePolicy, UpstreamView} from '@vanillacross/domain';
import {
  chooseUpstream,
  getEligibleUpstreams,
  getFreeSlots,
} from '@vanillacross/domain';

import type {Capacity} from './admissionScheduler.js';
import type {AgentPresence, DispatchRequest, Membership} from './types.js';
import type {UpstreamTracker} from './upstreamTracker.js';

/** Selects the agents to which one request may be sent. */
export interface Targets {
  /** Admission queue in which the request waits. */
  queue: string;
  /** True if no agent of the pool is known. */
  isEmpty: boolean;
  getCapacity(): Capacity;
  /** Returns the next agent to try; null if none has capacity now. */
  getNext(): AgentPresence | null;
  /** Excludes an upstream after a failed attempt. */
  exclude(upstream: string): void;
}

/** Dependencies of target selection. */
export interface TargetContext {
  membership: Membership;
  tracker: UpstreamTracker;
  policy: ChoicePolicy;
  /** Failure domain of this entry. */
  domain: string;
  random: () => number;
  /** Increments the round-robin counter and returns its previous value. */
  takeTurn: () => number;
}

function getTotalFreeSlots(views: readonly UpstreamView[]): number {
  return views.reduce((sum, view) => sum + getFreeSlots(view), 0);
}

/** Creates targets for requests that any upstream of the pool may run. */
function createPoolTargets(
  context: TargetContext,
  request: DispatchRequest,
): Targets {
  const {membership, tracker} = context;
  const avoided = new Set(request.avoid ?? []);
  const excluded = new Set(avoided);

  function getEligibleViews(avoid: ReadonlySet<string>): UpstreamView[] {
    return getEligibleUpstreams(
      tracker.getViews(request.poolId, request.pool),
      avoid,
    );
  }

  return {
    queue: request.poolId,
    // Candidates are checked first, as listing all members of a large pool is
    // more expensive.
    isEmpty:
      membership.getCandidates(request.poolId).length === 0 &&
      membership.getPoolMembers(request.poolId).length === 0,
    getCapacity: () => {
      const views = getEligibleViews(avoided);
      return {slots: getTotalFreeSlots(views), hasUpstream: views.length > 0};
    },
    getNext: () => {
      let views = getEligibleViews(excluded);
      if (views.length === 0) {
        // All upstreams were tried; start over.
        excluded.clear();
        for (const id of avoided) excluded.add(id);
        views = getEligibleViews(excluded);
      }
      const free = views.filter(view => getFreeSlots(view) > 0);
      const chosen = chooseUpstream(context.policy, {
        upstreams: free,
        avoid: excluded,
        domain: context.domain,
        affinity: request.affinity,
        random: context.random,
        turn: context.takeTurn(),
      });
      return chosen && membership.getAgent(chosen.id);
    },
    exclude: id => excluded.add(id),
  };
}

/**
 * Creates targets for a request with an idempotency key. The home agent of a
 * key is the first agent in its rendezvous order, the backup agent the second.
 * The backup agent is used only after the home agent refused the connection or
 * reported that it accepts no new requests.
 */
function createHomeTargets(
  context: TargetContext,
  request: DispatchRequest,
  key: string,
): Targets {
  const {membership, tracker} = context;
  const agents = new Map(
    membership
      .getPoolMembers(request.poolId)
      .map(agent => [agent.instance.upstream.id, agent]),
  );
  const rankedIds = getRendezvousOrder(key, [...agents.keys()]).slice(0, 2);
  let index = 0;

  function getCurrent(): AgentPresence | null {
    const id = rankedIds[index];
    return membership.getAgent(id) ?? agents.get(id) ?? null;
  }

  return {
    // Each home agent has its own queue, since the other upstreams of the pool
    // cannot run its requests.
    queue: `${request.poolId}@${rankedIds[0] ?? ''}`,
    isEmpty: rankedIds.length === 0,
    getCapacity: () => {
      const agent = getCurrent();
      if (!agent) return {slots: 0, hasUpstream: false};
      const view = tracker.getView(agent, request.pool);
      // An agent without a reported load may be down. Allow concurrent requests;
      // otherwise, each queued request would have to find that out in turn.
      const assumedSlots = request.pool.maxConcurrent - view.inFlight;
      const slots = view.load ? getFreeSlots(view) : Math.max(1, assumedSlots);
      return {slots, hasUpstream: true};
    },
    getNext: () => getCurrent(),
    exclude: id => {
      if (id === rankedIds[index] && index < rankedIds.length - 1) index += 1;
    },
  };
}

export function createTargets(
  context: TargetContext,
  request: DispatchRequest,
): Targets {
  return request.idempotencyKey === undefined
    ? createPoolTargets(context, request)
    : createHomeTargets(context, request, request.idempotencyKey);
}
