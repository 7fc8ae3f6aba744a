import type {Load} from '@vanillacross/domain';

import type {RefusalCode} from './types.js';

/** An attempt that gave no response to forward. */
export interface AttemptFailure {
  /** True only if no byte of the request reached the upstream. */
  notRun: boolean;
  reason: string;
  load: Load | null;
  /** True if the agent responded. */
  hasResponse: boolean;
}

/** How to proceed after a failed attempt. */
export type RetryDecision =
  /** The upstream is at capacity: wait, without using the retry budget. */
  | {tag: 'wait'}
  /** Retry within the retry budget, on another upstream if there is one. */
  | {tag: 'retry'}
  | {tag: 'stop'; code: RefusalCode; notRun: boolean};

/**
 * Refusal code for each agent refusal after which the request is not sent
 * again.
 */
const NON_RETRYABLE_REFUSALS: Readonly<Record<string, RefusalCode>> = {
  quarantined: 'quarantined',
  deadline: 'deadline',
  outcome_unknown: 'outcome_unknown',
};

/** Refusals of an agent that accepts no new requests. */
const UNAVAILABLE_REFUSALS = new Set(['draining', 'leaving', 'domain_out']);

/** Whether the agent refused only because its upstream is at capacity. */
export function isAtCapacity(failure: AttemptFailure): boolean {
  if (!failure.notRun) return false;
  if (failure.reason === 'at_limit') return true;
  if (UNAVAILABLE_REFUSALS.has(failure.reason)) return false;
  return failure.load !== null && failure.load.running >= failure.load.limit;
}

/** Decides how to proceed after a failed attempt (R12, R13). */
export function decideRetry(
  repeat: 'idempotent' | 'once',
  failure: AttemptFailure,
): RetryDecision {
  const finalCode = Object.hasOwn(NON_RETRYABLE_REFUSALS, failure.reason)
    ? NON_RETRYABLE_REFUSALS[failure.reason]
    : undefined;
  if (failure.notRun) {
    if (finalCode === 'outcome_unknown') {
      // "Not run" contradicts "outcome unknown"; assume that it may have run.
      return {tag: 'stop', code: finalCode, notRun: false};
    }
    if (finalCode) return {tag: 'stop', code: finalCode, notRun: true};
    return {tag: isAtCapacity(failure) ? 'wait' : 'retry'};
  }
  if (repeat === 'once') {
    return {tag: 'stop', code: 'outcome_unknown', notRun: false};
  }
  return finalCode
    ? {tag: 'stop', code: finalCode, notRun: false}
    : {tag: 'retry'};
}

/**
 * Whether a request with an idempotency key may be sent to the backup agent
 * (see `createHomeTargets`): only if the home agent cannot have run it and is
 * unreachable or accepts no new requests.
 */
export function canUseBackup(failure: AttemptFailure): boolean {
  if (!failure.notRun) return false;
  return !failure.hasResponse || UNAVAILABLE_REFUSALS.has(failure.reason);
}

/** Whether a failure counts against the health of the upstream. */
export function isUpstreamFault(failure: AttemptFailure): boolean {
  if (isAtCapacity(failure) || UNAVAILABLE_REFUSALS.has(failure.reason)) {
    return false;
  }
  return !Object.hasOwn(NON_RETRYABLE_REFUSALS, failure.reason);
}
