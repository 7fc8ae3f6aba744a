import type {RequestId} from '@vanillacross/common';

/** When a refused caller should come again, ms. */
export const RETRY_AFTER_MS = 60;
/** When a caller of a process without fresh state should come again, ms. */
const STALE_RETRY_AFTER_MS = 150;

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
