import type {MonotonicMs} from '@vanillacross/common';

import {getDecay} from './accountWork.js';

/** Weight of the newest service time in their moving average. */
const SMOOTHING = 0.1;
/**
 * Number of starts that the estimate from service time and slots counts as, next
 * to measured starts. Fewer let a few early starts decide.
 */
const PRIOR_STARTS = 4;

/** Rate at which waiting requests of a pool get slots; immutable. */
export interface ServiceRate {
  /** Mean service time of an attempt, ms; 0 until one has been measured. */
  serviceMs: number;
  /** Time of all slots while requests waited, slots x ms, decayed. */
  slotMs: number;
  /** Number of starts in that time, decayed. */
  starts: number;
  at: MonotonicMs;
}

export function createServiceRate(now: MonotonicMs): ServiceRate {
  return {serviceMs: 0, slotMs: 0, starts: 0, at: now};
}

/** Adds the service time of an attempt that an upstream has executed. */
export function addServiceTime(rate: ServiceRate, ms: number): ServiceRate {
  const {serviceMs} = rate;
  const mean = serviceMs === 0 ? ms : serviceMs + (ms - serviceMs) * SMOOTHING;
  return {...rate, serviceMs: mean};
}

/**
 * Advances to the present.
 *
 * @param slots Slots of the pool; 0 if nobody has waited since `rate.at`.
 */
export function advanceRate(
  rate: ServiceRate,
  slots: number,
  now: MonotonicMs,
): ServiceRate {
  const elapsedMs = now - rate.at;
  const decay = getDecay(elapsedMs);
  return {
    ...rate,
    slotMs: rate.slotMs * decay + elapsedMs * slots,
    starts: rate.starts * decay,
    at: now,
  };
}

/** Adds the start of a request that waited. */
export function addStart(rate: ServiceRate): ServiceRate {
  return {...rate, starts: rate.starts + 1};
}

/**
 * Returns the expected time between two starts of waiting requests, ms. Service
 * time and slots alone are not enough, as other processes use the same slots in
 * unknown numbers; the slot time that passed per start measures what they leave.
 * As it is relative to the slots, a loss of upstreams counts at once.
 */
export function getStartIntervalMs(rate: ServiceRate, slots: number): number {
  if (slots <= 0) return Infinity;
  const {serviceMs, slotMs, starts} = rate;
  const perStart =
    (slotMs + PRIOR_STARTS * serviceMs) / (starts + PRIOR_STARTS);
  return perStart / slots;
}
