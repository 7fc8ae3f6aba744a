import type {MonotonicMs} from '@vanillacross/common';

/** Time in which the weight of finished work halves, ms. */
const HALF_LIFE_MS = 1_000;

/** Work done for one client account, in attempts x ms; immutable. */
export interface AccountWork {
  /** Work of ended attempts at `at`, decayed. */
  servedMs: number;
  at: MonotonicMs;
  /** Number of attempts that run. */
  running: number;
  /** Sum of the start times of these, ms. */
  startSumMs: number;
}

export const noWork: AccountWork = {
  servedMs: 0,
  at: 0 as MonotonicMs,
  running: 0,
  startSumMs: 0,
};

/** Returns the fraction of a measured value that is left after some time. */
export function getDecay(elapsedMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / HALF_LIFE_MS);
}

/** Adds an attempt that starts now. */
export function startWork(work: AccountWork, now: MonotonicMs): AccountWork {
  const {running, startSumMs} = work;
  return {...work, running: running + 1, startSumMs: startSumMs + now};
}

/** Ends an attempt. */
export function endWork(
  work: AccountWork,
  startedAt: MonotonicMs,
  now: MonotonicMs,
): AccountWork {
  const {servedMs, at, running, startSumMs} = work;
  return {
    servedMs: servedMs * getDecay(now - at) + (now - startedAt),
    at: now,
    running: running - 1,
    startSumMs: startSumMs - startedAt,
  };
}

/**
 * Returns the work in service and recently served, ms. It answers the load of an
 * account whose requests are few but long, or retried often: a count of requests
 * would let it take more of the slots than others. An attempt that has just
 * started counts as long as an average one, so that a burst of starts weighs at
 * once.
 *
 * @param serviceMs Mean service time of an attempt, ms.
 */
export function getWorkMs(
  work: AccountWork,
  serviceMs: number,
  now: MonotonicMs,
): number {
  const {servedMs, at, running, startSumMs} = work;
  const elapsedMs = running * now - startSumMs;
  const inServiceMs = Math.max(elapsedMs, running * serviceMs);
  return servedMs * getDecay(now - at) + inServiceMs;
}
