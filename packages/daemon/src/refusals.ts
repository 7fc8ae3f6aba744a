import {sendJson} from '@vanillacross/common';
import type {ServerResponse} from 'node:http';

import type {Refusal, RefusalCode} from './types.js';

/** HTTP status of each refusal code. */
export const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  unauthorized: 401,
  key_withdrawn: 401,
  forbidden: 403,
  route_unknown: 404,
  bad_request: 400,
  too_large: 413,
  authority_lost: 503,
  account_limit: 429,
  queue_deadline: 503,
  no_upstream: 503,
  quarantined: 422,
  draining: 503,
  retry_budget: 503,
  upstream_failed: 502,
  answer_cut: 502,
  deadline: 504,
  outcome_unknown: 504,
  cancelled: 499,
  step_conflict: 409,
  step_unknown: 404,
  internal: 500,
};

/** Creates the refusal of a request that has certainly not run. */
export function createNotRunRefusal(
  tag: RefusalCode,
  message: string,
  retryAfter?: number,
): Refusal {
  return {tag, message, notRun: true, retryAfter};
}

/** Creates the failure of a request that has run or may have run. */
export function createMaybeRunRefusal(
  tag: RefusalCode,
  message: string,
  retryAfter?: number,
): Refusal {
  return {tag, message, notRun: false, retryAfter};
}

/** Returns the JSON error body for callers. */
export function getErrorBody(refusal: Refusal): {
  error: {code: string; message: string; notRun: boolean; retryAfter?: number};
} {
  const {tag, message, notRun, retryAfter} = refusal;
  return {
    error: {
      code: tag,
      message,
      notRun,
      ...(retryAfter === undefined ? {} : {retryAfter}),
    },
  };
}

/** Sends a refusal, and closes the connection if `closesConnection` is true. */
export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  closesConnection = false,
): void {
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string> = {};
  if (refusal.retryAfter !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(refusal.retryAfter)));
  }
  if (refusal.tag === 'unauthorized') headers['www-authenticate'] = 'Bearer';
  if (closesConnection) headers['connection'] = 'close';
  sendJson(
    response,
    REFUSAL_STATUS[refusal.tag],
    getErrorBody(refusal),
    headers,
  );
}
