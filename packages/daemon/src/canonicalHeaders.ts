import {HEADERS} from '@vanillacross/domain';
import type {IncomingHttpHeaders} from 'node:http';

/** Headers that decide for whom, how often and as what a request runs. */
const COVERED_HEADERS = [
  HEADERS.request,
  HEADERS.attempt,
  HEADERS.account,
  HEADERS.entryEpoch,
  HEADERS.window,
  HEADERS.repeat,
  HEADERS.idempotencyKey,
  HEADERS.fingerprint,
  HEADERS.priority,
] as const;

/**
 * What `vc-auth` covers besides method and path. The attempt id is part of
 * it, so that a recorded request cannot run again as a new attempt, and the
 * upstream, so that another agent refuses it.
 */
export function getCanonicalHeaders(
  upstream: string,
  headers: IncomingHttpHeaders,
): string {
  const values = COVERED_HEADERS.map(name => String(headers[name] ?? ''));
  return [upstream, ...values].join('\n');
}
