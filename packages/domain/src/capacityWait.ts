import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

/** A request that no upstream of its pool can take now. */
export interface WaitingRequest {
  now: MonotonicMs;
  arrivedAt: MonotonicMs;
  deadline: MonotonicMs;
  /** Number of upstreams of the pool that are in service, busy or not. */
  upstreamCount: number;
  /**
   * When the request limits of the pool's upstreams let them take this request
   * after those that wait longer; null if an upstream has no limit.
   */
  placeAt: number | null;
}

export type CapacityDecision =
  {tag: 'wait'; until: MonotonicMs} | {tag: 'refuse'; retryAfterMs: number};

/** Interval at which a busy pool is looked at again, ms. */
const POLL_INTERVAL_MS = 15;
/** Fraction of its time for which a request waits for a busy pool. */
const WAIT_SHARE = 0.7;
/**
 * Fraction of the time that is left after which the caller of a refused request
 * returns: early enough to be served then, and late enough to find another
 * state of the pool.
 */
const RETURN_SHARE = 0.25;
/** Shortest retry delay for a caller whose request was refused, ms. */
export const MIN_RETRY_AFTER_MS = 60;

/**
 * Decides whether a request waits for an upstream or is refused. It answers a
 * load of more requests than the upstreams of a pool may take, and pools that
 * have lost all upstreams or whose upstreams all state a request limit. A pool
 * without upstreams serves nobody until a new one is listed, so its callers are
 * refused at once, and so are those who would wait too long for limited
 * upstreams; a busy pool frees places all the time, so its callers wait while
 * another attempt can still follow.
 */
export function decideCapacityWait(request: WaitingRequest): CapacityDecision {
  const {now, arrivedAt, deadline, upstreamCount, placeAt} = request;
  const waitsUntil = arrivedAt + (deadline - arrivedAt) * WAIT_SHARE;
  const isServable = upstreamCount > 0 && (placeAt ?? now) < waitsUntil;
  if (isServable && now < waitsUntil) {
    return {tag: 'wait', until: getDeadline(now, POLL_INTERVAL_MS)};
  }
  const leftMs = Math.max(0, deadline - now);
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, leftMs * RETURN_SHARE);
  return {tag: 'refuse', retryAfterMs: Math.round(retryAfterMs)};
}
