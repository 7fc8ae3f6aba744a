/** Headers of one connection, never forwarded (RFC 9110 section 7.6.1). */
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
 * Request headers that this system sets itself or must not pass on.
 * `accept-encoding` is removed so that error events fit into streams;
 * `idempotency-key` because two accounts may use the same value.
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

/** Names of headers that carry keys or name an account. */
const SECRET_HEADER =
  /^vc-|api-?key|token|secret|authoriz|credential|passw|^x-auth-/;
const ACCOUNT_HEADER = /account|tenant|customer|organi[sz]ation|openai-project/;

/** Key-like query parameters, lower case without separators. */
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

function getConnectionNames(headers: HeaderValues): Set<string> {
  const value = headers['connection'];
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  const names = text.split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}

function copyHeaders(
  headers: HeaderValues,
  isAllowed: (name: string, value: string) => boolean,
): Record<string, string> {
  const listed = getConnectionNames(headers);
  const kept: Record<string, string> = {};
  for (const [rawName, raw] of Object.entries(headers)) {
    if (raw === undefined) continue;
    const name = rawName.toLowerCase();
    const value = Array.isArray(raw) ? raw.join(', ') : raw;
    if (HOP_BY_HOP.has(name) || listed.has(name)) continue;
    if (isAllowed(name, value)) kept[name] = value;
  }
  return kept;
}

/**
 * Request headers that may go upstream. Removes keys, headers that name an
 * account, `vc-*` and hop-by-hop headers, and any header that contains the
 * caller's key.
 */
export function sanitizeRequestHeaders(
  headers: HeaderValues,
  key: string | null,
): Record<string, string> {
  return copyHeaders(headers, (name, value) => {
    if (DROPPED_REQUEST_HEADERS.has(name)) return false;
    if (SECRET_HEADER.test(name) || ACCOUNT_HEADER.test(name)) return false;
    return !key || !value.includes(key);
  });
}

/** Answer headers that may go to the caller. */
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
  const plain = name.toLowerCase().replace(/[^a-z]/g, '');
  if (KEY_PARAMETERS.has(plain)) return true;
  return key !== null && key !== '' && decodeParameter(pair).includes(key);
}

/**
 * Removes query parameters that look like keys or contain the caller's key.
 * Other parameters keep their order and encoding.
 */
export function sanitizeQuery(url: string, key: string | null): string {
  const question = url.indexOf('?');
  if (question < 0) return url;
  const kept = url
    .slice(question + 1)
    .split(/[&;]/)
    .filter(pair => pair !== '' && !isKeyParameter(pair, key));
  const path = url.slice(0, question);
  return kept.length === 0 ? path : `${path}?${kept.join('&')}`;
}

/** Says whether a sanitized path still contains the caller's key. */
export function hasKeyInPath(path: string, key: string | null): boolean {
  return !!key && (path.includes(key) || decodeParameter(path).includes(key));
}
