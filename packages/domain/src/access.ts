import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';

import type {ControlState} from './controlState.js';
import {listRecords, getRecordBody} from './controlState.js';
import type {Route} from './records.js';

/**
 * Account of requests on open routes without a usable API key. It is not a valid
 * record id, so no account record can have it.
 */
export const ANONYMOUS_ACCOUNT = '-';

/** A route with its record id. */
export interface RouteEntry {
  id: string;
  route: Route;
}

/** Account of an API key, and whether the key may be used. */
export interface ApiKeyGrant {
  account: string;
  isActive: boolean;
}

/** Routes and API keys of one control state, indexed for lookups. */
export interface AccessTable {
  /** Longest prefix first; among equal prefixes, routes with a model first. */
  routes: readonly RouteEntry[];
  keys: ReadonlyMap<string, ApiKeyGrant>;
}

export type AccessFailure = 'unauthorized' | 'key_withdrawn' | 'forbidden';

function compareRoutes(a: RouteEntry, b: RouteEntry): number {
  const byPrefix = b.route.pathPrefix.length - a.route.pathPrefix.length;
  if (byPrefix !== 0) return byPrefix;
  const byModel =
    Number(b.route.model !== undefined) - Number(a.route.model !== undefined);
  return byModel !== 0 ? byModel : a.id < b.id ? -1 : 1;
}

export function createAccessTable(state: ControlState): AccessTable {
  const routes = listRecords(state, 'route')
    .map(({id, body}) => ({id, route: body}))
    .sort(compareRoutes);
  const keys = new Map<string, ApiKeyGrant>();
  for (const {body} of listRecords(state, 'key')) {
    // If two records have the same hash, the withdrawn one wins (requirement
    // R6).
    const isActive =
      body.state === 'active' &&
      keys.get(body.hash)?.isActive !== false &&
      getRecordBody(state, 'account', body.account) !== null;
    keys.set(body.hash, {account: body.account, isActive});
  }
  return {routes, keys};
}

/**
 * Returns whether a path is unambiguous, so that this process and the upstream
 * split it into the same segments. Dot segments, empty segments and encoded
 * separators could let a path match one route here and another one at the
 * upstream.
 */
export function isCanonicalPath(path: string): boolean {
  if (!path.startsWith('/') || path.includes('\\')) return false;
  if (/%(2f|5c|00)/i.test(path)) return false;
  const segments = path.slice(1).split('/');
  return segments.every((segment, index) => {
    const decoded = segment.replace(/%2e/gi, '.');
    if (decoded === '.' || decoded === '..') return false;
    return segment !== '' || index === segments.length - 1;
  });
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return (
    path.length === prefix.length ||
    prefix.endsWith('/') ||
    path[prefix.length] === '/'
  );
}

/**
 * Returns the routes that match a method and path, best match first, whatever
 * their model.
 */
export function getPathRoutes(
  table: AccessTable,
  method: string,
  path: string,
): RouteEntry[] {
  return table.routes.filter(
    ({route}) =>
      route.methods.includes(method) && hasPrefix(path, route.pathPrefix),
  );
}

/**
 * Returns the first of the given routes that accepts the model; null if none
 * does.
 */
export function getModelRoute(
  candidates: readonly RouteEntry[],
  model: string | undefined,
): RouteEntry | null {
  return (
    candidates.find(
      ({route}) => route.model === undefined || route.model === model,
    ) ?? null
  );
}

/**
 * Returns the account of an API key. `keyHash` is null for a request without a
 * key.
 */
export function getKeyAccount(
  table: AccessTable,
  keyHash: string | null,
): Result<string, AccessFailure> {
  const key = keyHash === null ? undefined : table.keys.get(keyHash);
  if (!key) return fail('unauthorized');
  return key.isActive ? ok(key.account) : fail('key_withdrawn');
}

/**
 * Returns the account that a request runs as on a route. Open routes ignore an
 * unusable key and run the request as `ANONYMOUS_ACCOUNT`.
 */
export function authorizeRequest(
  table: AccessTable,
  route: Route,
  keyHash: string | null,
): Result<string, AccessFailure> {
  const account = getKeyAccount(table, keyHash);
  if (route.access === 'open') {
    return ok(account.ok ? account.value : ANONYMOUS_ACCOUNT);
  }
  if (!account.ok) return account;
  return route.access.includes(account.value) ? account : fail('forbidden');
}
