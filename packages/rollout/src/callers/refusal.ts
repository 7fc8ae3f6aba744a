import type {RequestId} from '@vanillacross/common';

/** When a refused caller should come again, ms. */
export const RETRY_AFTER_MS = 60;
/** When a caller of a process without fresh state should come again, ms. */
const STALE_RETRY_AFTER_MS = 150;

/** When the caller of a quarantined request may come again, ms. */
const QUARANTINE_RETRY_MS = 10_000;

/** Why this process answers a request itself. */
export interface Refusal {
  status: number;
  reason: string;
  /** When the caller may come again, ms. */
  retryAfterMs?: number;
  /** The step that was asked about. */
  step?: RequestId;
}

/** The refusal of a process that does not know enough to answer. */
export function getStaleRefusal(reason: string): Refusal {
  return {status: 503, reason, retryAfterMs: STALE_RETRY_AFTER_MS};
}

/** The refusal of a request whose like has crashed several upstreams. */
export function getQuarantineRefusal(): Refusal {
  return {
    status: 503,
    reason: 'requests like this one have crashed upstreams',
    retryAfterMs: QUARANTINE_RETRY_MS,
  };
}
