import {HEADERS} from '@vanillacross/domain';
import type {IncomingHttpHeaders} from 'node:http';

/**
 * Headers that determine the account, the usage window, the attempt, the
 * deduplication and the priority of a request.
 */
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
 * Returns the text that the signature in `vc-auth` covers besides method and
 * path. It includes the attempt id, so that a recorded request cannot run again
 * as a new attempt, and the upstream, so that other agents reject it.
 */
export function getCanonicalHeaders(
  upstream: string,
  headers: IncomingHttpHeaders,
): string {
  const values = COVERED_HEADERS.map(name => String(headers[name] ?? ''));
  return [upstream, ...values].join('\n');
}
