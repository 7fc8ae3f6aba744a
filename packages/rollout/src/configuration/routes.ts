import type {AccountId} from '@vanillacross/common';

import type {Account, Configuration, Route} from '../model/index.js';

/** Host of an authority, without its port, in lower case. */
export function getHostName(authority: string): string {
  return authority.replace(/:\d+$/, '').toLowerCase();
}

/** The configuration in the form that requests look it up by. */
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

  /** The route with the longest prefix of the path, or null. */
  findRoute(authority: string, path: string): Route | null {
    const routes = this.byHost.get(getHostName(authority)) ?? [];
    return routes.find(route => path.startsWith(route.prefix)) ?? null;
  }

  getRoute(name: string): Route | null {
    return this.byName.get(name) ?? null;
  }

  /** The account that holds a key, or null. */
  findAccount(key: string): Account | null {
    return this.byKey.get(key) ?? null;
  }

  /** Whether callers need keys at all. */
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

/** Draws one of a route's pools by weight. */
export function pickWeightedPool(
  route: Route,
  random: () => number,
): string | null {
  const total = route.targets.reduce((sum, t) => sum + t.weight, 0);
  let left = random() * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.pool;
  }
  return route.targets.at(-1)?.pool ?? null;
}
