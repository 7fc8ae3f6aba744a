import type {
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
  Result,
} from '@vanillacross/common';
import {fail, getDeadline, requestJson} from '@vanillacross/common';

import type {ConfigurationState} from '../configuration/index.js';
import type {
  EngineReport,
  JsonCall,
  Pool,
  UpstreamDialect,
  WeightOrder,
} from '../model/index.js';
import type {UpstreamDirectory, Upstream} from '../upstreams/index.js';
import type {ControlFeed} from './controlFeed.js';
import type {LeaseTask} from './leaseTask.js';
import type {AnnouncedModel, PlannedUpstream} from './weightPlan.js';
import {planWeightUpdates} from './weightPlan.js';

/** Interval at which the plan is looked at, ms. */
const PLAN_MS = 100;
const CALL_TIMEOUT_MS = 600;
/** Expected time of a change of version, ms. */
const LOAD_MS = 950;
/** Interval between two looks at an engine that loads, ms. */
const POLL_MS = 200;
/** Looks at an engine before the move is given up. */
const MAX_POLLS = 25;
/** Wait before an engine that refused an order is asked again, ms. */
const REFUSED_WAIT_MS = 500;
/** Other processes keep work away from an engine this long, ms. */
const LOADING_MARK_MS = 1_100;

export interface WeightUpdaterOptions {
  lease: LeaseTask;
  feed: ControlFeed;
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  dialect: UpstreamDialect;
  /** Oldest version that an open step of a model can use. */
  getNeededVersion: (model: string) => number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Moves engines to the named versions while this process has the lease. */
export class WeightUpdater {
  /** Model that an order under way changes. */
  private readonly moving = new Map<Upstream, string>();
  private readonly waitUntil = new Map<Upstream, MonotonicMs>();
  private isStopped = false;

  constructor(private readonly options: WeightUpdaterOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const {clock, lease} = this.options;
    while (!this.isStopped) {
      if (lease.isHeld()) this.plan();
      await clock.waitUntil(getDeadline(clock.now(), PLAN_MS));
    }
  }

  private plan(): void {
    const {configuration} = this.options;
    const pools = configuration.getRoutes()?.configuration.pools.values() ?? [];
    for (const pool of pools) {
      if (pool.models.length > 0) this.planPool(pool);
    }
  }

  private planPool(pool: Pool): void {
    const {directory} = this.options;
    const named = this.getNamed(pool);
    if (named.size === 0) return;
    const engines = directory.getUsable(pool.id);
    const byId = new Map(engines.map(engine => [String(engine.id), engine]));
    const moves = planWeightUpdates({
      modelCount: pool.models.length,
      announced: named,
      upstreams: engines.map(engine => this.getPlanned(engine, named)),
    });
    for (const {upstream, model, version} of moves) {
      const engine = byId.get(upstream)!;
      this.moving.set(engine, model);
      void this.move(engine, model, version).finally(() => {
        this.moving.delete(engine);
      });
    }
  }

  /** The pool's models whose versions were named. */
  private getNamed(pool: Pool): Map<string, AnnouncedModel> {
    const {configuration, clock, getNeededVersion} = this.options;
    const named = new Map<string, AnnouncedModel>();
    for (const [
      model,
      {version, announcedAt: namedAt},
    ] of configuration.getAnnouncedVersions()) {
      if (!pool.models.includes(model)) continue;
      const ageMs = clock.now() - namedAt;
      const neededVersion = getNeededVersion(model);
      named.set(model, {version, ageMs, neededVersion});
    }
    return named;
  }

  private getPlanned(
    engine: Upstream,
    named: ReadonlyMap<string, AnnouncedModel>,
  ): PlannedUpstream {
    const now = this.options.clock.now();
    return {
      id: engine.id,
      domain: engine.entry.domain,
      versions: new Map(
        [...named.keys()].map(model => [model, engine.getVersion(model)]),
      ),
      updatingModel: this.moving.get(engine) ?? null,
      isBackingOff: (this.waitUntil.get(engine) ?? 0) > now,
    };
  }

  private async move(
    engine: Upstream,
    model: string,
    version: number,
  ): Promise<void> {
    const {logger, metrics, feed, clock} = this.options;
    const before = await this.readReport(engine);
    if (!before.ok) return this.postpone(engine, before.error);
    this.noteReport(engine, before.value);
    if (before.value.isLoading) return this.postpone(engine, 'it is loading');
    if (engine.getVersion(model) >= version) {
      return feed.publishVersion(engine, model, engine.getVersion(model), 0);
    }
    feed.publishVersion(
      engine,
      model,
      engine.getVersion(model),
      LOADING_MARK_MS,
    );
    const answer = await this.sendOrder(
      engine,
      model,
      version,
      before.value.orderCount,
    );
    metrics.count('vc_weight_orders', {answer});
    logger.info('weight order', {
      upstream: engine.id,
      model,
      version,
      from: before.value.versions.get(model) ?? null,
      expectedOrderCount: before.value.orderCount,
      fencingToken: this.options.lease.fencingToken,
      answer,
    });
    if (answer !== 'accepted') {
      feed.publishVersion(engine, model, engine.getVersion(model), 0);
      return this.postpone(engine, `order: ${answer}`);
    }
    await clock.waitUntil(getDeadline(clock.now(), LOAD_MS));
    await this.awaitVersion(engine, model, version);
  }

  private async awaitVersion(
    engine: Upstream,
    model: string,
    version: number,
  ): Promise<void> {
    const {clock, feed, logger} = this.options;
    for (let poll = 0; poll < MAX_POLLS && !this.isStopped; poll++) {
      const report = await this.readReport(engine);
      if (report.ok) {
        this.noteReport(engine, report.value);
        if (engine.getVersion(model) >= version) {
          logger.info('weights are live', {
            upstream: engine.id,
            model,
            version,
            polls: poll + 1,
          });
          return feed.publishVersion(engine, model, version, 0);
        }
        if (!report.value.isLoading) break;
      }
      if (!this.options.directory.isUsable(engine)) break;
      await clock.waitUntil(getDeadline(clock.now(), POLL_MS));
    }
    this.postpone(engine, 'the version did not come');
  }

  private postpone(engine: Upstream, reason: string): void {
    const {clock, logger} = this.options;
    this.waitUntil.set(engine, getDeadline(clock.now(), REFUSED_WAIT_MS));
    logger.warn('weight move was put off', {upstream: engine.id, reason});
  }

  private noteReport(engine: Upstream, report: EngineReport): void {
    for (const [model, version] of report.versions) {
      engine.recordVersion(model, version);
    }
  }

  private async readReport(
    engine: Upstream,
  ): Promise<Result<EngineReport, string>> {
    const {dialect} = this.options;
    const answer = await this.call(engine, dialect.getReportCall(engine.id));
    if (!answer.ok) return fail(answer.error.tag);
    if (answer.value.status !== 200) {
      return fail(`report: status ${answer.value.status}`);
    }
    return dialect.readReport(answer.value.body);
  }

  private async sendOrder(
    engine: Upstream,
    model: string,
    version: number,
    expectedOrderCount: number,
  ): Promise<string> {
    const {dialect, lease, configuration} = this.options;
    const routes = configuration.getRoutes()?.configuration.routes ?? [];
    const isSingle = routes.some(
      route =>
        route.isSingleVersion &&
        route.targets.some(target => target.pool === engine.entry.pool),
    );
    const order: WeightOrder = {
      upstream: engine.id,
      model,
      version,
      mode: isSingle ? 'finish_running' : 'keep_running',
      holder: lease.holder,
      fencingToken: lease.fencingToken,
      expectedOrderCount,
    };
    const answer = await this.call(engine, dialect.getWeightCall(order), () =>
      lease.isHeld(),
    );
    if (!answer.ok) return answer.error.tag;
    const {status} = answer.value;
    return status === 202 || status === 200 ? 'accepted' : `status ${status}`;
  }

  private call(engine: Upstream, call: JsonCall, mayWrite?: () => boolean) {
    return requestJson({
      method: call.method,
      url: `http://${engine.entry.address}${call.path}`,
      headers: call.headers,
      body: call.body,
      timeoutMs: CALL_TIMEOUT_MS,
      agent: engine.agent,
      mayWrite,
    });
  }
}
