import type {RequestId} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS} from '@vanillacross/domain';

import type {StepWriteOutcome} from '../steps/index.js';

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
  /** One of a fixed set of texts, as it labels a metric. */
  reason: string;
  /** What else the caller is told. */
  detail?: string;
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

type SubmissionRefusals = {
  [Tag in StepWriteOutcome['tag']]: (
    outcome: StepWriteOutcome & {tag: Tag},
  ) => Refusal | null;
};

const submissionRefusals: SubmissionRefusals = {
  accepted: () => null,
  not_stored: ({reason}) => ({
    status: 503,
    reason,
    retryAfterMs: MIN_RETRY_AFTER_MS,
  }),
  too_large: ({bytes, maxBytes}) => ({
    status: 413,
    reason: 'the step is too large for the store',
    detail: `it takes ${bytes} bytes of at most ${maxBytes}`,
  }),
  refused: ({detail}) => ({
    status: 500,
    reason: 'the store refuses the step',
    detail,
  }),
  unknown: () => ({
    status: 504,
    reason: 'the store has not acknowledged the step',
  }),
};

/** Creates the refusal of a step that was not accepted; null if it was. */
export function getSubmissionRefusal(
  outcome: StepWriteOutcome,
): Refusal | null {
  const getRefusal = submissionRefusals[outcome.tag] as (
    outcome: StepWriteOutcome,
  ) => Refusal | null;
  return getRefusal(outcome);
}
