import type {AccountId, PoolId} from '@vanillacross/common';

import type {Account, Configuration, Route} from '../model/index.js';

/** Returns the host of an authority in lower case, without the port. */
export function getHostName(authority: string): string {
  return authority.replace(/:\d+$/, '').toLowerCase();
}

/** The configuration, indexed for request lookups. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();
  private readonly byName = new Map<string, Route>();
  private readonly byKey = new Map<string, Account>();

  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes) this.addRoute(route);
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const account of configuration.accounts) {
      for (const key of account.keys) this.byKey.set(key, account);
    }
  }

  /** Returns the route with the longest matching path prefix, or null. */
  findRoute(authority: string, path: string): Route | null {
    const routes = this.byHost.get(getHostName(authority)) ?? [];
    return routes.find(route => path.startsWith(route.prefix)) ?? null;
  }

  getRoute(name: string): Route | null {
    return this.byName.get(name) ?? null;
  }

  /** Returns the client account that owns a key, or null. */
  findAccount(key: string): Account | null {
    return this.byKey.get(key) ?? null;
  }

  /**
   * Whether client accounts are configured. If so, requests need keys, except
   * on public routes.
   */
  hasAccounts(): boolean {
    return this.configuration.accounts.length > 0;
  }

  hasAccount(id: AccountId): boolean {
    return this.configuration.accounts.some(account => account.id === id);
  }

  private addRoute(route: Route): void {
    const host = getHostName(route.host);
    const routes = this.byHost.get(host) ?? [];
    routes.push(route);
    this.byHost.set(host, routes);
    this.byName.set(route.name, route);
  }
}

/** Whether a route sends requests to a pool. */
export function leadsTo(route: Route, pool: PoolId): boolean {
  const hasWeights = route.targets.some(({weight}) => weight > 0);
  return route.targets.some(
    target => target.pool === pool && (target.weight > 0 || !hasWeights),
  );
}

/** Returns the fraction of a route's requests that each of its pools gets. */
export function getPoolShares(route: Route): Map<PoolId, number> {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  const last = route.targets.at(-1);
  if (last && total === 0) return new Map([[last.pool, 1]]);
  const shares = new Map<PoolId, number>();
  for (const {pool, weight} of route.targets) {
    if (weight === 0) continue;
    shares.set(pool, (shares.get(pool) ?? 0) + weight / total);
  }
  return shares;
}

/** Picks one of a route's pools at random, in proportion to the weights. */
export function pickWeightedPool(
  route: Route,
  random: () => number,
): string | null {
  const total = route.targets.reduce((sum, t) => sum + t.weight, 0);
  let remaining = random() * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.pool;
  }
  return route.targets.at(-1)?.pool ?? null;
}
