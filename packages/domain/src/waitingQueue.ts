import type {AccountId, MonotonicMs} from '@vanillacross/common';

import {MIN_RETRY_AFTER_MS} from './capacityWait.js';

/** What the order of a request that waits for a slot depends on. */
export interface OrderedRequest {
  /** Null if the route needs no account; these requests count as one account. */
  account: AccountId | null;
  /** 0 is the highest priority. */
  priority: number;
  deadline: MonotonicMs;
  /** Unfinished samples of the group that a scoring call belongs to. */
  unfinishedInGroup: number;
}

/** Why a request does not wait for a slot. */
export type WaitRefusal = 'no_upstream' | 'deadline' | 'full';

export type WaitDecision = {tag: 'wait'} | {tag: 'refuse'; reason: WaitRefusal};

/** A place in the order of waiting requests. */
export interface WaitPlace {
  now: MonotonicMs;
  deadline: MonotonicMs;
  /** Whether it has been let wait before. */
  isWaiting: boolean;
  /** Number of requests before it. */
  before: number;
  /** Expected time between two starts of waiting requests, ms. */
  intervalMs: number;
  /** Mean service time, ms. */
  serviceMs: number;
  /** When request limits of the upstreams allow it to start; null if at once. */
  permitAt: number | null;
}

/** Longest `Retry-After` of a refused caller, ms. */
const MAX_RETRY_AFTER_MS = 5_000;
/**
 * Fraction of the time that is left after which the caller of a pool without
 * upstreams returns.
 */
const RETURN_SHARE = 0.25;
/**
 * Factor on the expected times of the returns of refused callers. It leaves slots
 * to requests that come meanwhile; at the full rate, returning callers kept a
 * queue of 290 ms in a test load.
 */
const RETURN_MARGIN = 1.2;
/** Minimum distance between the returns of two refused callers, ms. */
const MIN_RETURN_INTERVAL_MS = 1;
/** Shortest time for which an attempt can be useful, ms. */
const MIN_SERVICE_MS = 20;
/**
 * Factor on the expected wait of a request that begins to wait. Without it, the
 * estimate's noise refuses requests that have already waited for most of their
 * time: 8% of the refusals under a steady load of three times the capacity.
 */
const ENTRY_MARGIN = 1.15;
/** Most requests that wait for one pool, of callers and scoring calls each. */
export const MAX_WAITING = 512;
/** Smallest share of an upstream's slots that scoring calls may take. */
const MIN_BACKGROUND_SHARE = 0.5;

/**
 * Returns the requests of callers in the order in which they get slots: highest
 * priority, then the account with the least work, then the earliest deadline. It
 * answers the load of one account that sends more than all others together: the
 * others are served as if it sent as little as they do. Each request raises the
 * work of its account for the next one, so that accounts alternate.
 *
 * @param getWorkMs Returns an account's work in service and recently served, ms.
 * @param serviceMs Mean service time, ms.
 */
export function orderCallers<T extends OrderedRequest>(
  waiting: Iterable<T>,
  getWorkMs: (account: AccountId | null) => number,
  serviceMs: number,
): T[] {
  const byDeadline = [...waiting].sort(
    (a, b) => a.priority - b.priority || a.deadline - b.deadline,
  );
  const workMs = new Map<AccountId | null, number>();
  const ranked = byDeadline.map(request => {
    const {account} = request;
    const work = workMs.get(account) ?? getWorkMs(account);
    workMs.set(account, work + Math.max(1, serviceMs));
    return {request, work};
  });
  // The sort is stable, so equal work keeps the order of deadlines.
  ranked.sort(
    (a, b) => a.request.priority - b.request.priority || a.work - b.work,
  );
  return ranked.map(({request}) => request);
}

/**
 * Returns scoring calls in the order in which they get slots. A trainer uses
 * complete groups only, so those nearest to complete come first.
 */
export function orderScoringCalls<T extends OrderedRequest>(
  waiting: Iterable<T>,
): T[] {
  return [...waiting].sort(
    (a, b) =>
      a.unfinishedInGroup - b.unfinishedInGroup ||
      a.priority - b.priority ||
      a.deadline - b.deadline,
  );
}

/** Returns for how long a request is expected to wait, ms. */
export function getExpectedWaitMs(place: WaitPlace): number {
  const {now, before, intervalMs, permitAt} = place;
  if (intervalMs === Infinity) return Infinity;
  return Math.max(before * intervalMs, (permitAt ?? now) - now);
}

/**
 * Decides whether a request without a free slot waits. It answers a load above
 * the capacity of a pool, and pools that lose upstreams while requests wait. A
 * request that could not be answered by its deadline any more is refused as soon
 * as that is known, so that its caller can return or go elsewhere in time.
 */
export function decideQueueWait(place: WaitPlace): WaitDecision {
  const {now, deadline, before, intervalMs, serviceMs} = place;
  if (intervalMs === Infinity) return {tag: 'refuse', reason: 'no_upstream'};
  if (before >= MAX_WAITING) return {tag: 'refuse', reason: 'full'};
  const margin = place.isWaiting ? 1 : ENTRY_MARGIN;
  const neededMs =
    getExpectedWaitMs(place) * margin + Math.max(MIN_SERVICE_MS, serviceMs);
  return now + neededMs > deadline
    ? {tag: 'refuse', reason: 'deadline'}
    : {tag: 'wait'};
}

/**
 * Returns when the caller of a refused request should return. It answers callers
 * that were refused in a burst and would return in one: each is given the time of
 * a slot after those of the requests that wait and of the callers refused before,
 * so that they return in the order in which they were refused.
 *
 * @param place The place behind all requests that wait.
 * @param lastReturnAt When the caller refused before is to return.
 */
export function getReturnTime(
  place: WaitPlace,
  lastReturnAt: number,
): MonotonicMs {
  const {now, deadline, intervalMs} = place;
  const hasUpstream = intervalMs < Infinity;
  const waitMs = hasUpstream
    ? getExpectedWaitMs(place) * RETURN_MARGIN
    : (deadline - now) * RETURN_SHARE;
  const distanceMs = hasUpstream ? intervalMs * RETURN_MARGIN : 0;
  const next = lastReturnAt + Math.max(MIN_RETURN_INTERVAL_MS, distanceMs);
  const returnAt = Math.max(now + Math.max(MIN_RETRY_AFTER_MS, waitMs), next);
  return Math.min(returnAt, now + MAX_RETRY_AFTER_MS) as MonotonicMs;
}

/**
 * Returns how many of an upstream's slots scoring calls may take: those that
 * callers have not needed lately, and one more is kept for a caller. It answers a
 * burst of callers beside scoring calls, and long times without callers in which
 * a fixed share would leave slots idle.
 *
 * @param callerPeak Most requests of callers at one upstream lately.
 */
export function getBackgroundSlots(slots: number, callerPeak: number): number {
  const least = Math.ceil(slots * MIN_BACKGROUND_SHARE);
  const unneeded = Math.max(least, slots - (callerPeak + 1));
  return Math.max(1, Math.min(unneeded, slots - 1));
}
