import type {MonotonicMs} from '@vanillacross/common';
import {getRendezvousOrder} from '@vanillacross/common';

/** A request limit that an upstream states for all processes together. */
export interface StatedLimit {
  perSecond: number;
  /** When this process last learned that the limit is in force. */
  learnedAt: MonotonicMs;
}

/** A response of an upstream, as far as it concerns the limit. */
export interface LimitStatement {
  /** Requests per second; null if the response states no limit. */
  perSecond: number | null;
  /** When the request of the response was sent. */
  sentAt: MonotonicMs;
  now: MonotonicMs;
}

/**
 * Lowest limit that is applied, requests/s. Without requests, no process would
 * learn that an upstream no longer states a limit of zero.
 */
const MIN_LIMIT_PER_SECOND = 0.1;
/**
 * Fraction of a limit that processes use together. The rest allows for requests
 * that bunch up on their way.
 */
const USED_SHARE = 0.97;
/** Part of it that is reserved for the lease holder's calls to engines. */
const CONTROL_SHARE = 0.4;
/**
 * Calls/s that suffice to give an engine each new version; without versions, its
 * slots are of no use.
 */
const MAX_CONTROL_PER_SECOND = 0.5;
/**
 * Processes that may send to one limited upstream besides one for each request
 * per second: each may hold back a request and send it at any moment.
 */
const BASE_SENDERS = {withControl: 2, withoutControl: 4};
/** Minimum number of processes that is assumed while shares are not agreed. */
const MIN_PROCESSES = 16;
/** Allows for processes that started since they were last counted. */
const PROCESS_FACTOR = 2;
/**
 * Fraction of its share that a process keeps while it can't read the others'
 * demand. They may have taken its place meanwhile.
 */
const STALE_VIEW_SHARE = 0.5;
/**
 * Time after which a higher share takes effect, ms. The processes whose share
 * falls by the same change of the demand have applied it by then.
 */
export const SHARE_RAISE_DELAY_MS = 1_500;

/**
 * Returns the limit that applies after a response. A response without a limit
 * ends one only if its request was sent after the limit was last known to be in
 * force, because responses on different connections overtake each other.
 */
export function reconcileLimit(
  known: StatedLimit | null,
  {perSecond, sentAt, now}: LimitStatement,
): StatedLimit | null {
  if (perSecond !== null) return {perSecond, learnedAt: now};
  if (known === null || sentAt > known.learnedAt) return null;
  return known;
}

/** Interval at which a limit in force is told to the other processes again. */
const REPEAT_INTERVAL_MS = 5_000;
/** Minimum interval between two records of one limit's values, ms. */
const MIN_CHANGE_INTERVAL_MS = 250;
/** Relative difference of two limits that the other processes must know. */
const LIMIT_TOLERANCE = 0.1;

/**
 * Whether the other processes must be told a limit, given what was last told;
 * `perSecond` is null if the limit has ended.
 */
export function isLimitNews(
  published: {perSecond: number | null; at: MonotonicMs} | null,
  perSecond: number | null,
  now: MonotonicMs,
): boolean {
  const known = published?.perSecond ?? null;
  if (known === null || perSecond === null) return known !== perSecond;
  const ageMs = now - (published?.at ?? 0);
  if (ageMs < MIN_CHANGE_INTERVAL_MS) return false;
  const isClose = Math.abs(perSecond - known) <= known * LIMIT_TOLERANCE;
  return !isClose || ageMs >= REPEAT_INTERVAL_MS;
}

function getUsablePerSecond(limit: number): number {
  return Math.max(limit, MIN_LIMIT_PER_SECOND) * USED_SHARE;
}

/** Returns the requests/s that all processes together may send for callers. */
export function getRequestRate(limit: number, hasControl: boolean): number {
  const reserved = hasControl ? getControlRate(limit) : 0;
  return getUsablePerSecond(limit) - reserved;
}

/** Returns the calls/s that the lease holder may send to an engine. */
export function getControlRate(limit: number): number {
  const reserved = getUsablePerSecond(limit) * CONTROL_SHARE;
  return Math.min(reserved, MAX_CONTROL_PER_SECOND);
}

/** Returns the number of processes that may send to a limited upstream. */
export function getSenderCount(limit: number, hasControl: boolean): number {
  const base = hasControl
    ? BASE_SENDERS.withControl
    : BASE_SENDERS.withoutControl;
  return base + Math.floor(limit);
}

/** A limited upstream of a pool. */
export interface LimitedUpstream {
  id: string;
  limit: number;
}

/**
 * Returns the processes that may send to a limited upstream, out of those that
 * have requests for its pool. All processes compute the same from the same
 * input, in whatever order it comes, and a process that joins or leaves changes
 * the share of few others.
 */
export function getSenders(
  {id, limit}: LimitedUpstream,
  processes: readonly string[],
  hasControl: boolean,
): string[] {
  const count = getSenderCount(limit, hasControl);
  return getRendezvousOrder(id, processes).slice(0, count);
}

/** What a process's share of a limit depends on. */
export interface ShareInput {
  /** Requests/s that all processes together may send. */
  perSecond: number;
  /** The processes that may send; null if they are not agreed yet. */
  senders: readonly string[] | null;
  process: string;
  /** Number of processes that this one has heard of. */
  processCount: number;
  /** Whether the demand of the other processes is known up to now. */
  isViewCurrent: boolean;
}

/** Returns the requests/s that a process may send to a limited upstream. */
export function getSendShare(input: ShareInput): number {
  const {perSecond, senders, process, processCount, isViewCurrent} = input;
  if (senders === null) {
    return perSecond / Math.max(MIN_PROCESSES, processCount * PROCESS_FACTOR);
  }
  if (!senders.includes(process)) return 0;
  const share = perSecond / senders.length;
  return isViewCurrent ? share : share * STALE_VIEW_SHARE;
}

/** A share in force, and a higher one that is to follow it. */
export interface SettledShare {
  perSecond: number;
  /** The lowest share since it has been higher than the one in force. */
  higher: {perSecond: number; takesEffectAt: MonotonicMs} | null;
}

/**
 * Returns the share in force after a new one was computed. A lower share applies
 * at once and a higher one after a delay, so that the shares of all processes
 * never add up to more than the limit while they learn of a change one after the
 * other.
 */
export function settleShare(
  settled: SettledShare,
  perSecond: number,
  now: MonotonicMs,
): SettledShare {
  if (perSecond <= settled.perSecond) return {perSecond, higher: null};
  const {higher} = settled;
  if (higher === null) {
    const takesEffectAt = (now + SHARE_RAISE_DELAY_MS) as MonotonicMs;
    return {...settled, higher: {perSecond, takesEffectAt}};
  }
  const lowest = Math.min(higher.perSecond, perSecond);
  if (now >= higher.takesEffectAt) return {perSecond: lowest, higher: null};
  return {...settled, higher: {...higher, perSecond: lowest}};
}
