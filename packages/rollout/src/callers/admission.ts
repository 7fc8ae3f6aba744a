import type {MonotonicMs, PoolId} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {ConfigurationState, RouteTable} from '../configuration/index.js';
import {leadsTo} from '../configuration/index.js';
import type {Account, RequestHead, Route} from '../model/index.js';
import type {Refusal} from './refusal.js';
import {getStaleRefusal} from './refusal.js';

/** A request whose route and client account have been resolved. */
export interface AdmittedRequest {
  head: RequestHead;
  routes: RouteTable;
  route: Route;
  account: Account | null;
  arrivedAt: MonotonicMs;
  deadline: MonotonicMs;
}

/** Resolves the route and the client account of incoming requests. */
export class Admission {
  constructor(private readonly configuration: ConfigurationState) {}

  /** Resolves the route and account, or returns why the request is refused. */
  admit(head: RequestHead, arrivedAt: MonotonicMs): AdmittedRequest | Refusal {
    const routes = this.configuration.getRoutes();
    if (!routes) return getStaleRefusal('no configuration yet');
    const route = routes.findRoute(head.host, head.path);
    if (!route) return {status: 404, reason: 'no route'};
    const account = this.authenticate(head, routes, route);
    if (account && 'status' in account) return account;
    const budgetMs = Math.min(head.budgetMs ?? Infinity, route.timeoutMs);
    const deadline = getDeadline(arrivedAt, budgetMs);
    return {head, routes, route, account, arrivedAt, deadline};
  }

  /** Whether the key of an admitted request is still valid and confirmed. */
  isStillPermitted(admitted: AdmittedRequest): boolean {
    const routes = this.configuration.getRoutes();
    if (!routes) return false;
    const {head, route, account} = admitted;
    const current = this.authenticate(head, routes, route);
    if (current && 'status' in current) return false;
    return current?.id === account?.id;
  }

  /** Whether the configuration still leads an admitted request to a pool. */
  isStillRouted({head, route}: AdmittedRequest, pool: PoolId): boolean {
    const current = this.configuration
      .getRoutes()
      ?.findRoute(head.host, head.path);
    return current?.name === route.name && leadsTo(current, pool);
  }

  /** Returns the account of a step call, or null if no key is required. */
  authenticateStepCall(head: RequestHead): Account | Refusal | null {
    const routes = this.configuration.getRoutes();
    if (!routes) return getStaleRefusal('no configuration yet');
    return this.authenticate(head, routes, null);
  }

  private authenticate(
    head: RequestHead,
    routes: RouteTable,
    route: Route | null,
  ): Account | Refusal | null {
    if (!routes.hasAccounts() || route?.isPublic) return null;
    if (!this.configuration.areKeysFresh()) {
      return getStaleRefusal('the keys are not known to be current');
    }
    const account =
      head.apiKey === null ? null : routes.findAccount(head.apiKey);
    return account ?? {status: 401, reason: 'unknown key'};
  }
}
