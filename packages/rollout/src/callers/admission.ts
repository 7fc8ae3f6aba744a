import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {ConfigurationState, RouteTable} from '../configuration/index.js';
import type {Account, RequestHead, Route} from '../model/index.js';
import type {Refusal} from './refusal.js';
import {getStaleRefusal} from './refusal.js';

/** A request whose route and account are known. */
export interface AdmittedRequest {
  head: RequestHead;
  routes: RouteTable;
  route: Route;
  account: Account | null;
  arrivedAt: MonotonicMs;
  deadline: MonotonicMs;
}

/** Finds the route and the account of callers' requests. */
export class Admission {
  constructor(private readonly configuration: ConfigurationState) {}

  /** Route and account of a request, or why it has none. */
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

  /** The account of a call about a step; null where none is needed. */
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
