import type {Upstream} from '../upstreams/index.js';
import {chooseUpstream} from '../upstreams/index.js';
import type {ForwardContext, ForwardRequest} from './types.js';

/** Reason of a request that ends because it may not be sent any more. */
export const NOT_PERMITTED_REASON = 'the request is no longer permitted';

/** Chooses among the usable upstreams for the next attempt of a request. */
export function chooseForRequest(
  context: ForwardContext,
  request: ForwardRequest,
  usable: readonly Upstream[],
  tried: ReadonlySet<Upstream>,
): Upstream | null {
  const {pool, isBackground} = request;
  return chooseUpstream(usable, {
    pool,
    coldShare: context.getColdShare(pool),
    domain: context.domain,
    tried,
    weights: null,
    maxInFlight: pool.maxConnections,
    isBackground,
  });
}
