import type {MonotonicMs} from '@vanillacross/common';

/** Requests above its slots that keep an upstream busy, per slot. */
const REFILL_SHARE = 1 / 3;
/** Factor by which a window shrinks when too many requests wait. */
const DECREASE = 0.7;

/** How many requests of one process an upstream may have; immutable. */
export interface SendWindow {
  /** From 1 to 4/3 of the slots; the fraction counts toward the next one. */
  size: number;
  shrunkAt: MonotonicMs;
}

/** The answer of an upstream to one request. */
export interface WindowFeedback {
  slots: number;
  /** Requests that wait at the upstream; null if it does not state them. */
  waiting: number | null;
  startedAt: MonotonicMs;
  now: MonotonicMs;
}

/**
 * Returns the window before any answer. Requests above the slots are started
 * while the end of another is on its way to this process; without them, slots
 * would be idle for a round trip after each request.
 */
export function createSendWindow(slots: number): SendWindow {
  return {size: slots + slots * REFILL_SHARE, shrunkAt: 0 as MonotonicMs};
}

/**
 * Adapts a window to an answer. It answers a load near or above the capacity that
 * comes from many processes: each knows only its own requests, and if each filled
 * the upstream, requests would wait there, in no order of priority or account.
 * All shrink their windows while more wait there than keep it busy, and widen
 * them by about one request per round of answers otherwise.
 */
export function adaptSendWindow(
  window: SendWindow,
  feedback: WindowFeedback,
): SendWindow {
  const {slots, waiting, startedAt, now} = feedback;
  const {size, shrunkAt} = window;
  if (waiting !== null && waiting > slots * REFILL_SHARE) {
    // The answers to requests sent before the window shrank tell nothing new.
    if (startedAt < shrunkAt) return window;
    return {size: Math.max(1, size * DECREASE), shrunkAt: now};
  }
  const largest = createSendWindow(slots).size;
  return {size: Math.min(largest, size + 1 / size), shrunkAt};
}
