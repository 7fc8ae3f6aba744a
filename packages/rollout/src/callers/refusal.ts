import type {RequestId} from '@vanillacross/common';

/** Retry delay for a caller of a process whose state is stale, ms. */
const STALE_RETRY_AFTER_MS = 150;

/** Retry delay for the caller of a quarantined request, ms. */
const QUARANTINE_RETRY_AFTER_MS = 10_000;

/**
 * Retry delay for a caller that takes up a stream of unknown software version,
 * ms. By then, the process that began it has published the version.
 */
const UNKNOWN_VERSION_RETRY_AFTER_MS = 400;

/**
 * Retry delay for a caller that takes up a stream whose software version has no
 * upstream in service, ms. One that crashed may come back.
 */
const LEFT_VERSION_RETRY_AFTER_MS = 1_000;

/** Retry delay for the caller of a process that stops, ms. */
const STOPPING_RETRY_AFTER_MS = 50;

/** An error response that is sent instead of forwarding a request. */
export interface Refusal {
  status: number;
  reason: string;
  /** Delay after which the caller may retry, ms. */
  retryAfterMs?: number;
  /** The step that the request refers to. */
  step?: RequestId;
}

/** Creates the refusal for a process whose state is missing or stale. */
export function getStaleRefusal(reason: string): Refusal {
  return {status: 503, reason, retryAfterMs: STALE_RETRY_AFTER_MS};
}

/**
 * Creates the refusal for a quarantined request: identical requests have
 * crashed several upstreams.
 */
export function getQuarantineRefusal(): Refusal {
  return {
    status: 503,
    reason: 'requests like this one have crashed upstreams',
    retryAfterMs: QUARANTINE_RETRY_AFTER_MS,
  };
}

/**
 * Creates the refusal for a stream that is taken up in doubt: another software
 * version may have begun it, whose text can't go on at this one's upstreams.
 */
export function getUnknownVersionRefusal(): Refusal {
  return {
    status: 503,
    reason: 'not run: the software version of the stream is unknown',
    retryAfterMs: UNKNOWN_VERSION_RETRY_AFTER_MS,
  };
}

/** Creates the refusal for a stream whose software version is not in service. */
export function getLeftVersionRefusal(): Refusal {
  return {
    status: 503,
    reason: 'not run: the software version of the stream is not in service',
    retryAfterMs: LEFT_VERSION_RETRY_AFTER_MS,
  };
}

/** Creates the refusal of a process that exits before it could answer. */
export function getStoppingRefusal(): Refusal {
  return {
    status: 503,
    reason: 'not run: the process stops',
    retryAfterMs: STOPPING_RETRY_AFTER_MS,
  };
}
