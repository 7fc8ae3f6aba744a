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

/** The agents that one request may be sent to. */
export interface Targets {
  /** Queue of the admission in which the request waits. */
  queue: string;
  /** True if no agent of the pool is known at all. */
  isEmpty: boolean;
  getCapacity(): Capacity;
  /** The next agent to try; null if none has room now. */
  getNext(): AgentPresence | null;
  /** Excludes an agent that did not give an answer. */
  exclude(upstream: string): void;
}

/** What choosing a target depends on. */
export interface TargetContext {
  membership: Membership;
  tracker: UpstreamTracker;
  policy: ChoicePolicy;
  /** Failure domain of this entry. */
  domain: string;
  random: () => number;
  /** Counts the choices of this entry, for round robin. */
  getTurn: () => number;
}

function getFreeTotal(views: readonly UpstreamView[]): number {
  return views.reduce((sum, view) => sum + getFreeSlots(view), 0);
}

/** Targets of requests that any upstream of the pool may run. */
function createPoolTargets(
  context: TargetContext,
  request: DispatchRequest,
): Targets {
  const {membership, tracker: book} = context;
  const always = new Set(request.avoid ?? []);
  const excluded = new Set(always);

  function getEligibleViews(avoid: ReadonlySet<string>): UpstreamView[] {
    return getEligibleUpstreams(
      book.getViews(request.poolId, request.pool),
      avoid,
    );
  }

  return {
    queue: request.poolId,
    // Listing all members of a large pool costs more than the candidates.
    isEmpty:
      membership.getCandidates(request.poolId).length === 0 &&
      membership.getPoolMembers(request.poolId).length === 0,
    getCapacity: () => {
      const views = getEligibleViews(always);
      return {slots: getFreeTotal(views), hasUpstream: views.length > 0};
    },
    getNext: () => {
      let views = getEligibleViews(excluded);
      if (views.length === 0) {
        // All were tried, so each may be tried again.
        excluded.clear();
        for (const id of always) excluded.add(id);
        views = getEligibleViews(excluded);
      }
      const free = views.filter(view => getFreeSlots(view) > 0);
      const chosen = chooseUpstream(context.policy, {
        upstreams: free,
        avoid: excluded,
        domain: context.domain,
        affinity: request.affinity,
        random: context.random,
        turn: context.getTurn(),
      });
      return chosen && membership.getAgent(chosen.id);
    },
    exclude: id => excluded.add(id),
  };
}

/**
 * Targets of a request with an idempotency key: the home agent, and the
 * backup only after the home refused the connection or is leaving.
 */
function createHomeTargets(
  context: TargetContext,
  request: DispatchRequest,
  key: string,
): Targets {
  const {membership, tracker: book} = context;
  const agents = new Map(
    membership
      .getPoolMembers(request.poolId)
      .map(agent => [agent.instance.upstream.id, agent]),
  );
  const pair = getRendezvousOrder(key, [...agents.keys()]).slice(0, 2);
  let place = 0;

  function getCurrent(): AgentPresence | null {
    const id = pair[place];
    return membership.getAgent(id) ?? agents.get(id) ?? null;
  }

  return {
    // Each home has a queue of its own, as the pool's other upstreams
    // cannot run its requests.
    queue: `${request.poolId}@${pair[0] ?? ''}`,
    isEmpty: pair.length === 0,
    getCapacity: () => {
      const agent = getCurrent();
      if (!agent) return {slots: 0, hasUpstream: false};
      const view = book.getView(agent, request.pool);
      // A home that was never heard may be gone; finding out must not be
      // limited to one request at a time.
      const unheard = request.pool.maxConcurrent - view.inFlight;
      const slots = view.load ? getFreeSlots(view) : Math.max(1, unheard);
      return {slots, hasUpstream: true};
    },
    getNext: () => getCurrent(),
    exclude: id => {
      if (id === pair[place] && place < pair.length - 1) place += 1;
    },
  };
}

/** Chooses the kind of targets that a request needs. */
export function createTargets(
  context: TargetContext,
  request: DispatchRequest,
): Targets {
  return request.idempotencyKey === undefined
    ? createPoolTargets(context, request)
    : createHomeTargets(context, request, request.idempotencyKey);
}
