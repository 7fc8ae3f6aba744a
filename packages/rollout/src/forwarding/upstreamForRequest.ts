import type {MonotonicMs} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {getPermitTime, noText} from '@vanillacross/domain';

import type {SchedulingPolicy} from '../model/index.js';
import type {PlacementCriteria, Upstream} from '../upstreams/index.js';
import type {UpstreamCriteria} from '../upstreams/index.js';
import {chooseUpstream} from '../upstreams/index.js';
import type {ForwardContext, ForwardRequest} from './types.js';

/** Requests come one by one, and this process knows no others that wait. */
const placements: Readonly<
  Record<SchedulingPolicy['placement'], PlacementCriteria | null>
> = {
  spread: null,
  concentrated: {waitingCount: 1, getSavedWork: () => 0},
};

/** Reason of a request that ends because it may not be sent any more. */
export const NOT_PERMITTED_REASON = 'the request is no longer permitted';

/** What limits the choice of an upstream beside the request itself. */
export interface ChoiceLimits {
  /** Origin of the text so far. */
  origin?: TextOrigin;
  /** Whether a slot may be free; if absent, fixed limits decide. */
  hasSlot?: (upstream: Upstream) => boolean;
}

/** Chooses among the usable upstreams for the next attempt of a request. */
export function chooseForRequest(
  context: ForwardContext,
  request: ForwardRequest,
  usable: readonly Upstream[],
  tried: ReadonlySet<Upstream>,
  limits: ChoiceLimits = {},
): Upstream | null {
  context.directory.recordDemand(request.pool.id);
  const criteria = getRequestCriteria(context, request, tried, limits);
  return chooseUpstream(usable, criteria);
}

/** Returns what an upstream must meet for the next attempt of a request. */
export function getRequestCriteria(
  context: ForwardContext,
  {pool, isBackground}: Pick<ForwardRequest, 'pool' | 'isBackground'>,
  tried: ReadonlySet<Upstream>,
  {origin = noText, hasSlot}: ChoiceLimits = {},
): UpstreamCriteria {
  return {
    pool,
    coldShare: context.getColdShare(pool),
    domain: context.domain,
    tried,
    weights: null,
    origin,
    maxInFlight: pool.maxConnections,
    isBackground,
    hasSlot,
    placement: placements[context.policy.placement],
  };
}

/**
 * Returns when the request limits of upstreams let them take a request that has
 * others before it; null if one of them has no limit.
 *
 * @param countBefore Returns the number of these others; it is not called if an
 * upstream has no limit.
 */
export function getPlaceAt(
  upstreams: readonly Upstream[],
  countBefore: () => number,
  now: MonotonicMs,
): number | null {
  const buckets = upstreams
    .map(upstream => upstream.notices.getPermitBucket())
    .filter(bucket => bucket !== null);
  if (buckets.length < upstreams.length) return null;
  return getPermitTime(buckets, countBefore() + 1, now);
}
