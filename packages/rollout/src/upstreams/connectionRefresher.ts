import type {Clock, Metrics, RequestId} from '@vanillacross/common';
import {getDeadline, toBranded} from '@vanillacross/common';

import type {Pool, UpstreamDialect} from '../model/index.js';
import {startExchange} from './exchange.js';
import type {Upstream} from './upstream.js';
import type {UpstreamDirectory} from './upstreamDirectory.js';

const ROUND_INTERVAL_MS = 1_000;
/** Time limit of a health request, ms. */
const HEALTH_BUDGET_MS = 1_000;

export interface ConnectionRefresherOptions {
  directory: UpstreamDirectory;
  dialect: UpstreamDialect;
  /** Returns the pools whose connections are kept open. */
  getPools: () => readonly Pool[];
  clock: Clock;
  metrics: Metrics;
}

/**
 * Keeps idle connections to engines open by health requests, whose responses
 * also state the load. An upstream that is cold or states a request limit gets
 * none.
 */
export class ConnectionRefresher {
  private isStopped = false;
  private requestCount = 0;

  constructor(private readonly options: ConnectionRefresherOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopped) {
      this.refreshAll();
      await clock.waitUntil(getDeadline(clock.now(), ROUND_INTERVAL_MS));
    }
  }

  private refreshAll(): void {
    const {directory, getPools, clock} = this.options;
    for (const pool of getPools()) {
      for (const upstream of directory.getUsable(pool.id)) {
        if (upstream.isCold() || upstream.notices.limit !== null) continue;
        const due = upstream.agent.prepareRefreshes(clock.now());
        for (let index = 0; index < due; index++) this.refresh(pool, upstream);
      }
    }
  }

  private refresh(pool: Pool, upstream: Upstream): void {
    const {dialect, clock, metrics} = this.options;
    const count = (outcome: string) =>
      metrics.count('vc_connection_refreshes', {outcome});
    const exchange = startExchange(
      upstream,
      dialect,
      clock,
      {
        id: toBranded<RequestId>(`refresh-${++this.requestCount}`),
        method: 'GET',
        target: pool.healthPath,
        host: upstream.entry.address,
        headers: {},
        account: null,
        upstream: upstream.id,
        budgetMs: HEALTH_BUDGET_MS,
        lastEventId: 0,
        priority: null,
      },
      Buffer.alloc(0),
      {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => {
          cancelTimer();
          count('kept');
        },
        onFailure: ({tag}) => {
          cancelTimer();
          count(tag);
        },
      },
    );
    const deadline = getDeadline(clock.now(), HEALTH_BUDGET_MS);
    const cancelTimer = clock.callAt(deadline, () => exchange.abort());
  }
}
