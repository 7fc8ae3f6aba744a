import type {MonotonicMs} from '@vanillacross/common';

const MS_PER_S = 1_000;
/**
 * Duration over which permits accumulate, s; a slower bucket still holds one
 * permit.
 */
const BURST_S = 0.5;

/** A token bucket; immutable. Permits accumulate at a rate up to a burst. */
export interface PermitBucket {
  perSecond: number;
  /** Permits at `at`; may be fractional. */
  permits: number;
  /** Smallest number of permits that the bucket can hold. */
  minBurst: number;
  at: MonotonicMs;
}

/** Creates a bucket that issues no permits until it gets a rate. */
export function createPermitBucket(
  now: MonotonicMs,
  minBurst = 1,
  permits = 0,
): PermitBucket {
  return {perSecond: 0, permits, minBurst, at: now};
}

/** Returns the number of permits that are available. */
export function getPermits(bucket: PermitBucket, now: MonotonicMs): number {
  const {perSecond, permits, minBurst, at} = bucket;
  const burst = Math.max(minBurst, perSecond * BURST_S);
  return Math.min(burst, permits + ((now - at) / MS_PER_S) * perSecond);
}

/** Changes the rate. A bucket without a rate loses its permits. */
export function setPermitRate(
  bucket: PermitBucket,
  perSecond: number,
  now: MonotonicMs,
): PermitBucket {
  const permits = getPermits(bucket, now);
  return {
    ...bucket,
    perSecond,
    permits: perSecond === 0 ? 0 : permits,
    at: now,
  };
}

/** Takes one permit; the caller has checked that there is one. */
export function takePermit(
  bucket: PermitBucket,
  now: MonotonicMs,
): PermitBucket {
  return {...bucket, permits: getPermits(bucket, now) - 1, at: now};
}

/**
 * Returns when several buckets together will have issued a number of permits;
 * `Infinity` if they never will.
 */
export function getPermitTime(
  buckets: readonly PermitBucket[],
  count: number,
  now: MonotonicMs,
): number {
  let permits = 0;
  let perSecond = 0;
  let available = 0;
  for (const bucket of buckets) {
    const held = getPermits(bucket, now);
    permits += held;
    available += Math.floor(held);
    perSecond += bucket.perSecond;
  }
  if (available >= count) return now;
  if (perSecond === 0) return Infinity;
  return now + (Math.max(0, count - permits) / perSecond) * MS_PER_S;
}
