import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http';

import {sendJson} from '@vanillacross/common';
import {HEADERS} from '@vanillacross/domain';
import type {Load} from '@vanillacross/domain';

/** Reasons in `vc-refusal`. */
export type AgentRefusal =
  | 'at_limit'
  | 'draining'
  | 'leaving'
  | 'expired'
  | 'duplicate_attempt'
  | 'not_ready'
  | 'bad_auth'
  | 'too_large'
  | 'key_reused'
  | 'outcome_unknown'
  | 'upstream_refused'
  | 'upstream_failed'
  | 'deadline';

const REFUSAL_STATUS: Record<AgentRefusal, number> = {
  at_limit: 503,
  draining: 503,
  leaving: 503,
  expired: 504,
  duplicate_attempt: 409,
  not_ready: 503,
  bad_auth: 401,
  too_large: 413,
  key_reused: 422,
  outcome_unknown: 504,
  upstream_refused: 502,
  upstream_failed: 502,
  deadline: 504,
};

/** Response header with the epoch of the engine that answers. */
export const ENGINE_EPOCH_HEADER = 'x-engine-epoch';

const HOP_BY_HOP = new Set([
  'connection',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that carry a caller's key or name its account. */
const PRIVATE_HEADERS = new Set([
  'api-key',
  'authorization',
  'cookie',
  'openai-organization',
  'openai-project',
  'x-api-key',
  'x-auth-token',
  'x-user',
]);
const PRIVATE_PREFIXES = [
  'vc-',
  'x-account',
  'x-client-account',
  'x-customer',
  'x-tenant',
];
const PRIVATE_PARAMETERS = new Set(['access_token', 'api_key', 'key']);

function getConnectionTokens(headers: IncomingHttpHeaders): Set<string> {
  const tokens = String(headers.connection ?? '').split(',');
  return new Set(tokens.map(token => token.trim().toLowerCase()));
}

function isPrivate(name: string): boolean {
  return (
    PRIVATE_HEADERS.has(name) ||
    PRIVATE_PREFIXES.some(prefix => name.startsWith(prefix))
  );
}

/** Copies headers without those of the connection and the dropped ones. */
function copyHeaders(
  headers: IncomingHttpHeaders,
  isDropped: (name: string) => boolean,
): Record<string, string | string[]> {
  const listed = getConnectionTokens(headers);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (!listed.has(name) && !isDropped(name)) kept[name] = value;
  }
  return kept;
}

/** Headers that may pass to the upstream: no key, account or own header. */
export function getUpstreamHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  return copyHeaders(headers, isPrivate);
}

/** Headers of the upstream's answer that may pass to the entry. */
export function getResponseHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  // Trailers need chunked encoding, which excludes a content length.
  return copyHeaders(
    headers,
    name => name === 'content-length' || name.startsWith('vc-'),
  );
}

/** Removes query parameters that carry keys. */
export function getUpstreamPath(path: string): string {
  const mark = path.indexOf('?');
  if (mark < 0) return path;
  const kept = path
    .slice(mark + 1)
    .split('&')
    .filter(pair => {
      const name = pair.split('=')[0];
      try {
        return !PRIVATE_PARAMETERS.has(decodeURIComponent(name).toLowerCase());
      } catch {
        return true;
      }
    });
  const query = kept.join('&');
  return path.slice(0, mark) + (query === '' ? '' : `?${query}`);
}

/** One header as text; '' if absent. */
export function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : (value ?? '');
}

/** A whole number from a header; null if absent or malformed. */
export function getNumberHeader(
  request: IncomingMessage,
  name: string,
): number | null {
  const text = getHeader(request, name);
  if (!/^-?\d{1,15}(\.\d+)?$/.test(text)) return null;
  return Number(text);
}

/** Answers a request that gets no answer of the upstream. */
export function sendRefusal(
  request: IncomingMessage,
  response: ServerResponse,
  refusal: AgentRefusal,
  isNotRun: boolean,
  load: Load,
  message: string,
): void {
  // The rest of the body is read and dropped so that the connection stays
  // usable for the next request.
  request.resume();
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string> = {
    [HEADERS.refusal]: refusal,
    [HEADERS.load]: JSON.stringify(load),
  };
  if (isNotRun) headers[HEADERS.notRun] = '1';
  const error = {code: refusal, message, notRun: isNotRun};
  sendJson(response, REFUSAL_STATUS[refusal], {error}, headers);
}
