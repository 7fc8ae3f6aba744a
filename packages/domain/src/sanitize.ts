/** Hop-by-hop headers, which must not be forwarded (RFC 9110 section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Request headers that this system sets itself or must not forward.
 * `accept-encoding` is removed so that error events can be inserted into
 * streams, and `idempotency-key` because two accounts may use the same value.
 */
const DROPPED_REQUEST_HEADERS = new Set([
  'accept-encoding',
  'content-length',
  'cookie',
  'expect',
  'host',
  'idempotency-key',
  'forwarded',
  'remote-user',
  'x-forwarded-user',
  'x-remote-user',
]);

/**
 * Patterns for names of headers that carry secrets, are internal (`vc-*`) or
 * name an account.
 */
const PRIVATE_HEADER =
  /^vc-|api-?key|token|secret|authoriz|credential|passw|^x-auth-/;
const ACCOUNT_HEADER = /account|tenant|customer|organi[sz]ation|openai-project/;

/**
 * Names of query parameters that may carry a key, in lower case without
 * separators.
 */
const KEY_PARAMETERS = new Set([
  'key',
  'apikey',
  'xapikey',
  'accesskey',
  'accesstoken',
  'authtoken',
  'authorization',
  'token',
  'secret',
]);

type HeaderValues = Readonly<Record<string, string | string[] | undefined>>;

function getConnectionHeaders(headers: HeaderValues): Set<string> {
  const value = headers['connection'];
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  const names = text.split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}

function copyHeaders(
  headers: HeaderValues,
  isAllowed: (name: string, value: string) => boolean,
): Record<string, string> {
  const connectionHeaders = getConnectionHeaders(headers);
  const kept: Record<string, string> = {};
  for (const [rawName, raw] of Object.entries(headers)) {
    if (raw === undefined) continue;
    const name = rawName.toLowerCase();
    const value = Array.isArray(raw) ? raw.join(', ') : raw;
    if (HOP_BY_HOP.has(name) || connectionHeaders.has(name)) continue;
    if (isAllowed(name, value)) kept[name] = value;
  }
  return kept;
}

/**
 * Returns the request headers that may be forwarded to the upstream. Removes
 * hop-by-hop headers, `vc-*` headers, headers that carry secrets or name an
 * account, and any header that contains the caller's key.
 */
export function sanitizeRequestHeaders(
  headers: HeaderValues,
  key: string | null,
): Record<string, string> {
  return copyHeaders(headers, (name, value) => {
    if (DROPPED_REQUEST_HEADERS.has(name)) return false;
    if (PRIVATE_HEADER.test(name) || ACCOUNT_HEADER.test(name)) return false;
    return !key || !value.includes(key);
  });
}

/** Returns the response headers that may be forwarded to the caller. */
export function sanitizeResponseHeaders(
  headers: HeaderValues,
): Record<string, string> {
  return copyHeaders(
    headers,
    name => !name.startsWith('vc-') && name !== 'date',
  );
}

function decodeParameter(text: string): string {
  try {
    return decodeURIComponent(text.replace(/\+/g, ' '));
  } catch {
    return text;
  }
}

function isKeyParameter(pair: string, key: string | null): boolean {
  const equals = pair.indexOf('=');
  const name = decodeParameter(equals < 0 ? pair : pair.slice(0, equals));
  const normalized = name.toLowerCase().replace(/[^a-z]/g, '');
  if (KEY_PARAMETERS.has(normalized)) return true;
  return key !== null && key !== '' && decodeParameter(pair).includes(key);
}

/**
 * Removes query parameters whose name is typical of keys or which contain the
 * caller's key. The others keep their order and encoding.
 */
export function sanitizeQuery(url: string, key: string | null): string {
  const queryStart = url.indexOf('?');
  if (queryStart < 0) return url;
  const kept = url
    .slice(queryStart + 1)
    .split(/[&;]/)
    .filter(pair => pair !== '' && !isKeyParameter(pair, key));
  const path = url.slice(0, queryStart);
  return kept.length === 0 ? path : `${path}?${kept.join('&')}`;
}

/** Returns whether a sanitized path still contains the caller's key. */
export function hasKeyInPath(path: string, key: string | null): boolean {
  return !!key && (path.includes(key) || decodeParameter(path).includes(key));
}
