import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http';

import {sendJson} from '@vanillacross/common';
import {HEADERS} from '@vanillacross/domain';
import type {Load} from '@vanillacross/domain';

/** Refusal codes in the `vc-refusal` header. */
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

/** Response header with the epoch of the engine that sent the response. */
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

/** Headers that carry a caller's credentials or identify its account. */
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

function isPrivateHeader(name: string): boolean {
  return (
    PRIVATE_HEADERS.has(name) ||
    PRIVATE_PREFIXES.some(prefix => name.startsWith(prefix))
  );
}

/** Copies headers except hop-by-hop ones and those that `isDropped` selects. */
function copyHeaders(
  headers: IncomingHttpHeaders,
  isDropped: (name: string) => boolean,
): Record<string, string | string[]> {
  const connectionTokens = getConnectionTokens(headers);
  const copied: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (!connectionTokens.has(name) && !isDropped(name)) copied[name] = value;
  }
  return copied;
}

/**
 * Returns the headers to send to the upstream, without credentials, account
 * names and `vc-` headers.
 */
export function getUpstreamHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  return copyHeaders(headers, isPrivateHeader);
}

/** Returns the headers of the upstream's response to send to the entry. */
export function getResponseHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  // Trailers require chunked encoding, which excludes a content length.
  return copyHeaders(
    headers,
    name => name === 'content-length' || name.startsWith('vc-'),
  );
}

/** Removes query parameters that carry credentials. */
export function getUpstreamPath(path: string): string {
  const queryStart = path.indexOf('?');
  if (queryStart < 0) return path;
  const kept = path
    .slice(queryStart + 1)
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
  return path.slice(0, queryStart) + (query === '' ? '' : `?${query}`);
}

/** Returns a header as text, or '' if it is absent. */
export function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : (value ?? '');
}

/** Returns a header as a number, or null if it is absent or malformed. */
export function getNumberHeader(
  request: IncomingMessage,
  name: string,
): number | null {
  const text = getHeader(request, name);
  if (!/^-?\d{1,15}(\.\d+)?$/.test(text)) return null;
  return Number(text);
}

/** Sends a refusal in place of a response of the upstream. */
export function sendRefusal(
  request: IncomingMessage,
  response: ServerResponse,
  refusal: AgentRefusal,
  isNotRun: boolean,
  load: Load,
  message: string,
): void {
  // Drains the rest of the body, so that the connection can be reused for the
  // next request.
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
